//! Limits on connections to workers, which are derived from the process's file descriptor limit, and the
//! timeout of idle connections.
use copperspread_dispatcher::Micros;

/// The maximum idle time of a connection to a worker, as a fraction of the worker's keep-alive time.
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// The minimum difference between the workers' keep-alive time and the idle timeout of connections to them.
/// The difference is needed because a request may be in transit when a worker closes an idle connection.
const MIN_IDLE_TIMEOUT_MARGIN: Micros = 300_000;

/// How long an idle connection to a worker is kept, in microseconds, given the worker's keep-alive time in
/// microseconds.
pub fn idle_timeout(keep_alive: Micros) -> Micros {
    let fraction = (keep_alive as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
    fraction.min(keep_alive.saturating_sub(MIN_IDLE_TIMEOUT_MARGIN))
}

/// The maximum number of dispatches in progress: an eighth of the process's file descriptors, but at least 4.
pub fn max_dispatches(descriptor_limit: usize) -> usize {
    (descriptor_limit / 8).max(4)
}

/// The maximum number of load queries in flight: from 4 to 12, depending on the process's file descriptors.
/// Load queries are limited separately from dispatches, so that they don't use the file descriptors that
/// requests need.
pub fn max_load_queries(descriptor_limit: usize) -> usize {
    (descriptor_limit / 48).clamp(4, 12)
}

/// The maximum number of cancellations in flight: a sixteenth of the process's file descriptors, but at least
/// 4. A cancellation uses an idle connection to its worker, or a new connection if none is idle. In both
/// cases its file descriptor is one of those reserved for idle connections.
pub fn max_cancellations(descriptor_limit: usize) -> usize {
    (descriptor_limit / 16).max(4)
}

/// The maximum number of idle connections to one worker: from 1 to 8, depending on the process's file
/// descriptors. The limit ensures that the idle connections to two dozen workers don't use the file
/// descriptors that client connections need.
pub fn max_idle_per_worker(descriptor_limit: usize) -> usize {
    (descriptor_limit / 192).clamp(1, 8)
}
