//! The links between members: which are cut, and what the others do to a packet.
use std::collections::HashSet;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::Fault;

/// What happens to packets on links that are not cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// The share that is lost.
    pub loss_rate: f64,
    /// The share that comes twice.
    pub duplication_rate: f64,
    /// The share that is held back, so that later packets overtake it.
    pub extra_delay_rate: f64,
    /// For how long.
    pub extra_delay: Duration,
    /// Shortest time on the way.
    pub min_delay: Duration,
    /// Longest time on the way; each packet's own lies between, so that packets overtake each other.
    pub max_delay: Duration,
}

impl LinkConditions {
    /// All packets come, once and at once.
    pub const IDEAL: LinkConditions = LinkConditions {
        loss_rate: 0.0,
        duplication_rate: 0.0,
        extra_delay_rate: 0.0,
        extra_delay: Duration::ZERO,
        min_delay: Duration::ZERO,
        max_delay: Duration::ZERO,
    };
}

/// All links of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkLinks {
    baseline: LinkConditions,
    /// What happens on links that are not cut.
    pub conditions: LinkConditions,
    /// From whom to whom nothing comes.
    pub blocked: HashSet<(usize, usize)>,
}

impl NetworkLinks {
    /// Links in this weather, to which they return when they heal.
    pub fn new(fair: LinkConditions) -> NetworkLinks {
        NetworkLinks { baseline: fair, conditions: fair, blocked: HashSet::new() }
    }

    /// Lets a fault happen; those of processes are for the drive and change nothing here.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::BlockOneWay { from, to } => {
                self.blocked.extend(from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b))));
            }
            Fault::Partition { one, other } => {
                self.blocked
                    .extend(one.iter().flat_map(|&a| other.iter().flat_map(move |&b| [(a, b), (b, a)])));
            }
            Fault::SetConditions(weather) => self.conditions = *weather,
            Fault::Heal => *self = NetworkLinks::new(self.baseline),
            Fault::Process(..) => {}
        }
    }

    /// How long each copy of a packet is on its way: none where it is lost, two where it is doubled.
    pub fn delivery_delays(&self, from: usize, to: usize, chance: &mut impl Rng) -> [Option<Duration>; 2] {
        let weather = &self.conditions;
        if self.blocked.contains(&(from, to)) || chance.random::<f64>() < weather.loss_rate {
            return [None; 2];
        }
        let first = self.time(chance);
        // No chance is drawn for what cannot happen, so that a plan without it stays the same play.
        let twice = weather.duplication_rate > 0.0 && chance.random::<f64>() < weather.duplication_rate;
        [Some(first), twice.then(|| self.time(chance))]
    }

    fn time(&self, chance: &mut impl Rng) -> Duration {
        let LinkConditions {
            extra_delay_rate: hold,
            extra_delay: held,
            min_delay: least,
            max_delay: most,
            ..
        } = self.conditions;
        let spread = most.saturating_sub(least).as_micros() as u64;
        let own = if spread == 0 { 0 } else { chance.random_range(0..spread) };
        let held = if hold > 0.0 && chance.random::<f64>() < hold { held } else { Duration::ZERO };
        least + Duration::from_micros(own) + held
    }
}
