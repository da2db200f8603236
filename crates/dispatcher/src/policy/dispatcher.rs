//! The dispatcher: combines the policy modules, owns the requests and workers, and handles each event.
use super::admission::AdmissionController;
use super::admission::FleetLoad;
use super::affinity::AffinityRules;
use super::constants::MAX_VALID_VALUE;
use super::constants::REFRESH_INTERVAL;
use super::constants::validated;
use super::endpoint_subscription::EndpointSubscription;
use super::estimates::EstimatedWorker;
use super::estimates::TimeLimits;
use super::estimates::WorkerEstimates;
use super::hedging::HedgeBudget;
use super::hedging::hedge_delay;
use super::late_retries::LateRetries;
use super::listed_load::ListedLoads;
use super::load_queries::LoadQueries;
use super::load_queries::MAX_QUERIED_WORKERS;
use super::load_reports::LoadReports;
use super::load_reports::REPORT_AGE;
use super::load_reports::ReportedValues;
use super::load_reports::WorkerLoad;
use super::local_load::InFlightAttempt;
use super::offered_load::OfferedLoad;
use super::outlier_detection::OutlierDetector;
use super::outlier_detection::failure_decay;
use super::request::Attempt;
use super::request::ProgressMark;
use super::request::Request;
use super::retries::RetryRules;
use super::selection::NotAdmitted;
use super::selection::WorkerSelector;
use super::service_time::ServiceTimeEstimate;
use super::service_time::ServiceTimeEstimator;
use super::slow_start::SlowStartBudgets;
use super::worker::WorkerTable;
use crate::Action;
use crate::AttemptOutcome;
use crate::Endpoint;
use crate::EndpointUpdate;
use crate::EndpointUpdateKind;
use crate::Event;
use crate::IncomingRequest;
use crate::LoadReport;
use crate::Micros;
use crate::Outcome;
use crate::Progress;
use crate::Rejection;
use crate::RequestId;
use crate::Settings;
use crate::SettingsError;
use crate::Timer;
use crate::WorkerId;
use crate::WorkerState;
use crate::time::from_seconds;
use crate::time::to_seconds;
use rustc_hash::FxHashMap;

/// The dispatcher of a scheduler. [`Dispatcher::handle`] decides for each request whether the request is
/// sent, and to which worker.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    is_started: bool,
    /// Actions that result from the event being handled, in the order in which the caller must carry them
    /// out.
    actions: Vec<Action>,
    requests: FxHashMap<RequestId, Request>,
    workers: WorkerTable,
    subscription: EndpointSubscription,
    service_times: ServiceTimeEstimator,
    load_reports: LoadReports,
    listed_loads: ListedLoads,
    load_queries: LoadQueries,
    slow_start: SlowStartBudgets,
    outlier_detector: OutlierDetector,
    affinities: AffinityRules,
    offered_load: OfferedLoad,
    late_retries: LateRetries,
    admission: AdmissionController,
    hedge_budget: HedgeBudget,
}

impl Dispatcher {
    /// Creates a dispatcher. All random decisions of the dispatcher follow from `seed`.
    ///
    /// # Errors
    /// Returns the first problem that [`Settings::check`] finds.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_count = settings.classes.len();
        let fleet_size = settings.fleet_size;
        let tenant_count = settings.tenants.len();
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            load_reports: LoadReports::new(fleet_size),
            slow_start: SlowStartBudgets::new(&settings),
            affinities: AffinityRules::new(fleet_size),
            service_times: ServiceTimeEstimator::new(class_count),
            admission: AdmissionController::new(tenant_count),
            late_retries: LateRetries::new(class_count),
            settings,
            ..Dispatcher::default()
        })
    }

    /// Handles one event and appends the resulting actions to `actions`, in the order in which the caller
    /// must carry them out. `now` is the time of the event and must not decrease from call to call.
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
            Event::TimerExpired(Timer::DiscoveryPoll) => self.on_discovery_poll_timer(),
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
        if self.settings.workers_report_load_only_on_query {
            let after = LoadQueries::first_delay(&mut self.rng);
            self.actions.push(Action::StartTimer { after, timer: Timer::LoadQuery });
        }
        if let Some(after) = self.subscription.start(&self.settings, &mut self.rng) {
            self.schedule_poll(after);
        }
    }

    fn on_periodic_refresh(&mut self, now: Micros) {
        for request in self.requests.values_mut() {
            let class = request.class;
            for attempt in &mut request.attempts {
                let worker = &mut self.workers[attempt.worker as usize];
                worker.failure_rates.record_if_overdue(now, class, attempt);
            }
        }
        let decay = failure_decay(REFRESH_INTERVAL);
        self.workers.iter_mut().for_each(|worker| worker.failure_rates.decay(decay));
        for index in 0..self.workers.len() {
            self.refresh_service_rate(now, index);
        }
        self.actions.push(Action::StartTimer { after: REFRESH_INTERVAL, timer: Timer::PeriodicRefresh });
    }

    fn schedule_poll(&mut self, after: Micros) {
        self.actions.push(Action::StartTimer { after, timer: Timer::DiscoveryPoll });
    }

    fn on_discovery_poll_timer(&mut self) {
        if self.subscription.needs_poll() {
            self.actions.push(Action::Subscribe);
        }
    }

    fn on_endpoint_update(&mut self, now: Micros, update: EndpointUpdate<'_>) {
        if update.kind == EndpointUpdateKind::Failed {
            if let Some(after) = self.subscription.record_failure(&self.settings, &mut self.rng) {
                self.schedule_poll(after);
            }
            return;
        }
        if !self.subscription.record_update(update.kind, update.version) {
            return;
        }
        if update.kind != EndpointUpdateKind::Changes {
            self.workers.remove_all();
        }
        for endpoint in update.endpoints {
            self.update_worker(now, endpoint);
        }
        self.affinities.set_ready_workers(self.workers.ready_count());
        self.affinities.set_preferred_workers(self.workers.ready_affinities(), MAX_QUERIED_WORKERS);
        if self.settings.listed_sizes_reflect_load {
            self.learn_listed_loads(now, update.endpoints);
        }
    }

    fn update_worker(&mut self, now: Micros, endpoint: &Endpoint) {
        let Some(applied) = self.workers.apply(endpoint) else { return };
        let index = applied.index;
        if applied.has_grown {
            self.resize_tables();
        }
        let worker = &mut self.workers[index];
        if worker.slow_start.set_started_at(endpoint.started_at) {
            // The worker's process is new. What was learned about an earlier process of the worker no longer
            // applies.
            worker.rate.reset();
            worker.reported.reset();
            self.listed_loads.reset(index);
            worker.failure_rates.reset();
        }
        if worker.slow_start.set_hash_key(endpoint.hash_key) {
            worker.affinity = self.affinities.draw(&mut self.rng);
        }
        self.refresh_service_rate(now, index);
    }

    /// Resizes the tables of all policy modules, so that they have an entry for each worker, worker kind and
    /// zone listed so far.
    fn resize_tables(&mut self) {
        let size = self.workers.size();
        self.service_times.resize(size.kinds);
        self.load_reports.resize(size.kinds, size.zones);
        self.listed_loads.resize(size.workers, size.kinds);
        self.outlier_detector.resize(size.kinds);
    }

    fn learn_listed_loads(&mut self, now: Micros, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.listed_loads.set_size(endpoint.worker.0 as usize, endpoint.size);
        }
        self.listed_loads.learn_max_sizes(self.workers.iter().map(|worker| worker.kind));
        let mean_request_slots = self.offered_load.mean_request_slots();
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.state == WorkerState::Ready) {
            let index = endpoint.worker.0 as usize;
            let Some(worker) = self.workers.get(index) else { continue };
            let slots = self.service_times.slots_of(worker.kind);
            self.listed_loads.record(now, index, worker.kind, slots, mean_request_slots);
        }
    }

    fn on_load_report(&mut self, now: Micros, index: usize, report: &LoadReport, is_full: bool) {
        let values = ReportedValues::new(report);
        let worker = &mut self.workers[index];
        let kind = worker.kind;
        let zone = worker.zone;
        if let Some(slots) = values.slots() {
            self.service_times.learn_slots(kind, slots);
        }
        let slots = self.service_times.slots_of(kind);
        let local_slots = worker.local_load.slots_at(now.saturating_sub(REPORT_AGE));
        self.service_times.learn_fleet_slots(slots);
        let load = WorkerLoad { kind, zone, slots, local_slots };
        let mean_request_slots = self.offered_load.mean_request_slots();
        self.load_reports.record(now, &mut worker.reported, load, values, is_full, mean_request_slots);
    }

    fn on_load_query_timer(&mut self) {
        let (workers, affinities) = (&self.workers, &self.affinities);
        let is_queried =
            |worker: usize| workers.is_ready(worker) && affinities.is_preferred(workers[worker].affinity);
        let turn = self.load_queries.take_turn(workers.len(), is_queried);
        if let Some(worker) = turn.worker {
            self.actions.push(Action::QueryLoad { worker: WorkerId(worker as u32) });
        }
        self.actions.push(Action::StartTimer { after: turn.next_delay, timer: Timer::LoadQuery });
    }

    /// Handles the completion of a load query. A query that timed out has waited behind requests at the
    /// worker. The timeout is therefore recorded like a rejection by a full worker, and not as a failure.
    fn on_load_query_completed(
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
        let timed_out = outcome == Outcome::TimedOut;
        if !timed_out {
            self.workers[index].failure_rates.record_outcome(None, outcome);
        }
        if timed_out || report.is_some() {
            self.on_load_report(now, index, &report.unwrap_or_default(), timed_out);
        }
    }

    fn on_request(&mut self, now: Micros, incoming: IncomingRequest) {
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
                self.admission.record_rejection(now);
                self.actions.push(Action::Reject { request: id, retry_after, reason });
            }
        }
    }

    /// Selects the worker for a request that has arrived. Returns an error if the request is to be rejected:
    /// because it is shed, because it would be late, or because no eligible worker can take it. After a long
    /// series of rejections, a request is sent even if it would be shed or late.
    fn admit(&mut self, now: Micros, request: &Request, tenant: usize) -> Result<usize, NotAdmitted> {
        let must_attempt = self.admission.must_attempt(now);
        if self.should_shed(now, request, tenant) && !must_attempt {
            // The client should wait for about the mean response time before it retries. By then, some of the
            // requests that now occupy slots will have completed.
            let retry_after = from_seconds(self.service_times.mean_response_seconds());
            return Err(NotAdmitted { retry_after, reason: Rejection::Overloaded, late_worker: None });
        }
        self.select_worker(now, request).or_else(|not_admitted| {
            let late_worker = not_admitted.late_worker.filter(|_| must_attempt);
            late_worker.ok_or(not_admitted)
        })
    }

    fn should_shed(&mut self, now: Micros, request: &Request, tenant: usize) -> bool {
        let fleet = FleetLoad {
            utilization: self.load_reports.fleet_utilization(),
            slots: self.service_times.fleet_slots(),
            mean_request_load: self.offered_load.mean_request_load(),
        };
        self.admission.should_shed(now, request, tenant, fleet, &self.settings, &mut self.rng)
    }

    fn new_request(&mut self, now: Micros, incoming: &IncomingRequest) -> Request {
        let class = incoming.class as usize;
        let hint = validated(incoming.cost_hint, MAX_VALID_VALUE);
        let work = hint.unwrap_or_else(|| self.service_times.expected_work(class));
        let class_settings = &self.settings.classes[class];
        let objective_seconds = self.service_times.objective_seconds(class_settings, work);
        let spent =
            self.late_retries.time_spent_before(class, class_settings, incoming.time_left, objective_seconds);
        Request {
            id: incoming.request,
            class,
            slots: validated(incoming.slots, MAX_VALID_VALUE).unwrap_or(1.0),
            work,
            has_hint: hint.is_some(),
            objective_at: now.saturating_add(class_settings.latency_objective).saturating_sub(spent),
            deadline: now.saturating_add(incoming.time_left),
            ..Request::default()
        }
    }

    /// Records a newly arrived request in the averages over all arriving requests. Also increases the number
    /// of load queries and the number of hedges that this dispatcher may send, because both grow with each
    /// such request.
    fn record_offered_request(&mut self, request: &Request) {
        self.load_queries.earn(self.settings.load_query_cost);
        self.hedge_budget.earn();
        self.offered_load.record(request.work, request.slots);
    }

    fn send(&mut self, now: Micros, request: &mut Request, index: usize) {
        let slots = self.service_times.slots_of(self.workers[index].kind);
        let estimate = self.estimate(now, request, index).seconds;
        let worker = &mut self.workers[index];
        let attempt = InFlightAttempt {
            request: request.id,
            attempt: request.attempts.len() as u32,
            slots: request.slots,
            sent_at: now,
        };
        worker.local_load.add(attempt);
        let local_load_fitted = worker.local_load.slots_in_use() <= slots;
        self.slow_start.record_sent(now, &mut worker.slow_start, request.work * request.slots);
        self.admission.record_attempt();
        request.attempts.push(Attempt {
            worker: index as u32,
            sent_at: now,
            local_load_fitted,
            is_in_flight: true,
            estimate,
            ..Attempt::default()
        });
        let worker = WorkerId(index as u32);
        self.actions.push(Action::Send { request: request.id, worker, estimate: from_seconds(estimate) });
        self.schedule_hedge_check(now, request, index);
    }

    fn on_progress(&mut self, now: Micros, id: RequestId, number: u32, progress: Progress) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        match progress {
            Progress::Started => {
                attempt.progress = Some(ProgressMark { at: now, fraction_done: 0.0 });
                if self.settings.cancellation_allowed {
                    // This attempt of the request is now running, so the request's attempts that have not
                    // started are cancelled.
                    self.actions.extend(request.cancellations(|attempt| attempt.progress.is_none()));
                }
            }
            Progress::Done(fraction) if fraction > 0.0 && fraction < 1.0 => {
                let previous = attempt.progress.replace(ProgressMark { at: now, fraction_done: fraction });
                let index = attempt.worker as usize;
                if let Some(mark) = previous.filter(|mark| fraction > mark.fraction_done && now > mark.at) {
                    let work = request.work * (fraction - mark.fraction_done);
                    self.learn_rate(now, index, work, to_seconds(now - mark.at));
                }
            }
            Progress::Done(_) => {}
            // The response is streaming to the client, so the scheduler must send no other final response.
            Progress::Streaming => request.is_finished = true,
        }
    }

    fn on_attempt_completed(&mut self, now: Micros, outcome: AttemptOutcome) {
        let id = outcome.request;
        let Some(mut request) = self.requests.remove(&id) else { return };
        let attempt = request.attempts.get_mut(outcome.attempt as usize);
        if let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) {
            attempt.is_in_flight = false;
            attempt.never_ran = outcome.outcome.never_ran();
            let attempt = *attempt;
            self.record_outcome(now, &attempt, &request, &outcome);
        }
        if outcome.request_finished {
            self.finish(&mut request);
        }
        if !request.is_finished && !request.has_attempt_in_flight() {
            self.retry_or_respond(now, &mut request);
        }
        if !request.is_finished || request.has_attempt_in_flight() {
            self.requests.insert(id, request);
        }
    }

    fn record_outcome(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        request: &Request,
        completion: &AttemptOutcome,
    ) {
        let index = attempt.worker as usize;
        self.workers[index].local_load.complete(completion.request, completion.attempt, now, REPORT_AGE);
        if !(attempt.is_overdue && completion.outcome == Outcome::TimedOut) {
            let class = Some(request.class);
            self.workers[index].failure_rates.record_outcome(class, completion.outcome);
        }
        if completion.outcome == Outcome::Served {
            self.learn_service_time(now, attempt, request, completion.elapsed);
        }
        let is_rejected = completion.outcome == Outcome::Rejected;
        self.outlier_detector.record_rejection(self.workers[index].kind, is_rejected);
        let counts_as_report =
            completion.outcome == Outcome::Served && !self.settings.workers_report_load_only_on_query;
        if is_rejected || completion.report.is_some() || counts_as_report {
            self.on_load_report(now, index, &completion.report.unwrap_or_default(), is_rejected);
        }
    }

    fn learn_service_time(&mut self, now: Micros, attempt: &Attempt, request: &Request, elapsed: Micros) {
        self.service_times.learn_response_time(elapsed);
        let (fraction, time) = match attempt.progress {
            Some(ProgressMark { at, fraction_done }) => (1.0 - fraction_done, now.saturating_sub(at)),
            None if attempt.local_load_fitted && !self.settings.workers_report_request_start => {
                (1.0, elapsed)
            }
            None => return,
        };
        if fraction > 0.0 && time > 0 {
            let seconds = to_seconds(time);
            if !request.has_hint && fraction == 1.0 {
                self.service_times.learn_class_time(now, request.class, seconds);
            }
            self.learn_rate(now, attempt.worker as usize, request.work * fraction, seconds);
        }
    }

    fn retry_rules(&self) -> RetryRules<'_> {
        RetryRules { settings: &self.settings, rejection_rate: self.outlier_detector.rejection_rate() }
    }

    fn retry_or_respond(&mut self, now: Micros, request: &mut Request) {
        let retry_after = from_seconds(self.service_times.mean_response_seconds());
        let mut not_admitted =
            NotAdmitted { retry_after, reason: Rejection::AttemptsExhausted, late_worker: None };
        if self.retry_rules().may_retry(now, request) {
            match self.select_worker(now, request) {
                Ok(index) => return self.send(now, request, index),
                Err(error) => not_admitted = error,
            }
        }
        self.finish(request);
        let NotAdmitted { retry_after, reason, .. } = not_admitted;
        let may_reject = self.retry_rules().may_reject(request) && now < request.deadline;
        self.actions.push(if may_reject {
            Action::Reject { request: request.id, retry_after, reason }
        } else {
            Action::Fail { request: request.id }
        });
    }

    fn schedule_hedge_check(&mut self, now: Micros, request: &Request, index: usize) {
        if !self.settings.workers_report_request_start || !self.retry_rules().may_hedge_or_move(now, request)
        {
            return;
        }
        let class = &self.settings.classes[request.class];
        let seconds_alone = request.work / self.workers[index].rate.service_rate();
        let slack = TimeLimits::new(now, request, class).seconds_left(seconds_alone) - seconds_alone;
        let after = hedge_delay(slack);
        self.actions.push(Action::StartTimer { after, timer: Timer::HedgeCheck(request.id) });
    }

    /// Handles a request that may not have started to run in time. If it has not started, it may get an
    /// attempt at another worker. This requires that one more hedge may be sent, and that a worker can still
    /// serve the request in time. Otherwise nothing happens.
    ///
    /// If the settings allow hedging, the second attempt is sent at once, and both attempts are in flight. If
    /// not, the attempt in flight is cancelled, and the request is retried once that attempt has completed.
    /// Either way, the number of hedges that this dispatcher may still send falls by 1.
    fn on_hedge_check(&mut self, now: Micros, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if !request.is_finished
            && !request.has_started()
            && self.hedge_budget.has_hedge()
            && self.retry_rules().may_hedge_or_move(now, &request)
            && let Ok(index) = self.select_worker(now, &request)
        {
            self.hedge_budget.spend();
            if self.settings.hedging_allowed {
                self.send(now, &mut request, index);
            } else {
                self.cancel_in_flight(&request);
            }
        }
        self.requests.insert(id, request);
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.finish(&mut request);
        if request.has_attempt_in_flight() {
            self.requests.insert(id, request);
        }
    }

    /// Marks a request as finished, so that no further attempt is sent. If cancellation is allowed, the
    /// request's attempts in flight are cancelled.
    fn finish(&mut self, request: &mut Request) {
        if !request.is_finished {
            request.is_finished = true;
            self.cancel_in_flight(request);
        }
    }

    fn cancel_in_flight(&mut self, request: &Request) {
        if self.settings.cancellation_allowed {
            self.actions.extend(request.cancellations(|_| true));
        }
    }

    fn learn_rate(&mut self, now: Micros, index: usize, work: f64, seconds: f64) {
        let worker = &mut self.workers[index];
        let is_idle = worker.local_load.is_idle();
        self.service_times.learn_rate(now, &mut worker.rate, worker.kind, is_idle, work, seconds);
    }

    fn refresh_service_rate(&mut self, now: Micros, index: usize) {
        let worker = &mut self.workers[index];
        let is_idle = worker.local_load.is_idle();
        self.service_times.refresh(now, &mut worker.rate, worker.kind, is_idle);
    }

    fn estimate(&self, now: Micros, request: &Request, index: usize) -> ServiceTimeEstimate {
        let estimates = WorkerEstimates {
            service_times: &self.service_times,
            load_reports: &self.load_reports,
            listed_loads: &self.listed_loads,
        };
        let target = EstimatedWorker {
            index,
            worker: &self.workers[index],
            is_warming_up: self.slow_start.is_warming_up(now, &self.workers[index].slow_start),
        };
        estimates.estimate(now, target, request)
    }

    fn select_worker(&mut self, now: Micros, request: &Request) -> Result<usize, NotAdmitted> {
        let selector = WorkerSelector {
            settings: &self.settings,
            workers: &mut self.workers,
            estimates: WorkerEstimates {
                service_times: &self.service_times,
                load_reports: &self.load_reports,
                listed_loads: &self.listed_loads,
            },
            outlier_detector: &self.outlier_detector,
            affinities: &self.affinities,
            slow_start: &self.slow_start,
            mean_request_load: self.offered_load.mean_request_load(),
            rng: &mut self.rng,
        };
        selector.select(now, request)
    }
}
