//! Limits on connections to workers, which are derived from the process's file descriptor limit, and the
//! timeout of idle connections.
use copperspread_dispatcher::Micros;

/// The fraction of the workers' keep-alive time for which idle connections are kept.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// The minimum difference between the workers' keep-alive time and the timeout of idle connections, needed
/// because a request may be in transit when a worker closes its connection.
const MIN_IDLE_TIMEOUT_MARGIN: Micros = 300_000;

/// How long an idle connection is kept, given the workers' keep-alive time; both in microseconds.
pub fn idle_timeout(keep_alive: Micros) -> Micros {
    let fraction = (keep_alive as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
    fraction.min(keep_alive.saturating_sub(MIN_IDLE_TIMEOUT_MARGIN))
}

/// The maximum number of dispatches in progress: an eighth of the file descriptors, but at least 4.
pub fn max_dispatches(descriptor_limit: usize) -> usize {
    (descriptor_limit / 8).max(4)
}

/// The maximum number of load queries in flight, from 4 to 12. They are not counted as dispatches; the limit
/// keeps them from using the file descriptors that requests need.
pub fn max_load_queries(descriptor_limit: usize) -> usize {
    (descriptor_limit / 48).clamp(4, 12)
}

/// The maximum number of cancellations in flight, at least 4. A cancellation uses an idle connection to its
/// worker, or a new connection if none is idle. The file descriptor of a cancellation is therefore one of
/// those reserved for idle connections.
pub fn max_cancellations(descriptor_limit: usize) -> usize {
    (descriptor_limit / 16).max(4)
}

/// The maximum number of idle connections to one worker, from 1 to 8. Idle connections to two dozen workers
/// must not use the file descriptors that client connections need.
pub fn max_idle_per_worker(descriptor_limit: usize) -> usize {
    (descriptor_limit / 192).clamp(1, 8)
}
