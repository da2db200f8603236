//! Endpoint lists in the form that all sources of them share.
use std::hash::Hasher;

use copperspread_dispatcher::Micros;
use http::uri::Authority;

/// An endpoint's state as discovery gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes new work.
    Serving,
    /// It finishes the work it has and takes no more.
    Draining,
    /// It left the list.
    Deleted,
}

/// One endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The worker's name, the same at every scheduler.
    pub id: String,
    /// Where it listens, as seen from here.
    pub address: Authority,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub kind: String,
    /// The cell that it belongs to.
    pub cell: u32,
    /// Whether it takes work.
    pub phase: EndpointPhase,
    /// Its last start, in Unix time; `None` is long ago.
    pub started_at: Option<Micros>,
    /// Its size as listed, if it is.
    pub size: Option<f64>,
}

/// One answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The list's version.
    pub revision: u64,
    /// Whether it holds all endpoints, or only those that changed.
    pub complete: bool,
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
}

/// A hash of a worker's name, the same on every machine: FNV-1a of its bytes.
pub fn name_key(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

#[cfg(test)]
#[path = "../tests/unit/endpoints.rs"]
mod tests;
