//! The workers that one instance knows, numbered as its dispatcher wants them.
use copperspread_dispatcher::WorkerId;
use rustc_hash::FxHashMap;

/// Names and numbers of workers. A number is never given twice, and none is taken back.
#[derive(Default)]
pub(crate) struct WorkerTable {
    ids: FxHashMap<Box<str>, WorkerId>,
    names: Vec<Box<str>>,
}

impl WorkerTable {
    /// A worker's number, if it has been listed.
    pub(crate) fn id(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// A worker's number, the next free one if it has none yet.
    pub(crate) fn id_or_insert(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.id(name) {
            return id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.names.push(name.into());
        self.ids.insert(name.into(), id);
        id
    }

    /// The name of a worker that has a number.
    ///
    /// # Panics
    /// A number that this table has not given out.
    pub(crate) fn name(&self, worker: WorkerId) -> &str {
        &self.names[worker.0 as usize]
    }
}
