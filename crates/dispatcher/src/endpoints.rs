//! Workers as discovery lists them.
use crate::time::Micros;

/// A worker, by a small number that the caller gives out densely from 0 and never reuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct WorkerId(pub u32);

/// Whether a worker takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes requests.
    Ready,
    /// It completes what it has.
    Draining,
    /// It left the endpoint list.
    #[default]
    Removed,
}

/// One worker of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Which worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: u32,
    /// The kind of machine.
    pub kind: u32,
    /// The cell, a group that shares the memory of idempotency keys.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: WorkerState,
    /// When it last started; `None` is long ago.
    pub started_at: Option<Micros>,
    /// A figure that is the same for this worker at every dispatcher and unlike other workers', such as
    /// a hash of its name.
    pub hash_key: u64,
    /// Its size as listed: a figure to compare with other workers' (see
    /// [`Settings::sizes_reflect_load`](crate::Settings::sizes_reflect_load)).
    /// Taken for absent where it is not a finite figure above 0.
    pub size: Option<f64>,
}

/// What an endpoint update holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the endpoints that changed.
    Changes,
    /// All endpoints.
    Full,
    /// All endpoints as last held before a restart, possibly old.
    Cached,
    /// A poll failed or the subscription dropped; no endpoints.
    Failed,
}

/// What discovery answered, or that it did not.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate<'a> {
    /// What the endpoints are.
    pub kind: EndpointUpdateKind,
    /// The version of the endpoint list.
    pub version: u64,
    /// The endpoints.
    pub endpoints: &'a [Endpoint],
}
