//! What a rule expects of the other dispatchers at a worker, as figures.

/// Slots that the other dispatchers' requests are expected to take at a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemoteSlots {
    pub(super) mean: f64,
    pub(super) variance: f64,
}
