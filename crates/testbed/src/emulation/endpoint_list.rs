//! The worker list as each scheduler's agent has it.
use copperspread_dispatcher::{Endpoint, EndpointUpdateKind};

/// The list: what all agents have been sent.
pub struct Listing {
    /// Grows with each change.
    pub revision: u64,
    /// Each worker with the revision of its last change.
    pub entries: Vec<(u64, Endpoint)>,
    /// Whoever has an older one gets the whole list.
    pub whole_from: u64,
    /// The agents stay silent.
    pub down: u32,
    /// Workers whose change waits for discovery to be back.
    pub untold: Vec<u32>,
    /// The list as it was when it began to contradict itself.
    pub contradicted: Option<Vec<Endpoint>>,
}

impl Listing {
    /// A first list.
    pub fn new(entries: Vec<Endpoint>) -> Listing {
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        Listing { revision: 1, entries, whole_from: 0, down: 0, untold: Vec::new(), contradicted: None }
    }

    /// Entries change.
    pub fn change(&mut self, entries: Vec<Endpoint>) {
        self.revision += 1;
        for entry in entries {
            self.entries[entry.worker.0 as usize] = (self.revision, entry);
        }
    }

    /// The whole list is another one, and everyone gets it as such.
    pub fn replace(&mut self, entries: Vec<Endpoint>) {
        self.change(entries);
        self.whole_from = self.revision;
    }

    /// What an agent answers whoever has this revision, if it has something newer.
    pub fn since(&self, from: Option<u64>) -> Option<(EndpointUpdateKind, Vec<Endpoint>)> {
        match from {
            Some(from) if from >= self.whole_from && from <= self.revision => {
                let newer = self.entries.iter().filter(|(revision, _)| *revision > from);
                let newer: Vec<_> = newer.map(|(_, entry)| *entry).collect();
                (!newer.is_empty()).then_some((EndpointUpdateKind::Changes, newer))
            }
            _ => Some((EndpointUpdateKind::Full, self.entries.iter().map(|(_, entry)| *entry).collect())),
        }
    }
}
