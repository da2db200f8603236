//! Listed load: the load that all dispatchers put on a worker, derived from its listed size where that size
//! decreases with load.
use super::average::move_average;
use super::constants::MAX_VALID_VALUE;
use super::constants::validated;
use super::remote_slots::RemoteSlots;
use crate::Micros;
use crate::time::to_seconds;

/// Largest listed load, as a multiple of the worker's slots.
const MAX_LISTED_LOAD: f64 = 8.0;
/// Largest plausible ratio of a listed size to the median of its kind. An idle worker among workers at
/// [`MAX_LISTED_LOAD`] stays below it.
const MAX_SIZE_TO_MEDIAN_RATIO: f64 = 2.0 * (1.0 + MAX_LISTED_LOAD);
/// Weight of one endpoint list in a worker's mean listed load: about the last 3 lists contribute.
const LISTED_LOAD_GAIN: f64 = 0.35;
/// Age of the listed sizes when an endpoint list arrives, in seconds.
const LIST_AGE_SECONDS: f64 = 0.9;
/// Time constant, in seconds, with which the load expected of a worker decays from the last listed load to
/// the worker's mean listed load.
const LIST_DECAY_SECONDS: f64 = 1.0;

/// Listed loads of all workers, derived from their listed sizes.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedLoads {
    workers: Vec<ListedLoad>,
    /// Largest plausible size listed for each worker kind, which is taken for the size of an idle worker.
    max_sizes: Vec<f64>,
}

/// Listed load of one worker, derived from its listed size.
#[derive(Clone, Copy, Debug, Default)]
struct ListedLoad {
    /// The worker's size in the last endpoint list.
    size: Option<f64>,
    /// Slots of the worker that all dispatchers use, according to `size`.
    slots: f64,
    /// Moving average of `slots` over the endpoint lists.
    mean_slots: f64,
    listed_at: Option<Micros>,
}

impl ListedLoads {
    /// Resizes the tables for the given numbers of workers and worker kinds.
    pub(super) fn resize(&mut self, worker_count: usize, kind_count: usize) {
        self.workers.resize(worker_count, ListedLoad::default());
        self.max_sizes.resize(kind_count, 0.0);
    }

    /// Discards the listed load of a worker that has restarted.
    pub(super) fn reset(&mut self, worker: usize) {
        self.workers[worker].listed_at = None;
    }

    /// Sets a worker's listed size. A size that is not valid counts as absent; an unknown worker is ignored.
    pub(super) fn set_size(&mut self, worker: usize, size: Option<f64>) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.size = validated(size, MAX_VALID_VALUE);
        }
    }

    /// Learns the size of an idle worker of each kind: the largest size of the kind. Implausibly large sizes
    /// are left out, since all other workers would look loaded beside them. `kinds` yields the kind of every
    /// worker, in the order of their indices.
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

    /// Records the load that a ready worker's listed size shows, at most [`MAX_LISTED_LOAD`]. The listed load
    /// includes the requests of all dispatchers, which no other source shows as early. `slots` is the number
    /// of slots of the worker, `mean_request_slots` the mean number that a request occupies.
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

    /// Slots that other dispatchers are expected to occupy at a worker: the value of the last list, which
    /// decays to the worker's mean as it ages. `None` if no load is known for this worker. `local_share`, the
    /// fraction of all requests that this dispatcher handles, is subtracted.
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
