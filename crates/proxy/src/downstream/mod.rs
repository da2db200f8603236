//! The door to clients.
use std::sync::Arc;

use futures_util::future::BoxFuture;

pub mod client_connection;
pub mod http;
pub mod read_ahead;

/// A clients' protocol. It begins a flow for what it has taken and gives the final answer its form;
/// it words no refusal of its own.
pub trait Downstream: Send + Sync + 'static {
    /// Takes clients for good.
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()>;

    /// Requests that are being read or answered.
    fn busy(&self) -> usize;
}
