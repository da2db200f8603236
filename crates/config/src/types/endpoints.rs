//! Where endpoint lists come from, and the zones that endpoints are in.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where the worker list comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Source")]
pub struct EndpointSourceConfig {
    /// Which form it has.
    pub kind: EndpointSourceKind,
    /// Host and port of the discovery, for kind `targets`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// The workers, for kind `static`; read again on SIGHUP.
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

/// A source's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", expecting = "enum SourceKind")]
pub enum EndpointSourceKind {
    /// The list in this file.
    Static,
    /// A discovery that answers `GET /api/targets` and holds a watch.
    Targets,
}

/// One worker of a static list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Its name, by which it calls back.
    pub id: String,
    /// Host and port.
    pub address: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// The group that shares the memory of keys.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes work.
    #[serde(default)]
    pub state: WorkerPhase,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", expecting = "enum State")]
pub enum WorkerPhase {
    /// It takes work.
    #[default]
    Serving,
    /// It finishes what it has.
    Draining,
}

/// Zones of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Zones")]
pub struct ZoneConfig {
    /// This scheduler's zone, one of `names`.
    pub here: String,
    /// All zones.
    pub names: Vec<String>,
    /// What sending a request to another zone costs, as a share of the request's worth.
    pub price_of_crossing: f64,
}

impl Default for ZoneConfig {
    fn default() -> ZoneConfig {
        ZoneConfig { here: "a".into(), names: vec!["a".into()], price_of_crossing: 0.0 }
    }
}
