//! Converts the TOML configuration to the startup configuration, from which the scheduler starts. The startup
//! configuration is the same for all configuration formats.
use copperspread_dispatcher::{self as dispatcher, Idempotency, RequestClass, Settings};
use copperspread_settings::{
    DiscoveryConfig, EndpointList, EndpointPhase, ListedEndpoint, ProxySettings, SchedulerSettings,
    StartupConfig,
};
use http::uri::Authority;

use crate::types::{
    Class, Config, EndpointSourceConfig, EndpointSourceKind, KeyScope, RepeatPolicy, Worker, WorkerPhase,
};

const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Revision of every endpoint list that is written in the configuration. A revision is the version by which a
/// scheduler recognizes an outdated list. The configuration contains no revision, so every list in it gets
/// this number.
const STATIC_LIST_REVISION: u64 = 1;

/// The reason why a configuration cannot be converted to the startup configuration. The conversion of a
/// validated configuration never fails.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StartupError {
    /// The endpoint list comes from a discovery service, but the configuration contains no address of the
    /// service.
    #[error("source.address is missing")]
    MissingDiscoveryAddress,
    /// An address in the configuration cannot be parsed.
    #[error("{text:?} is not an address")]
    InvalidAddress {
        /// The text in the configuration that is not an address.
        text: String,
    },
}

impl Config {
    /// Converts this configuration to the startup configuration. If this configuration sets no seed for the
    /// random number generator of the dispatch policy, `default_seed` is used.
    ///
    /// # Errors
    /// Returns [`StartupError`] if an address is missing or cannot be parsed. In a validated configuration,
    /// all addresses are present and can be parsed.
    pub fn startup_config(&self, default_seed: u64) -> Result<StartupConfig, StartupError> {
        let kinds = self.worker_kinds();
        let classes: Vec<_> = self.classes.iter().map(|class| class.request_class(&kinds)).collect();
        let proxy = self.proxy_settings(&classes, kinds);
        Ok(StartupConfig {
            name: self.name.clone(),
            listen: self.front.http.listen,
            discovery: self.source.discovery_config()?,
            seed: self.seed.map_or(default_seed, u64::from),
            descriptor_limit: self.limits.descriptors as usize,
            memory_limit_mb: self.limits.memory.0 as f64 / BYTES_PER_MEGABYTE,
            cached_endpoints: None,
            settings: SchedulerSettings { dispatch: self.dispatch_settings(classes), proxy },
        })
    }

    /// Returns the worker kinds without duplicates. The kinds of the workers come first, followed by the
    /// kinds that only request classes name. The dispatcher knows a worker kind by its index in this list.
    fn worker_kinds(&self) -> Vec<String> {
        let kinds_of_workers = self.source.workers.iter().map(|worker| &worker.kind);
        let kinds_of_classes = self.classes.iter().filter_map(|class| class.worker_kind.as_ref());
        let mut kinds: Vec<String> = Vec::new();
        for kind in kinds_of_workers.chain(kinds_of_classes) {
            if !kinds.contains(kind) {
                kinds.push(kind.clone());
            }
        }
        kinds
    }

    fn proxy_settings(&self, classes: &[RequestClass], kinds: Vec<String>) -> ProxySettings {
        ProxySettings {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            idempotency: classes.iter().map(|class| class.idempotency).collect(),
            tenants: Vec::new(),
            zones: self.zones.names.clone(),
            worker_kinds: kinds,
            connect_timeout: self.back.http.connect_within.0,
            keep_alive_timeout: self.back.http.keep_idle.0,
            sends_retry_after: true,
            max_retry_after: self.front.http.max_retry_after.0,
        }
    }

    fn dispatch_settings(&self, classes: Vec<RequestClass>) -> Settings {
        Settings {
            fleet_size: self.schedulers,
            zone: index_of(&self.zones.names, &self.zones.here).unwrap_or(0),
            classes,
            slow_start_initial_capacity: self.cold.from,
            slow_start_duration: self.cold.warm_within.0,
            overload_multiple: self.cold.fall_multiple,
            overload_window: self.cold.fall_window.0,
            connect_timeout: self.back.http.connect_within.0,
            max_attempts: self.attempts.most,
            hedging_allowed: self.attempts.second_copies,
            cancellation_allowed: self.attempts.may_cancel,
            workers_report_request_start: self.back.http.tells_start,
            cross_zone_cost: self.zones.price_of_crossing,
            ..Settings::default()
        }
    }
}

fn index_of(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|index| index as u32)
}

impl Class {
    fn request_class(&self, kinds: &[String]) -> RequestClass {
        RequestClass {
            latency_objective: self.aim.0,
            latency_stretch: self.stretch,
            deadline: self.deadline.0,
            priority_weight: self.worth,
            idempotency: self.idempotency(),
            worker_kind: self.worker_kind.as_ref().and_then(|kind| index_of(kinds, kind)),
        }
    }

    fn idempotency(&self) -> Idempotency {
        let scope = match self.key_scope {
            KeyScope::All => dispatcher::KeyScope::All,
            KeyScope::Zone => dispatcher::KeyScope::Zone,
            KeyScope::Cell => dispatcher::KeyScope::Cell,
        };
        match self.repeat {
            RepeatPolicy::Safe => Idempotency::Idempotent,
            RepeatPolicy::Keyed => {
                Idempotency::IdempotentWithKey { scope, window: self.key_window.map_or(0, |window| window.0) }
            }
            RepeatPolicy::Never => Idempotency::NonIdempotent,
        }
    }
}

impl EndpointSourceConfig {
    fn discovery_config(&self) -> Result<DiscoveryConfig, StartupError> {
        match self.kind {
            EndpointSourceKind::Targets => {
                let address = self.address.as_ref().ok_or(StartupError::MissingDiscoveryAddress)?;
                Ok(DiscoveryConfig::Platform(parse_address(address)?))
            }
            EndpointSourceKind::Static => {
                let endpoints = self.workers.iter().map(Worker::endpoint).collect::<Result<_, _>>()?;
                let revision = STATIC_LIST_REVISION;
                Ok(DiscoveryConfig::Static(EndpointList { revision, complete: true, endpoints }))
            }
        }
    }
}

impl Worker {
    fn endpoint(&self) -> Result<ListedEndpoint, StartupError> {
        Ok(ListedEndpoint {
            id: self.id.clone(),
            address: parse_address(&self.address)?,
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            phase: match self.state {
                WorkerPhase::Serving => EndpointPhase::Serving,
                WorkerPhase::Draining => EndpointPhase::Draining,
            },
            started_at: None,
            size: None,
        })
    }
}

fn parse_address(text: &str) -> Result<Authority, StartupError> {
    text.parse().map_err(|_| StartupError::InvalidAddress { text: text.to_owned() })
}
