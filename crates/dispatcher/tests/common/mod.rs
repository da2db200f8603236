//! A dispatcher under test and shorthand for its events.
#![allow(dead_code)]
use copperspread_dispatcher::*;

pub const MS: Micros = 1_000;

pub fn class(effect: Effect) -> Class {
    Class { aim: SECOND, stretch: 2.0, deadline: 10 * SECOND, effect, ..Class::default() }
}

pub fn settings(effect: Effect) -> Settings {
    Settings {
        classes: vec![class(effect)],
        max_attempts: 4,
        second_copies: true,
        may_cancel: true,
        tells_start: true,
        cold_from: 0.3,
        fall_multiple: 2.5,
        fall_window: 3 * SECOND,
        ..Settings::default()
    }
}

pub fn entry(worker: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        zone: 0,
        kind: 0,
        cell: worker / 2,
        state: WorkerState::Ready,
        started_at: None,
        size: None,
        key: worker.into(),
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
    pub fn new(settings: Settings, entries: &[WorkerEntry]) -> Node {
        Node::seeded(settings, entries, 1)
    }

    pub fn seeded(settings: Settings, entries: &[WorkerEntry], seed: u64) -> Node {
        let dispatcher = Dispatcher::new(settings, seed).expect("settings are good");
        let mut node = Node { dispatcher, now: 100 * SECOND, actions: Vec::new(), version: 0 };
        node.roster(RosterKind::Remembered, entries);
        node
    }

    pub fn handle(&mut self, event: Event<'_>) -> &[Action] {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    pub fn roster(&mut self, kind: RosterKind, entries: &[WorkerEntry]) -> &[Action] {
        if kind != RosterKind::Failed {
            self.version += 1;
        }
        self.handle(Event::Roster(Roster { kind, version: self.version, entries }))
    }

    /// A job of some seconds of work; its class gives up after ten seconds.
    pub fn job(&mut self, request: u64, work: f64) -> &[Action] {
        self.handle(Event::Job(job(request, work)))
    }

    pub fn outcome(&mut self, request: u64, attempt: u32, outcome: Outcome) -> &[Action] {
        self.report(request, attempt, outcome, None)
    }

    pub fn report(
        &mut self,
        request: u64,
        attempt: u32,
        outcome: Outcome,
        report: Option<Report>,
    ) -> &[Action] {
        self.handle(Event::Outcome(AttemptOutcome {
            request: RequestId(request),
            attempt,
            outcome,
            finished: outcome == Outcome::Served,
            elapsed: 300 * MS,
            report,
        }))
    }

    /// Sends a job, lets it start at once and end after some seconds; returns its worker.
    pub fn run(&mut self, request: u64, work: f64, takes: f64, report: Option<Report>) -> u32 {
        self.job(request, work);
        let worker = self.sent().expect("the job is sent");
        let progress = Progress::Started;
        self.handle(Event::Progress { request: RequestId(request), attempt: 0, progress });
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
        self.actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
    }

    pub fn failed(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, Action::Fail { .. }))
    }
}

pub fn job(request: u64, work: f64) -> Job {
    Job { request: RequestId(request), cost_hint: Some(work), time_left: 10 * SECOND, ..Job::default() }
}
