//! The dispatch policy: every rule, threshold and tuned constant of a [`Dispatcher`].
//!
//! A request goes to the worker with the lowest service-time estimate, after "Empirical Study of Low-Latency
//! Network Model with Orchestrator in MEC", eq. (1), and is rejected on arrival when even that exceeds the
//! time it has left. Each module holds one concern; all work on the one state of `Dispatcher`.
mod admission;
mod affinity;
mod attempts;
mod endpoint_subscription;
mod endpoint_updates;
mod figures;
mod hedging;
mod late_retries;
mod listed_load;
mod load_queries;
mod load_reports;
mod offered_load;
mod outlier_detection;
mod remote_slots;
mod request;
mod retries;
mod selection;
mod service_time;
mod slow_start;
mod worker;

use self::admission::AdmissionController;
use self::affinity::AffinityTable;
use self::endpoint_subscription::EndpointSubscription;
use self::figures::REFRESH_INTERVAL;
use self::hedging::HedgeBudget;
use self::late_retries::LateRetries;
use self::listed_load::ListedLoads;
use self::load_queries::LoadQueries;
use self::load_reports::LoadReports;
use self::offered_load::OfferedLoad;
use self::outlier_detection::OutlierDetector;
use self::request::Request;
use self::service_time::ServiceTimeEstimator;
use self::slow_start::SlowStartBudgets;
use self::worker::Worker;
use crate::{Action, Event, Micros, RequestId, Settings, SettingsError, Timer};
use rustc_hash::FxHashMap;

/// The decisions of one dispatcher. See [`Dispatcher::handle`].
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    kind_count: usize,
    zone_count: usize,
    service_times: ServiceTimeEstimator,
    load_reports: LoadReports,
    listed_loads: ListedLoads,
    outlier_detector: OutlierDetector,
    affinities: AffinityTable,
    load_queries: LoadQueries,
    hedge_budget: HedgeBudget,
    requests: FxHashMap<RequestId, Request>,
    /// What the event at hand asks of the caller, in order.
    actions: Vec<Action>,
    is_started: bool,
    slow_start: SlowStartBudgets,
    admission: AdmissionController,
    offered_load: OfferedLoad,
    late_retries: LateRetries,
    subscription: EndpointSubscription,
}

impl Dispatcher {
    /// Makes a dispatcher; `seed` determines all its random draws.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_count = settings.classes.len();
        let fleet_size = settings.fleet_size;
        let tenant_count = settings.tenants.len();
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            load_reports: LoadReports::new(fleet_size),
            slow_start: SlowStartBudgets::new(&settings),
            outlier_detector: OutlierDetector::new(class_count),
            affinities: AffinityTable::new(fleet_size),
            service_times: ServiceTimeEstimator::new(class_count),
            admission: AdmissionController::new(tenant_count),
            late_retries: LateRetries::new(class_count),
            settings,
            ..Dispatcher::default()
        })
    }

    /// Takes one event and appends what is to be done about it, in order. `now` never goes back.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        if !self.is_started {
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
        self.is_started = true;
        self.slow_start.start(now);
        self.actions.push(Action::StartTimer { after: REFRESH_INTERVAL, timer: Timer::PeriodicRefresh });
        if self.settings.load_by_query {
            let after = LoadQueries::first_delay(&mut self.rng);
            self.actions.push(Action::StartTimer { after, timer: Timer::LoadQuery });
        }
        if let Some(after) = self.subscription.start(&self.settings, &mut self.rng) {
            self.schedule_poll(after);
        }
    }

    fn on_periodic_refresh(&mut self, now: Micros) {
        self.outlier_detector.record_overdue_attempts(now, self.requests.values_mut());
        self.outlier_detector.decay(REFRESH_INTERVAL);
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            self.service_times.refresh(now, index, worker.kind, worker.local_load.is_idle());
        }
        self.actions.push(Action::StartTimer { after: REFRESH_INTERVAL, timer: Timer::PeriodicRefresh });
    }
}
