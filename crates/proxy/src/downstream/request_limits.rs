//! What one request may use: time and memory for its body.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::downstream::read_ahead::PeerPresence;
use crate::messages::{BodyPermit, ClientPresence};

/// Longest body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// A body up to this size needs no permit of its own.
const MAX_UNCOUNTED_BODY_BYTES: usize = 4 * 1024;
/// The unit in which memory for bodies is counted.
const BODY_PERMIT_UNIT_BYTES: usize = 1024;

/// The memory for bodies, in permits: a quarter of a process's memory, and one body in any case.
pub(super) fn body_memory(memory_limit_mb: f64) -> Arc<Semaphore> {
    let permits = ((memory_limit_mb * 1e6 / 4.0) as usize).max(MAX_BODY_BYTES) / BODY_PERMIT_UNIT_BYTES;
    Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS)))
}

/// The limits of one request.
#[derive(Clone)]
pub struct RequestLimits {
    /// The body has come by then.
    pub body_deadline: Instant,
    /// Shared by all requests.
    pub(super) body_memory: Arc<Semaphore>,
    /// Shared with the request's connection.
    pub(super) is_request_complete: Arc<AtomicBool>,
    /// Whether the request's client is still connected.
    pub(super) peer: PeerPresence,
}

impl RequestLimits {
    /// The request has come to its last byte: what follows on its connection is no part of it, and from here on
    /// its connection watches whether the client disconnects.
    pub fn mark_request_complete(&self) {
        self.is_request_complete.store(true, Ordering::Relaxed);
    }

    /// Whether the client still waits, from when its request is complete to its response.
    pub fn client_presence(&self) -> ClientPresence {
        let peer = self.peer.clone();
        ClientPresence::new(move || peer.is_gone())
    }

    /// Waits for the memory of a body of at most so many bytes.
    pub async fn acquire_body_permit(&self, max_bytes: usize) -> BodyPermit {
        if max_bytes <= MAX_UNCOUNTED_BODY_BYTES {
            return None;
        }
        let units = max_bytes.min(MAX_BODY_BYTES).div_ceil(BODY_PERMIT_UNIT_BYTES) as u32;
        Arc::clone(&self.body_memory).acquire_many_owned(units).await.ok().map(Arc::new)
    }
}
