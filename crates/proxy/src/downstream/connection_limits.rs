//! Limits the number of client connections. To keep some permits free for new connections, connections that
//! serve no request are asked to close (evicted).
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::descriptors::{ClientDescriptor, DescriptorBudget, DescriptorUsage};

/// The minimum time that a connection must have been in its current state before it can be asked to close, in
/// microseconds.
///
/// Within this time, the client's next request may be in transit. If part of a request head has been
/// received, [`HEAD_EVICTION_GRACE`] applies instead.
const EVICTION_GRACE: Micros = 20_000;
/// The minimum time that a connection must have been in the middle of a request head before it can be asked
/// to close, in microseconds. Clients may write a head slowly, so the time is longer than the minimum for the
/// other states ([`EVICTION_GRACE`]).
const HEAD_EVICTION_GRACE: Micros = 250_000;
/// The time in which a request may still begin on a connection that was asked to close, in microseconds.
pub(super) const EVICTION_NOTICE: Micros = 5_000;

/// The minimum time that a connection must have been idle before it is asked to close because the process or
/// the machine is out of file descriptors or memory, in microseconds.
const MIN_IDLE_TIME_ON_EXHAUSTION: Micros = 2 * SECOND;

/// The state of a client connection, which decides whether the connection can be asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// No byte has been received on the connection.
    New,
    /// Part of a request's head has been received on the connection.
    Receiving,
    /// A request of the connection is being read or answered.
    Serving,
    /// The connection has served a request, and the next request has not begun.
    Idle,
    /// The connection was asked to close to free its permit, and no request has begun since.
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
    /// Asks the connection's task to close the connection. The connection stays open if a request begins
    /// within [`EVICTION_NOTICE`].
    fn evict(&mut self) {
        self.state = ConnectionState::Evicting;
        self.eviction.notify_one();
    }

    /// Returns the group of the connection in the order in which connections are asked to close. The group
    /// with the lowest number comes first. `None` means that the connection must not be asked to close.
    fn eviction_rank(&self) -> Option<u8> {
        match self.state {
            // These connections are asked to close before all others. The client of a new connection has sent
            // nothing. A closing connection serves no further request, but its task may still wait for the
            // client to close the connection. If the task is asked, it ends this wait.
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
    /// The client connections, keyed by connection id. Connections that are accepted later have higher ids.
    connections: BTreeMap<u64, ConnectionEntry>,
}

/// Gives out the permits of the client connections, of which there is a limited number.
pub(super) struct ConnectionLimits {
    descriptors: Arc<DescriptorBudget>,
    inner: Mutex<Inner>,
    released: Notify,
}

impl ConnectionLimits {
    pub(super) fn new(descriptors: Arc<DescriptorBudget>) -> Arc<ConnectionLimits> {
        Arc::new(ConnectionLimits { descriptors, inner: Mutex::default(), released: Notify::new() })
    }

    /// Returns the maximum number of client connections.
    fn max_connections(&self) -> usize {
        self.descriptors.max_client_connections()
    }

    /// Returns how the process's connections use its file descriptors now.
    pub(super) fn descriptor_usage(&self) -> DescriptorUsage {
        self.descriptors.usage()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a permit for a new client connection.
    ///
    /// When few permits are left, connections that serve no request are asked to close. Connections on which
    /// the client has sent nothing yet, and those that are already being closed, come first. As long as there
    /// are any, no other connection is asked, even if idle ([`Inner::evict_one`]). A client that opens
    /// hundreds of connections and sends nothing therefore doesn't delay other clients: such connections only
    /// take permits from each other.
    pub(super) async fn acquire(self: &Arc<Self>) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire() {
                return permit;
            }
            tokio::select! {
                () = self.released.notified() => {}
                () = self.descriptors.wait_for_release(EVICTION_NOTICE) => {}
            }
        }
    }

    /// Asks an idle connection to a worker to close or, if there is none, the client connection that has been
    /// idle for longest. Called when `accept` has run out of file descriptors or memory although permits are
    /// left.
    ///
    /// This can happen if the process has fewer descriptors than its configuration says. Connections that are
    /// not idle stay open, because the shortage may
    /// pass. Nothing is done while any connection is still in the state [`ConnectionState::Evicting`].
    pub(super) fn evict_on_exhaustion(&self) {
        if self.descriptors.evict_on_exhaustion() {
            return;
        }
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
        let max_connections = self.max_connections();
        inner.evict_surplus(max_connections);
        if inner.connections.len() >= max_connections {
            return None;
        }
        let descriptor = self.descriptors.try_acquire_client()?;
        inner.last_id += 1;
        let eviction = Arc::new(Notify::new());
        let state = ConnectionState::New;
        let entry = ConnectionEntry { state, state_since: Instant::now(), eviction: Arc::clone(&eviction) };
        inner.connections.insert(inner.last_id, entry);
        Some(ConnectionPermit {
            limits: Arc::clone(self),
            id: inner.last_id,
            eviction,
            _descriptor: descriptor,
        })
    }
}

impl Inner {
    /// Asks connections to close until an eighth of the permits is free, besides the permit for the
    /// connection that is being accepted.
    ///
    /// The permit of a connection that has been asked to close counts as free. If no further connection can
    /// be asked, fewer permits become free.
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

    /// Asks one connection to close, and returns whether there was a connection to ask.
    ///
    /// There are three groups of connections: first the new and closing connections, then the idle
    /// connections, then those in the middle of a request head. Only the first group that is not empty is
    /// considered. In this group, only connections whose minimum time in their state has passed can be asked
    /// ([`EVICTION_GRACE`] or [`HEAD_EVICTION_GRACE`]). Of these, the connection that has been in its state
    /// for longest is asked.
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

/// The permit of one open client connection. The permit is free again when this value is dropped.
pub(super) struct ConnectionPermit {
    limits: Arc<ConnectionLimits>,
    id: u64,
    /// Notified when the connection is asked to close.
    pub(super) eviction: Arc<Notify>,
    /// The connection's file descriptor.
    _descriptor: ClientDescriptor,
}

impl ConnectionPermit {
    pub(super) fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.limits.lock().connections.get_mut(&self.id) {
            (entry.state, entry.state_since) = (state, Instant::now());
        }
    }

    /// Records that a request has begun on the connection. If the connection had been asked to close, it
    /// stays open.
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
