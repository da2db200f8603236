//! The worker list as each scheduler's agent has it.
use copperspread_dispatcher::{Endpoint, EndpointUpdateKind};

/// The list: what all agents have been sent.
pub struct VersionedEndpointList {
    /// Grows with each change.
    pub revision: u64,
    /// Each worker with the revision of its last change.
    pub endpoints: Vec<(u64, Endpoint)>,
    /// Whoever has an older one gets the whole list.
    pub full_list_since: u64,
    /// The agents stay silent.
    pub outages: u32,
    /// Workers whose change waits for discovery to be back.
    pub unannounced_workers: Vec<u32>,
    /// The list as it was when it began to contradict itself.
    pub stale_copy: Option<Vec<Endpoint>>,
}

impl VersionedEndpointList {
    /// A first list.
    pub fn new(entries: Vec<Endpoint>) -> VersionedEndpointList {
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        VersionedEndpointList {
            revision: 1,
            endpoints: entries,
            full_list_since: 0,
            outages: 0,
            unannounced_workers: Vec::new(),
            stale_copy: None,
        }
    }

    /// Entries change.
    pub fn update(&mut self, entries: Vec<Endpoint>) {
        self.revision += 1;
        for entry in entries {
            self.endpoints[entry.worker.0 as usize] = (self.revision, entry);
        }
    }

    /// The whole list is another one, and everyone gets it as such.
    pub fn replace_all(&mut self, entries: Vec<Endpoint>) {
        self.update(entries);
        self.full_list_since = self.revision;
    }

    /// What an agent answers whoever has this revision, if it has something newer.
    pub fn changes_since(&self, from: Option<u64>) -> Option<(EndpointUpdateKind, Vec<Endpoint>)> {
        match from {
            Some(from) if from >= self.full_list_since && from <= self.revision => {
                let newer = self.endpoints.iter().filter(|(revision, _)| *revision > from);
                let newer: Vec<_> = newer.map(|(_, entry)| *entry).collect();
                (!newer.is_empty()).then_some((EndpointUpdateKind::Changes, newer))
            }
            _ => Some((EndpointUpdateKind::Full, self.endpoints.iter().map(|(_, entry)| *entry).collect())),
        }
    }
}
