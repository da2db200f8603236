//! Counts how jobs end while a run goes on.
use copperspread_dispatcher::{Micros, SECOND};
use hdrhistogram::Histogram;

use super::{ClassOutcome, JobOutcome, LatencyQuantiles, WeightTotals};
use crate::model::arrivals::Arrival;
use crate::scenario::JobClass;

/// Latencies are counted up to a day ...
const MAX_LATENCY: Micros = 86_400 * SECOND;
/// ... and to this many figures.
const LATENCY_FIGURES: u8 = 3;

struct ClassCounter {
    jobs: u64,
    weight: WeightTotals,
    latencies: Histogram<u64>,
}

impl ClassCounter {
    fn new() -> ClassCounter {
        let latencies = Histogram::new_with_max(MAX_LATENCY, LATENCY_FIGURES);
        ClassCounter {
            jobs: 0,
            weight: WeightTotals::default(),
            latencies: latencies.unwrap_or_else(|_| unreachable!("the bounds are constants that fit")),
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

/// Counts how jobs end: in all, by class, by second of arrival, and by zone and class.
pub struct OutcomeCounter {
    total: WeightTotals,
    classes: Vec<ClassCounter>,
    seconds: Vec<WeightTotals>,
    zones: Vec<Vec<WeightTotals>>,
}

impl OutcomeCounter {
    /// A counter for these numbers of classes and zones.
    pub fn new(classes: usize, zones: u32) -> OutcomeCounter {
        OutcomeCounter {
            total: WeightTotals::default(),
            classes: (0..classes).map(|_| ClassCounter::new()).collect(),
            seconds: Vec::new(),
            zones: vec![vec![WeightTotals::default(); classes]; zones as usize],
        }
    }

    /// Counts a job of a client that has ended; `latency` is from its arrival.
    pub fn record_job(&mut self, job: &Arrival, class: &JobClass, latency: Micros, end: JobOutcome) {
        let weight = class.priority_weight * job.work * job.slots;
        let class_index = job.class as usize;
        let zone = job.scheduler.index() % self.zones.len();
        self.total.add(weight, end);
        self.zones[zone][class_index].add(weight, end);
        self.second_mut(job.at).add(weight, end);
        let counter = &mut self.classes[class_index];
        counter.jobs += 1;
        counter.weight.add(weight, end);
        if matches!(end, JobOutcome::InTime | JobOutcome::Late) {
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

    /// Jobs that have ended.
    pub fn job_count(&self) -> u64 {
        self.classes.iter().map(|class| class.jobs).sum()
    }

    /// The outcomes of the classes of these names.
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
