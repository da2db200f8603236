//! Listed load: the load that all dispatchers together put on a worker, computed from the worker's size in
//! the endpoint list. A size is a measure of the worker's capacity. The listed load is known only if the
//! sizes in the list decrease with the workers' load; see
//! [`Settings::listed_sizes_reflect_load`](crate::Settings::listed_sizes_reflect_load).
use super::average::move_average;
use super::constants::MAX_VALID_VALUE;
use super::constants::validated;
use super::remote_slots::RemoteSlots;
use crate::Micros;
use crate::time::to_seconds;

/// Upper limit of a worker's load as computed from the endpoint list, as a multiple of the worker's slots. A
/// higher load is reduced to this limit.
const MAX_LISTED_LOAD: f64 = 8.0;
/// Largest plausible ratio of a worker's size to the median size of its worker kind. Sizes with a larger
/// ratio are ignored when the size of an idle worker is learned. A size is the measure of a worker's capacity
/// in the endpoint list, and equals the size of an idle worker divided by 1 + load. Even if a worker is idle
/// and all others of its kind are at [`MAX_LISTED_LOAD`], the ratio is only half of this limit.
const MAX_SIZE_TO_MEDIAN_RATIO: f64 = 2.0 * (1.0 + MAX_LISTED_LOAD);
/// Weight of one endpoint list in the moving average of a worker's load as computed from these lists: about
/// the last 3 lists contribute.
const LISTED_LOAD_GAIN: f64 = 0.35;
/// Assumed age, in seconds, of the workers' loads in an endpoint list at the time when the list arrives at
/// this dispatcher. The list shows each worker's load indirectly, as a measure of capacity that falls as the
/// load rises.
const LIST_AGE_SECONDS: f64 = 0.9;
/// Time constant, in seconds, with which the weight of the last endpoint list decays exponentially. As the
/// list grows older, the expected load of a worker moves from the load in that list to the moving average
/// over all lists so far.
const LIST_DECAY_SECONDS: f64 = 1.0;

/// The loads of all workers, computed from the workers' sizes in the endpoint list. A size is a number that
/// falls as the worker's load rises.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedLoads {
    workers: Vec<ListedLoad>,
    /// Assumed size of an idle worker of each kind. A size is a number in the endpoint list that falls as the
    /// worker's load rises, so an idle worker has the largest size of its kind. The value is the largest size
    /// listed so far. Sizes above [`MAX_SIZE_TO_MEDIAN_RATIO`] times the median size of the kind are ignored.
    max_sizes: Vec<f64>,
}

/// The load of one worker, computed from the worker's size in the endpoint list. A size is a number that
/// falls as the worker's load rises.
#[derive(Clone, Copy, Debug, Default)]
struct ListedLoad {
    /// The size of the worker in the last endpoint list: the size of an idle worker of the same kind, divided
    /// by 1 + load.
    size: Option<f64>,
    /// Number of the worker's slots that the requests of all dispatchers together use, computed from `size`.
    slots: f64,
    /// Moving average of the number of the worker's slots that are in use, over the endpoint lists received
    /// so far.
    mean_slots: f64,
    listed_at: Option<Micros>,
}

impl ListedLoads {
    /// Resizes the tables for the given numbers of workers and worker kinds.
    pub(super) fn resize(&mut self, worker_count: usize, kind_count: usize) {
        self.workers.resize(worker_count, ListedLoad::default());
        self.max_sizes.resize(kind_count, 0.0);
    }

    /// Discards the load of a worker, computed from the endpoint list, because the worker has restarted.
    pub(super) fn reset(&mut self, worker: usize) {
        self.workers[worker].listed_at = None;
    }

    /// Stores the size of a worker, which is the measure of the worker's capacity in the endpoint list. An
    /// invalid size counts as absent, and an unknown worker is ignored.
    pub(super) fn set_size(&mut self, worker: usize, size: Option<f64>) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.size = validated(size, MAX_VALID_VALUE);
        }
    }

    /// Learns for each worker kind the size that the endpoint list gives for an idle worker. A listed size is
    /// a measure of capacity that decreases with the worker's load, so the largest size of a kind is used.
    /// Implausibly large sizes are left out, because all other workers would look loaded in comparison with
    /// them. `kinds` yields the kind of every worker, in the order of worker indices.
    pub(super) fn learn_max_sizes(&mut self, kinds: impl Iterator<Item = u32>) {
        let kinds_and_sizes = kinds.zip(&self.workers);
        let mut sizes: Vec<_> =
            kinds_and_sizes.filter_map(|(kind, listed)| Some((kind, listed.size?))).collect();
        sizes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for kind in sizes.chunk_by(|a, b| a.0 == b.0) {
            let median = kind[(kind.len() - 1) / 2].1;
            let max = MAX_SIZE_TO_MEDIAN_RATIO * median;
            let largest = kind.iter().rev().map(|listed| listed.1).find(|&size| size <= max).unwrap_or(max);
            let known = &mut self.max_sizes[kind[0].0 as usize];
            *known = known.max(largest);
        }
    }

    /// Records the load of a ready worker, computed from the last endpoint list. The load is the number of
    /// requests that the worker holds, divided by the number of its slots. It is at most [`MAX_LISTED_LOAD`].
    ///
    /// The list gives a number for each worker, called size, which falls as the load rises: the number for
    /// the worker when idle, divided by 1 + load. The number for an idle worker is the largest plausible
    /// number listed so far for workers of the same `kind`, such as a machine type.
    ///
    /// The load is stored as a number of occupied slots: load * `slots` * `mean_request_slots`. Here `slots`
    /// is the number of the worker's slots, and `mean_request_slots` is the mean number of slots that a
    /// request occupies.
    ///
    /// The load includes the requests of all dispatchers. The endpoint list shows the requests of other
    /// dispatchers earlier than any other source.
    pub(super) fn record(
        &mut self,
        now: Micros,
        worker: usize,
        kind: u32,
        slots: f64,
        mean_request_slots: f64,
    ) {
        let worker = &mut self.workers[worker];
        let Some(size) = worker.size else { return };
        let load = (self.max_sizes[kind as usize] / size - 1.0).clamp(0.0, MAX_LISTED_LOAD);
        worker.slots = load * slots * mean_request_slots;
        let gain = if worker.listed_at.is_some() { LISTED_LOAD_GAIN } else { 1.0 };
        move_average(&mut worker.mean_slots, worker.slots, gain);
        worker.listed_at = Some(now);
    }

    /// Returns how many slots of a worker the requests of other dispatchers are expected to occupy, or `None`
    /// if no endpoint list has shown the worker's load. As the last endpoint list grows older, the number
    /// moves from the load in that list to the moving average over all lists so far.
    ///
    /// `local_share` is the fraction of all requests that this dispatcher is assumed to handle. The load in
    /// the endpoint list includes the requests of all dispatchers, so this fraction is subtracted.
    pub(super) fn remote_slots(&self, now: Micros, worker: usize, local_share: f64) -> Option<RemoteSlots> {
        let worker = &self.workers[worker];
        let listed_at = worker.listed_at?;
        let age = LIST_AGE_SECONDS + to_seconds(now.saturating_sub(listed_at));
        let freshness = (-age / LIST_DECAY_SECONDS).exp();
        let total_slots = worker.mean_slots + (worker.slots - worker.mean_slots) * freshness;
        Some(RemoteSlots {
            mean: total_slots * (1.0 - local_share),
            variance: total_slots * (1.0 - freshness * freshness),
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listed_load.rs"]
mod tests;
