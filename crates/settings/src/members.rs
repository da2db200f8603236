//! A worker list in the form that all sources share.
use std::hash::Hasher;

use copperspread_dispatcher::Micros;
use http::uri::Authority;

/// What discovery says of one service entry's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It left the list.
    Deleted,
}

/// One service entry as discovery tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The real server's name, the same at every scheduler.
    pub id: String,
    /// Where it listens, as seen from here.
    pub address: Authority,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes work.
    pub phase: EndpointPhase,
    /// Its last start, in Unix time; `None` is long ago.
    pub started_at: Option<Micros>,
    /// Its size as listed, if a figure is.
    pub size: Option<f64>,
}

/// One answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub revision: u64,
    /// All entries, or only those that changed.
    pub complete: bool,
    /// The entries.
    pub endpoints: Vec<EndpointRecord>,
}

/// A key of a worker's name, the same on every machine: FNV-1a of its bytes.
pub fn name_key(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

#[cfg(test)]
#[path = "../tests/unit/members.rs"]
mod tests;
