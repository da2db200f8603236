//! Limits on the time for receiving a request's body, and on the memory that the body takes.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::downstream::read_ahead::PeerPresence;
use crate::messages::{BodyPermit, ClientPresence};

/// The maximum length of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum length of a body that needs no body permit, in bytes. A body permit is a part of the memory
/// for all request bodies (see [`body_memory`]). A small body instead uses the memory that is reserved for
/// its connection.
const MAX_UNCOUNTED_BODY_BYTES: usize = 4 * 1024;
/// The size, in bytes, of the units in which the memory for request bodies is given out (see
/// [`body_memory`]).
const BODY_PERMIT_UNIT_BYTES: usize = 1024;

/// Creates the semaphore that limits the memory of all request bodies. Each unit of the semaphore stands for
/// [`BODY_PERMIT_UNIT_BYTES`].
///
/// The units stand for a quarter of the process's memory limit, but at least for one body of
/// [`MAX_BODY_BYTES`]. `memory_limit_mb` is the memory limit in MB (10^6 bytes).
pub(super) fn body_memory(memory_limit_mb: f64) -> Arc<Semaphore> {
    let permits = ((memory_limit_mb * 1e6 / 4.0) as usize).max(MAX_BODY_BYTES) / BODY_PERMIT_UNIT_BYTES;
    Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS)))
}

/// The limits on receiving one request's body, and what the request's handler and its connection tell each
/// other. The handler tells the connection when the request is complete. The connection tells the handler
/// whether the client is connected.
#[derive(Clone)]
pub struct RequestLimits {
    /// The instant by which the request's body must be received completely.
    pub body_deadline: Instant,
    /// The semaphore that limits the memory of the bodies of all requests.
    pub(super) body_memory: Arc<Semaphore>,
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

    /// Waits for a permit for the memory of a body of at most `max_bytes` bytes.
    ///
    /// Returns `None` at once for a body so small that it needs no permit.
    pub async fn acquire_body_permit(&self, max_bytes: usize) -> BodyPermit {
        if max_bytes <= MAX_UNCOUNTED_BODY_BYTES {
            return None;
        }
        let units = max_bytes.min(MAX_BODY_BYTES).div_ceil(BODY_PERMIT_UNIT_BYTES) as u32;
        Arc::clone(&self.body_memory).acquire_many_owned(units).await.ok().map(Arc::new)
    }
}
