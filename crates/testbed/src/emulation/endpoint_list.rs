//! The endpoint list that discovery serves to schedulers. Each change of the list has a revision number.
use copperspread_dispatcher::{Endpoint, EndpointUpdateKind, WorkerId};

/// A worker's endpoint, with the revision of the endpoint list in which this endpoint last changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionedEndpoint {
    /// The revision of the endpoint list in which this endpoint last changed.
    pub revision: u64,
    /// The worker's endpoint, as it is since its last change.
    pub endpoint: Endpoint,
}

/// The endpoint list that discovery serves. Its revision numbers show which endpoints have changed since a
/// scheduler's last poll.
pub(crate) struct VersionedEndpointList {
    /// The revision number of the endpoint list, which each change increases by 1.
    pub revision: u64,
    /// The endpoints, indexed by worker number.
    pub endpoints: Vec<VersionedEndpoint>,
    /// The revision at which the whole endpoint list was last replaced. A scheduler that knows only an
    /// earlier revision gets the full list. The value is 0 if the list was never replaced.
    pub full_list_since: u64,
    /// Number of discovery outages that are in progress. Discovery responds only while this number is 0.
    pub outages: u32,
    /// Workers that changed during an outage of discovery. The endpoint list shows their changes only when
    /// the outage ends.
    pub unpublished_workers: Vec<WorkerId>,
    /// The endpoints as they were at the start of the active `DiscoveryContradicts` fault; `None` if no such
    /// fault is active. During the fault, discovery serves these old endpoints and the current ones in turn.
    pub stale_copy: Option<Vec<Endpoint>>,
}

impl VersionedEndpointList {
    /// Creates an endpoint list of these endpoints, at revision 1.
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

    /// Replaces the entries of some workers in the endpoint list, and increases the list's revision by 1.
    pub(crate) fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.revision += 1;
        for endpoint in endpoints {
            let entry = VersionedEndpoint { revision: self.revision, endpoint };
            self.endpoints[endpoint.worker.0 as usize] = entry;
        }
    }

    /// Replaces all endpoints of the list. At the next poll, every scheduler then gets the full list, not
    /// only the changes.
    pub(crate) fn replace_all(&mut self, endpoints: Vec<Endpoint>) {
        self.update(endpoints);
        self.full_list_since = self.revision;
    }

    /// Returns the update for a scheduler that knows the list's revision `known`: the endpoints that have
    /// changed since then. The update is the full list if `known` is absent or out of range. Returns `None`
    /// if nothing has changed.
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
