//! Breaks a connection on purpose in the middle of a response.
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What happens to the next response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// It is written.
    None,
    /// Nothing of it is written, and the connection is reset.
    Reset,
    /// Only so many bytes are written, then the connection is reset.
    Truncate(usize),
    /// Bytes that are no HTTP take its place, then the connection ends.
    Garbage,
}

/// Sent in place of a response.
const GARBAGE: &[u8] = b"\x16\x03\x01 202 ACCEPTED maybe\r\n\r\n";

/// A worker's side of a connection. The fault is shared with the connection's request handler, which sets
/// it before the response is written.
pub struct FaultySocket {
    stream: TcpStream,
    fault: Rc<Cell<ResponseFault>>,
}

impl FaultySocket {
    /// Wraps a connection; the response that is written next meets what `fault` holds then.
    pub fn new(stream: TcpStream, fault: Rc<Cell<ResponseFault>>) -> FaultySocket {
        FaultySocket { stream, fault }
    }
}

/// Makes the connection end by a reset when it is dropped.
pub fn reset_connection(stream: &TcpStream) {
    // Where that fails, it ends in the usual way.
    let _ = stream.set_zero_linger();
}

impl Drop for FaultySocket {
    fn drop(&mut self) {
        if self.fault.get() == ResponseFault::Reset {
            reset_connection(&self.stream);
        }
    }
}

impl AsyncRead for FaultySocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultySocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let broken = || Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        match self.fault.get() {
            ResponseFault::None => Pin::new(&mut self.stream).poll_write(context, bytes),
            ResponseFault::Reset => broken(),
            ResponseFault::Truncate(length) => {
                let part = &bytes[..length.min(bytes.len())];
                let written = Pin::new(&mut self.stream).poll_write(context, part);
                if written.is_ready() {
                    self.fault.set(ResponseFault::Reset);
                }
                written
            }
            ResponseFault::Garbage => {
                let written = Pin::new(&mut self.stream).poll_write(context, GARBAGE);
                // Its reader is to see it, so that the end is not a reset.
                if written.is_ready() { broken() } else { Poll::Pending }
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.fault.get() == ResponseFault::Reset {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
