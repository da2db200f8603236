//! Attempts, from sending to completion or cancellation.
use super::state::{Attempt, ProgressMark, RejectionStreak, Request};
use super::{Dispatcher, GROUP_GAIN, SLOW_GAIN, load_reports::REPORT_AGE};
use crate::{Action, AttemptOutcome, Micros, Outcome, Progress, RequestId, WorkerId};
use crate::{average::move_average, local_load::InFlightAttempt, time::from_seconds, time::to_seconds};

/// Shortest valid response time: keeps its mean, by which is divided, above 0.
const MIN_RESPONSE_TIME: Micros = 1_000;

impl Dispatcher {
    pub(super) fn send(&mut self, now: Micros, request: &mut Request, index: usize) {
        let slots = self.slots_of(&self.workers[index]);
        let estimate = self.estimate(now, &self.workers[index], request).seconds;
        let worker = &mut self.workers[index];
        let (id, attempt) = (request.id, request.attempts.len() as u32);
        worker.local_load.add(InFlightAttempt { request: id, attempt, slots: request.slots, sent_at: now });
        let fitted_slots = worker.local_load.slots_in_use() <= slots;
        self.record_slow_start_work(now, index, request.work * request.slots);
        self.rejection_streak = RejectionStreak::default();
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
            self.record_failure(index, Some(request.class), end.outcome);
        }
        if end.outcome == Outcome::Served {
            self.learn_service_time(now, attempt, request, end.elapsed);
        }
        let is_rejected = end.outcome == Outcome::Rejected;
        for group in [&mut self.kinds[self.workers[index].kind as usize], &mut self.fleet] {
            move_average(&mut group.rejection_rate, f64::from(is_rejected), SLOW_GAIN);
        }
        let is_served = end.outcome == Outcome::Served && !self.settings.load_by_query;
        if is_rejected || end.report.is_some() || is_served {
            self.on_load_report(now, index, &end.report.unwrap_or_default(), is_rejected);
        }
    }

    fn learn_service_time(&mut self, now: Micros, attempt: &Attempt, request: &Request, elapsed: Micros) {
        let response_time = to_seconds(elapsed.max(MIN_RESPONSE_TIME));
        move_average(&mut self.mean_response_seconds, response_time, GROUP_GAIN);
        let (fraction, time) = match attempt.progress {
            Some(ProgressMark { at, fraction_done }) => (1.0 - fraction_done, now.saturating_sub(at)),
            None if attempt.fitted_slots && !self.settings.reports_job_start => (1.0, elapsed),
            None => return,
        };
        if fraction > 0.0 && time > 0 {
            let seconds = to_seconds(time);
            if !request.has_hint && fraction == 1.0 {
                // At a work of 1 for all classes, a worker's rate would show its mix of classes.
                self.service_time_by_class[request.class].add(seconds.ln(), GROUP_GAIN, now);
            }
            self.learn_rate(now, attempt.worker as usize, request.work * fraction, seconds);
        }
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
