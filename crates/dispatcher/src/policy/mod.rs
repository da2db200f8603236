//! The dispatch policy: every rule, threshold and tuned constant of a [`Dispatcher`].
//!
//! A request goes to the worker with the lowest service-time estimate, after "Empirical Study of Low-Latency
//! Network Model with Orchestrator in MEC", eq. (1), and is rejected on arrival when even that exceeds the
//! time it has left. Each module holds one concern; all work on the one state of `Dispatcher`.
mod admission;
mod attempts;
mod endpoint_subscription;
mod endpoint_updates;
mod hedging;
mod load_reports;
mod outlier_detection;
mod retries;
mod selection;
mod service_time;
mod slow_start;
mod state;

use self::endpoint_subscription::EndpointSubscription;
use self::hedging::HedgeBudget;
use self::load_reports::{INITIAL_UTILIZATION, LOAD_QUERY_ROUND, MAX_LOAD_QUERY_BUDGET};
use self::state::{GroupStatistics, RejectionStreak, Request, Worker};
use crate::average::{AverageRatio, EventRate, LogAverage};
use crate::{Action, Event, Micros, RequestId, SECOND, Settings, SettingsError, Timer};
use rustc_hash::FxHashMap;

/// Interval of the periodic refresh of all workers: short beside the seconds in which rates change.
const REFRESH_INTERVAL: Micros = SECOND;
/// Weight of one sample in a mean over all requests or many workers: about the last hundred count.
const GROUP_GAIN: f64 = 0.01;
/// Weight of one sample in a mean that moves slowly: about the last twenty count.
const SLOW_GAIN: f64 = 0.05;
/// Largest valid count of slots, and hint in seconds; beyond it they count as absent.
const MAX_FIGURE: f64 = 1e4;

/// The decisions of one dispatcher. See [`Dispatcher::handle`].
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    kinds: Vec<GroupStatistics>,
    /// For each kind and zone, the fraction of slots taken against the fleet's.
    kind_load_ratios: Vec<AverageRatio>,
    zone_load_ratios: Vec<AverageRatio>,
    fleet: GroupStatistics,
    /// Mean fraction of slots taken by all dispatchers, waiting requests included.
    fleet_utilization: f64,
    /// With this factor the lowest affinity of the ready workers is about 1.
    affinity_scale: f64,
    last_queried: usize,
    load_query_budget: f64,
    hedge_budget: HedgeBudget,
    requests: FxHashMap<RequestId, Request>,
    /// What the event at hand asks of the caller, in order.
    actions: Vec<Action>,
    mean_response_seconds: f64,
    started_at: Option<Micros>,
    /// Priority weight per slot-second below which requests are shed while slots are scarce.
    shed_price: f64,
    rejection_streak: RejectionStreak,
    tenant_rates: Vec<EventRate>,
    /// Mean of work times slots of a request, the requests it rests on (up to a hundred), mean of slots.
    mean_request_load: f64,
    load_samples: f64,
    mean_request_slots: f64,
    subscription: EndpointSubscription,
    service_time_by_class: Vec<LogAverage>,
    longest_time_left_by_class: Vec<Micros>,
    /// Fraction of requests that arrive when their whole latency objective seems spent.
    late_retry_fraction: f64,
}

impl Dispatcher {
    /// Makes a dispatcher; `seed` determines all its random draws.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let (class_count, tenant_count) = (settings.classes.len(), settings.tenants.len());
        Ok(Dispatcher {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            fleet_utilization: INITIAL_UTILIZATION,
            affinity_scale: 1.0,
            mean_response_seconds: 1.0,
            tenant_rates: vec![EventRate::default(); tenant_count],
            load_query_budget: MAX_LOAD_QUERY_BUDGET,
            mean_request_load: 1.0,
            mean_request_slots: 1.0,
            service_time_by_class: vec![LogAverage::default(); class_count],
            longest_time_left_by_class: vec![0; class_count],
            ..Dispatcher::default()
        })
    }

    /// Takes one event and appends what is to be done about it, in order. `now` never goes back.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        if self.started_at.is_none() {
            self.start(now);
        }
        match event {
            Event::Endpoints(update) => self.on_endpoint_update(now, update),
            Event::Request(incoming) => self.on_request(now, incoming),
            Event::AttemptCompleted(outcome) => self.on_attempt_completed(now, outcome),
            Event::AttemptProgress { request, attempt, progress } => {
                self.on_progress(now, request, attempt, progress);
            }
            Event::ClientDisconnected(request) => self.on_client_disconnected(request),
            Event::TimerExpired(Timer::PeriodicRefresh) => self.on_periodic_refresh(now),
            Event::TimerExpired(Timer::Subscription) if self.subscription.needs_poll() => {
                self.actions.push(Action::Subscribe);
            }
            Event::TimerExpired(Timer::Subscription) => {}
            Event::TimerExpired(Timer::HedgeCheck(request)) => self.on_hedge_check(now, request),
            Event::TimerExpired(Timer::LoadQuery) => self.on_load_query_timer(),
            Event::LoadQueryCompleted { worker, outcome, report } => {
                self.on_load_query_completed(now, worker, outcome, report);
            }
        }
        std::mem::swap(&mut self.actions, actions);
    }

    fn start(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.actions.push(Action::StartTimer { after: REFRESH_INTERVAL, timer: Timer::PeriodicRefresh });
        if self.settings.load_by_query {
            let after = self.rng.u64(0..=LOAD_QUERY_ROUND / 10);
            self.actions.push(Action::StartTimer { after, timer: Timer::LoadQuery });
        }
        if let Some(after) = self.subscription.start(&self.settings, &mut self.rng) {
            self.schedule_poll(after);
        }
    }

    fn on_periodic_refresh(&mut self, now: Micros) {
        self.record_overdue_attempts(now);
        self.decay_failure_rates();
        for index in 0..self.workers.len() {
            self.refresh_service_rate(now, index);
        }
        self.actions.push(Action::StartTimer { after: REFRESH_INTERVAL, timer: Timer::PeriodicRefresh });
    }
}

/// A figure from outside, if it is one that can be meant.
fn validated(figure: Option<f64>, max: f64) -> Option<f64> {
    figure.filter(|&x| x.is_finite() && x > 0.0 && x <= max)
}
