//! Limits on the time and the memory for a request's body.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::downstream::read_ahead::PeerPresence;
use crate::messages::{BodyPermit, ClientPresence};

/// Maximum length of a request's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a body that needs no body permit, in bytes. The memory for such a small body is part of
/// the memory that is reserved for each connection.
const MAX_UNCOUNTED_BODY_BYTES: usize = 4 * 1024;
/// Memory that one unit of a body permit stands for, in bytes.
const BODY_PERMIT_UNIT_BYTES: usize = 1024;

/// Creates the semaphore that limits the memory of all request bodies, with one unit per
/// [`BODY_PERMIT_UNIT_BYTES`].
///
/// The units cover a quarter of the process's memory limit, which is given in MB (10^6 bytes). They cover at
/// least one body of [`MAX_BODY_BYTES`].
pub(super) fn body_memory(memory_limit_mb: f64) -> Arc<Semaphore> {
    let permits = ((memory_limit_mb * 1e6 / 4.0) as usize).max(MAX_BODY_BYTES) / BODY_PERMIT_UNIT_BYTES;
    Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS)))
}

/// Limits on the time and the memory for one request's body, and the handles by which the request's handler
/// tells its connection that the request is complete and checks whether the client is connected.
#[derive(Clone)]
pub struct RequestLimits {
    /// When the body must be received completely.
    pub body_deadline: Instant,
    /// Semaphore that limits the memory of the bodies of all requests.
    pub(super) body_memory: Arc<Semaphore>,
    /// Whether the request is received completely; shared with the request's connection.
    pub(super) is_request_complete: Arc<AtomicBool>,
    /// Tells whether the request's client is still connected.
    pub(super) peer: PeerPresence,
}

impl RequestLimits {
    /// Marks the request as completely received.
    ///
    /// Bytes that follow on the connection then don't belong to this request. From now on, the connection
    /// detects whether the client disconnects.
    pub fn mark_request_complete(&self) {
        self.is_request_complete.store(true, Ordering::Relaxed);
    }

    /// Returns a handle that tells whether the client still waits for the response.
    ///
    /// Use the handle only between the complete receipt of the request and its response.
    pub fn client_presence(&self) -> ClientPresence {
        let peer = self.peer.clone();
        ClientPresence::new(move || peer.has_disconnected())
    }

    /// Waits for a body permit that covers a body of `max_bytes` bytes.
    ///
    /// Returns `None` for a body that is so small that it needs no permit.
    pub async fn acquire_body_permit(&self, max_bytes: usize) -> BodyPermit {
        if max_bytes <= MAX_UNCOUNTED_BODY_BYTES {
            return None;
        }
        let units = max_bytes.min(MAX_BODY_BYTES).div_ceil(BODY_PERMIT_UNIT_BYTES) as u32;
        Arc::clone(&self.body_memory).acquire_many_owned(units).await.ok().map(Arc::new)
    }
}
