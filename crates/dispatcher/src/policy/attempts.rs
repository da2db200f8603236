//! Requests from their arrival to their final response, and their attempts from sending to their end.
use super::Dispatcher;
use super::admission::FleetLoad;
use super::figures::MAX_FIGURE;
use super::figures::REFRESH_INTERVAL;
use super::figures::validated;
use super::hedging::hedge_delay;
use super::load_reports::REPORT_AGE;
use super::request::Attempt;
use super::request::ProgressMark;
use super::request::Request;
use super::retries::RetryRules;
use super::selection::NotAdmitted;
use crate::WorkerId;
use crate::{
    Action, AttemptOutcome, IncomingRequest, Micros, Outcome, Progress, Rejection, RequestId, Timer,
};
use crate::{local_load::InFlightAttempt, time::from_seconds, time::to_seconds};

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
                self.admission.record_rejection(now);
                self.actions.push(Action::Reject { request: id, retry_after, reason });
            }
        }
    }

    /// The worker for a request that has arrived, unless it is shed or would be late everywhere.
    fn admit(&mut self, now: Micros, request: &Request, tenant: usize) -> Result<usize, NotAdmitted> {
        let must_attempt = self.admission.must_attempt(now);
        if self.should_shed(now, request, tenant) && !must_attempt {
            // About one usual response later some of the slots are free.
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
        let hint = validated(incoming.cost_hint, MAX_FIGURE);
        let work = hint.unwrap_or_else(|| self.service_times.usual_work(class));
        let objective_seconds = self.service_times.objective_seconds(&self.settings.classes[class], work);
        let class_settings = &self.settings.classes[class];
        let spent =
            self.late_retries.time_spent_before(class, class_settings, incoming.time_left, objective_seconds);
        Request {
            id: incoming.request,
            class,
            slots: validated(incoming.slots, MAX_FIGURE).unwrap_or(1.0),
            work,
            has_hint: hint.is_some(),
            objective_at: now.saturating_add(class_settings.latency_objective).saturating_sub(spent),
            deadline: now.saturating_add(incoming.time_left),
            ..Request::default()
        }
    }

    /// Earns the budgets for load queries and hedges, and learns the mean request.
    fn record_offered_request(&mut self, request: &Request) {
        self.load_queries.earn(self.settings.load_query_cost);
        self.hedge_budget.earn();
        self.offered_load.record(request.work, request.slots);
    }

    pub(super) fn send(&mut self, now: Micros, request: &mut Request, index: usize) {
        let slots = self.service_times.slots_of(self.workers[index].kind);
        let estimate = self.estimate(now, index, request).seconds;
        let worker = &mut self.workers[index];
        let (id, attempt) = (request.id, request.attempts.len() as u32);
        worker.local_load.add(InFlightAttempt { request: id, attempt, slots: request.slots, sent_at: now });
        let fitted_slots = worker.local_load.slots_in_use() <= slots;
        self.slow_start.record_sent(now, index, request.work * request.slots);
        self.admission.record_attempt();
        request.attempts.push(Attempt {
            worker: index as u32,
            sent_at: now,
            fitted_slots,
            is_in_flight: true,
            estimate,
            ..Attempt::default()
        });
        let worker = WorkerId(index as u32);
        self.actions.push(Action::Send { request: request.id, worker, estimate: from_seconds(estimate) });
        self.schedule_hedge_check(now, request, index);
    }

    pub(super) fn on_progress(&mut self, now: Micros, id: RequestId, number: u32, progress: Progress) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        match progress {
            Progress::Started => {
                attempt.progress = Some(ProgressMark { at: now, fraction_done: 0.0 });
                if self.settings.cancellation_allowed {
                    // One attempt runs: those that still wait are canceled.
                    cancel_attempts(request, |attempt| attempt.progress.is_none(), &mut self.actions);
                }
            }
            Progress::Done(fraction) if fraction > 0.0 && fraction < 1.0 => {
                let earlier = attempt.progress.replace(ProgressMark { at: now, fraction_done: fraction });
                let index = attempt.worker as usize;
                if let Some(mark) = earlier.filter(|mark| fraction > mark.fraction_done && now > mark.at) {
                    let work = request.work * (fraction - mark.fraction_done);
                    self.learn_rate(now, index, work, to_seconds(now - mark.at));
                }
            }
            Progress::Done(_) => {}
            // The client owns it now: no final response is owed any more.
            Progress::Streaming => request.is_finished = true,
        }
    }

    pub(super) fn on_attempt_completed(&mut self, now: Micros, outcome: AttemptOutcome) {
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

    fn record_outcome(&mut self, now: Micros, attempt: &Attempt, request: &Request, end: &AttemptOutcome) {
        let index = attempt.worker as usize;
        self.workers[index].local_load.complete(end.request, end.attempt, now, REPORT_AGE);
        if !(attempt.is_overdue && end.outcome == Outcome::TimedOut) {
            self.outlier_detector.record_outcome(index, Some(request.class), end.outcome);
        }
        if end.outcome == Outcome::Served {
            self.learn_service_time(now, attempt, request, end.elapsed);
        }
        let is_rejected = end.outcome == Outcome::Rejected;
        self.outlier_detector.record_rejection(self.workers[index].kind, is_rejected);
        let is_served = end.outcome == Outcome::Served && !self.settings.load_by_query;
        if is_rejected || end.report.is_some() || is_served {
            self.on_load_report(now, index, &end.report.unwrap_or_default(), is_rejected);
        }
    }

    fn learn_service_time(&mut self, now: Micros, attempt: &Attempt, request: &Request, elapsed: Micros) {
        self.service_times.learn_response_time(elapsed);
        let (fraction, time) = match attempt.progress {
            Some(ProgressMark { at, fraction_done }) => (1.0 - fraction_done, now.saturating_sub(at)),
            None if attempt.fitted_slots && !self.settings.reports_job_start => (1.0, elapsed),
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
        if !self.settings.reports_job_start || !self.retry_rules().may_hedge_or_move(now, request) {
            return;
        }
        let alone = request.work / self.service_times.service_rate(index);
        let slack = self.time_left(now, index, request) - alone;
        let after = hedge_delay(slack);
        self.actions.push(Action::StartTimer { after, timer: Timer::HedgeCheck(request.id) });
    }

    /// A request that should have started by now is hedged, through the same estimate and admission; where
    /// two attempts may not be in flight together, it is canceled and moves once that completes.
    pub(super) fn on_hedge_check(&mut self, now: Micros, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let mut in_flight = request.attempts.iter().filter(|attempt| attempt.is_in_flight);
        let has_not_started = in_flight.all(|attempt| attempt.progress.is_none());
        if !request.is_finished
            && has_not_started
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

    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.finish(&mut request);
        if request.has_attempt_in_flight() {
            self.requests.insert(id, request);
        }
    }

    /// Marks a request as finished: nothing more is sent for it, and what is in flight is canceled.
    pub(super) fn finish(&mut self, request: &mut Request) {
        if !request.is_finished {
            request.is_finished = true;
            self.cancel_in_flight(request);
        }
    }

    pub(super) fn cancel_in_flight(&mut self, request: &Request) {
        if self.settings.cancellation_allowed {
            cancel_attempts(request, |_| true, &mut self.actions);
        }
    }
}

fn cancel_attempts(request: &Request, is_unwanted: impl Fn(&Attempt) -> bool, actions: &mut Vec<Action>) {
    for (number, attempt) in request.attempts.iter().enumerate() {
        if attempt.is_in_flight && is_unwanted(attempt) {
            actions.push(Action::Cancel { request: request.id, attempt: number as u32 });
        }
    }
}
