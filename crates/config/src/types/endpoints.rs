//! Settings of the endpoint list's source and of zones.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of the source from which the scheduler gets its endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Source")]
pub struct EndpointSourceConfig {
    /// Kind of source that provides the endpoint list.
    pub kind: EndpointSourceKind,
    /// Host and port of the discovery service; required for kind `targets`, and not allowed for `static`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// The workers, for kind `static`, which needs at least one; read again on SIGHUP.
    pub workers: Vec<Worker>,
}

impl Default for EndpointSourceConfig {
    fn default() -> EndpointSourceConfig {
        let toy_worker = Worker {
            id: "toy-1".into(),
            address: "127.0.0.1:9001".into(),
            zone: "a".into(),
            kind: "toy".into(),
            cell: 0,
            state: WorkerPhase::Serving,
        };
        EndpointSourceConfig { kind: EndpointSourceKind::Static, address: None, workers: vec![toy_worker] }
    }
}

/// Kind of source that provides the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", expecting = "enum SourceKind")]
pub enum EndpointSourceKind {
    /// The list `workers` of this configuration.
    Static,
    /// A discovery service that answers `GET /api/targets` and supports a watch.
    Targets,
}

/// A worker of a static list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Unique id of the worker, which its callbacks carry.
    pub id: String,
    /// Host and port of the worker.
    pub address: String,
    /// Zone of the worker: one of `zones.names`, or empty.
    #[serde(default)]
    pub zone: String,
    /// Worker kind: the kind of machine. A class may be restricted to one kind by its `worker_kind`.
    #[serde(default)]
    pub kind: String,
    /// Cell of the worker: the group that shares idempotency keys where a class's `key_scope` is `cell`.
    #[serde(default)]
    pub cell: u32,
    /// Whether the worker takes new requests.
    #[serde(default)]
    pub state: WorkerPhase,
}

/// Whether a worker takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", expecting = "enum State")]
pub enum WorkerPhase {
    /// The worker takes new requests.
    #[default]
    Serving,
    /// The worker finishes its present requests and takes no new requests.
    Draining,
}

/// Zones of the workers and of this scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Zones")]
pub struct ZoneConfig {
    /// Zone of this scheduler, one of `names`; with membership, at most 64 bytes.
    pub here: String,
    /// Names of all zones.
    pub names: Vec<String>,
    /// Cost of sending a request to another zone, as a fraction of the request's priority weight; 0 or
    /// more.
    pub price_of_crossing: f64,
}

impl Default for ZoneConfig {
    fn default() -> ZoneConfig {
        ZoneConfig { here: "a".into(), names: vec!["a".into()], price_of_crossing: 0.0 }
    }
}
