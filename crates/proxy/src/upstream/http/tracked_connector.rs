//! Opens connections to workers, and tracks their use.
//!
//! Each connection holds a descriptor of the [`DescriptorBudget`]. To free the descriptor of an idle
//! connection, the budget has the connection closed: its stream then reports its end to the client library
//! (hyper), which closes the socket.
//!
//! A worker treats an attempt as cancelled only after the attempt's socket has been closed. When a request is
//! dropped, hyper closes the socket some time later, in a separate task. With
//! [`TrackedConnection::wait_until_closed`], the scheduler can wait until the socket is closed.
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use hyper::Uri;
use hyper::http::Extensions;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector, HttpInfo,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};
use tower_service::Service;

use crate::descriptors::{DescriptorBudget, WorkerConnectionHandle, WorkerConnectionUse, WorkerDescriptor};

/// A connection to a worker. It is attached to the connection as an extra value of [`Connected`].
#[derive(Clone)]
pub(super) struct TrackedConnection {
    /// A token that is cancelled when the socket has been closed.
    closed: CancellationToken,
    handle: WorkerConnectionHandle,
    /// The time at which the connection was last used with success.
    last_success: Arc<Mutex<Option<Instant>>>,
}

impl TrackedConnection {
    /// Returns the connection on which a request was sent, or `None` if the request has no connection yet.
    pub(super) fn of(request: &CaptureConnection) -> Option<TrackedConnection> {
        connection_extras(request)?.remove()
    }

    /// Records that a request uses the connection until the returned value is dropped.
    pub(super) fn begin_use(&self) -> WorkerConnectionUse {
        self.handle.begin_use()
    }

    /// Replaces the time of the last successful use, and returns the time recorded before.
    pub(super) fn replace_last_success(&self, time: Option<Instant>) -> Option<Instant> {
        std::mem::replace(&mut self.last_success.lock().unwrap_or_else(PoisonError::into_inner), time)
    }

    /// Waits until the socket has been closed.
    pub(super) async fn wait_until_closed(&self) {
        self.closed.cancelled().await;
    }
}

/// Returns the address of the worker's end of the connection on which a request was sent to the worker.
pub(super) fn remote_address(request: &CaptureConnection) -> Option<std::net::SocketAddr> {
    connection_extras(request)?.get().map(HttpInfo::remote_addr)
}

/// Returns the data that the connector has attached to a request's connection, or `None` if the request has
/// no connection yet.
fn connection_extras(request: &CaptureConnection) -> Option<Extensions> {
    let mut extras = Extensions::new();
    request.connection_metadata().as_ref()?.get_extras(&mut extras);
    Some(extras)
}

/// Opens connections that each are a [`TrackedConnection`].
#[derive(Clone)]
pub(super) struct TrackedConnector {
    connector: HttpConnector,
    descriptors: Arc<DescriptorBudget>,
}

impl TrackedConnector {
    pub(super) fn new(connector: HttpConnector, descriptors: Arc<DescriptorBudget>) -> TrackedConnector {
        TrackedConnector { connector, descriptors }
    }
}

impl Service<Uri> for TrackedConnector {
    type Response = TrackedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<TrackedStream, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let TrackedConnector { mut connector, descriptors } = self.clone();
        Box::pin(async move {
            let authority = address.authority().cloned();
            let descriptor = descriptors.acquire_worker(authority).await;
            let connected = connector.call(address).await;
            if connected.as_ref().is_err_and(|error| is_out_of_descriptors(error)) {
                descriptors.evict_on_exhaustion();
            }
            connected.map(|stream| TrackedStream::new(stream, descriptor))
        })
    }
}

/// Returns whether a connection could not be opened because the process or the system has no descriptor left.
fn is_out_of_descriptors(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let system_error = error.downcast_ref::<io::Error>().and_then(io::Error::raw_os_error);
        if matches!(system_error, Some(libc::EMFILE | libc::ENFILE)) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// The stream of a [`TrackedConnection`]. The fields are dropped in the order in which they are declared: the
/// socket is closed first, then the connection's `closed` token is cancelled, and the descriptor is released.
pub(super) struct TrackedStream {
    stream: TokioIo<TcpStream>,
    closed: DropGuard,
    descriptor: WorkerDescriptor,
    last_success: Arc<Mutex<Option<Instant>>>,
}

impl TrackedStream {
    fn new(stream: TokioIo<TcpStream>, descriptor: WorkerDescriptor) -> TrackedStream {
        descriptor.set_connected();
        let closed = CancellationToken::new().drop_guard();
        TrackedStream { stream, closed, descriptor, last_success: Arc::default() }
    }
}

impl Connection for TrackedStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(TrackedConnection {
            closed: self.closed.token().clone(),
            handle: self.descriptor.handle(),
            last_success: Arc::clone(&self.last_success),
        })
    }
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // A read without bytes is the end of the stream. An eviction never ends a connection that is in use.
        if self.descriptor.poll_evicted(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
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
