//! Converts between the worker names on the wire and the worker ids of one dispatcher.
use copperspread_dispatcher::WorkerId;
use rustc_hash::FxHashMap;

/// The names and ids of the workers that one scheduler instance knows. An id stays with its worker and is
/// never reused.
#[derive(Default)]
pub(crate) struct WorkerTable {
    ids: FxHashMap<Box<str>, WorkerId>,
    names: Vec<Box<str>>,
}

impl WorkerTable {
    /// Returns the id of the worker with this name, or `None` if no endpoint update has listed the worker.
    pub(crate) fn id(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns the id of the worker with this name. A new worker gets the next free id.
    pub(crate) fn id_or_insert(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.id(name) {
            return id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.names.push(name.into());
        self.ids.insert(name.into(), id);
        id
    }

    /// Returns the name of the worker with this id.
    ///
    /// # Panics
    /// Panics if this table has not assigned the id to any worker.
    pub(crate) fn name(&self, worker: WorkerId) -> &str {
        &self.names[worker.0 as usize]
    }
}
