//! The parts of a process's descriptors that connections to workers get, and how long idle ones are kept.
use copperspread_dispatcher::Micros;

/// The fraction of the workers' keep-alive time for which idle connections are kept here ...
const IDLE_TIMEOUT_FRACTION: f64 = 0.9;
/// ... and at least this much less, since a request may be on its way when they close.
const MIN_IDLE_TIMEOUT_MARGIN: Micros = 300_000;

/// How long an idle connection is kept here, for a keep-alive time of the workers.
pub fn idle_timeout(keep_alive: Micros) -> Micros {
    let fraction = (keep_alive as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
    fraction.min(keep_alive.saturating_sub(MIN_IDLE_TIMEOUT_MARGIN))
}

/// Most dispatches in progress at once, for a process of so many descriptors.
pub fn max_dispatches(descriptor_limit: usize) -> usize {
    (descriptor_limit / 8).max(4)
}

/// Most load queries in flight at once, beside the dispatches: load queries must not use up what requests need.
pub fn max_load_queries(descriptor_limit: usize) -> usize {
    (descriptor_limit / 48).clamp(4, 12)
}

/// Most cancellations in flight at once. A cancellation is sent on an idle connection to its worker, or on a new one
/// if there is none: its descriptor is one of those kept for idle connections.
pub fn max_cancellations(descriptor_limit: usize) -> usize {
    (descriptor_limit / 16).max(4)
}

/// Most idle connections kept to one worker. The idle connections to two dozen workers must not hold the
/// descriptors that client connections count on.
pub fn max_idle_per_worker(descriptor_limit: usize) -> usize {
    (descriptor_limit / 192).clamp(1, 8)
}
