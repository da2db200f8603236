//! Endpoint lists, in one form for all sources of discovery.
use std::hash::Hasher;

use copperspread_dispatcher::Micros;
use http::uri::Authority;

/// The state of an endpoint in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The endpoint accepts new requests.
    Serving,
    /// The endpoint finishes the requests that it has and accepts no new ones.
    Draining,
    /// The endpoint was removed from the list.
    Deleted,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The worker's name, the same at every scheduler.
    pub id: String,
    /// The host and port at which this scheduler reaches the worker.
    pub address: Authority,
    /// The name of the worker's zone.
    pub zone: String,
    /// The name of the worker's kind, such as a machine type.
    pub kind: String,
    /// The number of the worker's cell: the group of workers that shares a store of idempotency keys.
    pub cell: u32,
    /// Whether the worker accepts new requests, finishes those that it has, or was removed.
    pub phase: EndpointPhase,
    /// The time of the worker's last start, in microseconds since the Unix epoch. `None` if the time is
    /// unknown, which counts as long ago.
    pub started_at: Option<Micros>,
    /// The size that the endpoint list gives for the worker: a measure of capacity that can be compared
    /// between workers. `None` if the list gives no size for the worker.
    pub size: Option<f64>,
}

/// An endpoint list with its version, as discovery publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list. A scheduler compares versions to recognize a list that is older than the one
    /// it has.
    pub revision: u64,
    /// Whether the list holds all endpoints. If not, it holds only those that changed.
    pub complete: bool,
    /// The entries of the list: all endpoints, or those that changed.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Computes the FNV-1a hash of a worker's name, which is the same on every machine.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

#[cfg(test)]
#[path = "../tests/unit/endpoints.rs"]
mod tests;
