//! Keeps the endpoint list with its versions, as discovery serves it to each scheduler.
use copperspread_dispatcher::{Endpoint, EndpointUpdateKind, WorkerId};

/// An endpoint and the revision of its last change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionedEndpoint {
    /// The revision.
    pub revision: u64,
    /// The endpoint.
    pub endpoint: Endpoint,
}

/// The endpoint list, with what a scheduler needs that has an earlier revision.
pub(crate) struct VersionedEndpointList {
    /// Grows with each change.
    pub revision: u64,
    /// Each worker's endpoint, by its number.
    pub endpoints: Vec<VersionedEndpoint>,
    /// A scheduler with an earlier revision gets the complete list.
    pub full_list_since: u64,
    /// Outages of discovery that have begun and not ended: it does not respond.
    pub outages: u32,
    /// Workers whose change waits for discovery's recovery.
    pub unannounced_workers: Vec<WorkerId>,
    /// The list as it was when it began to contradict itself.
    pub stale_copy: Option<Vec<Endpoint>>,
}

impl VersionedEndpointList {
    /// A first list.
    pub(crate) fn new(endpoints: Vec<Endpoint>) -> VersionedEndpointList {
        let first = |endpoint| VersionedEndpoint { revision: 1, endpoint };
        VersionedEndpointList {
            revision: 1,
            endpoints: endpoints.into_iter().map(first).collect(),
            full_list_since: 0,
            outages: 0,
            unannounced_workers: Vec::new(),
            stale_copy: None,
        }
    }

    /// Changes some endpoints, in one revision.
    pub(crate) fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.revision += 1;
        for endpoint in endpoints {
            let entry = VersionedEndpoint { revision: self.revision, endpoint };
            self.endpoints[endpoint.worker.0 as usize] = entry;
        }
    }

    /// Replaces the list by another one; every scheduler gets it as a complete list.
    pub(crate) fn replace_all(&mut self, endpoints: Vec<Endpoint>) {
        self.update(endpoints);
        self.full_list_since = self.revision;
    }

    /// What a scheduler with a revision, or with none, has not been sent; `None` if that is nothing.
    pub(crate) fn changes_since(&self, known: Option<u64>) -> Option<(EndpointUpdateKind, Vec<Endpoint>)> {
        match known {
            Some(known) if known >= self.full_list_since && known <= self.revision => {
                let newer = self.endpoints.iter().filter(|entry| entry.revision > known);
                let newer: Vec<_> = newer.map(|entry| entry.endpoint).collect();
                (!newer.is_empty()).then_some((EndpointUpdateKind::Changes, newer))
            }
            _ => {
                let all = self.endpoints.iter().map(|entry| entry.endpoint).collect();
                Some((EndpointUpdateKind::Full, all))
            }
        }
    }
}
