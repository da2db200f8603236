//! The endpoint table: the known workers with their addresses and states.
//!
//! The table assigns each worker the id that the dispatch policy uses. The ids are counted from 0 without
//! gaps. The table does not depend on the formats in which endpoint sources deliver lists.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperspread_dispatcher::{Endpoint, Micros, WorkerId, WorkerState};
use copperspread_settings::{EndpointList, EndpointPhase, ListedEndpoint, ProxySettings, name_hash};
use http::uri::Authority;

use crate::clock::ClockReading;
use crate::worker_starts::WorkerStarts;

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The endpoint list comes from the cache: it was stored before the scheduler process started and may be
    /// out of date.
    Cache,
    /// The endpoint list comes from discovery or, without a discovery service, from the loaded configuration.
    Discovery,
}

/// Assigns numbers to names, such as worker ids to the names of workers. The numbers are counted from 0
/// without gaps. A name keeps its number, which no other name gets.
#[derive(Debug, Default)]
struct NameIndex {
    numbers: HashMap<String, u32>,
}

impl NameIndex {
    fn from_names(names: &[String]) -> NameIndex {
        let mut index = NameIndex::default();
        for name in names {
            index.get_or_insert(name);
        }
        index
    }

    /// Returns the number assigned to `name`. A name that has no number yet gets the next free number.
    fn get_or_insert(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

#[derive(Debug)]
struct Table {
    revision: u64,
    ids: NameIndex,
    zones: NameIndex,
    kinds: NameIndex,
    /// The workers' entries. The position of an entry is the worker's id.
    entries: Vec<Entry>,
    starts: WorkerStarts,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    /// The worker's address in the last list that contained the worker.
    address: Authority,
    phase: EndpointPhase,
    start: Option<WorkerStart>,
}

/// The time at which a worker last started: the Unix time that the endpoint list gives, and an estimate on
/// the scheduler's clock.
#[derive(Clone, Copy, Debug)]
struct WorkerStart {
    /// The worker's start time as given in the endpoint list, in microseconds since the Unix epoch.
    listed: Micros,
    /// The worker's estimated start time, in microseconds on the scheduler's clock. The estimate can differ
    /// from the listed time, for example if the wall clock was changed.
    estimated: Micros,
}

impl Table {
    /// Applies one record of an endpoint list to the table, and returns the record in the form that the
    /// dispatch policy takes.
    fn apply_record(&mut self, record: &ListedEndpoint, reading: ClockReading) -> Endpoint {
        let number = self.ids.get_or_insert(&record.id);
        let former_start = self.entries.get(number as usize).and_then(|entry| entry.start);
        let start = record.started_at.map(|listed| self.worker_start(former_start, listed, reading));
        match self.entries.get_mut(number as usize) {
            Some(entry) => {
                entry.address = record.address.clone();
                entry.phase = record.phase;
                entry.start = start.or(former_start);
            }
            None => self.entries.push(Entry {
                name: record.id.as_str().into(),
                address: record.address.clone(),
                phase: record.phase,
                start,
            }),
        }
        Endpoint {
            worker: WorkerId(number),
            zone: self.zones.get_or_insert(&record.zone),
            kind: self.kinds.get_or_insert(&record.kind),
            cell: record.cell,
            state: match record.phase {
                EndpointPhase::Serving => WorkerState::Ready,
                EndpointPhase::Draining => WorkerState::Draining,
                EndpointPhase::Deleted => WorkerState::Removed,
            },
            started_at: start.map(|start| start.estimated),
            size: record.size,
            hash_key: name_hash(&record.id),
        }
    }

    /// Returns a worker's listed and estimated start time. If the listed start time has not changed, the
    /// previous estimate is kept. Otherwise the start time is estimated anew.
    fn worker_start(
        &self,
        former: Option<WorkerStart>,
        listed: Micros,
        reading: ClockReading,
    ) -> WorkerStart {
        let kept = former.filter(|former| former.listed == listed);
        kept.unwrap_or_else(|| WorkerStart { listed, estimated: self.starts.estimate(listed, reading) })
    }
}

/// The endpoint table: the known workers with their addresses and states. Only the endpoint publisher updates
/// the table. A worker keeps its id when its address changes.
#[derive(Debug)]
pub struct EndpointTable {
    table: Mutex<Table>,
}

impl EndpointTable {
    /// Creates a table without workers. Zones and worker kinds are numbered in the order of the settings.
    pub fn new(settings: &ProxySettings) -> EndpointTable {
        let table = Table {
            revision: 0,
            ids: NameIndex::default(),
            zones: NameIndex::from_names(&settings.zones),
            kinds: NameIndex::from_names(&settings.worker_kinds),
            entries: Vec::new(),
            starts: WorkerStarts::default(),
        };
        EndpointTable { table: Mutex::new(table) }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets the revision of the last list and the time of discovery's last answer.
    ///
    /// Called when the next list comes from another discovery service. The revisions of that service cannot
    /// be compared with those of the previous service.
    pub fn reset_revision(&self) {
        let mut table = self.lock();
        table.revision = 0;
        table.starts.forget_last_answer();
    }

    /// Applies a list to the table, and returns the list's endpoints in the form that the dispatch policy
    /// takes.
    ///
    /// Returns `None`, and applies nothing, if the table already has a newer revision. `reading` holds the
    /// times of the scheduler's clock and of the wall clock when the list was received.
    pub fn apply(
        &self,
        list: &EndpointList,
        origin: ListOrigin,
        reading: ClockReading,
    ) -> Option<Vec<Endpoint>> {
        let mut table = self.lock();
        if list.revision < table.revision {
            return None;
        }
        table.revision = list.revision;
        if list.complete {
            table.entries.iter_mut().for_each(|entry| entry.phase = EndpointPhase::Deleted);
        }
        table.starts.observe_clocks(reading);
        let endpoints = list.endpoints.iter().map(|record| table.apply_record(record, reading)).collect();
        if origin == ListOrigin::Discovery {
            table.starts.record_answer(reading);
        }
        Some(endpoints)
    }

    /// The address of a worker, or `None` if the worker is draining, removed or unknown.
    pub fn serving_address(&self, worker: WorkerId) -> Option<Authority> {
        let table = self.lock();
        let entry = table.entries.get(worker.0 as usize)?;
        (entry.phase == EndpointPhase::Serving).then(|| entry.address.clone())
    }

    /// The last known address of a worker, even if the worker is draining or removed. `None` if the worker is
    /// unknown.
    pub fn last_known_address(&self, worker: WorkerId) -> Option<Authority> {
        self.lock().entries.get(worker.0 as usize).map(|entry| entry.address.clone())
    }

    /// The name of a worker, or an empty string if the id is unknown.
    pub fn name(&self, worker: WorkerId) -> Arc<str> {
        let table = self.lock();
        table.entries.get(worker.0 as usize).map(|entry| Arc::clone(&entry.name)).unwrap_or_default()
    }

    /// Returns the number of workers in the table, including those that are draining or removed.
    pub fn known_workers(&self) -> usize {
        self.lock().entries.len()
    }

    /// The id of the worker with the given name, or `None` if the table has no such worker.
    pub fn worker_by_name(&self, name: &str) -> Option<WorkerId> {
        self.lock().ids.numbers.get(name).copied().map(WorkerId)
    }
}
