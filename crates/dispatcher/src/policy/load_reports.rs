//! Load reports, load queries and listed sizes: what other dispatchers have at the workers.
use super::Dispatcher;
use super::figures::MAX_FIGURE;
use super::figures::SLOW_GAIN;
use super::figures::validated;
use crate::{Action, Endpoint, LoadReport, Micros, Outcome, SECOND, Timer, WorkerId, WorkerState};
use crate::{average::move_average, time::to_seconds};

/// Fraction of slots taken before any report has come.
pub(super) const INITIAL_UTILIZATION: f64 = 0.5;
/// Age of a report when it comes: workers renew it about once a second, and it travels.
pub(super) const REPORT_AGE: Micros = 800_000;
/// Weight of one report in the fleet's utilization: about the last ten count, a few seconds.
const UTILIZATION_GAIN: f64 = 0.1;
/// Most that one report adds to it, in fractions of slots.
const MAX_REPORTED_UTILIZATION: f64 = 2.0;
/// Most by which a kind's or a zone's load is taken to differ from what was expected.
const MAX_LOAD_RATIO: f64 = 5.0;
/// A worker that rejected an attempt holds at least this many times its slots.
const MIN_REJECTING_LOAD: f64 = 1.5;
/// How firmly the kind's mean is believed against the sample that local requests give, in requests.
const MEAN_PRIOR_WEIGHT: f64 = 1.0;
/// Most that a listed size shows of what a worker holds, in times its slots.
const MAX_LISTED_LOAD: f64 = 8.0;
/// A size so many times the median is no worker's: an idle one among others at their maximum shows less.
const MAX_SIZE_TO_MEDIAN: f64 = 2.0 * (1.0 + MAX_LISTED_LOAD);
/// Weight of one list in what a worker usually holds: about the last three count.
const LISTED_LOAD_GAIN: f64 = 0.35;
const LIST_AGE_SECONDS: f64 = 0.9;
/// What a list shows fades toward what the worker usually holds in this time.
const LIST_FADE_SECONDS: f64 = 1.0;
/// All ready workers are queried once in this time, about as often as they renew their reports.
pub(super) const LOAD_QUERY_ROUND: Micros = SECOND;
/// What a request's load queries may cost of its weight.
pub(super) const LOAD_QUERY_COST_FRACTION: f64 = 0.01;
pub(super) const MAX_LOAD_QUERY_BUDGET: f64 = 20.0;

/// Slots that the other dispatchers' requests are expected to take.
pub(super) struct RemoteSlots {
    pub(super) mean: f64,
    pub(super) variance: f64,
}

impl Dispatcher {
    pub(super) fn on_load_report(&mut self, now: Micros, index: usize, report: &LoadReport, is_full: bool) {
        let mut total = self.reported_slots_in_use(index, report);
        let slots = self.slots_of(&self.workers[index]);
        if is_full {
            // Its reports, which are older than the rush or end at all cores in use, may still look inviting.
            total = total.max(MIN_REJECTING_LOAD * slots);
        }
        move_average(self.fleet.slots.get_or_insert(slots), slots, SLOW_GAIN);
        // A few sick workers with long queues must not pass for a lack of slots.
        let utilization = (total / slots).min(MAX_REPORTED_UTILIZATION);
        move_average(&mut self.fleet_utilization, utilization, UTILIZATION_GAIN);
        // The fleet's utilization moves fast; kinds and zones are learned slowly and apart, a zone against
        // what its kinds carry.
        let worker = &mut self.workers[index];
        let kind = &mut self.kind_load_ratios[worker.kind as usize];
        kind.add(utilization, self.fleet_utilization, SLOW_GAIN);
        let expected = self.fleet_utilization * kind.ratio(MAX_LOAD_RATIO);
        self.zone_load_ratios[worker.zone as usize].add(utilization, expected, SLOW_GAIN);
        // Attempts sent since are not in the report, some that completed since are. Otherwise dispatchers
        // would take each other's requests for their own and meet there.
        let local = worker.local_load.slots_at(now.saturating_sub(REPORT_AGE));
        worker.reported_remote_slots = (total - local).max(0.0);
        worker.reported_at = Some(now);
    }

    /// Slots in use at a worker by a report, waiting requests included.
    fn reported_slots_in_use(&mut self, index: usize, report: &LoadReport) -> f64 {
        let figure = |x: Option<f64>| x.filter(|&x| (0.0..=MAX_FIGURE).contains(&x));
        let (in_flight, queue) = (figure(report.in_flight), figure(report.queue));
        let waiting = queue.unwrap_or(0.0) * self.offered_load.mean_request_slots();
        if let Some(free) = figure(report.free_slots) {
            let running = in_flight.zip(queue).map_or(0.0, |(all, queue)| (all - queue).max(0.0));
            self.learn_slots(self.workers[index].kind as usize, free + running);
            let taken = (self.slots_of(&self.workers[index]) - free).max(0.0);
            // Where the waiting requests are not reported, they are those beyond the slots taken.
            let in_use =
                in_flight.filter(|_| queue.is_none()).unwrap_or(0.0) * self.offered_load.mean_request_slots();
            return in_use.max(taken) + waiting;
        }
        // Counted without a report too, as the utilization would else follow rejections alone and never fall.
        let utilization = figure(report.utilization).unwrap_or(INITIAL_UTILIZATION);
        utilization * self.slots_of(&self.workers[index]) + waiting
    }

    /// The last report or list, fading to the mean of the worker's kind as it ages.
    pub(super) fn remote_slots(&self, now: Micros, index: usize, slots: f64) -> RemoteSlots {
        let worker = &self.workers[index];
        let local_part = 1.0 / f64::from(self.settings.fleet_size);
        // Workers that warm up would pass for as crowded as the rest and stay idle. Not for warm ones: all
        // who read one list would meet at those it shows idle.
        if let Some(listed_at) = worker.listed_at.filter(|_| self.slow_start.is_warming_up(now, index)) {
            let age = LIST_AGE_SECONDS + to_seconds(now.saturating_sub(listed_at));
            let fresh = (-age / LIST_FADE_SECONDS).exp();
            let all = worker.mean_listed_slots + (worker.listed_slots - worker.mean_listed_slots) * fresh;
            return RemoteSlots { mean: all * (1.0 - local_part), variance: all * (1.0 - fresh * fresh) };
        }
        let kind_ratio = self.kind_load_ratios[worker.kind as usize].ratio(MAX_LOAD_RATIO);
        let zone_ratio = self.zone_load_ratios[worker.zone as usize].ratio(MAX_LOAD_RATIO);
        let mean = self.fleet_utilization * (kind_ratio * zone_ratio) * slots;
        // This dispatcher's own requests are a sample of all: the more it has here, the more its peers, who
        // judge alike, are likely to have. Reports may be late or missing.
        let all = (worker.local_load.slots_in_use() + MEAN_PRIOR_WEIGHT)
            / (local_part + MEAN_PRIOR_WEIGHT / mean.max(1e-3));
        let usual = all * (1.0 - local_part);
        let Some(reported_at) = worker.reported_at else {
            return RemoteSlots { mean: usual, variance: usual };
        };
        // About as the exponential, at less cost.
        let age = to_seconds(now.saturating_sub(reported_at) + REPORT_AGE);
        let aged = 1.0 + age / self.mean_response_seconds;
        let fresh = 1.0 / (aged * aged);
        let mean = usual + (worker.reported_remote_slots - usual) * fresh;
        RemoteSlots { mean, variance: usual * (1.0 - fresh * fresh) }
    }

    /// An idle worker's size is its kind's largest, but for an absurd one: beside it all others look loaded.
    pub(super) fn learn_sizes(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            if let Some(worker) = self.workers.get_mut(endpoint.worker.0 as usize) {
                worker.size = validated(endpoint.size, MAX_FIGURE);
            }
        }
        let mut sizes: Vec<_> = self.workers.iter().filter_map(|of| Some((of.kind, of.size?))).collect();
        sizes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for kind in sizes.chunk_by(|a, b| a.0 == b.0) {
            let max = MAX_SIZE_TO_MEDIAN * kind[(kind.len() - 1) / 2].1;
            let largest = kind.iter().rev().map(|of| of.1).find(|&size| size <= max).unwrap_or(max);
            let known = &mut self.kinds[kind[0].0 as usize].max_size;
            *known = known.max(largest);
        }
    }

    /// Takes what a listed size shows: all that the worker holds, known to nobody else so soon.
    pub(super) fn learn_listed_load(&mut self, now: Micros, endpoint: &Endpoint) {
        let index = endpoint.worker.0 as usize;
        let Some(worker) = self.workers.get(index) else { return };
        let Some(size) = worker.size.filter(|_| endpoint.state == WorkerState::Ready) else { return };
        let load = (self.kinds[worker.kind as usize].max_size / size - 1.0).clamp(0.0, MAX_LISTED_LOAD);
        let slots = self.slots_of(worker);
        let worker = &mut self.workers[index];
        worker.listed_slots = load * slots * self.offered_load.mean_request_slots();
        let gain = if worker.listed_at.is_some() { LISTED_LOAD_GAIN } else { 1.0 };
        move_average(&mut worker.mean_listed_slots, worker.listed_slots, gain);
        worker.listed_at = Some(now);
    }

    /// Queries the ready workers in turn, within the budget: a large fleet would query without end.
    pub(super) fn on_load_query_timer(&mut self) {
        let count = self.workers.len();
        let is_ready = |&index: &usize| self.workers[index].state == WorkerState::Ready;
        let next = (1..=count).map(|step| (self.last_queried + step) % count).find(is_ready);
        let ready = (0..count).filter(is_ready).count().max(1);
        if let Some(index) = next.filter(|_| self.load_query_budget >= 1.0) {
            self.load_query_budget -= 1.0;
            self.last_queried = index;
            self.actions.push(Action::QueryLoad { worker: WorkerId(index as u32) });
        }
        let after = LOAD_QUERY_ROUND / ready as Micros;
        self.actions.push(Action::StartTimer { after, timer: Timer::LoadQuery });
    }

    /// A query that timed out waited behind requests: it says as much as a rejection, nothing of failures.
    pub(super) fn on_load_query_completed(
        &mut self,
        now: Micros,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let index = worker.0 as usize;
        if index >= self.workers.len() {
            return;
        }
        let is_late = outcome == Outcome::TimedOut;
        if !is_late {
            self.outlier_detector.record_outcome(index, None, outcome);
        }
        if is_late || report.is_some() {
            self.on_load_report(now, index, &report.unwrap_or_default(), is_late);
        }
    }
}
