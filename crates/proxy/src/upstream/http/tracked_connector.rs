//! Opens connections to workers, and signals when the socket of a connection has been closed.
//!
//! A worker treats an attempt as cancelled only after the attempt's socket has been closed. When a request is
//! dropped, the client library (hyper) closes the socket some time later, in a separate task. With the
//! signal, the scheduler can wait until the socket is closed.
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard};
use tower_service::Service;

/// A token that is cancelled when the socket of a connection has been closed. The token is attached to the
/// connection as an extra value of [`Connected`].
#[derive(Clone)]
pub(super) struct ClosedSignal(pub(super) CancellationToken);

/// Opens connections that each have a [`ClosedSignal`].
#[derive(Clone)]
pub(super) struct TrackedConnector(pub(super) HttpConnector);

impl Service<Uri> for TrackedConnector {
    type Response = TrackedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<TrackedStream, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        self.0.call(address).map(|connected| connected.map(TrackedStream::new)).boxed()
    }
}

/// The stream of a connection that has a [`ClosedSignal`]. The fields are dropped in the order in which they
/// are declared: the socket is closed first, and then `closed` is dropped, which cancels the token of the
/// signal.
pub(super) struct TrackedStream {
    stream: TokioIo<TcpStream>,
    closed: DropGuard,
}

impl TrackedStream {
    fn new(stream: TokioIo<TcpStream>) -> TrackedStream {
        TrackedStream { stream, closed: CancellationToken::new().drop_guard() }
    }
}

impl Connection for TrackedStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(ClosedSignal(self.closed.token().clone()))
    }
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
