//! Limits on requests and connections to workers, and the idle time-out of connections. The limits are
//! derived from the number of file descriptors that the process may open.
use copperspread_dispatcher::Micros;

/// The maximum time that a connection to a worker stays idle, as a fraction of the worker's keep-alive time.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// The minimum time by which the idle time-out of connections is shorter than the workers' keep-alive time,
/// in microseconds. Otherwise a request could be in transit while its worker closes the idle connection.
const MIN_IDLE_TIMEOUT_MARGIN: Micros = 300_000;

/// Returns how long an idle connection to a worker is kept, in microseconds. `keep_alive` is the worker's
/// keep-alive time, in microseconds.
pub fn idle_timeout(keep_alive: Micros) -> Micros {
    let fraction = (keep_alive as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
    fraction.min(keep_alive.saturating_sub(MIN_IDLE_TIMEOUT_MARGIN))
}

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
///
/// A cancellation uses an idle connection to its worker, or a new connection if none is idle. In both cases,
/// the file descriptor is one of those reserved for idle connections.
pub fn max_cancellations(descriptor_limit: usize) -> usize {
    (descriptor_limit / 16).max(4)
}

/// Returns the maximum number of idle connections to one worker: from 1 to 8, depending on the process's file
/// descriptors. With this limit, the idle connections to two dozen workers don't use the file descriptors
/// that client connections need.
pub fn max_idle_per_worker(descriptor_limit: usize) -> usize {
    (descriptor_limit / 192).clamp(1, 8)
}
