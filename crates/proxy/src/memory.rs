//! Shares the process's memory between everything that can hold much of it: connections, the bodies of
//! requests, callbacks with workers' results, and endpoint lists.
//!
//! Whoever needs memory takes a [`MemoryReservation`] from the one [`MemoryBudget`] of the process first, and
//! waits if there is none. Each [`MemoryUse`] has a guaranteed share that the other uses never take, so that
//! one use cannot starve another: requests that wait for results, for example, leave memory for the callbacks
//! that bring the results. What is not guaranteed to any use goes to whoever asks first.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore};

/// The memory that the process needs without connections, requests and workers, in bytes: the pages of the
/// program file that are in use, the runtime, and the scratch memory for parsing one callback.
const PROGRAM_BYTES: usize = 7_500_000;
/// The part of the remaining memory that is lost to fragmentation in the allocator, as a divisor.
const FRAGMENTATION_DIVISOR: usize = 8;
/// The part of the budget that is guaranteed to callbacks, and also to the bodies of requests, as a divisor.
const MESSAGES_DIVISOR: usize = 16;
/// The part of the memory without a guarantee for any other use that is not guaranteed to connections, as a
/// divisor.
const UNGUARANTEED_DIVISOR: usize = 6;
/// The number of client connections, and also of connections to workers, for which memory is guaranteed in any
/// case.
const MIN_CONNECTIONS: usize = 8;
/// The memory of one connection to a client or a worker, in bytes: the buffers of the HTTP library, the task,
/// and a body that is too small to be counted.
pub(crate) const CONNECTION_BYTES: usize = 24 * 1024;
/// The maximum length of a message's body, in bytes. The memory for one such body is guaranteed.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The memory that is guaranteed for endpoint lists, in bytes, in addition to [`BYTES_PER_WORKER`].
const MIN_LIST_BYTES: usize = 256 * 1024;
/// The memory that is guaranteed for endpoint lists, in bytes for each known worker: what the scheduler knows
/// of the worker, and the worker's part in a list that is being read.
const BYTES_PER_WORKER: usize = 2 * 1024;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Connections of clients, and of workers that send callbacks.
    ClientConnection,
    /// Connections to workers.
    WorkerConnection,
    /// The bodies of callbacks, and the results from them until they are written to the clients.
    Callback,
    /// Endpoint lists that are being read.
    EndpointList,
    /// The bodies of clients' requests.
    RequestBody,
}

impl MemoryUse {
    const COUNT: usize = 5;
}

/// The memory of one [`MemoryUse`], in bytes.
#[derive(Clone, Copy, Default)]
struct Share {
    guaranteed: usize,
    used: usize,
}

impl Share {
    /// Returns the memory that no other use can take.
    fn claimed(self) -> usize {
        self.used.max(self.guaranteed)
    }
}

struct Inner {
    total: usize,
    /// The maximum number of client connections that the descriptors allow.
    max_clients: usize,
    /// The maximum number of used connections to workers that the descriptors allow.
    max_workers: usize,
    known_workers: usize,
    shares: [Share; MemoryUse::COUNT],
}

impl Inner {
    fn share(&mut self, memory_use: MemoryUse) -> &mut Share {
        &mut self.shares[memory_use as usize]
    }

    /// Computes the guaranteed shares. Connections to clients and workers share what is left, in proportion to
    /// their maximum numbers.
    fn update_guarantees(&mut self) {
        let messages = (self.total / MESSAGES_DIVISOR).max(MAX_BODY_BYTES);
        let lists = MIN_LIST_BYTES + self.known_workers * BYTES_PER_WORKER;
        let rest = self.total.saturating_sub(2 * messages + lists);
        let by_memory = (rest - rest / UNGUARANTEED_DIVISOR) / CONNECTION_BYTES;
        let by_descriptors = (self.max_clients + self.max_workers).max(1);
        let connections = by_memory.min(by_descriptors);
        let clients = (connections * self.max_clients / by_descriptors).max(MIN_CONNECTIONS);
        let workers = connections.saturating_sub(clients).max(MIN_CONNECTIONS);
        self.share(MemoryUse::Callback).guaranteed = messages;
        self.share(MemoryUse::EndpointList).guaranteed = lists;
        self.share(MemoryUse::RequestBody).guaranteed = messages;
        self.share(MemoryUse::ClientConnection).guaranteed = clients * CONNECTION_BYTES;
        self.share(MemoryUse::WorkerConnection).guaranteed = workers * CONNECTION_BYTES;
    }

    /// Returns the memory that a use may take in total: its guaranteed share or, if that is more, what the
    /// other uses don't claim.
    fn limit(&mut self, memory_use: MemoryUse) -> usize {
        let share = *self.share(memory_use);
        let claimed: usize = self.shares.iter().map(|share| share.claimed()).sum();
        share.guaranteed.max(self.total.saturating_sub(claimed - share.claimed()))
    }

    /// Returns the memory that a use can take in total when all others have nothing beyond their guaranteed
    /// shares.
    fn reachable_limit(&mut self, memory_use: MemoryUse) -> usize {
        let share = *self.share(memory_use);
        let guaranteed: usize = self.shares.iter().map(|share| share.guaranteed).sum();
        share.guaranteed.max(self.total.saturating_sub(guaranteed - share.guaranteed))
    }

    fn permits(&mut self, memory_use: MemoryUse, bytes: usize) -> bool {
        self.share(memory_use).used + bytes <= self.limit(memory_use)
    }
}

/// The memory that the process may use. See the [module](self) for how it is shared.
pub struct MemoryBudget {
    inner: Mutex<Inner>,
    /// Notified when memory is released.
    released: Notify,
    /// One permit for each use. Whoever waits for memory holds the permit of its use, so that memory is given
    /// out in the order in which it was asked for, and a release wakes only the first in line.
    turns: [Semaphore; MemoryUse::COUNT],
}

impl MemoryBudget {
    /// Creates the budget of a process whose memory limit is `memory_limit_mb`, in MB (10^6 bytes).
    pub fn new(memory_limit_mb: f64) -> Arc<MemoryBudget> {
        let limit = (memory_limit_mb * 1e6) as usize;
        let usable = limit.saturating_sub(PROGRAM_BYTES);
        MemoryBudget::with_total((usable - usable / FRAGMENTATION_DIVISOR).max(limit / FRAGMENTATION_DIVISOR))
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Arc<MemoryBudget> {
        MemoryBudget::with_total(usize::MAX / 2)
    }

    fn with_total(total: usize) -> Arc<MemoryBudget> {
        let shares = [Share::default(); MemoryUse::COUNT];
        let mut inner = Inner { total, max_clients: 0, max_workers: 0, known_workers: 0, shares };
        inner.update_guarantees();
        Arc::new(MemoryBudget {
            inner: Mutex::new(inner),
            released: Notify::new(),
            turns: std::array::from_fn(|_| Semaphore::new(1)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the maximum numbers of client connections and of used connections to workers that the process's
    /// descriptors allow. Memory is guaranteed to as many of them as fit.
    pub(crate) fn set_max_connections(&self, clients: usize, workers: usize) {
        let mut inner = self.lock();
        (inner.max_clients, inner.max_workers) = (clients, workers);
        inner.update_guarantees();
    }

    /// Sets the number of workers that the scheduler knows. Memory is guaranteed to what is known of them and
    /// to reading a list of so many workers.
    pub(crate) fn set_known_workers(&self, workers: usize) {
        let mut inner = self.lock();
        inner.known_workers = workers;
        inner.update_guarantees();
    }

    /// Returns the number of client connections that descriptors and memory allow now.
    pub(crate) fn max_client_connections(&self) -> usize {
        let mut inner = self.lock();
        let by_memory = inner.limit(MemoryUse::ClientConnection) / CONNECTION_BYTES;
        by_memory.min(inner.max_clients).max(MIN_CONNECTIONS)
    }

    /// Reserves memory, or returns `None` if there is too little.
    pub fn try_reserve(self: &Arc<Self>, memory_use: MemoryUse, bytes: usize) -> Option<MemoryReservation> {
        let mut inner = self.lock();
        if !inner.permits(memory_use, bytes) {
            return None;
        }
        inner.share(memory_use).used += bytes;
        Some(MemoryReservation { budget: Arc::clone(self), memory_use, bytes })
    }

    /// Waits until memory can be reserved. Memory for the same use is given out in the order of the calls.
    ///
    /// Where the use can never have as much as `bytes`, all that it can have is reserved. A list of more
    /// workers than are known, for example, would otherwise wait forever.
    pub async fn reserve(self: &Arc<Self>, memory_use: MemoryUse, bytes: usize) -> MemoryReservation {
        // The semaphore is never closed, so there is always a permit.
        let _turn = self.turns[memory_use as usize].acquire().await;
        loop {
            let released = self.released.notified();
            let reachable_bytes = bytes.min(self.lock().reachable_limit(memory_use));
            if let Some(reservation) = self.try_reserve(memory_use, reachable_bytes) {
                return reservation;
            }
            released.await;
        }
    }

    fn release(&self, memory_use: MemoryUse, bytes: usize) {
        self.lock().share(memory_use).used -= bytes;
        self.released.notify_waiters();
    }
}

/// Memory of a [`MemoryBudget`]. It is released when this value is dropped.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    memory_use: MemoryUse,
    bytes: usize,
}

impl MemoryReservation {
    /// Releases the memory beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.release(self.memory_use, surplus);
    }

    /// Returns `bytes` as a value that holds the reservation until its last clone is dropped.
    pub fn attach_to(mut self, bytes: Vec<u8>) -> Bytes {
        self.shrink_to(bytes.capacity());
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.memory_use, self.bytes);
    }
}

struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
