//! No state of a dispatcher rejects every request for 4 s on end while workers serve: what it rejects by is learned
//! from attempts, and without any attempt it would hold for good.
mod common;
use common::{Harness, MS, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport, Micros, Outcome,
    RequestClass, SECOND, Settings,
};

/// So many requests rejected over so long, with no attempt in between, are too many.
const MAX_REJECTED: u32 = 15;
const MAX_REJECTING_TIME: Micros = 4 * SECOND;
const REQUEST_INTERVAL: Micros = 100 * MS;
const WORK: f64 = 0.2;

/// All of a worker's two slots are free.
const IDLE: Option<LoadReport> = Some(LoadReport {
    in_flight: Some(0.0),
    queue: Some(0.0),
    free_slots: Some(2.0),
    qps: None,
    utilization: None,
});
/// Eight requests wait for them.
const CROWDED: Option<LoadReport> = Some(LoadReport {
    in_flight: Some(10.0),
    queue: Some(8.0),
    free_slots: Some(0.0),
    qps: None,
    utilization: None,
});

/// A dispatcher, and its longest run of rejections so far.
struct Play {
    harness: Harness,
    next_request: u64,
    rejected: u32,
    rejecting_since: Option<Micros>,
}

impl Play {
    fn new(settings: Settings, endpoints: &[Endpoint]) -> Play {
        Play {
            harness: Harness::new(settings, endpoints),
            next_request: 1,
            rejected: 0,
            rejecting_since: None,
        }
    }

    /// Offers one request; returns its number if it is attempted.
    fn offer(&mut self, request: IncomingRequest) -> Option<u64> {
        let number = self.next_request;
        self.next_request += 1;
        self.harness.handle(Event::Request(IncomingRequest {
            request: incoming_request(number, WORK).request,
            ..request
        }));
        if self.harness.sent_worker().is_some() {
            (self.rejected, self.rejecting_since) = (0, None);
            return Some(number);
        }
        self.rejected += 1;
        let since = *self.rejecting_since.get_or_insert(self.harness.now);
        let time = self.harness.now - since;
        assert!(
            self.rejected < MAX_REJECTED || time < MAX_REJECTING_TIME,
            "{} requests in {time} us were rejected on end",
            self.rejected
        );
        None
    }

    /// Offers a request at each interval for so long; those that are attempted end so after a part of it.
    fn run(
        &mut self,
        time: Micros,
        request: IncomingRequest,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> u32 {
        let mut attempted = 0;
        for _ in 0..time / REQUEST_INTERVAL {
            let number = self.offer(request);
            if let Some(number) = number.filter(|_| outcome == Outcome::Served) {
                self.harness.start_attempt(number, 0);
            }
            self.harness.now += REQUEST_INTERVAL;
            if let Some(number) = number {
                attempted += 1;
                self.harness.complete_with_report(number, 0, outcome, report);
            }
        }
        attempted
    }
}

fn warm_workers() -> [Endpoint; 2] {
    [endpoint(0), endpoint(1)]
}

fn request() -> IncomingRequest {
    incoming_request(0, WORK)
}

#[test]
fn workers_that_looked_crowded_are_tried_again() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].latency_stretch = 0.0;
    let mut play = Play::new(settings, &warm_workers());
    let long = incoming_request(0, 0.8);
    play.run(20 * SECOND, long, Outcome::Served, CROWDED);
    // The workers are idle again.
    let attempted = play.run(60 * SECOND, long, Outcome::Served, IDLE);
    assert!(attempted > 300, "{attempted} of 600 were attempted");
}

#[test]
fn workers_that_were_slow_are_tried_again() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].latency_stretch = 0.0;
    let mut play = Play::new(settings, &warm_workers());
    play.run(20 * SECOND, request(), Outcome::Served, IDLE);
    // A time in which everything takes some fifty times as long.
    for _ in 0..40 {
        if let Some(number) = play.offer(request()) {
            play.harness.start_attempt(number, 0);
            play.harness.now += 9 * SECOND;
            play.harness.complete_with_report(number, 0, Outcome::Served, IDLE);
        }
        play.harness.now += 2 * SECOND;
    }
    let attempted = play.run(60 * SECOND, request(), Outcome::Served, IDLE);
    assert!(attempted > 300, "{attempted} of 600 were attempted");
}

// The price that sheds follows what is offered, and may have followed requests that come no longer.
#[test]
fn a_shed_price_of_earlier_requests_does_not_reject_all_later_ones() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].latency_objective = 100 * SECOND;
    settings.classes[0].deadline = 200 * SECOND;
    settings.classes.push(RequestClass { priority_weight: 1e4, ..settings.classes[0].clone() });
    let mut play = Play::new(settings, &warm_workers());
    let patient = IncomingRequest { time_left: 200 * SECOND, ..request() };
    play.run(20 * SECOND, IncomingRequest { class: 1, ..patient }, Outcome::Served, CROWDED);
    play.run(60 * SECOND, patient, Outcome::Served, CROWDED);
}

#[test]
fn failures_and_rejections_of_all_workers_do_not_reject_all_requests() {
    for outcome in [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::TimedOut] {
        let mut play = Play::new(settings(Idempotency::NonIdempotent), &warm_workers());
        play.run(60 * SECOND, request(), outcome, None);
    }
}

#[test]
fn late_retries_alone_do_not_reject_all_requests() {
    let mut play = Play::new(settings(Idempotency::NonIdempotent), &warm_workers());
    play.run(SECOND, request(), Outcome::Served, IDLE);
    let late = IncomingRequest { time_left: 2 * SECOND, ..request() };
    play.run(60 * SECOND, late, Outcome::Served, IDLE);
}

// The rule on workers that warm up forbids attempts for one window after the dispatcher's own start; no longer.
#[test]
fn a_list_of_warming_workers_is_used_one_window_after_a_restart() {
    let settings = settings(Idempotency::NonIdempotent);
    let window = settings.overload_window;
    let mut play = Play::new(settings, &[]);
    let started_at = Some(play.harness.now - SECOND);
    let warming = warm_workers().map(|worker| Endpoint { started_at, ..worker });
    play.harness.update_endpoints(EndpointUpdateKind::Full, &warming);
    assert_eq!(play.run(window, request(), Outcome::Served, IDLE), 0);
    assert!(play.run(SECOND, request(), Outcome::Served, IDLE) > 0);
}
