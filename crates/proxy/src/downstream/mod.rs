//! The client side of the proxy: the trait [`Downstream`] and its implementation for HTTP/1.1.
use std::sync::Arc;

use futures_util::future::BoxFuture;

mod client_connection;
pub mod client_connections;
mod connection_close;
pub mod connection_limits;
pub mod http;
mod raw_head;
pub mod read_ahead;
mod request_handler;
pub mod request_limits;
pub mod request_totals;
mod served_connection;

/// A server for one client protocol.
///
/// An implementation starts a task for each request that it accepts, and encodes the request's final
/// response. A request that it does not accept, such as a malformed request, gets an error status. This
/// status is not a rejection, because only the dispatch policy rejects requests.
pub trait Downstream: Send + Sync + 'static {
    /// Accepts client connections until the shutdown phase is `Closing`.
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()>;

    /// Returns the number of requests that are being read or answered.
    fn active_requests(&self) -> usize;
}
