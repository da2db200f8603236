//! From a configuration to the settings that all formats share.
use copperspread_dispatcher::{self as decisions, Effect, Settings};
use copperspread_settings::{Given, List, Member, NodeSettings, Phase, SourceSpec, Start};

use crate::types::*;

impl Config {
    /// What a scheduler is told at its start; `seed` stands in where the configuration has none.
    ///
    /// # Errors
    /// An address that is none, which a checked configuration does not have.
    pub fn start(&self, seed: u64) -> Result<Start, String> {
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
            .map(|class| decisions::Class {
                aim: class.aim.0,
                stretch: class.stretch,
                deadline: class.deadline.0,
                worth: class.worth,
                effect: class.effect(),
                worker_kind: class
                    .worker_kind
                    .as_ref()
                    .and_then(|kind| number(&kinds, kind))
                    .map(|at| at as u32),
            })
            .collect();
        let node = NodeSettings {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            effects: classes.iter().map(|class| class.effect).collect(),
            tenants: Vec::new(),
            zones: self.zones.names.clone(),
            kinds,
            connect_within: self.back.http.connect_within.0,
            keepalive: self.back.http.keep_idle.0,
            tells_when: true,
            max_retry_after: self.front.http.max_retry_after.0,
        };
        let decisions = Settings {
            fleet_size: self.schedulers,
            zone: number(&self.zones.names, &self.zones.here).unwrap_or(0) as u32,
            classes,
            cold_from: self.cold.from,
            cold_for: self.cold.warm_within.0,
            fall_multiple: self.cold.fall_multiple,
            fall_window: self.cold.fall_window.0,
            connect_within: self.back.http.connect_within.0,
            max_attempts: self.attempts.most,
            second_copies: self.attempts.second_copies,
            may_cancel: self.attempts.may_cancel,
            tells_start: self.back.http.tells_start,
            price_cross_zone: self.zones.price_of_crossing,
            ..Settings::default()
        };
        Ok(Start {
            name: self.name.clone(),
            listen: self.front.http.listen,
            source: self.source.spec()?,
            seed: self.seed.map_or(seed, u64::from),
            sockets: self.limits.descriptors as usize,
            memory_mb: self.limits.memory.0 as f64 / 1e6,
            known: None,
            given: Given { decisions, node },
        })
    }
}

impl Class {
    fn effect(&self) -> Effect {
        let scope = match self.key_scope {
            KeyScope::All => decisions::KeyScope::All,
            KeyScope::Zone => decisions::KeyScope::Zone,
            KeyScope::Cell => decisions::KeyScope::Cell,
        };
        match self.repeat {
            Repeat::Safe => Effect::Safe,
            Repeat::Keyed => Effect::Keyed { scope, window: self.key_window.map_or(0, |window| window.0) },
            Repeat::Never => Effect::Unsafe,
        }
    }
}

impl Source {
    fn spec(&self) -> Result<SourceSpec, String> {
        let address = |text: &str| text.parse().map_err(|_| format!("{text:?} is no address"));
        match (self.kind, &self.address) {
            (SourceKind::Targets, Some(text)) => Ok(SourceSpec::Targets(address(text)?)),
            (SourceKind::Targets, None) => Err("source.address is missing".into()),
            (SourceKind::Static, _) => {
                let member = |worker: &Worker| {
                    Ok(Member {
                        id: worker.id.clone(),
                        address: address(&worker.address)?,
                        zone: worker.zone.clone(),
                        kind: worker.kind.clone(),
                        cell: worker.cell,
                        phase: match worker.state {
                            State::Serving => Phase::Serving,
                            State::Draining => Phase::Draining,
                        },
                        started_at: None,
                        size: None,
                    })
                };
                let members = self.workers.iter().map(member).collect::<Result<_, String>>()?;
                Ok(SourceSpec::Fixed(List { revision: 1, complete: true, members }))
            }
        }
    }
}
