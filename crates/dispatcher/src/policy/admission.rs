//! Admission control: a request is sent if its lowest estimate fits into the time it has left. Load shedding:
//! while slots are scarce, those of least weight are rejected, as else all would be late.
use super::load_reports::{LOAD_QUERY_COST_FRACTION, MAX_LOAD_QUERY_BUDGET};
use super::selection::NotAdmitted;
use super::{Dispatcher, GROUP_GAIN, MAX_FIGURE, REFRESH_INTERVAL, SLOW_GAIN, validated};
use super::{service_time::INITIAL_SLOTS, state::Request};
use crate::{Action, IncomingRequest, Micros, Rejection, SECOND};
use crate::{average::move_average, time::from_seconds, time::to_seconds};

/// Weight of one request in the fraction of those that arrive when their whole objective seems spent.
const LATE_RETRY_GAIN: f64 = 0.05;
/// Largest fraction that can be retries of so late; beyond it, clients wait less long than they might.
const MAX_LATE_RETRY_FRACTION: f64 = 0.08;
/// Slots are scarce when the fraction taken is above this and one request a worker: few slots see queues too.
const OVERLOAD_THRESHOLD: f64 = 0.9;
/// ... and [`MAX_SHED_FRACTION`] of the work is shed at the latest when they are taken this much further.
const OVERLOAD_SPAN: f64 = 1.0;
const MAX_SHED_FRACTION: f64 = 0.7;
/// How fast the price below which requests are shed follows what is offered.
const SHED_PRICE_GAIN: f64 = 0.1;
/// Window of a tenant's rate: bursts last several seconds.
const TENANT_WINDOW_SECONDS: f64 = 3.0;
/// A tenant may use its part of the quota here this many times: clients are not spread evenly.
const TENANT_QUOTA_TOLERANCE: f64 = 1.2;
/// After so many requests rejected on arrival over so long, with no attempt in between, the next one is
/// attempted although it would be shed or late: what rejects them is learned from attempts, and would hold for
/// good.
const MAX_REJECTION_STREAK: u32 = 7;
const MAX_REJECTION_STREAK_TIME: Micros = 2 * SECOND;

impl Dispatcher {
    pub(super) fn on_request(&mut self, now: Micros, incoming: IncomingRequest) {
        let id = incoming.request;
        if incoming.class as usize >= self.settings.classes.len() || incoming.time_left == 0 {
            let reason = Rejection::Invalid;
            self.actions.push(Action::Reject { request: id, retry_after: REFRESH_INTERVAL, reason });
            return;
        }
        if self.requests.contains_key(&id) {
            return;
        }
        let mut request = self.new_request(now, &incoming);
        self.record_offered_request(&request);
        match self.admit(now, &request, incoming.tenant as usize) {
            Ok(index) => {
                self.send(now, &mut request, index);
                self.requests.insert(id, request);
            }
            Err(NotAdmitted { retry_after, reason, .. }) => {
                self.rejection_streak.add(now);
                self.actions.push(Action::Reject { request: id, retry_after, reason });
            }
        }
    }

    /// The worker for a request that has arrived, unless it is shed or would be late everywhere.
    fn admit(&mut self, now: Micros, request: &Request, tenant: usize) -> Result<usize, NotAdmitted> {
        let must_attempt = self.rejection_streak.count >= MAX_REJECTION_STREAK
            && now.saturating_sub(self.rejection_streak.started_at) >= MAX_REJECTION_STREAK_TIME;
        if self.should_shed(now, request, tenant) && !must_attempt {
            // About one usual response later some of the slots are free.
            let retry_after = from_seconds(self.mean_response_seconds);
            return Err(NotAdmitted { retry_after, reason: Rejection::Overloaded, late_worker: None });
        }
        self.select_worker(now, request).or_else(|not_admitted| {
            let late_worker = not_admitted.late_worker.filter(|_| must_attempt);
            late_worker.ok_or(not_admitted)
        })
    }

    fn new_request(&mut self, now: Micros, incoming: &IncomingRequest) -> Request {
        let class = incoming.class as usize;
        let hint = validated(incoming.cost_hint, MAX_FIGURE);
        let work = hint.unwrap_or_else(|| self.service_time_by_class[class].log_mean.exp());
        let spent = self.time_spent_before(class, work, incoming.time_left);
        let objective = self.settings.classes[class].latency_objective;
        Request {
            id: incoming.request,
            class,
            slots: validated(incoming.slots, MAX_FIGURE).unwrap_or(1.0),
            work,
            has_hint: hint.is_some(),
            objective_at: now.saturating_add(objective).saturating_sub(spent),
            deadline: now.saturating_add(incoming.time_left),
            ..Request::default()
        }
    }

    /// Time that the client spent before. Where every request of a class is shortened, the time left says
    /// nothing unless it falls below the longest.
    fn time_spent_before(&mut self, class: usize, work: f64, time_left: Micros) -> Micros {
        let longest = &mut self.longest_time_left_by_class[class];
        *longest = (*longest).max(time_left);
        let is_first = time_left >= *longest - *longest / 1000;
        let deadline = self.settings.classes[class].deadline;
        let spent = if is_first { 0 } else { deadline.saturating_sub(time_left) };
        // Many clients may wait less long than their class allows: taken for time spent before, the rest
        // would leave none of the objective, and all of them would be rejected.
        let is_late_retry = to_seconds(spent) >= self.objective_seconds(class, work);
        move_average(&mut self.late_retry_fraction, f64::from(is_late_retry), LATE_RETRY_GAIN);
        if is_late_retry && self.late_retry_fraction > MAX_LATE_RETRY_FRACTION { 0 } else { spent }
    }

    /// Earns the budgets for load queries and hedges, and learns the mean request.
    fn record_offered_request(&mut self, request: &Request) {
        let load_queries = LOAD_QUERY_COST_FRACTION / self.settings.load_query_cost;
        self.load_query_budget = (self.load_query_budget + load_queries).min(MAX_LOAD_QUERY_BUDGET);
        self.hedge_budget.earn();
        self.load_samples = (self.load_samples + 1.0).min(1.0 / GROUP_GAIN);
        self.mean_request_load += (request.work * request.slots - self.mean_request_load) / self.load_samples;
        move_average(&mut self.mean_request_slots, request.slots, SLOW_GAIN);
    }

    /// Whether a request is rejected for too little weight per slot-second while slots are scarce. The price
    /// floats so that, of the work offered, as much falls below it as is to be shed.
    pub(super) fn should_shed(&mut self, now: Micros, request: &Request, tenant: usize) -> bool {
        let over_quota_fraction = self.over_quota_fraction(now, tenant);
        let work = if self.settings.weight_by_work { 1.0 } else { request.work };
        let mut price = self.settings.classes[request.class].priority_weight / (work * request.slots);
        if self.rng.f64() < over_quota_fraction {
            price *= self.settings.over_quota_weight;
        }
        let threshold = OVERLOAD_THRESHOLD + 1.0 / self.fleet.slots.unwrap_or(INITIAL_SLOTS);
        let shed_fraction =
            ((self.fleet_utilization - threshold) / OVERLOAD_SPAN).clamp(0.0, MAX_SHED_FRACTION);
        if self.shed_price <= 0.0 {
            self.shed_price = price;
        }
        let is_below_price = price < self.shed_price;
        let weight = (request.work * request.slots / self.mean_request_load).min(3.0);
        self.shed_price *= (SHED_PRICE_GAIN * (shed_fraction - f64::from(is_below_price)) * weight).exp();
        shed_fraction > 0.0 && is_below_price
    }

    /// The fraction of a tenant's requests that lies beyond its quota, as seen from here.
    fn over_quota_fraction(&mut self, now: Micros, tenant: usize) -> f64 {
        let Some(settings) = self.settings.tenants.get(tenant) else { return 0.0 };
        let quota = TENANT_QUOTA_TOLERANCE * settings.quota_per_second / f64::from(self.settings.fleet_size);
        let per_second = self.tenant_rates[tenant].add_event(now, TENANT_WINDOW_SECONDS);
        if quota > 0.0 { (1.0 - quota / per_second).max(0.0) } else { 0.0 }
    }
}
