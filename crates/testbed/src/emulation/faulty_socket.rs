//! A socket wrapper that injects connection faults into a worker's responses.
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The fault that a [`FaultySocket`] injects into the next HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// No fault: the response is written unchanged.
    None,
    /// No byte of the response is written, and the connection is reset.
    Reset,
    /// Only the first part of the response is written, then the connection is reset. The value is the length
    /// of the written part, in bytes.
    Truncate(usize),
    /// Bytes that are not HTTP are written in place of the response, and the connection is closed.
    Garbage,
}

/// Bytes that are not valid HTTP, written in place of a response to inject a fault.
const GARBAGE: &[u8] = b"\x16\x03\x01 202 ACCEPTED maybe\r\n\r\n";

/// The worker's side of a connection, which can inject faults into responses. The HTTP request handler of the
/// connection shares `fault`, and sets it before the response is written.
pub struct FaultySocket {
    stream: TcpStream,
    fault: Rc<Cell<ResponseFault>>,
}

impl FaultySocket {
    /// Wraps a connection. The cell `fault` holds the fault to inject, which can change between responses.
    /// Each response is written with the fault that the cell holds when the response is written.
    pub fn new(stream: TcpStream, fault: Rc<Cell<ResponseFault>>) -> FaultySocket {
        FaultySocket { stream, fault }
    }
}

/// Makes the later drop of `stream` reset the connection. Without this setting, the drop would close the
/// connection gracefully.
pub fn reset_connection(stream: &TcpStream) {
    // The error is ignored. If the socket option cannot be set, the peer sees a graceful close in place of
    // the reset.
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
                // The error makes the HTTP server close the connection. The close is graceful: after a reset,
                // the peer might not be able to read the garbage bytes.
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
