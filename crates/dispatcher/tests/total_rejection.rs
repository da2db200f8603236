//! A dispatcher never rejects every request for 4 s while workers serve. It learns its reasons to reject from
//! attempts, so that without any attempt they would hold for good.
mod common;
use common::{Harness, MS, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport, Micros, Outcome,
    RequestClass, SECOND, Settings,
};

/// A test fails when this many requests or more are rejected without an attempt in between, over
/// [`MAX_REJECTION_TIME`] or longer.
const MAX_REJECTIONS: u32 = 15;
const MAX_REJECTION_TIME: Micros = 4 * SECOND;
const REQUEST_INTERVAL: Micros = 100 * MS;
/// Work of a request, in seconds.
const WORK: f64 = 0.2;

/// Both slots of a worker are free.
const IDLE: Option<LoadReport> = Some(LoadReport {
    in_flight: Some(0.0),
    queue: Some(0.0),
    free_slots: Some(2.0),
    qps: None,
    utilization: None,
});
/// Both slots of a worker are busy and eight requests are queued.
const LOADED: Option<LoadReport> = Some(LoadReport {
    in_flight: Some(10.0),
    queue: Some(8.0),
    free_slots: Some(0.0),
    qps: None,
    utilization: None,
});

/// A dispatcher, with its rejections since the last attempt.
struct Simulation {
    harness: Harness,
    next_request: u64,
    rejections: u32,
    rejecting_since: Option<Micros>,
}

impl Simulation {
    fn new(settings: Settings, endpoints: &[Endpoint]) -> Simulation {
        Simulation {
            harness: Harness::new(settings, endpoints),
            next_request: 1,
            rejections: 0,
            rejecting_since: None,
        }
    }

    /// Offers one request; returns its number if an attempt is sent.
    fn offer(&mut self, request: IncomingRequest) -> Option<u64> {
        let number = self.next_request;
        self.next_request += 1;
        self.harness.handle(Event::Request(IncomingRequest {
            request: incoming_request(number, WORK).request,
            ..request
        }));
        if self.harness.sent_worker().is_some() {
            (self.rejections, self.rejecting_since) = (0, None);
            return Some(number);
        }
        self.rejections += 1;
        let since = *self.rejecting_since.get_or_insert(self.harness.now);
        let time = self.harness.now - since;
        assert!(
            self.rejections < MAX_REJECTIONS || time < MAX_REJECTION_TIME,
            "{} requests in a row were rejected, over {time} us",
            self.rejections
        );
        None
    }

    /// Offers a request every [`REQUEST_INTERVAL`] for `time`; completes each attempt one interval later with
    /// `outcome` and `report`. Returns the number of attempts.
    fn run(
        &mut self,
        time: Micros,
        request: IncomingRequest,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> u32 {
        let mut attempts = 0;
        for _ in 0..time / REQUEST_INTERVAL {
            let number = self.offer(request);
            if let Some(number) = number.filter(|_| outcome == Outcome::Served) {
                self.harness.start_attempt(number, 0);
            }
            self.harness.now += REQUEST_INTERVAL;
            if let Some(number) = number {
                attempts += 1;
                self.harness.complete_with_report(number, 0, outcome, report);
            }
        }
        attempts
    }
}

fn warm_workers() -> [Endpoint; 2] {
    [endpoint(0), endpoint(1)]
}

fn request() -> IncomingRequest {
    incoming_request(0, WORK)
}

#[test]
fn workers_that_reported_queues_are_tried_again() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].latency_stretch = 0.0;
    let mut simulation = Simulation::new(settings, &warm_workers());
    let long = incoming_request(0, 0.8);
    simulation.run(20 * SECOND, long, Outcome::Served, LOADED);
    // The workers are idle from here on.
    let attempts = simulation.run(60 * SECOND, long, Outcome::Served, IDLE);
    assert!(attempts > 300, "{attempts} of 600 requests got an attempt");
}

#[test]
fn workers_that_were_slow_are_tried_again() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].latency_stretch = 0.0;
    let mut simulation = Simulation::new(settings, &warm_workers());
    simulation.run(20 * SECOND, request(), Outcome::Served, IDLE);
    // For a while, every request takes 9 s instead of 0.1 s.
    for _ in 0..40 {
        if let Some(number) = simulation.offer(request()) {
            simulation.harness.start_attempt(number, 0);
            simulation.harness.now += 9 * SECOND;
            simulation.harness.complete_with_report(number, 0, Outcome::Served, IDLE);
        }
        simulation.harness.now += 2 * SECOND;
    }
    let attempts = simulation.run(60 * SECOND, request(), Outcome::Served, IDLE);
    assert!(attempts > 300, "{attempts} of 600 requests got an attempt");
}

// The shed price follows the offered load, and may still reflect requests that are no longer offered.
#[test]
fn a_shed_price_from_earlier_requests_does_not_reject_all_later_ones() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].latency_objective = 100 * SECOND;
    settings.classes[0].deadline = 200 * SECOND;
    settings.classes.push(RequestClass { priority_weight: 1e4, ..settings.classes[0].clone() });
    let mut simulation = Simulation::new(settings, &warm_workers());
    let long_deadline = IncomingRequest { time_left: 200 * SECOND, ..request() };
    simulation.run(20 * SECOND, IncomingRequest { class: 1, ..long_deadline }, Outcome::Served, LOADED);
    simulation.run(60 * SECOND, long_deadline, Outcome::Served, LOADED);
}

#[test]
fn failures_and_rejections_of_all_workers_do_not_reject_all_requests() {
    for outcome in [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::TimedOut] {
        let mut simulation = Simulation::new(settings(Idempotency::NonIdempotent), &warm_workers());
        simulation.run(60 * SECOND, request(), outcome, None);
    }
}

#[test]
fn late_retries_alone_do_not_reject_all_requests() {
    let mut simulation = Simulation::new(settings(Idempotency::NonIdempotent), &warm_workers());
    simulation.run(SECOND, request(), Outcome::Served, IDLE);
    let late = IncomingRequest { time_left: 2 * SECOND, ..request() };
    simulation.run(60 * SECOND, late, Outcome::Served, IDLE);
}

// The slow-start budget forbids attempts for one window after the dispatcher's own start, and no longer.
#[test]
fn workers_in_slow_start_are_used_one_window_after_a_restart() {
    let settings = settings(Idempotency::NonIdempotent);
    let window = settings.overload_window;
    let mut simulation = Simulation::new(settings, &[]);
    let started_at = Some(simulation.harness.now - SECOND);
    let in_slow_start = warm_workers().map(|worker| Endpoint { started_at, ..worker });
    simulation.harness.update_endpoints(EndpointUpdateKind::Full, &in_slow_start);
    assert_eq!(simulation.run(window, request(), Outcome::Served, IDLE), 0);
    assert!(simulation.run(SECOND, request(), Outcome::Served, IDLE) > 0);
}
