//! Admission: decides which requests are rejected on arrival while the fleet is overloaded.
//!
//! All requests would be late if none were rejected, so those with the lowest priority weight per slot-second
//! are rejected. After several consecutive rejections, one request is attempted although it would be
//! rejected: the estimates that lead to rejections are learned from the outcomes of attempts.
use super::average::EventRate;
use super::request::Request;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Constant part of the fleet utilization above which load shedding starts. The whole threshold is this
/// constant plus 1 / (mean number of slots of a worker). The second term makes the threshold higher where
/// workers have few slots, because requests queue there at a lower utilization too.
const OVERLOAD_THRESHOLD: f64 = 0.9;
/// Width of the range of fleet utilization, starting at the overload threshold, over which the shed fraction
/// would rise linearly from 0 to 1 if [`MAX_SHED_FRACTION`] did not limit it.
const OVERLOAD_SPAN: f64 = 1.0;
/// Largest fraction of the offered work that is shed.
const MAX_SHED_FRACTION: f64 = 0.7;
/// Gain of the adjustment of the shed price. Each request adds a step to the logarithm of the price: this
/// gain, times `s - b`, times the request's load relative to the mean request load. Here `s` is the fraction
/// of work to be shed, and `b` is 1 if the request's weight per slot-second is below the price and 0
/// otherwise.
const SHED_PRICE_GAIN: f64 = 0.1;
/// Limit on the relative load (a multiple of the mean request load) with which one request adjusts the shed
/// price. A larger relative load is reduced to this limit.
const MAX_SHED_PRICE_SAMPLE_LOAD: f64 = 3.0;
/// Time constant of the average of a tenant's request rate, in seconds. Bursts of requests last several
/// seconds, which is long enough for the average to follow them.
const TENANT_WINDOW_SECONDS: f64 = 3.0;
/// Factor that raises the quota of a tenant at this dispatcher above the tenant's quota divided by the number
/// of dispatchers, because clients are not distributed evenly over the dispatchers.
const TENANT_QUOTA_TOLERANCE: f64 = 1.2;
/// Number of consecutive rejections on arrival that is needed before a request is attempted even if it would
/// be shed or late. Without any attempt, the estimates that lead to rejections would never change, because
/// they are learned from attempts.
const MIN_REJECTION_STREAK_LENGTH: u32 = 7;
/// Shortest duration of a series of consecutive rejections on arrival before a request is attempted even if
/// it would be shed or late. The series must also reach [`MIN_REJECTION_STREAK_LENGTH`].
const MIN_REJECTION_STREAK_DURATION: Micros = 2 * SECOND;

/// The load of the fleet as known to this dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetLoad {
    /// Mean utilization of a worker: the slots that requests of all dispatchers together use or wait for,
    /// divided by the worker's slots. May exceed 1, because waiting requests count.
    pub(super) utilization: f64,
    /// Mean number of slots of a worker, learned from load reports; an assumed number before the first
    /// report.
    pub(super) slots: f64,
    /// Mean load of an offered request: its work times its slots, in slot-seconds on a standard core.
    pub(super) mean_request_load: f64,
}

/// Decides which requests are shed under overload, and tracks the rejection streak.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionController {
    /// Shed price: the priority weight per slot-second below which requests are shed while the fleet is
    /// overloaded; 0 before the first request.
    shed_price: f64,
    tenant_rates: Vec<EventRate>,
    rejection_streak: RejectionStreak,
}

/// Rejection streak: the consecutive requests that were rejected on arrival since the last attempt. Invalid
/// requests do not count.
#[derive(Clone, Copy, Debug, Default)]
struct RejectionStreak {
    count: u32,
    /// Arrival time of the first request of the rejection streak.
    started_at: Micros,
}

impl AdmissionController {
    pub(super) fn new(tenant_count: usize) -> Self {
        AdmissionController {
            shed_price: 0.0,
            tenant_rates: vec![EventRate::default(); tenant_count],
            rejection_streak: RejectionStreak::default(),
        }
    }

    /// Records a valid request that was rejected on arrival.
    pub(super) fn record_rejection(&mut self, now: Micros) {
        let streak = &mut self.rejection_streak;
        if streak.count == 0 {
            streak.started_at = now;
        }
        streak.count = streak.count.saturating_add(1);
    }

    /// Ends the rejection streak because an attempt is sent, whose outcome will be observed.
    pub(super) fn record_attempt(&mut self) {
        self.rejection_streak = RejectionStreak::default();
    }

    /// Returns whether the next request is to be attempted even if it would be shed or late.
    pub(super) fn must_attempt(&self, now: Micros) -> bool {
        self.rejection_streak.count >= MIN_REJECTION_STREAK_LENGTH
            && now.saturating_sub(self.rejection_streak.started_at) >= MIN_REJECTION_STREAK_DURATION
    }

    /// Returns whether a request is shed because its weight per slot-second is below the shed price while the
    /// fleet is overloaded. Each call also adjusts the shed price, so that the requests below the price make
    /// up the fraction of the offered work that is to be shed.
    pub(super) fn should_shed(
        &mut self,
        now: Micros,
        request: &Request,
        tenant: usize,
        fleet: FleetLoad,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let over_quota_fraction = self.over_quota_fraction(now, tenant, settings);
        let work = if settings.priority_weight_per_core_second { 1.0 } else { request.work };
        let mut price = settings.classes[request.class].priority_weight / (work * request.slots);
        if rng.f64() < over_quota_fraction {
            price *= settings.over_quota_weight;
        }
        let threshold = OVERLOAD_THRESHOLD + 1.0 / fleet.slots;
        let shed_fraction = ((fleet.utilization - threshold) / OVERLOAD_SPAN).clamp(0.0, MAX_SHED_FRACTION);
        if self.shed_price <= 0.0 {
            self.shed_price = price;
        }
        let is_below_price = price < self.shed_price;
        let relative_load =
            (request.work * request.slots / fleet.mean_request_load).min(MAX_SHED_PRICE_SAMPLE_LOAD);
        self.shed_price *=
            (SHED_PRICE_GAIN * (shed_fraction - f64::from(is_below_price)) * relative_load).exp();
        shed_fraction > 0.0 && is_below_price
    }

    /// Records a request of a tenant and returns the fraction of the tenant's current request rate that is
    /// above the tenant's quota at this dispatcher. That quota is the tenant's quota divided by the number of
    /// dispatchers, multiplied by [`TENANT_QUOTA_TOLERANCE`]. The returned fraction is 0 for an unknown
    /// tenant and for a tenant without a quota.
    fn over_quota_fraction(&mut self, now: Micros, tenant: usize, settings: &Settings) -> f64 {
        let Some(rate) = self.tenant_rates.get_mut(tenant) else { return 0.0 };
        let quota_per_second = settings.tenants[tenant].quota_per_second;
        let quota = TENANT_QUOTA_TOLERANCE * quota_per_second / f64::from(settings.fleet_size);
        let per_second = rate.add_event(now, TENANT_WINDOW_SECONDS);
        if quota > 0.0 { (1.0 - quota / per_second).max(0.0) } else { 0.0 }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/admission.rs"]
mod tests;
