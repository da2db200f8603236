//! Load shedding: while slots are scarce, requests of least weight are rejected, as else all would be late.
//! And the end of rejecting everything: after a streak of rejections one request is attempted all the same.
use super::average::EventRate;
use super::request::Request;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Slots are scarce when the fraction taken is above this and one request a worker: few slots see queues too.
const OVERLOAD_THRESHOLD: f64 = 0.9;
/// ... and [`MAX_SHED_FRACTION`] of the work is shed at the latest when they are taken this much further.
const OVERLOAD_SPAN: f64 = 1.0;
const MAX_SHED_FRACTION: f64 = 0.7;
/// How fast the price below which requests are shed follows what is offered.
const SHED_PRICE_GAIN: f64 = 0.1;
/// One request moves the price by no more than so many of mean load.
const MAX_SHED_PRICE_WEIGHT: f64 = 3.0;
/// Window of a tenant's rate: bursts last several seconds.
const TENANT_WINDOW_SECONDS: f64 = 3.0;
/// A tenant may use its part of the quota here this many times: clients are not spread evenly.
const TENANT_QUOTA_TOLERANCE: f64 = 1.2;
/// After so many requests rejected on arrival over so long, with no attempt in between, the next one is
/// attempted although it would be shed or late: what rejects them is learned from attempts, and would hold
/// for good.
const MAX_REJECTION_STREAK: u32 = 7;
const MAX_REJECTION_STREAK_TIME: Micros = 2 * SECOND;

/// How full the fleet is, as far as this dispatcher knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetLoad {
    /// Mean fraction of slots taken by all dispatchers, waiting requests included.
    pub(super) utilization: f64,
    /// Mean slots of a worker.
    pub(super) slots: f64,
    /// Mean work times slots of a request offered here.
    pub(super) mean_request_load: f64,
}

/// Rejects requests of little weight while slots are scarce.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionController {
    /// Priority weight per slot-second below which requests are shed while slots are scarce; 0 before any.
    shed_price: f64,
    tenant_rates: Vec<EventRate>,
    rejection_streak: RejectionStreak,
}

/// Requests rejected on arrival since the last attempt.
#[derive(Clone, Copy, Debug, Default)]
struct RejectionStreak {
    count: u32,
    /// When the first of them came.
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

    /// Counts a request that was rejected on arrival.
    pub(super) fn record_rejection(&mut self, now: Micros) {
        let streak = &mut self.rejection_streak;
        if streak.count == 0 {
            streak.started_at = now;
        }
        streak.count = streak.count.saturating_add(1);
    }

    /// Ends the streak of rejections: something new will be learned.
    pub(super) fn record_attempt(&mut self) {
        self.rejection_streak = RejectionStreak::default();
    }

    /// Whether the next request is attempted although it would be shed or late.
    pub(super) fn must_attempt(&self, now: Micros) -> bool {
        self.rejection_streak.count >= MAX_REJECTION_STREAK
            && now.saturating_sub(self.rejection_streak.started_at) >= MAX_REJECTION_STREAK_TIME
    }

    /// Whether a request is rejected for too little weight per slot-second while slots are scarce. The price
    /// floats so that, of the work offered, as much falls below it as is to be shed.
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
        let weight = (request.work * request.slots / fleet.mean_request_load).min(MAX_SHED_PRICE_WEIGHT);
        self.shed_price *= (SHED_PRICE_GAIN * (shed_fraction - f64::from(is_below_price)) * weight).exp();
        shed_fraction > 0.0 && is_below_price
    }

    /// The fraction of a tenant's requests that lies beyond its quota, as seen from here.
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
