//! The versioned endpoint list that discovery serves to schedulers.
use copperspread_dispatcher::{Endpoint, EndpointUpdateKind, WorkerId};

/// An endpoint with the revision of its last change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionedEndpoint {
    /// The list's revision in which the endpoint last changed.
    pub revision: u64,
    /// The worker's endpoint as of that revision.
    pub endpoint: Endpoint,
}

/// The endpoint list with the revisions from which incremental updates are computed.
pub(crate) struct VersionedEndpointList {
    /// Revision of the list, incremented by each change.
    pub revision: u64,
    /// The endpoints, indexed by worker number.
    pub endpoints: Vec<VersionedEndpoint>,
    /// The list's revision at its last full replacement; schedulers whose known revision is earlier get the
    /// full list.
    pub full_list_since: u64,
    /// Number of outages of discovery that are in progress; discovery responds only while this number is 0.
    pub outages: u32,
    /// Workers that changed during an outage of discovery; their endpoints are updated when the outage ends.
    pub unpublished_workers: Vec<WorkerId>,
    /// Copy of the list from the start of a `DiscoveryContradicts` fault; `None` without the fault.
    pub stale_copy: Option<Vec<Endpoint>>,
}

impl VersionedEndpointList {
    /// A list of these endpoints, at revision 1.
    pub(crate) fn new(endpoints: Vec<Endpoint>) -> VersionedEndpointList {
        let first = |endpoint| VersionedEndpoint { revision: 1, endpoint };
        VersionedEndpointList {
            revision: 1,
            endpoints: endpoints.into_iter().map(first).collect(),
            full_list_since: 0,
            outages: 0,
            unpublished_workers: Vec::new(),
            stale_copy: None,
        }
    }

    /// Replaces the given endpoints in one new revision.
    pub(crate) fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.revision += 1;
        for endpoint in endpoints {
            let entry = VersionedEndpoint { revision: self.revision, endpoint };
            self.endpoints[endpoint.worker.0 as usize] = entry;
        }
    }

    /// Replaces the list; every scheduler then gets the full list instead of the changes.
    pub(crate) fn replace_all(&mut self, endpoints: Vec<Endpoint>) {
        self.update(endpoints);
        self.full_list_since = self.revision;
    }

    /// The update for a scheduler that has the `known` revision: the changes since then, or the full list if
    /// the revision is absent or out of range. Returns `None` if nothing has changed.
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
