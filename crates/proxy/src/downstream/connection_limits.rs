//! The permits of client connections, and which connections must close when few permits are left.
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;
use crate::downstream::raw_head::MAX_HEAD_BYTES;

/// Most bytes that one client connection holds: its buffers, its task and a small body.
const CONNECTION_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// A connection younger in its state than this is not evicted: its request may be on its way.
const EVICTION_GRACE: Micros = 20_000;
/// A connection that is in the middle of a head is not evicted before this: clients may write slowly.
const HEAD_EVICTION_GRACE: Micros = 250_000;
/// A connection that is being evicted may still begin a request for so long.
pub(super) const EVICTION_NOTICE: Micros = 5_000;

/// How many client connections fit: a quarter of the descriptors is kept for workers, discovery and files, and
/// half of the memory for larger bodies and all else.
pub fn max_connections(descriptor_limit: usize, memory_limit_mb: f64) -> usize {
    let by_descriptors = (descriptor_limit - descriptor_limit / 4).saturating_sub(16);
    let by_memory = (memory_limit_mb * 1e6 / 2.0) as usize / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(8)
}

/// A connection that has rested for less than this is not evicted for a shortage of the system's.
const MIN_REST_BEFORE_SHORTAGE_EVICTION: Micros = 2 * SECOND;

/// What a client connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Its first request has not come.
    New,
    /// Part of a request's head has come.
    Receiving,
    /// A request is read or answered.
    Serving,
    /// It is between requests.
    Idle,
    /// It was asked to close and has not begun a request since.
    Evicting,
    /// Its last response has been written.
    Closing,
}

struct ConnectionEntry {
    state: ConnectionState,
    since: Instant,
    eviction: Arc<Notify>,
}

impl ConnectionEntry {
    /// Asks the connection to close.
    fn evict(&mut self) {
        self.state = ConnectionState::Evicting;
        self.eviction.notify_one();
    }

    /// Connections of the lowest rank are evicted first; those of none are not.
    fn eviction_rank(&self) -> Option<u8> {
        match self.state {
            // They have sent nothing, or have nothing more to receive.
            ConnectionState::New | ConnectionState::Closing => Some(0),
            ConnectionState::Idle => Some(1),
            ConnectionState::Receiving => Some(2),
            ConnectionState::Serving | ConnectionState::Evicting => None,
        }
    }

    fn is_past_grace(&self) -> bool {
        let is_receiving = self.state == ConnectionState::Receiving;
        let grace = if is_receiving { HEAD_EVICTION_GRACE } else { EVICTION_GRACE };
        self.since.elapsed() >= Duration::from_micros(grace)
    }
}

#[derive(Default)]
struct Inner {
    last_number: u64,
    /// By number, in the order in which they came.
    connections: BTreeMap<u64, ConnectionEntry>,
}

/// The permits of all client connections.
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

    /// Waits for a permit. When few are left, the connections that use theirs least are evicted, so that clients
    /// which connect by the hundred and send nothing wait for each other and the usual ones do not wait for them.
    pub(super) async fn acquire(self: &Arc<Self>) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire() {
                return permit;
            }
            let _ = timeout_at(from_now(EVICTION_NOTICE), self.released.notified()).await;
        }
    }

    /// Evicts the connection that has rested for longest where the system has no descriptor for the next one, although
    /// permits are left: the process may have fewer descriptors than its configuration says, or need more for workers
    /// than usual. Those in use stay, as the shortage may pass.
    pub(super) fn evict_for_shortage(&self) {
        let inner = &mut *self.lock();
        if inner.connections.values().any(|entry| entry.state == ConnectionState::Evicting) {
            return;
        }
        let rested = |entry: &&mut ConnectionEntry| {
            entry.state == ConnectionState::Idle
                && entry.since.elapsed() >= Duration::from_micros(MIN_REST_BEFORE_SHORTAGE_EVICTION)
        };
        if let Some(longest) = inner.connections.values_mut().filter(rested).min_by_key(|entry| entry.since) {
            longest.evict();
        }
    }

    fn try_acquire(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let inner = &mut *self.lock();
        inner.evict_surplus(self.max_connections);
        if inner.connections.len() >= self.max_connections {
            return None;
        }
        inner.last_number += 1;
        let eviction = Arc::new(Notify::new());
        let state = ConnectionState::New;
        let entry = ConnectionEntry { state, since: Instant::now(), eviction: Arc::clone(&eviction) };
        inner.connections.insert(inner.last_number, entry);
        Some(ConnectionPermit { limits: Arc::clone(self), number: inner.last_number, eviction })
    }
}

impl Inner {
    /// Evicts connections until an eighth of the permits is free for the next ones.
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

    /// Evicts one connection: those that are unused first, then those between requests, and last those in the
    /// middle of a head; each time the one that has been so for longest. False if there is none.
    fn evict_one(&mut self) -> bool {
        let Some(rank) = self.connections.values().filter_map(ConnectionEntry::eviction_rank).min() else {
            return false;
        };
        let longest = self
            .connections
            .values_mut()
            .filter(|entry| entry.eviction_rank() == Some(rank) && entry.is_past_grace())
            .min_by_key(|entry| entry.since);
        let Some(longest) = longest else { return false };
        longest.evict();
        true
    }
}

/// The right of one client connection to be open, until it is dropped.
pub(super) struct ConnectionPermit {
    limits: Arc<ConnectionLimits>,
    number: u64,
    /// Notified when the connection is to close.
    pub(super) eviction: Arc<Notify>,
}

impl ConnectionPermit {
    pub(super) fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.limits.lock().connections.get_mut(&self.number) {
            (entry.state, entry.since) = (state, Instant::now());
        }
    }

    /// Part of a head has come: the connection has begun a request, also while it is being evicted.
    pub(super) fn set_receiving(&self) {
        if !self.is_in_state(ConnectionState::Receiving) {
            self.set_state(ConnectionState::Receiving);
        }
    }

    pub(super) fn is_in_state(&self, state: ConnectionState) -> bool {
        self.limits.lock().connections.get(&self.number).is_some_and(|entry| entry.state == state)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limits.lock().connections.remove(&self.number);
        self.limits.released.notify_one();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_limits.rs"]
mod tests;
