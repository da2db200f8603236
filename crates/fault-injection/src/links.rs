//! The links between members: which are blocked, and the fate of each packet on the others.
use std::collections::HashSet;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::fault::Fault;
use crate::link_conditions::LinkConditions;

/// All links of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkLinks {
    /// The conditions that a heal restores.
    baseline: LinkConditions,
    /// The conditions of links that are not blocked.
    pub conditions: LinkConditions,
    /// Pairs of sender and receiver between which nothing passes.
    pub blocked: HashSet<(usize, usize)>,
}

impl NetworkLinks {
    /// Links with these conditions, to which they return when they heal.
    pub fn new(baseline: LinkConditions) -> NetworkLinks {
        NetworkLinks { baseline, conditions: baseline, blocked: HashSet::new() }
    }

    /// Applies a fault of the network. Those of processes are for the player, and change nothing here.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::BlockOneWay { from, to } => self.block(from, to),
            Fault::Partition { one, other } => {
                self.block(one, other);
                self.block(other, one);
            }
            Fault::SetConditions(conditions) => self.conditions = *conditions,
            Fault::Heal => *self = NetworkLinks::new(self.baseline),
            Fault::Process { .. } => {}
        }
    }

    fn block(&mut self, from: &[usize], to: &[usize]) {
        self.blocked
            .extend(from.iter().flat_map(|&sender| to.iter().map(move |&receiver| (sender, receiver))));
    }

    /// The delay of each copy of a packet that arrives: none where it is lost, two where it is duplicated.
    pub fn delivery_delays(&self, from: usize, to: usize, rng: &mut impl Rng) -> [Option<Duration>; 2] {
        let conditions = &self.conditions;
        if self.blocked.contains(&(from, to)) || rng.random::<f64>() < conditions.loss_rate {
            return [None; 2];
        }
        let first = self.delay(rng);
        // Nothing is drawn for what cannot happen, so that adding a condition leaves a plan without it unchanged.
        let is_duplicated =
            conditions.duplication_rate > 0.0 && rng.random::<f64>() < conditions.duplication_rate;
        [Some(first), is_duplicated.then(|| self.delay(rng))]
    }

    fn delay(&self, rng: &mut impl Rng) -> Duration {
        let LinkConditions { extra_delay_rate, extra_delay, min_delay, max_delay, .. } = self.conditions;
        let spread_us = max_delay.saturating_sub(min_delay).as_micros() as u64;
        let jitter_us = if spread_us == 0 { 0 } else { rng.random_range(0..spread_us) };
        let has_extra_delay = extra_delay_rate > 0.0 && rng.random::<f64>() < extra_delay_rate;
        let extra_delay = if has_extra_delay { extra_delay } else { Duration::ZERO };
        min_delay + Duration::from_micros(jitter_us) + extra_delay
    }
}
