//! Counts the outcomes of jobs during a run.
use copperspread_dispatcher::{Micros, SECOND};
use hdrhistogram::Histogram;

use super::{ClassOutcome, JobOutcome, LatencyQuantiles, WeightTotals};
use crate::model::arrivals::Arrival;
use crate::scenario::JobClass;

/// Highest latency that the latency histograms can record, in microseconds. A longer latency is recorded as
/// this value.
const MAX_LATENCY: Micros = 86_400 * SECOND;
/// Precision of the recorded latencies, in significant decimal digits.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

struct ClassCounter {
    jobs: u64,
    weight: WeightTotals,
    latencies: Histogram<u64>,
}

impl ClassCounter {
    fn new() -> ClassCounter {
        let latencies = Histogram::new_with_max(MAX_LATENCY, LATENCY_SIGNIFICANT_DIGITS);
        ClassCounter {
            jobs: 0,
            weight: WeightTotals::default(),
            latencies: latencies
                .unwrap_or_else(|_| unreachable!("the histogram's bounds are valid constants")),
        }
    }

    fn outcome(&self, name: &str) -> ClassOutcome {
        let quantile_ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        ClassOutcome {
            name: name.to_owned(),
            jobs: self.jobs,
            weight: self.weight,
            mean_latency_ms: self.latencies.mean() / 1e3,
            latency: LatencyQuantiles {
                median_ms: quantile_ms(0.5),
                p99_ms: quantile_ms(0.99),
                max_ms: quantile_ms(1.0),
            },
        }
    }
}

/// Counts the outcomes of clients' jobs: in total, for each class, for each second of arrival, and for each
/// zone and class.
pub struct OutcomeCounter {
    total: WeightTotals,
    classes: Vec<ClassCounter>,
    seconds: Vec<WeightTotals>,
    zones: Vec<Vec<WeightTotals>>,
}

impl OutcomeCounter {
    /// Creates a counter without any jobs for a scenario with `classes` classes and `zones` zones.
    pub fn new(classes: usize, zones: u32) -> OutcomeCounter {
        OutcomeCounter {
            total: WeightTotals::default(),
            classes: (0..classes).map(|_| ClassCounter::new()).collect(),
            seconds: Vec::new(),
            zones: vec![vec![WeightTotals::default(); classes]; zones as usize],
        }
    }

    /// Counts a client's job that ended with `outcome`. `latency` is the time from the job's arrival until
    /// its end.
    pub fn record_job(&mut self, job: &Arrival, class: &JobClass, latency: Micros, outcome: JobOutcome) {
        let weight = class.priority_weight * job.work * job.slots;
        let class_index = job.class as usize;
        let zone = job.scheduler.index() % self.zones.len();
        self.total.add(weight, outcome);
        self.zones[zone][class_index].add(weight, outcome);
        self.second_mut(job.at).add(weight, outcome);
        let counter = &mut self.classes[class_index];
        counter.jobs += 1;
        counter.weight.add(weight, outcome);
        if matches!(outcome, JobOutcome::InTime | JobOutcome::Late) {
            counter.latencies.saturating_record(latency);
        }
    }

    fn second_mut(&mut self, at: Micros) -> &mut WeightTotals {
        let second = (at / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, WeightTotals::default());
        }
        &mut self.seconds[second]
    }

    /// Returns the number of clients' jobs that have ended.
    pub fn job_count(&self) -> u64 {
        self.classes.iter().map(|class| class.jobs).sum()
    }

    /// Returns the outcome of each class's jobs. `names` gives the names of the classes, in the order of the
    /// scenario.
    pub fn class_outcomes<'a>(&self, names: impl Iterator<Item = &'a str>) -> Vec<ClassOutcome> {
        names.zip(&self.classes).map(|(name, class)| class.outcome(name)).collect()
    }

    pub(super) fn total(&self) -> WeightTotals {
        self.total
    }

    pub(super) fn seconds(&self) -> &[WeightTotals] {
        &self.seconds
    }

    pub(super) fn zones(&self) -> &[Vec<WeightTotals>] {
        &self.zones
    }
}
