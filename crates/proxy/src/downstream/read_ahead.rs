//! An edge connection's stream that can be read ahead of the server library: what has come is kept for
//! it, in order, and the stream's end is seen although the library does not read.
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that are kept ahead of the library.
const AHEAD_MOST: usize = 8 * 1024;

struct Inner {
    stream: TcpStream,
    /// What came and the library has not read.
    ahead: Vec<u8>,
    /// More came than is kept, and was dropped: what follows `ahead` cannot be read as requests any more.
    overrun: bool,
    /// The library's last write waits for its reader.
    blocked: bool,
}

/// The library's hold on the stream; its clones share it. All are used from one task, so that its waker
/// serves them all.
#[derive(Clone)]
pub struct ReadAhead(Arc<Mutex<Inner>>);

impl ReadAhead {
    /// Over a stream of which nothing has been read.
    pub fn new(stream: TcpStream) -> ReadAhead {
        ReadAhead(Arc::new(Mutex::new(Inner { stream, ahead: Vec::new(), overrun: false, blocked: false })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ready once the peer has closed or reset, however much it sent before. Only while a whole request is
    /// answered: beyond what is kept, what comes then is dropped. Guards against a client that sends more
    /// and goes: the library, which has its fill, would not see the end.
    pub fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let inner = &mut *self.inner();
        loop {
            let mut bytes = [0; 4096];
            let mut read = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut inner.stream).poll_read(cx, &mut read)) {
                Ok(()) if read.filled().is_empty() => return Poll::Ready(()),
                Ok(()) => inner.keep(read.filled()),
                Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Whether more came than is kept, so that the connection can carry no further request.
    pub fn overrun(&self) -> bool {
        self.inner().overrun
    }

    /// Whether the last answer still waits for its reader.
    pub fn blocked(&self) -> bool {
        self.inner().blocked
    }

    /// Takes back what the library had read and not used, and looks what else has come; whether there is
    /// anything, or an end of the stream, that the library should see.
    pub fn put_back(&self, unused: &[u8]) -> bool {
        let inner = &mut *self.inner();
        inner.ahead.splice(0..0, unused.iter().copied());
        let mut bytes = [0; 1024];
        if inner.ahead.is_empty()
            && let Ok(count) = inner.stream.try_read(&mut bytes)
        {
            inner.ahead.extend_from_slice(&bytes[..count]);
            return true;
        }
        !inner.ahead.is_empty()
    }

    /// The stream, where no clone is left.
    pub fn into_stream(self) -> Option<TcpStream> {
        let inner = Arc::into_inner(self.0)?;
        Some(inner.into_inner().unwrap_or_else(PoisonError::into_inner).stream)
    }
}

impl Inner {
    fn keep(&mut self, bytes: &[u8]) {
        self.overrun |= self.ahead.len() + bytes.len() > AHEAD_MOST;
        if !self.overrun {
            self.ahead.extend_from_slice(bytes);
        }
    }

    fn write(&mut self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.blocked = wrote.is_pending();
        wrote
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner();
        if inner.ahead.is_empty() {
            return Pin::new(&mut inner.stream).poll_read(cx, buf);
        }
        let count = inner.ahead.len().min(buf.remaining());
        buf.put_slice(&inner.ahead[..count]);
        inner.ahead.drain(..count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let inner = &mut *self.inner();
        let wrote = Pin::new(&mut inner.stream).poll_write(cx, buf);
        inner.write(wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut *self.inner();
        let wrote = Pin::new(&mut inner.stream).poll_write_vectored(cx, bufs);
        inner.write(wrote)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner().stream).poll_shutdown(cx)
    }
}
