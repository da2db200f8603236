//! The table of endpoints, by the dense numbers that the dispatch policy knows them by. It knows no endpoint
//! source's own form.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperspread_dispatcher::{Endpoint, Micros, WorkerId, WorkerState};
use copperspread_settings::{EndpointList, EndpointPhase, EndpointRecord, ProxySettings, name_key};
use http::uri::Authority;

use crate::clock::ClockReading;
use crate::worker_starts::WorkerStarts;

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// It was kept since before the program's start, and may be old.
    Cache,
    /// Discovery has answered it.
    Discovery,
}

/// Dense numbers for names. A number is never given to another name.
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

    /// The number of a name, which gets the next one if it has none.
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
    /// By worker id.
    entries: Vec<Entry>,
    starts: WorkerStarts,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    /// Where it listens now.
    address: Authority,
    phase: EndpointPhase,
    start: Option<WorkerStart>,
}

/// A worker's last start.
#[derive(Clone, Copy, Debug)]
struct WorkerStart {
    /// In Unix time, as listed.
    listed: Micros,
    /// By the scheduler's own clock.
    estimated: Micros,
}

impl Table {
    /// Applies one record and returns it in the policy's form.
    fn apply_record(&mut self, record: &EndpointRecord, reading: ClockReading) -> Endpoint {
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
            hash_key: name_key(&record.id),
        }
    }

    /// A start that is listed again keeps its estimate.
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

/// The table of endpoints. An endpoint may change its address; its worker id stays. Written only through the
/// endpoint publisher.
#[derive(Debug)]
pub struct EndpointTable {
    table: Mutex<Table>,
}

impl EndpointTable {
    /// An empty table that numbers the settings' zones and kinds in their order.
    pub fn new(settings: &ProxySettings) -> EndpointTable {
        let table = Table {
            revision: 0,
            ids: NameIndex::default(),
            zones: NameIndex::from_names(&settings.zones),
            kinds: NameIndex::from_names(&settings.kinds),
            entries: Vec::new(),
            starts: WorkerStarts::default(),
        };
        EndpointTable { table: Mutex::new(table) }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The next list comes from another discovery, which may count its revisions in another way.
    pub fn reset_revision(&self) {
        let mut table = self.lock();
        table.revision = 0;
        table.starts.forget_answers();
    }

    /// Applies a list and returns its endpoints in the policy's form, or nothing where the table already holds
    /// a newer revision. The clocks are read as the list comes.
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

    /// Where a worker listens now, while it takes new work.
    pub fn serving_address(&self, worker: WorkerId) -> Option<Authority> {
        let table = self.lock();
        let entry = table.entries.get(worker.0 as usize)?;
        (entry.phase == EndpointPhase::Serving).then(|| entry.address.clone())
    }

    /// Where a worker was last known to listen, whatever its phase.
    pub fn last_known_address(&self, worker: WorkerId) -> Option<Authority> {
        self.lock().entries.get(worker.0 as usize).map(|entry| entry.address.clone())
    }

    /// A worker's name; empty if there is none of this number.
    pub fn name(&self, worker: WorkerId) -> Arc<str> {
        let table = self.lock();
        table.entries.get(worker.0 as usize).map(|entry| Arc::clone(&entry.name)).unwrap_or_default()
    }

    /// The worker id of a worker's name.
    pub fn worker_by_name(&self, name: &str) -> Option<WorkerId> {
        self.lock().ids.numbers.get(name).copied().map(WorkerId)
    }
}
