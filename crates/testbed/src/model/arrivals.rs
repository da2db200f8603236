//! The arrivals of jobs, drawn from a seed or read from a recorded trace.
//!
//! The load is open-loop: the arrivals do not depend on how fast the schedulers respond.
use copperspread_dispatcher::Micros;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Exp1, LogNormal};

use crate::model::random::{RandomStream, StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::OfferedJob;
use crate::scenario::{Fault, FaultKind, JobClass, Scenario, WorkDistribution, micros_from_seconds};

/// Fraction of the jobs of a class whose work a heavy-tail fault increases.
const HEAVY_TAIL_FRACTION: f64 = 0.01;
/// Factor by which a heavy-tail fault multiplies the work of the jobs that it affects.
const HEAVY_TAIL_FACTOR: f64 = 20.0;

/// The arrival of a client's job. A job comprises the client's first request and all retries of that request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the job's first request, in microseconds from the start of the run.
    pub at: Micros,
    /// Index of the job's class in the scenario.
    pub class: u32,
    /// Work of the job, in seconds on a core of speed 1.
    pub work: f64,
    /// Slots that the job occupies while it runs.
    pub slots: f64,
    /// Memory that the job uses while it runs, in the scenario's unit of memory.
    pub memory: f64,
    /// The client's estimate of the job's work, in seconds on a core of speed 1; `None` if the client sends
    /// no estimate.
    pub cost_hint: Option<f64>,
    /// Scheduler to which the job's first request is sent.
    pub scheduler: SchedulerId,
}

impl Arrival {
    /// Creates the job that an attempt offers to a worker. `attempt` is the id of the attempt. The priority
    /// weight of the job is that of its class.
    pub fn to_offered_job(&self, attempt: u64, class_spec: &JobClass) -> OfferedJob {
        let Arrival { class, work, slots, memory, .. } = *self;
        OfferedJob { attempt, class, work, slots, memory, weight: class_spec.priority_weight }
    }
}

/// Iterator over the job arrivals of a run, in the order of time.
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    random: RandomStream,
    /// Time of the arrival that was drawn last, in seconds from the start of the run.
    last_at: f64,
    /// For each class, the sum of the shares of this class and all earlier classes. The class of a job is
    /// drawn with these sums.
    cumulative_shares: Vec<f64>,
    /// Index of the next job in the recorded trace.
    next_recorded: usize,
}

impl<'a> Arrivals<'a> {
    /// Creates the iterator over a scenario's job arrivals. `seed` determines all random numbers.
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

    /// Returns the next job of the recorded trace; `None` at the end of the trace, or if the job arrives
    /// after the scenario's duration.
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

    /// Draws the next job at random; `None` after the scenario's duration. A change in the order of the draws
    /// would change the arrivals of every seed.
    fn draw_arrival(&mut self) -> Option<Arrival> {
        let scenario = self.scenario;
        // The arrival rate at the last arrival is used for the whole time until the next arrival. The error
        // is small, because a change of the rate lasts for many arrivals.
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
            // The cost hint was computed before, so it does not include the factor of the heavy-tail fault.
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
            // With this location parameter, the mean of the log-normal distribution is the mean work of the
            // class.
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
        // With this location parameter, the log-normal factor has mean 1, so the mean memory of the class
        // does not change.
        memory * self.draw_log_normal(-sigma * sigma / 2.0, sigma, 1.0)
    }

    /// Draws from a log-normal distribution; returns `default` if the parameters are invalid.
    fn draw_log_normal(&mut self, location: f64, sigma: f64, default: f64) -> f64 {
        LogNormal::new(location, sigma).map_or(default, |distribution| distribution.sample(&mut self.random))
    }

    /// Draws the scheduler to which a client's first request is sent. If the scenario has client skew, each
    /// of the first `skew.schedulers` schedulers is drawn `skew.factor` times as often as each of the others.
    fn draw_scheduler(&mut self) -> SchedulerId {
        let schedulers = self.scenario.schedulers;
        let Some(skew) = self.scenario.clients.skew else {
            return SchedulerId(self.random.random_range(0..schedulers));
        };
        let skewed_weight = f64::from(skew.schedulers) * skew.factor;
        let draw = self.random.random::<f64>() * (skewed_weight + f64::from(schedulers - skew.schedulers));
        let position = if draw < skewed_weight {
            draw / skew.factor
        } else {
            draw - skewed_weight + f64::from(skew.schedulers)
        };
        SchedulerId((position as u32).min(schedulers - 1))
    }

    /// Returns the factor by which active faults change the arrival rate of jobs at the time `at`, in
    /// seconds.
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
        let affects_class =
            |fault: &Fault| fault.kind == FaultKind::HeavyTail(class) && is_active(fault, self.last_at);
        self.scenario.faults.iter().any(affects_class)
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

/// Returns whether the given fault is active at the time `at`, in seconds.
fn is_active(fault: &Fault, at: f64) -> bool {
    (fault.starts_at_s..fault.starts_at_s + fault.duration_s).contains(&at)
}

/// Selects the number of slots of a job from `choices`, which are pairs of a number of slots and a weight.
/// `draw` is a uniform random number from 0 to 1.
fn slots_at(choices: &[[f64; 2]], draw: f64) -> f64 {
    let mut remaining_weight = draw * choices.iter().map(|[_, weight]| weight).sum::<f64>();
    let position = choices.iter().position(|[_, weight]| {
        remaining_weight -= weight;
        remaining_weight < 0.0
    });
    position.or(choices.len().checked_sub(1)).map_or(1.0, |position| choices[position][0])
}
