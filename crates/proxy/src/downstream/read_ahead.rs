//! The stream of a client connection, from which bytes can be read before the server library (hyper) asks for
//! them.
//!
//! These bytes are buffered for hyper in order. The scheduler can therefore detect that the client has
//! disconnected even while hyper does not read.
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes that are buffered before the server library (hyper) reads them.
const MAX_BUFFERED_BYTES: usize = 8 * 1024;
/// The number of bytes after which a check for the end of the stream stops reading. A socket's receive buffer
/// cannot hold more bytes than this.
const MAX_CHECKED_BYTES: usize = 8 << 20;

struct Inner {
    stream: TcpStream,
    /// Bytes that have been received but not yet read by the server library (hyper).
    buffered: Vec<u8>,
    /// Whether bytes were dropped because the buffer was full. If so, no further request can be read from the
    /// connection.
    is_overrun: bool,
    /// Whether the last write of the server library (hyper) is blocked because the client does not read.
    is_write_blocked: bool,
}

/// What is unread on a stream after the scheduler has stopped the hyper server that read from the stream. The
/// scheduler does so when it considers closing the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// The stream has no unread byte so far.
    Nothing,
    /// The stream has unread bytes that were read from the socket before the hyper server was stopped. The
    /// hyper server that is started next on the stream gets them first.
    Bytes,
    /// The stream has unread bytes that were read from the socket only after the hyper server was stopped.
    /// The hyper server that is started next on the stream gets them first.
    NewBytes,
    /// The stream has nothing unread and will have no more bytes, because the client has closed or reset the
    /// connection.
    End,
}

/// A handle to the stream of a client connection. The connection's event loop and the server library (hyper)
/// share the stream through clones of the handle.
///
/// All clones must be used in one task. The stream keeps only one waker for reads and one for writes.
#[derive(Clone)]
pub struct ReadAhead(Arc<Mutex<Inner>>);

impl ReadAhead {
    /// Creates a handle to a stream from which nothing has been read.
    pub fn new(stream: TcpStream) -> ReadAhead {
        let inner = Inner { stream, buffered: Vec::new(), is_overrun: false, is_write_blocked: false };
        ReadAhead(Arc::new(Mutex::new(inner)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `Poll::Ready` once the client has closed or reset the connection, even if the client sent much
    /// data before.
    ///
    /// Call this method only while a completely received request is being answered, because it drops bytes
    /// that the buffer cannot hold. The dropped bytes belong to later requests. These are not served, because
    /// the connection closes after the response (see [`ReadAhead::is_overrun`]).
    ///
    /// The server library (hyper) alone would not detect the disconnect if the client has sent more data than
    /// hyper buffers.
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

    /// Returns whether received bytes were dropped. If so, no further request can be read from the
    /// connection.
    pub fn is_overrun(&self) -> bool {
        self.lock().is_overrun
    }

    /// Returns whether the last write of the server library (hyper) is blocked because the client does not
    /// read.
    pub fn is_write_blocked(&self) -> bool {
        self.lock().is_write_blocked
    }

    /// Puts back the bytes `unused`, which the server library (hyper) had read but not used. They come before
    /// the bytes that are already buffered. Returns what is then unread on the stream.
    ///
    /// If no byte is buffered even then, the method also reads what the socket has received.
    pub fn put_back(&self, unused: &[u8]) -> Unread {
        let inner = &mut *self.lock();
        inner.buffered.splice(0..0, unused.iter().copied());
        if !inner.buffered.is_empty() {
            return Unread::Bytes;
        }
        let mut bytes = [0; 1024];
        match inner.read_nonblocking(&mut bytes) {
            Ok(0) => Unread::End,
            Ok(count) => {
                inner.buffered.extend_from_slice(&bytes[..count]);
                Unread::NewBytes
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::End,
        }
    }

    /// Returns a handle that tells whether the client is still connected. The handle does not keep the stream
    /// open.
    pub fn presence(&self) -> PeerPresence {
        PeerPresence(Arc::downgrade(&self.0))
    }

    /// Returns the stream itself. Returns `None` if another clone of this handle exists; this handle is
    /// dropped in that case too.
    pub fn into_stream(self) -> Option<TcpStream> {
        let inner = Arc::into_inner(self.0)?;
        Some(inner.into_inner().unwrap_or_else(PoisonError::into_inner).stream)
    }
}

/// A handle that tells whether the client at the other end of a stream is still connected.
#[derive(Clone)]
pub struct PeerPresence(Weak<Mutex<Inner>>);

impl PeerPresence {
    /// Returns whether the client has closed or reset the connection. Also returns true if the connection is
    /// no longer served.
    ///
    /// Like [`ReadAhead::poll_disconnected`], call this method only while a completely received request is
    /// being answered. This method asks the operating system directly. `poll_disconnected` depends on the
    /// runtime's poll for I/O events, which happens late if the process is delayed.
    pub fn has_disconnected(&self) -> bool {
        let Some(inner) = self.0.upgrade() else { return true };
        let mut inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.has_ended()
    }
}

impl Inner {
    /// Reads from the socket directly, even if the runtime has not recorded the socket as readable. The
    /// runtime's record may be out of date.
    fn read_nonblocking(&self, bytes: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(&self.stream)).read(bytes)
    }

    /// Reads and buffers what the socket has received, and returns whether the stream has ended.
    ///
    /// Call this method only while a completely received request is being answered, because it drops bytes
    /// that the buffer cannot hold. They belong to later requests. These are not served, because `is_overrun`
    /// is then set and the connection closes after the response. The method stops reading soon after
    /// [`MAX_CHECKED_BYTES`] bytes.
    fn has_ended(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        let mut total = 0;
        while total < MAX_CHECKED_BYTES {
            match self.read_nonblocking(&mut bytes) {
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

    /// Records whether a write is blocked, given the result `written` of that write. Returns `written`
    /// unchanged.
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
