//! The number of slots that other dispatchers' requests are expected to occupy at a worker.

/// Mean and variance of the slots that other dispatchers' requests are expected to occupy at a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemoteSlots {
    pub(super) mean: f64,
    pub(super) variance: f64,
}
