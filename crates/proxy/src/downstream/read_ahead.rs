//! A client connection's stream that can be read ahead of the server library: what has come is buffered for it,
//! in order, and the stream's end is seen although the library does not read.
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that are buffered ahead of the library.
const MAX_BUFFERED_BYTES: usize = 8 * 1024;
/// Most bytes that one check for the stream's end reads past: as many as a socket's receive buffer holds.
const MAX_CHECKED_BYTES: usize = 8 << 20;

struct Inner {
    stream: TcpStream,
    /// What came and the library has not read.
    buffered: Vec<u8>,
    /// More came than is buffered, and was dropped: what follows `buffered` cannot be read as requests any more.
    is_overrun: bool,
    /// The library's last write waits for its reader.
    is_write_blocked: bool,
}

/// What stands in a stream that the library has not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing so far.
    Nothing,
    /// Bytes that had been read, which the library reads next.
    Bytes,
    /// Bytes that have been read just now, which the library reads next.
    NewBytes,
    /// The stream's end, or its reset.
    End,
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

    /// Takes back what the library had read and not used, and reads what else the system has.
    pub fn put_back(&self, unused: &[u8]) -> Unread {
        let inner = &mut *self.lock();
        inner.buffered.splice(0..0, unused.iter().copied());
        if !inner.buffered.is_empty() {
            return Unread::Bytes;
        }
        let mut bytes = [0; 1024];
        match inner.read_now(&mut bytes) {
            Ok(0) => Unread::End,
            Ok(count) => {
                inner.buffered.extend_from_slice(&bytes[..count]);
                Unread::NewBytes
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::End,
        }
    }

    /// Tells others whether the peer has disconnected; it does not keep the stream open.
    pub fn presence(&self) -> PeerPresence {
        PeerPresence(Arc::downgrade(&self.0))
    }

    /// The stream, where no clone is left.
    pub fn into_stream(self) -> Option<TcpStream> {
        let inner = Arc::into_inner(self.0)?;
        Some(inner.into_inner().unwrap_or_else(PoisonError::into_inner).stream)
    }
}

/// Whether a stream's peer is still connected.
#[derive(Clone)]
pub struct PeerPresence(Weak<Mutex<Inner>>);

impl PeerPresence {
    /// Whether the peer has closed or reset by now, or the stream is no longer served. Only while a whole request
    /// is answered, as [`ReadAhead::poll_disconnected`], which sees an end only after the runtime has polled for
    /// events: a process that was held up may have more to do before it does.
    pub fn is_gone(&self) -> bool {
        let Some(inner) = self.0.upgrade() else { return true };
        let mut inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.has_ended()
    }
}

impl Inner {
    /// Reads what the system has, whatever the runtime knows of it.
    fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(&self.stream)).read(bytes)
    }

    /// Buffers what has come; whether the stream's end has come behind it.
    fn has_ended(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        let mut total = 0;
        while total < MAX_CHECKED_BYTES {
            match self.read_now(&mut bytes) {
                Ok(0) => return true,
                Ok(count) => {
                    self.buffer(&bytes[..count]);
                    total += count;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

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
