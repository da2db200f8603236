//! Draws when each job arrives and what it is. An open loop: it does not depend on what the schedulers do.
use copperspread_dispatcher::Micros;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Exp1, LogNormal};

use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::OfferedJob;
use crate::scenario::{Fault, FaultKind, JobClass, Scenario, WorkDistribution, micros_from_seconds};

/// The fraction of a class's jobs that a heavy tail makes longer.
const HEAVY_TAIL_FRACTION: f64 = 0.01;
/// How many times longer those jobs are.
const HEAVY_TAIL_FACTOR: f64 = 20.0;

/// A client's job, over all requests that the client sends for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the first request is sent.
    pub at: Micros,
    /// The job's class.
    pub class: u32,
    /// Its work, in seconds at speed 1.
    pub work: f64,
    /// Its slots.
    pub slots: f64,
    /// The memory that it uses while it runs, in megabytes.
    pub memory: f64,
    /// The hint of its work, in seconds.
    pub cost_hint: Option<f64>,
    /// The scheduler that the first request goes to.
    pub scheduler: SchedulerId,
}

impl Arrival {
    /// The job as an attempt offers it to a worker.
    pub fn to_offered_job(&self, attempt: u64, class_spec: &JobClass) -> OfferedJob {
        let Arrival { class, work, slots, memory, .. } = *self;
        OfferedJob { attempt, class, work, slots, memory, weight: class_spec.priority_weight }
    }
}

/// The stream of arrivals, in order of time.
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    random: RandomStream,
    /// The time of the last arrival, in seconds.
    last_at: f64,
    /// The classes' shares, added up.
    cumulative_shares: Vec<f64>,
    /// The position of the next job of a recorded trace.
    next_recorded: usize,
}

impl<'a> Arrivals<'a> {
    /// A scenario's arrivals under a seed.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Arrivals<'a> {
        let mut sum = 0.0;
        let cumulative = scenario.classes.iter().map(|class| {
            sum += class.share;
            sum
        });
        let cumulative_shares = cumulative.collect();
        let random = random_stream(seed, StreamPurpose::Arrivals);
        Arrivals { scenario, random, last_at: 0.0, cumulative_shares, next_recorded: 0 }
    }

    /// The next job of the recorded trace.
    fn next_recorded_arrival(&mut self) -> Option<Arrival> {
        let recorded = self.scenario.clients.trace.get(self.next_recorded)?;
        self.next_recorded += 1;
        let scheduler = self.draw_scheduler();
        let arrival = Arrival {
            at: micros_from_seconds(recorded.arrives_at_s),
            class: recorded.class,
            work: recorded.work,
            slots: recorded.slots,
            memory: self.scenario.classes[recorded.class as usize].mean_memory * recorded.slots,
            cost_hint: recorded.hint,
            scheduler,
        };
        (recorded.arrives_at_s < self.scenario.duration_s).then_some(arrival)
    }

    /// Draws the next job. The order of the draws is part of what a seed means.
    fn draw_arrival(&mut self) -> Option<Arrival> {
        let scenario = self.scenario;
        // The rate at the last arrival serves for the whole gap: changes of rate last for many gaps.
        let gap: f64 = Exp1.sample(&mut self.random);
        self.last_at += gap / (scenario.clients.rate_per_s * self.rate_factor(self.last_at));
        if self.last_at >= scenario.duration_s {
            return None;
        }
        let class_index = self.draw_class();
        let class = &scenario.classes[class_index];
        let mut work = self.draw_work(class);
        let slots = self.draw_slots(class);
        let memory = self.draw_memory(class, slots);
        let is_heavy = self.random.random::<f64>() < HEAVY_TAIL_FRACTION;
        let hint_error = self.draw_log_normal(0.0, scenario.clients.hint_error_sigma.unwrap_or(0.0), 1.0);
        let scheduler = self.draw_scheduler();
        let cost_hint = scenario.clients.hint_error_sigma.map(|_| work * hint_error);
        if is_heavy && self.has_heavy_tail(class_index as u32) {
            // The hint does not foresee it.
            work *= HEAVY_TAIL_FACTOR;
        }
        let at = micros_from_seconds(self.last_at);
        Some(Arrival { at, class: class_index as u32, work, slots, memory, cost_hint, scheduler })
    }

    fn draw_class(&mut self) -> usize {
        let draw = self.random.random::<f64>() * self.cumulative_shares.last().copied().unwrap_or(1.0);
        self.cumulative_shares.iter().position(|&share| draw < share).unwrap_or(0)
    }

    fn draw_work(&mut self, class: &JobClass) -> f64 {
        match class.work_distribution {
            WorkDistribution::Constant => class.mean_work,
            WorkDistribution::Exponential => Exp::new(1.0 / class.mean_work)
                .map_or(class.mean_work, |distribution| distribution.sample(&mut self.random)),
            // The location makes the mean the class's.
            WorkDistribution::LogNormal(sigma) => {
                self.draw_log_normal(class.mean_work.ln() - sigma * sigma / 2.0, sigma, class.mean_work)
            }
        }
    }

    fn draw_slots(&mut self, class: &JobClass) -> f64 {
        let draw = self.random.random::<f64>();
        if class.slot_distribution.is_empty() {
            1.0 + f64::from(draw < class.two_slot_share)
        } else {
            slots_at(&class.slot_distribution, draw)
        }
    }

    fn draw_memory(&mut self, class: &JobClass, slots: f64) -> f64 {
        let memory = class.mean_memory * slots;
        let sigma = class.memory_sigma;
        if sigma <= 0.0 {
            return memory;
        }
        // The location keeps the mean the class's.
        memory * self.draw_log_normal(-sigma * sigma / 2.0, sigma, 1.0)
    }

    /// Draws from a log-normal distribution; `default` for parameters that have none.
    fn draw_log_normal(&mut self, location: f64, sigma: f64, default: f64) -> f64 {
        LogNormal::new(location, sigma).map_or(default, |distribution| distribution.sample(&mut self.random))
    }

    /// Draws the scheduler that a client's first request goes to.
    fn draw_scheduler(&mut self) -> SchedulerId {
        let schedulers = self.scenario.schedulers;
        let Some(crowded) = self.scenario.clients.skew else {
            return SchedulerId(self.random.random_range(0..schedulers));
        };
        let crowded_weight = f64::from(crowded.schedulers) * crowded.factor;
        let draw =
            self.random.random::<f64>() * (crowded_weight + f64::from(schedulers - crowded.schedulers));
        let position = if draw < crowded_weight {
            draw / crowded.factor
        } else {
            draw - crowded_weight + f64::from(crowded.schedulers)
        };
        SchedulerId((position as u32).min(schedulers - 1))
    }

    /// How many times the usual rate jobs arrive at a time, in seconds.
    fn rate_factor(&self, at: f64) -> f64 {
        let factor = |fault: &Fault| match fault.kind {
            FaultKind::Burst(factor) if is_active(fault, at) => factor,
            FaultKind::Ramp(factor) if is_active(fault, at) => {
                1.0 + (factor - 1.0) * (at - fault.starts_at_s) / fault.duration_s
            }
            _ => 1.0,
        };
        self.scenario.faults.iter().map(factor).product()
    }

    fn has_heavy_tail(&self, class: u32) -> bool {
        let makes_tail =
            |fault: &Fault| fault.kind == FaultKind::HeavyTail(class) && is_active(fault, self.last_at);
        self.scenario.faults.iter().any(makes_tail)
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.scenario.clients.trace.is_empty() {
            self.draw_arrival()
        } else {
            self.next_recorded_arrival()
        }
    }
}

/// Whether a fault is in force at a time, in seconds.
fn is_active(fault: &Fault, at: f64) -> bool {
    (fault.starts_at_s..fault.starts_at_s + fault.duration_s).contains(&at)
}

/// The slots of a job among `[slots, weight]` pairs, by a number drawn evenly from 0 to 1.
fn slots_at(choices: &[[f64; 2]], draw: f64) -> f64 {
    let mut left = draw * choices.iter().map(|[_, weight]| weight).sum::<f64>();
    let position = choices.iter().position(|[_, weight]| {
        left -= weight;
        left < 0.0
    });
    position.or(choices.len().checked_sub(1)).map_or(1.0, |position| choices[position][0])
}
