//! The configuration's types. What is written here is what `copperspread-scheduler config schema`, `config
//! default` and docs/configuration.md say: descriptions come from the comments.
use std::net::SocketAddr;
use std::path::PathBuf;

use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::{Size, Span};

/// The configuration of one scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The scheduler's name, in logs and records.
    pub name: String,
    /// Seed of all chance; absent, each start draws one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u32>,
    /// How many schedulers share the workers, this one included.
    pub schedulers: u32,
    /// Clients' protocols.
    pub front: Fronts,
    /// Workers' protocols.
    pub back: Backs,
    /// Where the worker list comes from.
    pub source: Source,
    /// Zones of workers.
    pub zones: Zones,
    /// What may be repeated, and how often.
    pub attempts: Attempts,
    /// How workers that have just started are spared.
    pub cold: Cold,
    /// Membership among schedulers; off unless `bind` is set. See docs/cluster.md.
    pub cluster: Cluster,
    /// What the process may use.
    pub limits: Limits,
    /// The log, on standard error.
    pub log: Log,
    /// The record of what happened.
    pub records: Records,
    /// Classes of jobs. A request's class is the first part of its path.
    pub classes: Vec<Class>,
}

impl Default for Config {
    fn default() -> Config {
        let class = |name: &str, aim, stretch, deadline, worth, repeat| Class {
            name: name.into(),
            aim: Span(aim),
            stretch,
            deadline: Span(deadline),
            worth,
            repeat,
            ..Class::default()
        };
        Config {
            name: "copperspread".into(),
            seed: None,
            schedulers: 1,
            front: Fronts::default(),
            back: Backs::default(),
            source: Source::default(),
            zones: Zones::default(),
            attempts: Attempts::default(),
            cold: Cold::default(),
            cluster: Cluster::default(),
            limits: Limits::default(),
            log: Log::default(),
            records: Records::default(),
            classes: vec![
                class("status", SECOND / 2, 2.5, 5 * SECOND, 2.0, Repeat::Safe),
                class("uitbetaling", SECOND / 2, 2.0, 15 * SECOND / 2, 6.0, Repeat::Never),
            ],
        }
    }
}

/// Clients' protocols.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Fronts {
    /// Jobs over HTTP/1.1.
    pub http: HttpFront,
}

/// Jobs over HTTP/1.1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct HttpFront {
    /// Address and port for clients and for workers' call-backs.
    #[serde(deserialize_with = "listen")]
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The longest `Retry-After` that a refusal names.
    pub max_retry_after: Span,
}

fn listen<'de, D: serde::Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(from)?;
    let wrong = |_| {
        format!("{text:?} is no address to listen on; write a number and a port, such as \"127.0.0.1:8081\"")
    };
    text.parse().map_err(wrong).map_err(serde::de::Error::custom)
}

fn number<E: serde::de::Error>(text: &str) -> Result<SocketAddr, E> {
    let wrong = |_| format!("{text:?} is no number and port, such as \"10.0.0.1:7946\"");
    text.parse().map_err(wrong).map_err(E::custom)
}

fn maybe_number<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<SocketAddr>, D::Error> {
    number(&String::deserialize(from)?).map(Some)
}

fn numbers<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<SocketAddr>, D::Error> {
    Vec::<String>::deserialize(from)?.iter().map(|text| number(text)).collect()
}

impl Default for HttpFront {
    fn default() -> HttpFront {
        HttpFront { listen: ([127, 0, 0, 1], 8081).into(), max_retry_after: Span(2 * SECOND) }
    }
}

/// Workers' protocols.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Backs {
    /// Workers that take a job by HTTP and call back.
    pub http: HttpBack,
}

/// Workers that take a job by HTTP and call back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct HttpBack {
    /// A connection that is not up by then has failed. A keyed job is repeated only while so much of its
    /// `key_window`, and 50 ms, are left.
    pub connect_within: Span,
    /// Workers close a connection that has stood idle for this long.
    pub keep_idle: Span,
    /// Workers tell when a job starts to run.
    pub tells_start: bool,
}

impl Default for HttpBack {
    fn default() -> HttpBack {
        HttpBack { connect_within: Span(SECOND / 4), keep_idle: Span(5 * SECOND), tells_start: true }
    }
}

/// Where the worker list comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Source {
    /// Which form it has.
    pub kind: SourceKind,
    /// Host and port of the discovery, for kind `targets`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// The workers, for kind `static`; read again on SIGHUP.
    pub workers: Vec<Worker>,
}

impl Default for Source {
    fn default() -> Source {
        let toy = Worker {
            id: "toy-1".into(),
            address: "127.0.0.1:9001".into(),
            zone: "a".into(),
            kind: "toy".into(),
            cell: 0,
            state: State::Serving,
        };
        Source { kind: SourceKind::Static, address: None, workers: vec![toy] }
    }
}

/// A source's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum SourceKind {
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
    pub state: State,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    #[default]
    Serving,
    /// It finishes what it has.
    Draining,
}

/// Zones of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Zones {
    /// This scheduler's zone, one of `names`.
    pub here: String,
    /// All zones.
    pub names: Vec<String>,
    /// What sending a job to another zone costs, as a share of the job's worth.
    pub price_of_crossing: f64,
}

impl Default for Zones {
    fn default() -> Zones {
        Zones { here: "a".into(), names: vec!["a".into()], price_of_crossing: 0.0 }
    }
}

/// What may be repeated, and how often.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Attempts {
    /// The most attempts that one request may have.
    pub most: u32,
    /// Two attempts of one request may be out together, where its class may be repeated.
    pub second_copies: bool,
    /// An attempt may be called off at the worker.
    pub may_cancel: bool,
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts { most: 4, second_copies: true, may_cancel: true }
    }
}

/// How workers that have just started are spared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    /// A worker starts at this share of its capacity or more; over 0, at most 1.
    pub from: f64,
    /// It is warm after this long at most.
    pub warm_within: Span,
    /// Sent more than this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, by all schedulers together, a cold worker falls over.
    pub fall_window: Span,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { from: 0.12, warm_within: Span(23 * SECOND), fall_multiple: 3.0, fall_window: Span(3 * SECOND) }
    }
}

/// Membership among schedulers: who is there, who is gone. Off unless `bind` is set. All of it changes only with
/// a new start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Cluster {
    /// Number and port for peers, UDP and TCP; absent, there is no membership.
    #[serde(deserialize_with = "maybe_number", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub bind: Option<SocketAddr>,
    /// Number and port at which peers reach it; absent, `bind`.
    #[serde(deserialize_with = "maybe_number", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub advertise: Option<SocketAddr>,
    /// Numbers and ports of some schedulers, perhaps this one, which are asked until one of them answers.
    #[serde(deserialize_with = "numbers")]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The file with the key that all members share, of at least 16 bytes; a line's end after it does not count.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
    /// This scheduler's region, told to its peers.
    pub region: String,
    /// Between two probes; each is of one member, all in turn.
    pub probe_interval: Span,
    /// A probed member has answered by then, or others are asked to probe it; under `probe_interval`.
    pub probe_timeout: Span,
    /// Through how many others a member is probed that did not answer; 1 to 16.
    pub indirect: u32,
    /// A suspected member is dead after so many intervals times the logarithm (base 10) of the members, which
    /// counts as 1 at least.
    pub suspicion: f64,
}

impl Default for Cluster {
    fn default() -> Cluster {
        Cluster {
            bind: None,
            advertise: None,
            seeds: Vec::new(),
            key_file: None,
            region: String::new(),
            probe_interval: Span(SECOND),
            probe_timeout: Span(300_000),
            indirect: 3,
            suspicion: 5.0,
        }
    }
}

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Memory for connections and bodies is shared out within this much; at least 16 MB.
    pub memory: Size,
    /// Descriptors that may be open at once; at least 64, and no more than the process is allowed.
    pub descriptors: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory: Size(192_000_000), descriptors: 1024 }
    }
}

/// The log, on standard error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`, for all or by part:
    /// `"info,copperspread_proxy=debug"`. RUST_LOG goes before it. Read again on SIGHUP.
    pub level: String,
    /// Its form.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".into(), format: LogFormat::Auto }
    }
}

/// The log's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text on a terminal, JSON lines otherwise.
    Auto,
    /// Text.
    Text,
    /// JSON lines.
    Json,
}

/// The record of what happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Records {
    /// The file that records are added to; absent, none are kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
    /// A file of this size is put aside as `FILE.1` and a new one begun; at least 64 KiB.
    pub rotate_at: Size,
    /// How many files put aside are kept; at least 1.
    pub keep: u32,
    /// How many records may wait to be written. Past that they are dropped, counted and told as a gap.
    pub queue: u32,
}

impl Default for Records {
    fn default() -> Records {
        Records { file: None, rotate_at: Size(64_000_000), keep: 4, queue: 4096 }
    }
}

/// A class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The first part of the path of its requests.
    pub name: String,
    /// Full worth is earned by an answer within this time plus the stretch.
    #[serde(default = "aim")]
    pub aim: Span,
    /// The aim grows by this many times the job's own running time.
    #[serde(default)]
    pub stretch: f64,
    /// The client gives up after this time, over all its tries.
    #[serde(default = "deadline")]
    pub deadline: Span,
    /// What one unit of this class is worth.
    #[serde(default = "worth")]
    pub worth: f64,
    /// What may be repeated; absent, nothing.
    #[serde(default)]
    pub repeat: Repeat,
    /// For `keyed`: the workers that share the memory of a key.
    #[serde(default)]
    pub key_scope: KeyScope,
    /// For `keyed`: how long a repeat is dropped there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_window: Option<Span>,
    /// The one kind of worker that runs it; absent, any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker_kind: Option<String>,
}

fn aim() -> Span {
    Span(SECOND)
}

fn deadline() -> Span {
    Span(10 * SECOND)
}

fn worth() -> f64 {
    1.0
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: String::new(),
            aim: aim(),
            stretch: 0.0,
            deadline: deadline(),
            worth: worth(),
            repeat: Repeat::Never,
            key_scope: KeyScope::All,
            key_window: None,
            worker_kind: None,
        }
    }
}

/// What may be repeated of a class's jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// It must never run twice.
    #[default]
    Never,
    /// It carries a key by which workers drop a repeat.
    Keyed,
    /// It may run any number of times.
    Safe,
}

/// Which workers share the memory of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KeyScope {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}
