//! Shares the process's file descriptors between client connections and connections to workers.
//!
//! Every connection holds a descriptor of the [`DescriptorBudget`] and its part of the [`MemoryBudget`] until
//! its socket is closed. If none is left, the connection to a worker that has been idle for longest is closed. The number of idle connections
//! therefore depends on the descriptors that are left, and not on the number of workers.
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use hyper::http::uri::Authority;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;
use crate::invariant::count_event;
use crate::memory::{CONNECTION_BYTES, MemoryBudget, MemoryReservation, MemoryUse};

/// The maximum number of descriptors that are reserved for all other uses: standard streams, the runtime,
/// the listener, a connection that has just been accepted, discovery's parallel calls, logs and files.
const MAX_RESERVED_DESCRIPTORS: usize = 24;
/// How long an evicted connection is given to close before another connection is evicted, in microseconds.
const EVICTION_TIME: Micros = 20_000;
/// How long a new connection to a worker stays open if no request uses it, in microseconds. After that time,
/// it may be evicted.
const UNUSED_GRACE: Micros = SECOND;

/// Returns the maximum number of attempts that may be in the process of being sent to workers at the same
/// time. The maximum is an eighth of the process's file descriptors, but at least 4.
pub fn max_dispatches(descriptor_limit: usize) -> usize {
    (descriptor_limit / 8).max(4)
}

/// Returns the maximum number of load queries in flight: from 4 to 12, depending on the process's file
/// descriptors. Load queries have their own limit, so that they don't use the file descriptors that requests
/// need.
pub fn max_load_queries(descriptor_limit: usize) -> usize {
    (descriptor_limit / 48).clamp(4, 12)
}

/// Returns the maximum number of cancellations in flight: a sixteenth of the process's file descriptors, but
/// at least 4.
pub fn max_cancellations(descriptor_limit: usize) -> usize {
    (descriptor_limit / 16).max(4)
}

/// Returns the maximum number of connections to workers that are in use at the same time.
pub fn max_used_worker_connections(descriptor_limit: usize) -> usize {
    max_dispatches(descriptor_limit)
        + max_load_queries(descriptor_limit)
        + max_cancellations(descriptor_limit)
}

/// Returns the maximum number of client connections that leaves enough file descriptors for workers,
/// discovery and files. The maximum is three quarters of the descriptors, less 16.
pub fn max_client_connections(descriptor_limit: usize) -> usize {
    (descriptor_limit - descriptor_limit / 4).saturating_sub(16)
}

/// How the descriptors of a [`DescriptorBudget`] are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorUsage {
    /// The number of client connections. Workers' callbacks arrive on such connections too.
    pub clients: usize,
    /// The number of connections to workers that are being opened or used.
    pub workers_in_use: usize,
    /// The number of connections to workers that are idle or being closed.
    pub workers_idle: usize,
}

impl fmt::Display for DescriptorUsage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DescriptorUsage { clients, workers_in_use, workers_idle } = self;
        write!(
            formatter,
            "connections: {clients} clients, {workers_in_use} workers, {workers_idle} idle workers"
        )
    }
}

/// The state of a connection to a worker, which decides whether the connection can be closed to free its
/// descriptor.
#[derive(Clone, Copy, Debug)]
enum WorkerConnectionState {
    /// The connection is being opened.
    Connecting,
    /// The connection is open, and no request has used it yet.
    Unused(Instant),
    /// This number of requests use the connection. A request that waits for the rest of its response counts
    /// even if the next request has begun.
    InUse(usize),
    /// No request has used the connection since this instant.
    Idle(Instant),
    /// The connection was asked to close at this instant. A request may still begin to use it.
    Evicting(Instant),
    /// The connection is being closed and can't be used any more.
    Closing,
}

impl WorkerConnectionState {
    /// Returns since when the connection has been idle, or `None` if it must not be closed.
    fn evictable_since(self) -> Option<Instant> {
        match self {
            WorkerConnectionState::Idle(since) => Some(since),
            WorkerConnectionState::Unused(since) => {
                (since.elapsed() >= Duration::from_micros(UNUSED_GRACE)).then_some(since)
            }
            _ => None,
        }
    }

    fn is_evicting(self) -> bool {
        matches!(self, WorkerConnectionState::Evicting(since)
            if since.elapsed() < Duration::from_micros(EVICTION_TIME))
    }
}

struct WorkerConnection {
    /// The worker's address.
    address: Option<Authority>,
    state: WorkerConnectionState,
    /// Wakes the task that reads from the connection, so that it notices an eviction.
    reader: Option<Waker>,
}

#[derive(Default)]
struct Inner {
    clients: usize,
    last_id: u64,
    workers: BTreeMap<u64, WorkerConnection>,
}

impl Inner {
    fn connections(&self) -> usize {
        self.clients + self.workers.len()
    }

    fn usage(&self) -> DescriptorUsage {
        use WorkerConnectionState::{Connecting, InUse, Unused};
        let is_used =
            |connection: &&WorkerConnection| matches!(connection.state, Connecting | Unused(_) | InUse(_));
        let workers_in_use = self.workers.values().filter(is_used).count();
        let workers_idle = self.workers.len() - workers_in_use;
        DescriptorUsage { clients: self.clients, workers_in_use, workers_idle }
    }

    /// Asks the connection to a worker that has been idle for longest to close, unless another such
    /// connection is being closed already. Returns whether a connection is being closed.
    fn evict_idle_worker(&mut self) -> bool {
        if self.workers.values().any(|connection| connection.state.is_evicting()) {
            return true;
        }
        let idle = self.workers.values_mut().filter_map(|connection| {
            let since = connection.state.evictable_since()?;
            Some((since, connection))
        });
        let Some((_, longest)) = idle.min_by_key(|&(since, _)| since) else { return false };
        longest.state = WorkerConnectionState::Evicting(Instant::now());
        if let Some(reader) = longest.reader.take() {
            reader.wake();
        }
        let usage = self.usage().to_string();
        count_event("idle worker connection evicted", &usage);
        true
    }
}

/// The file descriptors that connections may use. See the [module](self) for how they are shared.
pub struct DescriptorBudget {
    /// The number of file descriptors that the process may open.
    limit: usize,
    /// The maximum number of connections of all kinds.
    max_connections: usize,
    /// The memory from which each connection takes its part.
    memory: Arc<MemoryBudget>,
    inner: Mutex<Inner>,
    /// Notified when a descriptor is released, or when a connection to a worker becomes idle.
    released: Notify,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may open `limit` file descriptors and whose memory is not limited.
    pub fn new(limit: usize) -> Arc<DescriptorBudget> {
        DescriptorBudget::with_memory(limit, MemoryBudget::unlimited())
    }

    /// Creates the budget of a process that may open `limit` file descriptors. The connections take their
    /// memory from `memory`.
    pub fn with_memory(limit: usize, memory: Arc<MemoryBudget>) -> Arc<DescriptorBudget> {
        memory.set_max_connections(max_client_connections(limit), max_used_worker_connections(limit));
        let reserved = MAX_RESERVED_DESCRIPTORS.min(limit / 2);
        Arc::new(DescriptorBudget {
            limit,
            max_connections: limit - reserved,
            memory,
            inner: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Returns the number of file descriptors that the process may open.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the memory from which connections take their part.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Returns the maximum number of client connections that descriptors and memory allow now.
    pub(crate) fn max_client_connections(&self) -> usize {
        self.memory.max_client_connections()
    }

    /// Returns how the descriptors are used now.
    pub fn usage(&self) -> DescriptorUsage {
        self.lock().usage()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a descriptor for a client connection, or `None` if one will be free soon or memory is short.
    ///
    /// If none is left, an idle connection to a worker is asked to close. If there is no such connection, the
    /// client gets a descriptor all the same: the maximum numbers of client connections
    /// ([`max_client_connections`]) and of used connections to workers ([`max_used_worker_connections`]) leave
    /// enough descriptors for both.
    pub(crate) fn try_acquire_client(self: &Arc<Self>) -> Option<ClientDescriptor> {
        let mut inner = self.lock();
        if inner.connections() >= self.max_connections && inner.evict_idle_worker() {
            return None;
        }
        let Some(memory) = self.memory.try_reserve(MemoryUse::ClientConnection, CONNECTION_BYTES) else {
            inner.evict_idle_worker();
            return None;
        };
        inner.clients += 1;
        Some(ClientDescriptor { budget: Arc::clone(self), _memory: memory })
    }

    /// Waits for a descriptor for a connection to the worker at `address`.
    pub(crate) async fn acquire_worker(self: &Arc<Self>, address: Option<Authority>) -> WorkerDescriptor {
        loop {
            let released = self.released.notified();
            if let Some(descriptor) = self.try_acquire_worker(address.as_ref()) {
                return descriptor;
            }
            let _ = timeout_at(from_now(EVICTION_TIME), released).await;
        }
    }

    /// Returns a descriptor for a connection to a worker, or `None` if the caller must wait. If no descriptor
    /// or no memory is left, an idle connection to a worker is asked to close.
    fn try_acquire_worker(self: &Arc<Self>, address: Option<&Authority>) -> Option<WorkerDescriptor> {
        let mut inner = self.lock();
        if inner.connections() >= self.max_connections {
            let is_evicting = inner.evict_idle_worker();
            // If nothing can be closed, all connections to workers are in use. Their share is kept free of
            // clients.
            if is_evicting || inner.workers.len() >= max_used_worker_connections(self.limit) {
                return None;
            }
        }
        let Some(memory) = self.memory.try_reserve(MemoryUse::WorkerConnection, CONNECTION_BYTES) else {
            inner.evict_idle_worker();
            return None;
        };
        inner.last_id += 1;
        let id = inner.last_id;
        let state = WorkerConnectionState::Connecting;
        inner.workers.insert(id, WorkerConnection { address: address.cloned(), state, reader: None });
        Some(WorkerDescriptor { budget: Arc::clone(self), id, _memory: memory })
    }

    /// Waits until a descriptor is released, but at most `max_wait` microseconds.
    pub(crate) async fn wait_for_release(&self, max_wait: Micros) {
        let _ = timeout_at(from_now(max_wait), self.released.notified()).await;
    }

    /// Asks an idle connection to a worker to close. Called when the system has no descriptor left although
    /// the budget has. Returns whether a connection is being closed.
    pub(crate) fn evict_on_exhaustion(&self) -> bool {
        self.lock().evict_idle_worker()
    }

    /// Returns whether a load query may be sent to the worker at `address`: on an idle connection, or on a new
    /// connection that takes no descriptor which requests may need.
    pub(crate) fn permits_load_query(&self, address: &Authority) -> bool {
        let inner = self.lock();
        let spare = self.max_connections.saturating_sub(inner.connections());
        spare > max_used_worker_connections(self.limit)
            || inner.workers.values().any(|connection| {
                matches!(connection.state, WorkerConnectionState::Idle(_))
                    && connection.address.as_ref() == Some(address)
            })
    }

    fn set_state(&self, id: u64, state: WorkerConnectionState) {
        if let Some(connection) = self.lock().workers.get_mut(&id) {
            connection.state = state;
        }
    }
}

/// The descriptor and the memory of one client connection. They are released when this value is dropped.
pub(crate) struct ClientDescriptor {
    budget: Arc<DescriptorBudget>,
    _memory: MemoryReservation,
}

impl Drop for ClientDescriptor {
    fn drop(&mut self) {
        self.budget.lock().clients -= 1;
        self.budget.released.notify_waiters();
    }
}

/// The descriptor and the memory of one connection to a worker. They are released when this value is dropped.
pub(crate) struct WorkerDescriptor {
    budget: Arc<DescriptorBudget>,
    id: u64,
    _memory: MemoryReservation,
}

impl WorkerDescriptor {
    /// Records that the connection has been established.
    pub(crate) fn set_connected(&self) {
        self.budget.set_state(self.id, WorkerConnectionState::Unused(Instant::now()));
    }

    /// Returns a handle by which requests record that they use the connection.
    pub(crate) fn handle(&self) -> WorkerConnectionHandle {
        WorkerConnectionHandle { budget: Arc::clone(&self.budget), id: self.id }
    }

    /// Returns `Poll::Ready` if the connection must be closed to free its descriptor. From then on, no request
    /// may use the connection.
    pub(crate) fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.budget.lock();
        let Some(connection) = inner.workers.get_mut(&self.id) else { return Poll::Pending };
        match connection.state {
            WorkerConnectionState::Evicting(_) | WorkerConnectionState::Closing => {
                connection.state = WorkerConnectionState::Closing;
                Poll::Ready(())
            }
            _ => {
                match &mut connection.reader {
                    Some(reader) => reader.clone_from(context.waker()),
                    reader => *reader = Some(context.waker().clone()),
                }
                Poll::Pending
            }
        }
    }
}

impl Drop for WorkerDescriptor {
    fn drop(&mut self) {
        self.budget.lock().workers.remove(&self.id);
        self.budget.released.notify_waiters();
    }
}

/// A handle by which requests record that they use a connection to a worker.
#[derive(Clone)]
pub(crate) struct WorkerConnectionHandle {
    budget: Arc<DescriptorBudget>,
    id: u64,
}

impl WorkerConnectionHandle {
    /// Records that a request uses the connection until the returned value is dropped. If the connection was
    /// asked to close, it stays open.
    pub(crate) fn begin_use(&self) -> WorkerConnectionUse {
        use WorkerConnectionState::{Closing, InUse};
        if let Some(connection) = self.budget.lock().workers.get_mut(&self.id) {
            connection.state = match connection.state {
                InUse(requests) => InUse(requests + 1),
                Closing => Closing,
                _ => InUse(1),
            };
        }
        WorkerConnectionUse(self.clone())
    }
}

/// The use of a connection to a worker by one request.
pub(crate) struct WorkerConnectionUse(WorkerConnectionHandle);

impl Drop for WorkerConnectionUse {
    fn drop(&mut self) {
        use WorkerConnectionState::{Idle, InUse};
        let WorkerConnectionHandle { budget, id } = &self.0;
        if let Some(connection) = budget.lock().workers.get_mut(id) {
            connection.state = match connection.state {
                InUse(requests) if requests > 1 => InUse(requests - 1),
                InUse(_) => Idle(Instant::now()),
                state => state,
            };
        }
        budget.released.notify_waiters();
    }
}

#[cfg(test)]
#[path = "../tests/unit/descriptors.rs"]
mod tests;
