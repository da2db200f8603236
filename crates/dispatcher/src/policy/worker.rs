//! The workers as discovery lists them, and this dispatcher's attempts there.
use super::affinity::Affinity;
use super::load_reports::ReportedLoad;
use super::local_load::LocalLoad;
use super::outlier_detection::FailureRates;
use super::service_time::WorkerRate;
use super::slow_start::WorkerSlowStart;
use crate::Endpoint;
use crate::WorkerState;

/// Ids are given out densely; one this far beyond the last would only ask for memory.
const MAX_WORKER_ID_GAP: usize = 100_000;
/// Kinds and zones are numbered densely too; a number beyond this would only ask for memory.
const MAX_GROUPS: usize = 10_000;

/// What is known of a worker. What is learned of it belongs to the parts that learn it, and only they look
/// in. It lies here so that a comparison of workers reads one place for each: with a vector in each part a
/// decision among 10 workers took 7 %, among 1,000 workers 13 to 18 % more instructions.
#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    pub(super) state: WorkerState,
    pub(super) zone: u32,
    pub(super) kind: u32,
    pub(super) cell: u32,
    pub(super) local_load: LocalLoad,
    pub(super) rate: WorkerRate,
    pub(super) reported: ReportedLoad,
    pub(super) slow_start: WorkerSlowStart,
    pub(super) failure_rates: FailureRates,
    pub(super) affinity: Affinity,
}

/// How many workers, kinds and zones there are room for: of each, one more than the highest number seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TableSize {
    pub(super) workers: usize,
    pub(super) kinds: usize,
    pub(super) zones: usize,
}

/// All workers ever listed, by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerTable {
    workers: Vec<Worker>,
    size: TableSize,
}

impl WorkerTable {
    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn size(&self) -> TableSize {
        self.size
    }

    pub(super) fn get(&self, index: usize) -> Option<&Worker> {
        self.workers.get(index)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    pub(super) fn is_ready(&self, index: usize) -> bool {
        self.workers[index].state == WorkerState::Ready
    }

    pub(super) fn ready_count(&self) -> usize {
        self.workers.iter().filter(|worker| worker.state == WorkerState::Ready).count()
    }

    /// Takes all workers from the list, before it is read anew.
    pub(super) fn remove_all(&mut self) {
        self.workers.iter_mut().for_each(|worker| worker.state = WorkerState::Removed);
    }

    /// Takes an endpoint as listed; one with an absurd number is ignored. Its worker's number, and whether
    /// the table has grown.
    pub(super) fn apply(&mut self, endpoint: &Endpoint) -> Option<AppliedEndpoint> {
        let index = endpoint.worker.0 as usize;
        let kind = endpoint.kind as usize;
        let zone = endpoint.zone as usize;
        if index > self.workers.len() + MAX_WORKER_ID_GAP || kind > MAX_GROUPS || zone > MAX_GROUPS {
            return None;
        }
        let size_before = self.size;
        self.size.workers = self.size.workers.max(index + 1);
        self.size.kinds = self.size.kinds.max(kind + 1);
        self.size.zones = self.size.zones.max(zone + 1);
        self.workers.resize_with(self.size.workers, Worker::default);
        let worker = &mut self.workers[index];
        worker.state = endpoint.state;
        worker.zone = endpoint.zone;
        worker.kind = endpoint.kind;
        worker.cell = endpoint.cell;
        Some(AppliedEndpoint { index, has_grown: self.size != size_before })
    }
}

/// What applying an endpoint did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AppliedEndpoint {
    /// The worker's number.
    pub(super) index: usize,
    /// There are more workers, kinds or zones than before.
    pub(super) has_grown: bool,
}

impl std::ops::Index<usize> for WorkerTable {
    type Output = Worker;

    fn index(&self, index: usize) -> &Worker {
        &self.workers[index]
    }
}

impl std::ops::IndexMut<usize> for WorkerTable {
    fn index_mut(&mut self, index: usize) -> &mut Worker {
        &mut self.workers[index]
    }
}

#[cfg(test)]
#[path = "../../tests/unit/worker.rs"]
mod tests;
