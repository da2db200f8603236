//! From a configuration to the settings that all formats share.
use copperspread_dispatcher::{self as decisions, Idempotency, Settings};
use copperspread_settings::{
    DiscoveryConfig, EndpointList, EndpointPhase, EndpointRecord, ProxySettings, SchedulerSettings,
    StartupConfig,
};

use crate::types::*;

impl Config {
    /// What a scheduler is told at its start; `seed` stands in where the configuration has none.
    ///
    /// # Errors
    /// An address that is none, which a checked configuration does not have.
    pub fn start(&self, seed: u64) -> Result<StartupConfig, String> {
        // Kinds are numbered in the order in which the workers and classes name them.
        let mut kinds: Vec<String> = Vec::new();
        let of_workers = self.source.workers.iter().map(|worker| &worker.kind);
        for kind in of_workers.chain(self.classes.iter().filter_map(|class| class.worker_kind.as_ref())) {
            if !kinds.contains(kind) {
                kinds.push(kind.clone());
            }
        }
        let number = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let classes: Vec<_> = self
            .classes
            .iter()
            .map(|class| decisions::RequestClass {
                latency_objective: class.aim.0,
                latency_stretch: class.stretch,
                deadline: class.deadline.0,
                priority_weight: class.worth,
                idempotency: class.effect(),
                worker_kind: class
                    .worker_kind
                    .as_ref()
                    .and_then(|kind| number(&kinds, kind))
                    .map(|at| at as u32),
            })
            .collect();
        let node = ProxySettings {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            idempotency: classes.iter().map(|class| class.idempotency).collect(),
            tenants: Vec::new(),
            zones: self.zones.names.clone(),
            kinds,
            connect_timeout: self.back.http.connect_within.0,
            keep_alive_timeout: self.back.http.keep_idle.0,
            sends_retry_after: true,
            max_retry_after: self.front.http.max_retry_after.0,
        };
        let decisions = Settings {
            fleet_size: self.schedulers,
            zone: number(&self.zones.names, &self.zones.here).unwrap_or(0) as u32,
            classes,
            slow_start_initial_capacity: self.cold.from,
            slow_start_duration: self.cold.warm_within.0,
            overload_multiple: self.cold.fall_multiple,
            overload_window: self.cold.fall_window.0,
            connect_timeout: self.back.http.connect_within.0,
            max_attempts: self.attempts.most,
            hedging_allowed: self.attempts.second_copies,
            cancellation_allowed: self.attempts.may_cancel,
            reports_job_start: self.back.http.tells_start,
            cross_zone_cost: self.zones.price_of_crossing,
            ..Settings::default()
        };
        Ok(StartupConfig {
            name: self.name.clone(),
            listen: self.front.http.listen,
            discovery: self.source.spec()?,
            seed: self.seed.map_or(seed, u64::from),
            descriptor_limit: self.limits.descriptors as usize,
            memory_limit_mb: self.limits.memory.0 as f64 / 1e6,
            cached_endpoints: None,
            settings: SchedulerSettings { dispatch: decisions, proxy: node },
        })
    }
}

impl Class {
    fn effect(&self) -> Idempotency {
        let scope = match self.key_scope {
            KeyScope::All => decisions::KeyScope::All,
            KeyScope::Zone => decisions::KeyScope::Zone,
            KeyScope::Cell => decisions::KeyScope::Cell,
        };
        match self.repeat {
            Repeat::Safe => Idempotency::Idempotent,
            Repeat::Keyed => {
                Idempotency::IdempotentWithKey { scope, window: self.key_window.map_or(0, |window| window.0) }
            }
            Repeat::Never => Idempotency::NonIdempotent,
        }
    }
}

impl Source {
    fn spec(&self) -> Result<DiscoveryConfig, String> {
        let address = |text: &str| text.parse().map_err(|_| format!("{text:?} is no address"));
        match (self.kind, &self.address) {
            (SourceKind::Targets, Some(text)) => Ok(DiscoveryConfig::Platform(address(text)?)),
            (SourceKind::Targets, None) => Err("source.address is missing".into()),
            (SourceKind::Static, _) => {
                let member = |worker: &Worker| {
                    Ok(EndpointRecord {
                        id: worker.id.clone(),
                        address: address(&worker.address)?,
                        zone: worker.zone.clone(),
                        kind: worker.kind.clone(),
                        cell: worker.cell,
                        phase: match worker.state {
                            State::Serving => EndpointPhase::Serving,
                            State::Draining => EndpointPhase::Draining,
                        },
                        started_at: None,
                        size: None,
                    })
                };
                let members = self.workers.iter().map(member).collect::<Result<_, String>>()?;
                Ok(DiscoveryConfig::Static(EndpointList { revision: 1, complete: true, endpoints: members }))
            }
        }
    }
}
