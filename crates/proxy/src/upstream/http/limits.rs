//! Limits on idle connections to workers: how long they are kept, and how many of them to one worker.
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

/// Returns the maximum number of idle connections to one worker: from 1 to 8, depending on the process's file
/// descriptors. The idle connections to all workers together are limited by
/// [`DescriptorBudget`](crate::descriptors::DescriptorBudget).
pub fn max_idle_per_worker(descriptor_limit: usize) -> usize {
    (descriptor_limit / 192).clamp(1, 8)
}
