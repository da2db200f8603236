//! The interface to clients.
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

/// A protocol that clients speak. It starts a request's task for what it has accepted and gives the final
/// response its form; it rejects nothing by itself.
pub trait Downstream: Send + Sync + 'static {
    /// Accepts clients until the shutdown closes.
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()>;

    /// How many requests are being read or answered.
    fn busy(&self) -> usize;
}
