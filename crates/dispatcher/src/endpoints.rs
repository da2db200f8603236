//! Endpoints, which describe workers, and endpoint updates from discovery.
use crate::time::Micros;

/// Identifies a worker. The caller assigns consecutive ids from 0 and never reuses an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct WorkerId(pub u32);

/// Whether a worker accepts new requests.
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
    /// Number of the worker's zone; zones have consecutive numbers from 0.
    pub zone: u32,
    /// Number of the worker's kind, such as a machine type; kinds have consecutive numbers from 0.
    pub kind: u32,
    /// Number of the worker's cell, which is a group of workers that share a store of idempotency keys.
    pub cell: u32,
    /// Whether the worker accepts new requests.
    pub state: WorkerState,
    /// Time of the worker's last start, on the caller's clock. `None` counts as long ago.
    pub started_at: Option<Micros>,
    /// A number that is the same for this worker at every dispatcher and differs between workers, such as a
    /// hash of the worker's name.
    pub hash_key: u64,
    /// Size that the endpoint list gives for the worker: a measure of capacity that can be compared between
    /// workers. If
    /// [`Settings::listed_sizes_reflect_load`](crate::Settings::listed_sizes_reflect_load) is set, the size
    /// decreases with the worker's load. A value that is not finite, not above 0, or above 10,000 counts as
    /// absent.
    pub size: Option<f64>,
}

/// Which endpoints an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the endpoints that have changed.
    Changes,
    /// All endpoints of the list.
    Full,
    /// All endpoints that were known before a restart of the dispatcher. They may be outdated.
    Cached,
    /// No endpoints, because a poll of discovery failed or the subscription was lost.
    Failed,
}

/// An update of the endpoint list from discovery, or the notice that a poll of discovery failed.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate<'a> {
    /// Which endpoints of the list the field `endpoints` contains.
    pub kind: EndpointUpdateKind,
    /// Version of the endpoint list. A dispatcher ignores an update whose version is older than the one that
    /// it knows.
    pub version: u64,
    /// The endpoints in this update: the changed ones or all of them, depending on `kind`.
    pub endpoints: &'a [Endpoint],
}
