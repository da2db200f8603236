//! The table of service entries, in the numbers that the decision module knows them by. It knows no
//! source's own form.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperspread_dispatcher::*;
use copperspread_settings::{EndpointList, EndpointPhase, ProxySettings, name_key};
use http::uri::Authority;

/// Names told apart by small numbers, which are given out densely and kept for good.
#[derive(Debug, Default)]
struct NameIndex {
    numbers: HashMap<String, u32>,
}

impl NameIndex {
    fn of(known: &[String]) -> NameIndex {
        let mut names = NameIndex::default();
        for name in known {
            names.number(name);
        }
        names
    }

    fn number(&mut self, name: &str) -> u32 {
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
    /// By worker id: where it is now, and its phase.
    entries: Vec<(Authority, EndpointPhase)>,
    /// By worker id: its name.
    names: Vec<Arc<str>>,
}

/// The table of service entries. An entry may change its address; its worker id stays.
#[derive(Debug)]
pub struct EndpointTable {
    table: Mutex<Table>,
}

impl EndpointTable {
    /// An empty table that knows the settings' names of zones and kinds.
    pub fn new(settings: &ProxySettings) -> EndpointTable {
        let table = Table {
            revision: 0,
            ids: NameIndex::default(),
            zones: NameIndex::of(&settings.zones),
            kinds: NameIndex::of(&settings.kinds),
            entries: Vec::new(),
            names: Vec::new(),
        };
        EndpointTable { table: Mutex::new(table) }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another discovery is asked from now on, which may count its revisions in another way.
    pub fn reset_revision(&self) {
        self.table().revision = 0;
    }

    /// Takes a list into the table and returns its entries in the module's form, or nothing where
    /// the table already holds something newer.
    pub fn apply(&self, list: &EndpointList) -> Option<Vec<Endpoint>> {
        let mut table = self.table();
        if list.revision < table.revision {
            return None;
        }
        table.revision = list.revision;
        if list.complete {
            table.entries.iter_mut().for_each(|(_, phase)| *phase = EndpointPhase::Deleted);
        }
        let table = &mut *table;
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for member in &list.endpoints {
            let number = table.ids.number(&member.id);
            let entry = (member.address.clone(), member.phase);
            match table.entries.get_mut(number as usize) {
                Some(known) => *known = entry,
                None => {
                    table.entries.push(entry);
                    table.names.push(member.id.as_str().into());
                }
            }
            entries.push(Endpoint {
                worker: WorkerId(number),
                zone: table.zones.number(&member.zone),
                kind: table.kinds.number(&member.kind),
                cell: member.cell,
                state: match member.phase {
                    EndpointPhase::Serving => WorkerState::Ready,
                    EndpointPhase::Draining => WorkerState::Draining,
                    EndpointPhase::Deleted => WorkerState::Removed,
                },
                started_at: member.started_at,
                size: member.size,
                hash_key: name_key(&member.id),
            });
        }
        Some(entries)
    }

    /// Where a real server listens now, while it takes new work.
    pub fn serving_address(&self, worker: WorkerId) -> Option<Authority> {
        let table = self.table();
        let (address, phase) = table.entries.get(worker.0 as usize)?;
        (*phase == EndpointPhase::Serving).then(|| address.clone())
    }

    /// Where a real server was last known to listen, whatever its phase.
    pub fn last_known_address(&self, worker: WorkerId) -> Option<Authority> {
        self.table().entries.get(worker.0 as usize).map(|(address, _)| address.clone())
    }

    /// A real server's name; empty if there is none of this number.
    pub fn name(&self, worker: WorkerId) -> Arc<str> {
        self.table().names.get(worker.0 as usize).cloned().unwrap_or_default()
    }

    /// The worker id of a real server's name.
    pub fn worker_by_name(&self, name: &str) -> Option<WorkerId> {
        self.table().ids.numbers.get(name).copied().map(WorkerId)
    }
}
