//! The links between members: which are cut, and what the others do to a packet.
use std::collections::HashSet;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::Fault;

/// What happens to packets on links that are not cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weather {
    /// The share that is lost.
    pub lose: f64,
    /// The share that comes twice.
    pub double: f64,
    /// The share that is held back, so that later packets overtake it.
    pub hold: f64,
    /// For how long.
    pub held: Duration,
    /// Shortest time on the way.
    pub least: Duration,
    /// Longest time on the way; each packet's own lies between, so that packets overtake each other.
    pub most: Duration,
}

impl Weather {
    /// All packets come, once and at once.
    pub const FAIR: Weather = Weather {
        lose: 0.0,
        double: 0.0,
        hold: 0.0,
        held: Duration::ZERO,
        least: Duration::ZERO,
        most: Duration::ZERO,
    };
}

/// All links of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Links {
    fair: Weather,
    /// What happens on links that are not cut.
    pub weather: Weather,
    /// From whom to whom nothing comes.
    pub cut: HashSet<(usize, usize)>,
}

impl Links {
    /// Links in this weather, to which they return when they heal.
    pub fn new(fair: Weather) -> Links {
        Links { fair, weather: fair, cut: HashSet::new() }
    }

    /// Lets a fault happen; those of processes are for the drive and change nothing here.
    pub fn take(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut { from, to } => {
                self.cut.extend(from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b))));
            }
            Fault::Part { one, other } => {
                self.cut.extend(one.iter().flat_map(|&a| other.iter().flat_map(move |&b| [(a, b), (b, a)])));
            }
            Fault::Weather(weather) => self.weather = *weather,
            Fault::Heal => *self = Links::new(self.fair),
            Fault::Process(..) => {}
        }
    }

    /// How long each copy of a packet is on its way: none where it is lost, two where it is doubled.
    pub fn way(&self, from: usize, to: usize, chance: &mut impl Rng) -> [Option<Duration>; 2] {
        let weather = &self.weather;
        if self.cut.contains(&(from, to)) || chance.random::<f64>() < weather.lose {
            return [None; 2];
        }
        let first = self.time(chance);
        // No chance is drawn for what cannot happen, so that a plan without it stays the same play.
        let twice = weather.double > 0.0 && chance.random::<f64>() < weather.double;
        [Some(first), twice.then(|| self.time(chance))]
    }

    fn time(&self, chance: &mut impl Rng) -> Duration {
        let Weather { hold, held, least, most, .. } = self.weather;
        let spread = most.saturating_sub(least).as_micros() as u64;
        let own = if spread == 0 { 0 } else { chance.random_range(0..spread) };
        let held = if hold > 0.0 && chance.random::<f64>() < hold { held } else { Duration::ZERO };
        least + Duration::from_micros(own) + held
    }
}
