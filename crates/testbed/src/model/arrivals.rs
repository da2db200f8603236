//! Clients as an open loop: when each job comes and what it is, drawn from one stream, so that it does
//! not depend on what the scheduler does.
use copperspread_dispatcher::Micros;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Exp1, LogNormal};

use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::worker::OfferedJob;
use crate::scenario::{Fault, FaultKind, JobClass, Scenario, WorkDistribution, micros_from_seconds};

/// A client's job, over all of its tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When its first try is sent.
    pub at: Micros,
    /// Its class.
    pub class: u32,
    /// Its work, in seconds at speed 1.
    pub work: f64,
    /// Its slots.
    pub slots: f64,
    /// The memory that it holds while it runs.
    pub memory: f64,
    /// The hint of its work.
    pub cost_hint: Option<f64>,
    /// The scheduler that its first try goes to.
    pub scheduler: u32,
}

impl Arrival {
    /// The job as an attempt offers it to a worker.
    pub fn to_offered_job(&self, attempt: u64, of: &JobClass) -> OfferedJob {
        let Arrival { class, work, slots, memory, .. } = *self;
        OfferedJob { attempt, class, work, slots, memory, weight: of.priority_weight }
    }
}

/// The stream of arrivals.
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    random: RandomStream,
    next_at: f64,
    /// The classes' shares, added up.
    cumulative_shares: Vec<f64>,
    /// How many jobs of a recorded trace have come.
    next_recorded: usize,
}

impl<'a> Arrivals<'a> {
    /// A scenario's arrivals under a seed.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Arrivals<'a> {
        let mut sum = 0.0;
        let shares = scenario.classes.iter().map(|class| {
            sum += class.share;
            sum
        });
        let (chance, shares) = (random_stream(seed, StreamPurpose::Arrivals), shares.collect());
        Arrivals { scenario, random: chance, next_at: 0.0, cumulative_shares: shares, next_recorded: 0 }
    }

    fn is_active(fault: &Fault, at: f64) -> bool {
        (fault.starts_at_s..fault.starts_at_s + fault.duration_s).contains(&at)
    }

    /// The scheduler that a client's first try goes to.
    fn draw_scheduler(&mut self) -> u32 {
        let all = self.scenario.schedulers;
        let Some(of) = self.scenario.clients.skew else { return self.random.random_range(0..all) };
        let crowd = f64::from(of.schedulers) * of.factor;
        let pick = self.random.random::<f64>() * (crowd + f64::from(all - of.schedulers));
        let place = if pick < crowd { pick / of.factor } else { pick - crowd + f64::from(of.schedulers) };
        (place as u32).min(all - 1)
    }

    /// How many times the usual rate clients come.
    fn rate_factor(&self, at: f64) -> f64 {
        let burst = |fault: &Fault| match fault.kind {
            FaultKind::Burst(factor) if Self::is_active(fault, at) => factor,
            FaultKind::Ramp(to) if Self::is_active(fault, at) => {
                1.0 + (to - 1.0) * (at - fault.starts_at_s) / fault.duration_s
            }
            _ => 1.0,
        };
        self.scenario.faults.iter().map(burst).product()
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let scenario = self.scenario;
        if !scenario.clients.trace.is_empty() {
            let of = scenario.clients.trace.get(self.next_recorded)?;
            self.next_recorded += 1;
            let scheduler = self.draw_scheduler();
            let (at, class) = (micros_from_seconds(of.arrives_at_s), of.class);
            let memory = self.scenario.classes[class as usize].mean_memory * of.slots;
            let arrival =
                Arrival { at, class, work: of.work, slots: of.slots, memory, cost_hint: of.hint, scheduler };
            return (of.arrives_at_s < scenario.duration_s).then_some(arrival);
        }
        // A changing rate is stepped over at the rate of the last arrival: bursts last for many of them.
        let gap: f64 = Exp1.sample(&mut self.random);
        self.next_at += gap / (scenario.clients.rate_per_s * self.rate_factor(self.next_at));
        if self.next_at >= scenario.duration_s {
            return None;
        }
        let pick = self.random.random::<f64>() * self.cumulative_shares.last().copied().unwrap_or(1.0);
        let class = self.cumulative_shares.iter().position(|&to| pick < to).unwrap_or(0);
        let of = &scenario.classes[class];
        let mut work = match of.work_distribution {
            WorkDistribution::Constant => of.mean_work,
            WorkDistribution::Exponential => {
                Exp::new(1.0 / of.mean_work).map_or(of.mean_work, |draw| draw.sample(&mut self.random))
            }
            // The mean of the log-normal is to be the class's.
            WorkDistribution::LogNormal(sigma) => {
                LogNormal::new(of.mean_work.ln() - sigma * sigma / 2.0, sigma)
                    .map_or(of.mean_work, |draw| draw.sample(&mut self.random))
            }
        };
        let pick = self.random.random::<f64>();
        let slots = if of.slot_distribution.is_empty() {
            1.0 + f64::from(pick < of.two_slot_share)
        } else {
            draw_slots(&of.slot_distribution, pick)
        };
        let mut memory = of.mean_memory * slots;
        if of.memory_sigma > 0.0 {
            // The mean stays the class's.
            let sigma = of.memory_sigma;
            memory *=
                LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |draw| draw.sample(&mut self.random));
        }
        let heavy = self.random.random::<f64>() < 0.01;
        let error: f64 = LogNormal::new(0.0, scenario.clients.hint_error_sigma.unwrap_or(0.0))
            .map_or(1.0, |draw| draw.sample(&mut self.random));
        let scheduler = self.draw_scheduler();
        let tail = |fault: &Fault| {
            fault.kind == FaultKind::HeavyTail(class as u32) && Self::is_active(fault, self.next_at)
        };
        let hint = scenario.clients.hint_error_sigma.map(|_| work * error);
        if heavy && scenario.faults.iter().any(tail) {
            // Unforeseen: the hint is that of a usual job.
            work *= 20.0;
        }
        let at = micros_from_seconds(self.next_at);
        Some(Arrival { at, class: class as u32, work, slots, memory, cost_hint: hint, scheduler })
    }
}

/// The slots of a job, by a number drawn evenly from 0 to 1.
fn draw_slots(slots: &[[f64; 2]], pick: f64) -> f64 {
    let mut left = pick * slots.iter().map(|[_, share]| share).sum::<f64>();
    let at = slots.iter().position(|[_, share]| {
        left -= share;
        left < 0.0
    });
    at.or(slots.len().checked_sub(1)).map_or(1.0, |at| slots[at][0])
}
