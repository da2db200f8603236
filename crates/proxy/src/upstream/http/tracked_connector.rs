//! A connector whose connections say when their socket has been closed. The client library closes a connection in
//! a task of its own, some time after its last request was dropped; a worker counts an attempt as cancelled only
//! from then on.
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

/// Cancelled once the socket of a connection has been closed. Found among the extras of its [`Connected`].
#[derive(Clone)]
pub(super) struct ClosedSignal(pub(super) CancellationToken);

/// Opens tracked connections.
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

/// A connection's stream. Its fields are dropped in order: the socket is closed before the signal is given.
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
