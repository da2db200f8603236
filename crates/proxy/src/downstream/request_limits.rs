//! Limits on receiving a request, and what the request's handler and its connection tell each other.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;

use crate::downstream::read_ahead::PeerPresence;
use crate::memory::MemoryBudget;
use crate::messages::ClientPresence;

/// The limits on receiving one request's body, and what the request's handler and its connection tell each
/// other. The handler tells the connection when the request is complete. The connection tells the handler
/// whether the client is connected.
#[derive(Clone)]
pub struct RequestLimits {
    /// The instant by which the request's body must be received completely.
    pub body_deadline: Instant,
    /// The memory from which the body takes its part.
    pub(super) memory: Arc<MemoryBudget>,
    /// Whether the request has been received completely. The request's connection reads this flag.
    pub(super) is_request_complete: Arc<AtomicBool>,
    /// The handle that tells whether the request's client is still connected.
    pub(super) peer: PeerPresence,
}

impl RequestLimits {
    /// Records that the request has been received completely.
    ///
    /// Bytes that follow on the connection don't belong to this request. From now on, the connection checks
    /// whether the client disconnects.
    pub fn mark_request_complete(&self) {
        self.is_request_complete.store(true, Ordering::Relaxed);
    }

    /// Returns a handle that tells whether the client still waits for the response.
    ///
    /// Use the handle only after the request has been received completely and before the response.
    pub fn client_presence(&self) -> ClientPresence {
        let peer = self.peer.clone();
        ClientPresence::new(move || peer.has_disconnected())
    }
}
