//! A client connection's stream that can be read ahead of the server library: what has come is buffered for it,
//! in order, and the stream's end is seen although the library does not read.
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that are buffered ahead of the library.
const MAX_BUFFERED_BYTES: usize = 8 * 1024;

struct Inner {
    stream: TcpStream,
    /// What came and the library has not read.
    buffered: Vec<u8>,
    /// More came than is buffered, and was dropped: what follows `buffered` cannot be read as requests any more.
    is_overrun: bool,
    /// The library's last write waits for its reader.
    is_write_blocked: bool,
}

/// A handle on the stream; its clones share it. All are used from one task, so that its waker serves them all.
#[derive(Clone)]
pub struct ReadAhead(Arc<Mutex<Inner>>);

impl ReadAhead {
    /// Reads from a stream of which nothing has been read.
    pub fn new(stream: TcpStream) -> ReadAhead {
        let inner = Inner { stream, buffered: Vec::new(), is_overrun: false, is_write_blocked: false };
        ReadAhead(Arc::new(Mutex::new(inner)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ready once the peer has closed or reset, however much it sent before. Only while a whole request is
    /// answered: beyond what is buffered, what comes then is dropped. The library alone would not see the end of a
    /// client that sends more than it buffers and disconnects.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let inner = &mut *self.lock();
        loop {
            let mut bytes = [0; 4096];
            let mut read = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut inner.stream).poll_read(cx, &mut read)) {
                Ok(()) if read.filled().is_empty() => return Poll::Ready(()),
                Ok(()) => inner.buffer(read.filled()),
                Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Whether more came than is buffered, so that the connection can carry no further request.
    pub fn is_overrun(&self) -> bool {
        self.lock().is_overrun
    }

    /// Whether the last response still waits for its reader.
    pub fn is_write_blocked(&self) -> bool {
        self.lock().is_write_blocked
    }

    /// Takes back what the library had read and not used, and reads what else has come; whether there is
    /// anything, or an end of the stream, that the library should see.
    pub fn put_back(&self, unused: &[u8]) -> bool {
        let inner = &mut *self.lock();
        inner.buffered.splice(0..0, unused.iter().copied());
        let mut bytes = [0; 1024];
        if inner.buffered.is_empty()
            && let Ok(count) = inner.stream.try_read(&mut bytes)
        {
            inner.buffered.extend_from_slice(&bytes[..count]);
            return true;
        }
        !inner.buffered.is_empty()
    }

    /// The stream, where no clone is left.
    pub fn into_stream(self) -> Option<TcpStream> {
        let inner = Arc::into_inner(self.0)?;
        Some(inner.into_inner().unwrap_or_else(PoisonError::into_inner).stream)
    }
}

impl Inner {
    fn buffer(&mut self, bytes: &[u8]) {
        self.is_overrun |= self.buffered.len() + bytes.len() > MAX_BUFFERED_BYTES;
        if !self.is_overrun {
            self.buffered.extend_from_slice(bytes);
        }
    }

    /// Remembers whether a write waits for its reader.
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.is_write_blocked = written.is_pending();
        written
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.lock();
        if inner.buffered.is_empty() {
            return Pin::new(&mut inner.stream).poll_read(cx, buf);
        }
        let count = inner.buffered.len().min(buf.remaining());
        buf.put_slice(&inner.buffered[..count]);
        inner.buffered.drain(..count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let inner = &mut *self.lock();
        let written = Pin::new(&mut inner.stream).poll_write(cx, buf);
        inner.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut *self.lock();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(cx, bufs);
        inner.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }
}
