//! Admission: decides which requests are rejected on arrival while the fleet is overloaded.
//!
//! Load shedding rejects the requests with the least weight per slot-second, since otherwise all would be
//! late. After a streak of rejections, one request is attempted regardless, so that new outcomes are
//! observed.
use super::average::EventRate;
use super::request::Request;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Load shedding starts when the fleet utilization exceeds this constant plus 1 / (mean number of slots of a
/// worker), because workers with few slots have queues at a lower utilization too.
const OVERLOAD_THRESHOLD: f64 = 0.9;
/// Excess of the fleet utilization over the overload threshold at which all offered work would be shed, if
/// [`MAX_SHED_FRACTION`] did not limit the shed fraction. The shed fraction rises linearly from 0 at the
/// threshold.
const OVERLOAD_SPAN: f64 = 1.0;
/// Largest fraction of the offered work that is shed.
const MAX_SHED_FRACTION: f64 = 0.7;
/// Gain with which the shed price is adjusted. A request of mean load changes the logarithm of the price by
/// this gain times the difference between the fraction of work to be shed and 1 (for a request whose weight
/// is below the price) or 0 (for any other request).
const SHED_PRICE_GAIN: f64 = 0.1;
/// Largest load of one request that counts in an adjustment of the shed price, as a multiple of the mean
/// request load.
const MAX_SHED_PRICE_SAMPLE_LOAD: f64 = 3.0;
/// Time constant of a tenant's request rate, in seconds; bursts last several seconds.
const TENANT_WINDOW_SECONDS: f64 = 3.0;
/// Multiple of a dispatcher's share of a tenant's quota that the tenant may use at this dispatcher, since
/// clients are not distributed evenly over the dispatchers.
const TENANT_QUOTA_TOLERANCE: f64 = 1.2;
/// Number of consecutive rejections on arrival that a rejection streak must reach before the next request is
/// attempted although that request would be shed or late. The estimates that lead to rejections are learned
/// from attempts: without any attempt, they would never change.
const MIN_REJECTION_STREAK_LENGTH: u32 = 7;
/// Time that a rejection streak must also last before the next request is attempted.
const MIN_REJECTION_STREAK_DURATION: Micros = 2 * SECOND;

/// The load of the fleet as known to this dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetLoad {
    /// Mean fraction of slots in use by all dispatchers, including waiting requests; may exceed 1.
    pub(super) utilization: f64,
    /// Mean number of slots of a worker of the fleet.
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

    /// Returns whether the next request is to be attempted although it would be shed or late.
    pub(super) fn must_attempt(&self, now: Micros) -> bool {
        self.rejection_streak.count >= MIN_REJECTION_STREAK_LENGTH
            && now.saturating_sub(self.rejection_streak.started_at) >= MIN_REJECTION_STREAK_DURATION
    }

    /// Returns whether a request is shed because its weight per slot-second is below the shed price while the
    /// fleet is overloaded. The shed price adapts so that the fraction of the offered work whose weight is
    /// below the price matches the fraction to be shed.
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
        let work = if settings.weight_by_work { 1.0 } else { request.work };
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

    /// Records a request of a tenant. Returns the fraction of the tenant's requests that exceeds this
    /// dispatcher's share of the tenant's quota, where the share includes [`TENANT_QUOTA_TOLERANCE`]. The
    /// fraction is 0 for an unknown tenant and for a tenant without a quota.
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
