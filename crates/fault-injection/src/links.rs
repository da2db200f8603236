//! The network links between members. The links decide which packets are lost, duplicated or delayed.
use std::collections::HashSet;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::fault::Fault;
use crate::link_conditions::LinkConditions;

/// The network links between all members of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkLinks {
    /// The conditions that [`Fault::Heal`] restores.
    initial_conditions: LinkConditions,
    /// The current conditions of all links that are not blocked.
    pub conditions: LinkConditions,
    /// The links on which all packets are blocked, as pairs of the sender's and the receiver's member number.
    pub blocked: HashSet<(usize, usize)>,
}

impl NetworkLinks {
    /// Creates links with the given conditions, none of them blocked. [`Fault::Heal`] restores this initial
    /// state.
    pub fn new(initial_conditions: LinkConditions) -> NetworkLinks {
        NetworkLinks { initial_conditions, conditions: initial_conditions, blocked: HashSet::new() }
    }

    /// Applies a fault of the network. Faults of processes are ignored here, because the caller applies them.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::BlockOneWay { from, to } => self.block(from, to),
            Fault::Partition { one, other } => {
                self.block(one, other);
                self.block(other, one);
            }
            Fault::SetConditions(conditions) => self.conditions = *conditions,
            Fault::Heal => *self = NetworkLinks::new(self.initial_conditions),
            Fault::Process { .. } => {}
        }
    }

    fn block(&mut self, from: &[usize], to: &[usize]) {
        self.blocked
            .extend(from.iter().flat_map(|&sender| to.iter().map(move |&receiver| (sender, receiver))));
    }

    /// Returns the delays of the copies of a packet that arrive at the receiver, one delay for each copy. No
    /// copy arrives if the link is blocked or the packet is lost. Two copies arrive if the packet is
    /// duplicated.
    pub fn delivery_delays(&self, from: usize, to: usize, rng: &mut impl Rng) -> [Option<Duration>; 2] {
        let conditions = &self.conditions;
        if self.blocked.contains(&(from, to)) || rng.random::<f64>() < conditions.loss_rate {
            return [None; 2];
        }
        let first = self.delay(rng);
        // Duplication and extra delay draw a random number only if their rate is above 0. With both rates at
        // 0, a plan has the same sequence of random numbers as if duplication and extra delay did not exist.
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
