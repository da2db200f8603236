//! A dispatcher under test and shorthand for its events.
#![allow(dead_code)]
use copperspread_dispatcher::*;

pub const MS: Micros = 1_000;

pub fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: SECOND,
        latency_stretch: 2.0,
        deadline: 10 * SECOND,
        idempotency: effect,
        ..RequestClass::default()
    }
}

pub fn settings(effect: Idempotency) -> Settings {
    Settings {
        classes: vec![class(effect)],
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: true,
        reports_job_start: true,
        slow_start_initial_capacity: 0.3,
        overload_multiple: 2.5,
        overload_window: 3 * SECOND,
        ..Settings::default()
    }
}

pub fn entry(worker: u32) -> Endpoint {
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

/// A dispatcher with what it did last.
pub struct Node {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub actions: Vec<Action>,
    version: u64,
}

impl Node {
    pub fn new(settings: Settings, entries: &[Endpoint]) -> Node {
        Node::seeded(settings, entries, 1)
    }

    pub fn seeded(settings: Settings, entries: &[Endpoint], seed: u64) -> Node {
        let dispatcher = Dispatcher::new(settings, seed).expect("settings are good");
        let mut node = Node { dispatcher, now: 100 * SECOND, actions: Vec::new(), version: 0 };
        node.roster(EndpointUpdateKind::Cached, entries);
        node
    }

    pub fn handle(&mut self, event: Event<'_>) -> &[Action] {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    pub fn roster(&mut self, kind: EndpointUpdateKind, entries: &[Endpoint]) -> &[Action] {
        if kind != EndpointUpdateKind::Failed {
            self.version += 1;
        }
        self.handle(Event::Endpoints(EndpointUpdate { kind, version: self.version, endpoints: entries }))
    }

    /// A job of some seconds of work; its class gives up after ten seconds.
    pub fn job(&mut self, request: u64, work: f64) -> &[Action] {
        self.handle(Event::Request(job(request, work)))
    }

    pub fn outcome(&mut self, request: u64, attempt: u32, outcome: Outcome) -> &[Action] {
        self.report(request, attempt, outcome, None)
    }

    pub fn report(
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

    /// Sends a job, lets it start at once and end after some seconds; returns its worker.
    pub fn run(&mut self, request: u64, work: f64, takes: f64, report: Option<LoadReport>) -> u32 {
        self.job(request, work);
        let worker = self.sent().expect("the job is sent");
        let progress = Progress::Started;
        self.handle(Event::AttemptProgress { request: RequestId(request), attempt: 0, progress });
        self.now += (takes * SECOND as f64) as Micros;
        self.report(request, 0, Outcome::Served, report);
        worker
    }

    /// The worker of the one send among the last actions.
    pub fn sent(&self) -> Option<u32> {
        let mut sends = self.actions.iter().filter_map(|action| match action {
            Action::Send { worker, .. } => Some(worker.0),
            _ => None,
        });
        let first = sends.next();
        assert!(sends.next().is_none(), "one send at a time");
        first
    }

    pub fn refused(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Reject { .. }))
    }

    pub fn failed(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Fail { .. }))
    }
}

pub fn job(request: u64, work: f64) -> IncomingRequest {
    IncomingRequest {
        request: RequestId(request),
        cost_hint: Some(work),
        time_left: 10 * SECOND,
        ..IncomingRequest::default()
    }
}
