//! Listed load: where a worker's listed size falls with its load, it shows what all dispatchers have there.
use super::average::move_average;
use super::figures::MAX_FIGURE;
use super::figures::validated;
use super::remote_slots::RemoteSlots;
use crate::Micros;
use crate::time::to_seconds;

/// Most that a listed size shows of what a worker holds, in times its slots.
const MAX_LISTED_LOAD: f64 = 8.0;
/// A size so many times the median is no worker's: an idle one among others at their maximum shows less.
const MAX_SIZE_TO_MEDIAN: f64 = 2.0 * (1.0 + MAX_LISTED_LOAD);
/// Weight of one list in what a worker usually holds: about the last three count.
const LISTED_LOAD_GAIN: f64 = 0.35;
/// Age of a list's figures when it comes, in seconds.
const LIST_AGE_SECONDS: f64 = 0.9;
/// What a list shows fades toward what the worker usually holds in this time, in seconds.
const LIST_FADE_SECONDS: f64 = 1.0;

/// What the lists show of workers' load.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedLoads {
    workers: Vec<ListedLoad>,
    /// By kind, the largest size listed: that of an idle worker.
    max_sizes: Vec<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ListedLoad {
    /// Size as last listed.
    size: Option<f64>,
    /// Slots taken by all dispatchers by that, and by the mean of the lists.
    slots: f64,
    mean_slots: f64,
    listed_at: Option<Micros>,
}

impl ListedLoads {
    /// Makes room for so many workers and kinds.
    pub(super) fn resize(&mut self, worker_count: usize, kind_count: usize) {
        self.workers.resize(worker_count, ListedLoad::default());
        self.max_sizes.resize(kind_count, 0.0);
    }

    /// Forgets the load of a worker that has started anew.
    pub(super) fn reset(&mut self, worker: usize) {
        self.workers[worker].listed_at = None;
    }

    /// Takes a worker's size as listed; an unknown worker's is ignored.
    pub(super) fn set_size(&mut self, worker: usize, size: Option<f64>) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.size = validated(size, MAX_FIGURE);
        }
    }

    /// Learns the size of an idle worker of each kind: the kind's largest, but for an absurd one, beside
    /// which all others would look loaded. `kinds` are those of all workers.
    pub(super) fn learn_max_sizes(&mut self, kinds: impl Iterator<Item = u32>) {
        let kinds_and_sizes = kinds.zip(&self.workers);
        let mut sizes: Vec<_> = kinds_and_sizes.filter_map(|(kind, of)| Some((kind, of.size?))).collect();
        sizes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for kind in sizes.chunk_by(|a, b| a.0 == b.0) {
            let median = kind[(kind.len() - 1) / 2].1;
            let max = MAX_SIZE_TO_MEDIAN * median;
            let largest = kind.iter().rev().map(|of| of.1).find(|&size| size <= max).unwrap_or(max);
            let known = &mut self.max_sizes[kind[0].0 as usize];
            *known = known.max(largest);
        }
    }

    /// Takes what a ready worker's listed size shows: all that the worker holds, known to nobody else so
    /// soon. `slots` are the worker's own, `mean_request_slots` those that a request takes.
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

    /// Slots that the other dispatchers take at a worker by the last list, fading to what it usually holds.
    pub(super) fn remote_slots(&self, now: Micros, worker: usize, local_part: f64) -> Option<RemoteSlots> {
        let worker = &self.workers[worker];
        let listed_at = worker.listed_at?;
        let age = LIST_AGE_SECONDS + to_seconds(now.saturating_sub(listed_at));
        let fresh = (-age / LIST_FADE_SECONDS).exp();
        let all = worker.mean_slots + (worker.slots - worker.mean_slots) * fresh;
        Some(RemoteSlots { mean: all * (1.0 - local_part), variance: all * (1.0 - fresh * fresh) })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listed_load.rs"]
mod tests;
