//! Limits the number of client connections, and evicts connections that serve no request when few permits are
//! left.
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;
use crate::downstream::raw_head::MAX_HEAD_BYTES;

/// Maximum memory of one client connection: its buffers, its task and a small body.
const MAX_CONNECTION_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Minimum time for which a connection stays in its current state before it can be evicted.
///
/// The connection is kept for this time because the client's next request may be in transit. For a connection
/// in the middle of a request head, [`HEAD_EVICTION_GRACE`] applies instead.
const EVICTION_GRACE: Micros = 20_000;
/// Minimum time for which a connection stays in the middle of a request head before it can be evicted. The
/// time is longer than [`EVICTION_GRACE`] because clients may write slowly.
const HEAD_EVICTION_GRACE: Micros = 250_000;
/// Time for which a connection that is being evicted may still begin a request.
pub(super) const EVICTION_NOTICE: Micros = 5_000;

/// Returns the maximum number of client connections for a process.
///
/// The number is limited by the process's file descriptors and by its memory limit, in MB (10^6 bytes). A
/// quarter of the descriptors and 16 further descriptors are reserved for workers, discovery and files. Half
/// of the memory is reserved for larger bodies and all other uses. At least 8 connections are allowed in any
/// case.
pub fn max_connections(descriptor_limit: usize, memory_limit_mb: f64) -> usize {
    let by_descriptors = (descriptor_limit - descriptor_limit / 4).saturating_sub(16);
    let by_memory = (memory_limit_mb * 1e6 / 2.0) as usize / MAX_CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(8)
}

/// Minimum idle time before a connection is evicted because the process or the machine is out of descriptors
/// or memory.
const MIN_IDLE_TIME_ON_EXHAUSTION: Micros = 2 * SECOND;

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// No byte of the first request has been received.
    New,
    /// Part of a request's head has been received.
    Receiving,
    /// A request is being read or answered.
    Serving,
    /// The connection is between two requests.
    Idle,
    /// The connection was asked to close, and no request has begun since.
    Evicting,
    /// The connection serves no further request and is being closed.
    Closing,
}

struct ConnectionEntry {
    state: ConnectionState,
    state_since: Instant,
    eviction: Arc<Notify>,
}

impl ConnectionEntry {
    /// Asks the connection's task to close the connection. A request that begins within [`EVICTION_NOTICE`]
    /// revokes the eviction.
    fn evict(&mut self) {
        self.state = ConnectionState::Evicting;
        self.eviction.notify_one();
    }

    /// Returns the connection's rank for eviction, or `None` if the connection must not be evicted.
    /// Connections with the lowest rank are evicted first.
    fn eviction_rank(&self) -> Option<u8> {
        match self.state {
            // These connections are evicted first: their clients have sent nothing, or they are already being
            // closed.
            ConnectionState::New | ConnectionState::Closing => Some(0),
            ConnectionState::Idle => Some(1),
            ConnectionState::Receiving => Some(2),
            ConnectionState::Serving | ConnectionState::Evicting => None,
        }
    }

    fn is_past_grace(&self) -> bool {
        let is_receiving = self.state == ConnectionState::Receiving;
        let grace = if is_receiving { HEAD_EVICTION_GRACE } else { EVICTION_GRACE };
        self.state_since.elapsed() >= Duration::from_micros(grace)
    }
}

#[derive(Default)]
struct Inner {
    last_id: u64,
    /// Client connections, keyed by connection id; ids increase in the order of acceptance.
    connections: BTreeMap<u64, ConnectionEntry>,
}

/// Permits of all client connections, by which the number of connections is limited.
pub(super) struct ConnectionLimits {
    max_connections: usize,
    inner: Mutex<Inner>,
    released: Notify,
}

impl ConnectionLimits {
    pub(super) fn new(max_connections: usize) -> Arc<ConnectionLimits> {
        Arc::new(ConnectionLimits { max_connections, inner: Mutex::default(), released: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a permit.
    ///
    /// When few permits are left, connections that serve no request are evicted in the order of
    /// [`Inner::evict_one`]. Clients that open hundreds of connections and send nothing therefore only take
    /// permits from each other and don't delay other clients.
    pub(super) async fn acquire(self: &Arc<Self>) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire() {
                return permit;
            }
            let _ = timeout_at(from_now(EVICTION_NOTICE), self.released.notified()).await;
        }
    }

    /// Evicts the connection that has been idle for longest. Called when `accept` has run out of descriptors
    /// or memory although permits are left.
    ///
    /// The process may have fewer descriptors than its configuration says, or may need more descriptors than
    /// usual for workers. Connections in use stay open, as the shortage may pass. No connection is evicted
    /// while another is being evicted.
    pub(super) fn evict_on_exhaustion(&self) {
        let inner = &mut *self.lock();
        if inner.connections.values().any(|entry| entry.state == ConnectionState::Evicting) {
            return;
        }
        let is_evictable = |entry: &&mut ConnectionEntry| {
            entry.state == ConnectionState::Idle
                && entry.state_since.elapsed() >= Duration::from_micros(MIN_IDLE_TIME_ON_EXHAUSTION)
        };
        if let Some(longest) =
            inner.connections.values_mut().filter(is_evictable).min_by_key(|entry| entry.state_since)
        {
            longest.evict();
        }
    }

    fn try_acquire(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let inner = &mut *self.lock();
        inner.evict_surplus(self.max_connections);
        if inner.connections.len() >= self.max_connections {
            return None;
        }
        inner.last_id += 1;
        let eviction = Arc::new(Notify::new());
        let state = ConnectionState::New;
        let entry = ConnectionEntry { state, state_since: Instant::now(), eviction: Arc::clone(&eviction) };
        inner.connections.insert(inner.last_id, entry);
        Some(ConnectionPermit { limits: Arc::clone(self), id: inner.last_id, eviction })
    }
}

impl Inner {
    /// Evicts connections until an eighth of the permits is free, not counting the permit for the connection
    /// that is being accepted.
    ///
    /// The permit of a connection that is being evicted counts as free. Less than an eighth becomes free if
    /// no further connection can be evicted.
    fn evict_surplus(&mut self, max_connections: usize) {
        let is_evicting = |entry: &&ConnectionEntry| entry.state == ConnectionState::Evicting;
        let evicting = self.connections.values().filter(is_evicting).count();
        let remaining = self.connections.len() - evicting;
        let surplus = (remaining + 1 + max_connections / 8).saturating_sub(max_connections);
        for _ in 0..surplus {
            if !self.evict_one() {
                break;
            }
        }
    }

    /// Evicts one connection, and returns whether a connection was evicted.
    ///
    /// New and closing connections are evicted first, then idle connections, then connections in the middle
    /// of a request head. Only the first of these three groups that is not empty is considered. Of its
    /// connections whose grace time has passed ([`EVICTION_GRACE`] or [`HEAD_EVICTION_GRACE`]), the
    /// connection that has been in its state for longest is evicted.
    fn evict_one(&mut self) -> bool {
        let Some(rank) = self.connections.values().filter_map(ConnectionEntry::eviction_rank).min() else {
            return false;
        };
        let longest = self
            .connections
            .values_mut()
            .filter(|entry| entry.eviction_rank() == Some(rank) && entry.is_past_grace())
            .min_by_key(|entry| entry.state_since);
        let Some(longest) = longest else { return false };
        longest.evict();
        true
    }
}

/// Permit of one open client connection, released when dropped.
pub(super) struct ConnectionPermit {
    limits: Arc<ConnectionLimits>,
    id: u64,
    /// Notified when the scheduler wants the connection to close.
    pub(super) eviction: Arc<Notify>,
}

impl ConnectionPermit {
    pub(super) fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.limits.lock().connections.get_mut(&self.id) {
            (entry.state, entry.state_since) = (state, Instant::now());
        }
    }

    /// Marks the connection as having begun a request, which also revokes an eviction in progress.
    pub(super) fn set_receiving(&self) {
        if !self.is_in_state(ConnectionState::Receiving) {
            self.set_state(ConnectionState::Receiving);
        }
    }

    pub(super) fn is_in_state(&self, state: ConnectionState) -> bool {
        self.limits.lock().connections.get(&self.id).is_some_and(|entry| entry.state == state)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limits.lock().connections.remove(&self.id);
        self.limits.released.notify_one();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_limits.rs"]
mod tests;
