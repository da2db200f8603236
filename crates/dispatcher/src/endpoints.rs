//! Endpoints, which describe workers, and endpoint updates from discovery.
use crate::time::Micros;

/// Identifies a worker. The caller assigns ids densely from 0 and never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct WorkerId(pub u32);

/// Whether a worker takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker accepts new requests.
    Ready,
    /// The worker completes the requests that it has and accepts no new ones.
    Draining,
    /// The worker is no longer in the endpoint list.
    #[default]
    Removed,
}

/// The entry of one worker in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The worker that this entry describes.
    pub worker: WorkerId,
    /// Zone of the worker, numbered densely from 0.
    pub zone: u32,
    /// Worker kind, such as a machine type, numbered densely from 0.
    pub kind: u32,
    /// Cell of the worker: a group of workers that shares a store of idempotency keys.
    pub cell: u32,
    /// Whether the worker accepts new requests.
    pub state: WorkerState,
    /// Time of the worker's last start, on the caller's clock; `None` means long ago.
    pub started_at: Option<Micros>,
    /// A number that is the same for this worker at every dispatcher and differs between workers, such as a
    /// hash of the worker's name.
    pub hash_key: u64,
    /// Size of the worker in the endpoint list: a measure of its capacity, comparable between workers, which
    /// decreases with the worker's load if
    /// [`Settings::listed_sizes_reflect_load`](crate::Settings::listed_sizes_reflect_load) is set. A value that
    /// is not finite, not above 0, or above 10,000 counts as absent.
    pub size: Option<f64>,
}

/// Which endpoints an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the endpoints that have changed.
    Changes,
    /// All endpoints of the list.
    Full,
    /// All endpoints as known before a restart of the dispatcher, possibly outdated.
    Cached,
    /// No endpoints: a poll failed or the subscription was lost.
    Failed,
}

/// An update from discovery, or the notice that a poll failed.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate<'a> {
    /// Which endpoints `endpoints` contains.
    pub kind: EndpointUpdateKind,
    /// Version of the endpoint list; an update with an older version than the known one is ignored.
    pub version: u64,
    /// The changed endpoints or all of them, depending on `kind`.
    pub endpoints: &'a [Endpoint],
}
