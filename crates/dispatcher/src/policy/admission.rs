//! Admission: decides which requests are rejected on arrival while the fleet is overloaded.
//!
//! All requests would be late if none were rejected, so those with the lowest priority weight for the slots
//! and time that they need are rejected. After several consecutive rejections, one request is attempted even
//! if it would normally be rejected. The estimates that lead to rejections are learned only from attempts, so
//! without such an attempt they would never change.
use super::average::EventRate;
use super::request::Request;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Constant part of the overload threshold, which is the fleet utilization above which load shedding starts.
/// The threshold is this constant plus 1 / (mean number of slots of a worker). At workers with few slots,
/// requests wait even at a low utilization, and waiting requests count in the fleet utilization. The second
/// term raises the threshold, so that such waiting does not start load shedding.
const OVERLOAD_THRESHOLD: f64 = 0.9;
/// Width of the range of fleet utilization over which the fraction of work to be shed rises from 0 to 1. Shed
/// work is the work of requests that are rejected on arrival because the fleet is overloaded. The range
/// starts at the overload threshold, and the rise is linear. [`MAX_SHED_FRACTION`] stops the rise before 1 is
/// reached.
const OVERLOAD_SPAN: f64 = 1.0;
/// Largest fraction of the work of all arriving requests that may be shed. To shed a request is to reject it
/// on arrival because the fleet is overloaded.
const MAX_SHED_FRACTION: f64 = 0.7;
/// Gain with which each arriving request adjusts the shed price. This price is a priority weight per
/// slot-second. Requests with a lower weight per slot-second are shed while the fleet is overloaded. Each
/// request adds `SHED_PRICE_GAIN * (s - b) * l` to the logarithm of the price.
///
/// `s` is the fraction of work to be shed. `b` is 1 if the request's weight per slot-second is below the
/// price, and 0 otherwise. `l` is the request's load divided by the mean load of the requests that arrive at
/// this dispatcher. The load of a request is its number of slots multiplied by its running time on a standard
/// core. A standard core is the core to which cost hints refer.
const SHED_PRICE_GAIN: f64 = 0.1;
/// Upper limit of the relative load of a request, which is its load divided by the mean load of all arriving
/// requests. The load of a request is its number of slots multiplied by its running time. The shed price is
/// the priority weight per slot-second below which requests are shed. A request changes this price in
/// proportion to its relative load (see [`SHED_PRICE_GAIN`]). The limit bounds the change that one request
/// can cause.
const MAX_SHED_PRICE_SAMPLE_LOAD: f64 = 3.0;
/// Time constant, in seconds, of the moving average of a tenant's request rate. Bursts of requests last
/// several seconds, which is long enough for the average to follow them.
const TENANT_WINDOW_SECONDS: f64 = 3.0;
/// Factor by which a dispatcher raises its part of a tenant's quota, which is a number of requests per
/// second. That part is the quota divided by the number of dispatchers. Clients are not distributed evenly
/// over the dispatchers, so some dispatchers get more than an equal part of the tenant's requests.
const TENANT_QUOTA_TOLERANCE: f64 = 1.2;
/// Number of requests that this dispatcher must reject on arrival in a row, without an attempt in between,
/// before a request is attempted even if it would be shed or late. The estimates that lead to rejections are
/// learned from attempts, so without any attempt they would never change.
const MIN_REJECTION_STREAK_LENGTH: u32 = 7;
/// Minimum duration of a rejection streak after which a request is attempted even if it would be shed or
/// late. In a rejection streak, this dispatcher rejects all requests on arrival. The streak starts with the
/// first rejection after the last attempt. It must also contain at least [`MIN_REJECTION_STREAK_LENGTH`]
/// rejected requests.
const MIN_REJECTION_STREAK_DURATION: Micros = 2 * SECOND;

/// The load of the fleet as known to this dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetLoad {
    /// Mean utilization of the fleet's workers. The utilization of a worker is the number of slots that the
    /// requests there use or wait for, divided by the worker's number of slots. The value may exceed 1,
    /// because waiting requests count.
    pub(super) utilization: f64,
    /// Mean number of slots of a worker, learned from load reports. Before the first load report, this is an
    /// assumed number.
    pub(super) slots: f64,
    /// Mean load of the offered requests, in slot-seconds. The load of a request is the number of slots that
    /// the request occupies, multiplied by its running time in seconds on a standard core. A standard core is
    /// the core to which cost hints refer.
    pub(super) mean_request_load: f64,
}

/// Decides which requests are shed under overload. Also counts how many requests in a row this dispatcher has
/// rejected on arrival. After many such rejections, a request is attempted even if it would be shed or late.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionController {
    /// Shed price: the priority weight per slot-second below which requests are shed while the fleet is
    /// overloaded. A slot-second is the work that one slot does in one second on a standard core, the core to
    /// which cost hints refer. The price is 0 before the first request.
    shed_price: f64,
    tenant_rates: Vec<EventRate>,
    rejection_streak: RejectionStreak,
}

/// Rejection streak: the requests that were rejected on arrival since this dispatcher last sent an attempt.
/// Invalid requests do not count.
#[derive(Clone, Copy, Debug, Default)]
struct RejectionStreak {
    count: u32,
    /// Arrival time of the first of the requests that this dispatcher has rejected since it last sent an
    /// attempt.
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

    /// Records that a valid request was rejected on arrival.
    pub(super) fn record_rejection(&mut self, now: Micros) {
        let streak = &mut self.rejection_streak;
        if streak.count == 0 {
            streak.started_at = now;
        }
        streak.count = streak.count.saturating_add(1);
    }

    /// Records that this dispatcher sends an attempt to a worker, and resets its count of requests rejected
    /// in a row on arrival. After many such rejections, one request is attempted even if it would be shed or
    /// late, only to learn from the outcome. An attempt that is sent anyway also gives an outcome, so the
    /// count starts anew.
    pub(super) fn record_attempt(&mut self) {
        self.rejection_streak = RejectionStreak::default();
    }

    /// Returns whether the next request must be attempted even if it would be shed or late. This is the case
    /// after this dispatcher has rejected many requests in a row on arrival. The estimates that lead to
    /// rejections are learned from attempts, so without any attempt they would never change.
    pub(super) fn must_attempt(&self, now: Micros) -> bool {
        self.rejection_streak.count >= MIN_REJECTION_STREAK_LENGTH
            && now.saturating_sub(self.rejection_streak.started_at) >= MIN_REJECTION_STREAK_DURATION
    }

    /// Returns whether a request is shed. This is the case if the fleet is overloaded and the request's
    /// weight per slot-second is below the shed price. Each call also adjusts the shed price, so that the
    /// requests below the price make up the fraction of the offered work that is to be shed.
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

    /// Records a request of a tenant, and returns the fraction of the tenant's request rate that is above the
    /// tenant's quota at this dispatcher. The fraction is 0 for an unknown tenant and for a tenant without a
    /// quota.
    ///
    /// The quota at this dispatcher is the tenant's quota divided by the number of dispatchers and multiplied
    /// by [`TENANT_QUOTA_TOLERANCE`].
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
