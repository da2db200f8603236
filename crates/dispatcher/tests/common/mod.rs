//! Test support: a harness that drives a dispatcher, and builders of its settings, endpoints and requests.
#![allow(dead_code, reason = "each test program uses a part of it")]
use copperspread_dispatcher::{
    Action, AttemptOutcome, Dispatcher, Endpoint, EndpointUpdate, EndpointUpdateKind, Event, Idempotency,
    IncomingRequest, LoadReport, Micros, Outcome, Progress, RequestClass, RequestId, SECOND, Settings,
    WorkerId, WorkerState,
};

pub(crate) const MS: Micros = 1_000;
/// Time left of a request whose deadline is not reached within a test.
const LONG_TIME_LEFT: Micros = 10_000 * SECOND;

pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: SECOND,
        latency_stretch: 2.0,
        deadline: 10 * SECOND,
        idempotency,
        ..RequestClass::default()
    }
}

pub(crate) fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class(idempotency)],
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: true,
        workers_report_request_start: true,
        slow_start_initial_capacity: 0.3,
        overload_multiple: 2.5,
        overload_window: 3 * SECOND,
        ..Settings::default()
    }
}

/// Settings with a latency objective and a deadline so long that only the slow-start budget limits what is
/// sent to a worker in slow start.
pub(crate) fn long_deadline_settings(fleet_size: u32) -> Settings {
    let class = RequestClass {
        latency_objective: 1_000 * SECOND,
        latency_stretch: 2.0,
        deadline: LONG_TIME_LEFT,
        ..class(Idempotency::NonIdempotent)
    };
    Settings { fleet_size, classes: vec![class], ..settings(Idempotency::NonIdempotent) }
}

pub(crate) fn endpoint(worker: u32) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: 0,
        kind: 0,
        cell: worker / 2,
        state: WorkerState::Ready,
        started_at: None,
        size: None,
        hash_key: worker.into(),
    }
}

/// A dispatcher under test, with its clock and the actions that its last event caused.
pub(crate) struct Harness {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Micros,
    pub(crate) actions: Vec<Action>,
    version: u64,
}

impl Harness {
    pub(crate) fn new(settings: Settings, endpoints: &[Endpoint]) -> Harness {
        Harness::seeded(settings, endpoints, 1)
    }

    pub(crate) fn seeded(settings: Settings, endpoints: &[Endpoint], seed: u64) -> Harness {
        let dispatcher = Dispatcher::new(settings, seed).expect("the settings are valid");
        let mut harness = Harness { dispatcher, now: 100 * SECOND, actions: Vec::new(), version: 0 };
        harness.update_endpoints(EndpointUpdateKind::Cached, endpoints);
        harness
    }

    pub(crate) fn handle(&mut self, event: Event<'_>) -> &[Action] {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) -> &[Action] {
        if kind != EndpointUpdateKind::Failed {
            self.version += 1;
        }
        self.handle(Event::Endpoints(EndpointUpdate { kind, version: self.version, endpoints }))
    }

    /// Offers a request with a cost hint of `work` seconds and a deadline in 10 s.
    pub(crate) fn offer(&mut self, request: u64, work: f64) -> &[Action] {
        self.handle(Event::Request(incoming_request(request, work)))
    }

    /// Offers a request with a cost hint of `work` seconds and a deadline in 10,000 s; returns the worker
    /// that it is sent to.
    pub(crate) fn offer_with_long_deadline(&mut self, request: u64, work: f64) -> Option<u32> {
        let time_left = LONG_TIME_LEFT;
        self.handle(Event::Request(IncomingRequest { time_left, ..incoming_request(request, work) }));
        self.sent_worker()
    }

    pub(crate) fn complete(&mut self, request: u64, attempt: u32, outcome: Outcome) -> &[Action] {
        self.complete_with_report(request, attempt, outcome, None)
    }

    pub(crate) fn complete_with_report(
        &mut self,
        request: u64,
        attempt: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> &[Action] {
        self.handle(Event::AttemptCompleted(AttemptOutcome {
            request: RequestId(request),
            attempt,
            outcome,
            request_finished: outcome == Outcome::Served,
            elapsed: 300 * MS,
            report,
        }))
    }

    /// Reports to the dispatcher that an attempt has started to run.
    pub(crate) fn start_attempt(&mut self, request: u64, attempt: u32) -> &[Action] {
        let request = RequestId(request);
        self.handle(Event::AttemptProgress { request, attempt, progress: Progress::Started })
    }

    /// Offers a request, starts its attempt at once and completes it after `service_seconds`; returns its
    /// worker.
    pub(crate) fn serve(
        &mut self,
        request: u64,
        work: f64,
        service_seconds: f64,
        report: Option<LoadReport>,
    ) -> u32 {
        self.offer(request, work);
        let worker = self.sent_worker().expect("the request is sent");
        self.start_attempt(request, 0);
        self.now += (service_seconds * SECOND as f64) as Micros;
        self.complete_with_report(request, 0, Outcome::Served, report);
        worker
    }

    /// The worker of the only `Send` among the last actions, if there is one.
    pub(crate) fn sent_worker(&self) -> Option<u32> {
        let mut sends = self.actions.iter().filter_map(|action| match action {
            Action::Send { worker, .. } => Some(worker.0),
            _ => None,
        });
        let first = sends.next();
        assert!(sends.next().is_none(), "one event sends at most one attempt");
        first
    }

    pub(crate) fn is_rejected(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Reject { .. }))
    }

    pub(crate) fn is_failed(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Fail { .. }))
    }
}

pub(crate) fn incoming_request(request: u64, work: f64) -> IncomingRequest {
    IncomingRequest {
        request: RequestId(request),
        cost_hint: Some(work),
        time_left: 10 * SECOND,
        ..IncomingRequest::default()
    }
}
