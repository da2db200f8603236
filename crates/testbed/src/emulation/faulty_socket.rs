//! A connection that breaks on purpose in the middle of what it says.
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What becomes of the next answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// It is written.
    None,
    /// Nothing of it is written, and the connection is reset.
    Reset,
    /// So many bytes are written, then the connection is reset.
    Truncate(usize),
    /// Something that is no HTTP takes its place, then the connection ends.
    Garbage,
}

/// Sent in place of an answer.
const GARBAGE: &[u8] = b"\x16\x03\x01 202 ACCEPTED maybe\r\n\r\n";

/// A worker's side of a connection.
pub struct FaultySocket {
    stream: TcpStream,
    plan: Rc<Cell<ResponseFault>>,
}

impl FaultySocket {
    /// Over a connection; what `plan` holds when an answer is written becomes of that answer.
    pub fn new(stream: TcpStream, plan: Rc<Cell<ResponseFault>>) -> FaultySocket {
        FaultySocket { stream, plan }
    }
}

/// Ends a connection by a reset.
pub fn reset_connection(stream: &TcpStream) {
    // Where that fails, it ends in the usual way.
    let _ = stream.set_zero_linger();
}

impl Drop for FaultySocket {
    fn drop(&mut self) {
        if self.plan.get() == ResponseFault::Reset {
            reset_connection(&self.stream);
        }
    }
}

impl AsyncRead for FaultySocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, to)
    }
}

impl AsyncWrite for FaultySocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        let broken = || Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        match self.plan.get() {
            ResponseFault::None => Pin::new(&mut self.stream).poll_write(cx, from),
            ResponseFault::Reset => broken(),
            ResponseFault::Truncate(bytes) => {
                let part = &from[..bytes.min(from.len())];
                let polled = Pin::new(&mut self.stream).poll_write(cx, part);
                if polled.is_ready() {
                    self.plan.set(ResponseFault::Reset);
                }
                polled
            }
            ResponseFault::Garbage => {
                let polled = Pin::new(&mut self.stream).poll_write(cx, GARBAGE);
                // Its reader is to see it, so that the end is not a reset.
                if polled.is_ready() { broken() } else { Poll::Pending }
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.plan.get() == ResponseFault::Reset {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
