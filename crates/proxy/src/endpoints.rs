//! The table of service entries, in the numbers that the decision module knows them by. It knows no
//! source's own form.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperspread_dispatcher::*;
use copperspread_settings::{List, NodeSettings, Phase, name_key};
use http::uri::Authority;

/// Names told apart by small numbers, which are given out densely and kept for good.
#[derive(Debug, Default)]
struct Names {
    numbers: HashMap<String, u32>,
}

impl Names {
    fn of(known: &[String]) -> Names {
        let mut names = Names::default();
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
    ids: Names,
    zones: Names,
    kinds: Names,
    /// By worker id: where it is now, and its phase.
    entries: Vec<(Authority, Phase)>,
    /// By worker id: its name.
    names: Vec<Arc<str>>,
}

/// The table of service entries. An entry may change its address; its worker id stays.
#[derive(Debug)]
pub struct ServiceEntries {
    table: Mutex<Table>,
}

impl ServiceEntries {
    /// An empty table that knows the settings' names of zones and kinds.
    pub fn new(settings: &NodeSettings) -> ServiceEntries {
        let table = Table {
            revision: 0,
            ids: Names::default(),
            zones: Names::of(&settings.zones),
            kinds: Names::of(&settings.kinds),
            entries: Vec::new(),
            names: Vec::new(),
        };
        ServiceEntries { table: Mutex::new(table) }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another discovery is asked from now on, which may count its revisions in another way.
    pub fn count_anew(&self) {
        self.table().revision = 0;
    }

    /// Takes a list into the table and returns its entries in the module's form, or nothing where
    /// the table already holds something newer.
    pub fn take(&self, list: &List) -> Option<Vec<WorkerEntry>> {
        let mut table = self.table();
        if list.revision < table.revision {
            return None;
        }
        table.revision = list.revision;
        if list.complete {
            table.entries.iter_mut().for_each(|(_, phase)| *phase = Phase::Deleted);
        }
        let table = &mut *table;
        let mut entries = Vec::with_capacity(list.members.len());
        for member in &list.members {
            let number = table.ids.number(&member.id);
            let entry = (member.address.clone(), member.phase);
            match table.entries.get_mut(number as usize) {
                Some(known) => *known = entry,
                None => {
                    table.entries.push(entry);
                    table.names.push(member.id.as_str().into());
                }
            }
            entries.push(WorkerEntry {
                worker: WorkerId(number),
                zone: table.zones.number(&member.zone),
                kind: table.kinds.number(&member.kind),
                cell: member.cell,
                state: match member.phase {
                    Phase::Serving => WorkerState::Ready,
                    Phase::Draining => WorkerState::Draining,
                    Phase::Deleted => WorkerState::Gone,
                },
                started_at: member.started_at,
                size: member.size,
                key: name_key(&member.id),
            });
        }
        Some(entries)
    }

    /// Where a real server listens now, while it takes new work.
    pub fn serving(&self, worker: WorkerId) -> Option<Authority> {
        let table = self.table();
        let (address, phase) = table.entries.get(worker.0 as usize)?;
        (*phase == Phase::Serving).then(|| address.clone())
    }

    /// Where a real server was last known to listen, whatever its phase.
    pub fn address(&self, worker: WorkerId) -> Option<Authority> {
        self.table().entries.get(worker.0 as usize).map(|(address, _)| address.clone())
    }

    /// A real server's name; empty if there is none of this number.
    pub fn name(&self, worker: WorkerId) -> Arc<str> {
        self.table().names.get(worker.0 as usize).cloned().unwrap_or_default()
    }

    /// The worker id of a real server's name.
    pub fn worker(&self, name: &str) -> Option<WorkerId> {
        self.table().ids.numbers.get(name).copied().map(WorkerId)
    }
}
