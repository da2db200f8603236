//! Invariants of retries, hedges and final responses, checked over seeded random events.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{
    Action, AttemptOutcome, Endpoint, EndpointUpdateKind, Event, Idempotency, KeyScope, MAX_DISPATCH_DELAY,
    Micros, Outcome, RequestId, SECOND, Settings, Timer, WorkerState,
};
use std::collections::HashMap;

const KEY_WINDOW: Micros = 5 * SECOND;
const WITH_KEY_AT_ALL_WORKERS: Idempotency =
    Idempotency::IdempotentWithKey { scope: KeyScope::All, window: KEY_WINDOW };
const WITH_KEY_IN_CELL: Idempotency =
    Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window: KEY_WINDOW };
const WITH_KEY_IN_ZONE: Idempotency =
    Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: KEY_WINDOW };
const CONNECT_TIMEOUT: Micros = 250 * MS;
const OUTCOMES: [Outcome; 6] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

/// One attempt, as the simulation has observed it.
struct AttemptRecord {
    worker: u32,
    sent_at: Micros,
    outcome: Option<Outcome>,
}

impl AttemptRecord {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// One request, as the simulation has observed it.
#[derive(Default)]
struct RequestRecord {
    attempts: Vec<AttemptRecord>,
    responses: u32,
    /// The request has a final response, or its client has disconnected.
    is_closed: bool,
    deadline: Micros,
}

/// An attempt, identified by its request and its number.
type AttemptId = (u64, u32);

/// A dispatcher that receives random events, with a record of its requests and attempts.
struct Simulation {
    harness: Harness,
    rng: fastrand::Rng,
    seed: u64,
    idempotency: Idempotency,
    hedging_allowed: bool,
    endpoints: Vec<Endpoint>,
    is_ready: [bool; 6],
    requests: HashMap<u64, RequestRecord>,
    next_request: u64,
    sends: u32,
    responses: u32,
}

impl Simulation {
    fn new(idempotency: Idempotency, hedging_allowed: bool, seed: u64) -> Simulation {
        let endpoints: Vec<_> =
            (0..6).map(|i| Endpoint { zone: i / 3, kind: i % 2, ..endpoint(i) }).collect();
        let settings =
            Settings { hedging_allowed, connect_timeout: CONNECT_TIMEOUT, ..settings(idempotency) };
        Simulation {
            harness: Harness::seeded(settings, &endpoints, seed),
            rng: fastrand::Rng::with_seed(seed),
            seed,
            idempotency,
            hedging_allowed,
            endpoints,
            is_ready: [true; 6],
            requests: HashMap::new(),
            next_request: 0,
            sends: 0,
            responses: 0,
        }
    }

    /// Sends random events to the dispatcher and checks the invariants on every action.
    fn run(&mut self) {
        for _ in 0..400 {
            self.harness.now += self.rng.u64(0..200 * MS);
            if !self.random_event() {
                continue;
            }
            for action in self.harness.actions.clone() {
                self.check_action(action);
            }
            for (id, request) in &self.requests {
                let in_flight = request.attempts.iter().any(AttemptRecord::is_in_flight);
                let seed = self.seed;
                assert!(
                    request.is_closed || in_flight,
                    "seed {seed}: request {id} is open and has no attempt in flight"
                );
            }
        }
    }

    fn attempts_in_flight(&self) -> Vec<AttemptId> {
        let mut in_flight = Vec::new();
        for (&id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    in_flight.push((id, number as u32));
                }
            }
        }
        in_flight.sort_unstable();
        in_flight
    }

    /// Sends one random event to the dispatcher; returns false, and sends none, if the event needs an attempt
    /// in flight and there is none.
    fn random_event(&mut self) -> bool {
        let in_flight = self.attempts_in_flight();
        // Attempts past their deadline time out first, as a real caller ensures.
        let is_overdue = |&(id, _): &AttemptId| self.requests[&id].deadline <= self.harness.now;
        let overdue = in_flight.iter().copied().find(is_overdue);
        let event = self.rng.u32(0..10);
        if let Some(attempt) = overdue {
            self.complete(attempt, Outcome::TimedOut);
            return true;
        }
        match event {
            0..=3 => self.offer_request(),
            4..=6 => {
                let outcome = OUTCOMES[self.rng.usize(0..OUTCOMES.len())];
                let Some(attempt) = self.random_attempt(&in_flight) else { return false };
                self.complete(attempt, outcome);
            }
            7 => self.change_random_worker(),
            8 => {
                let Some((id, _)) = self.random_attempt(&in_flight) else { return false };
                self.harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(id))));
            }
            _ => {
                let Some((id, number)) = self.random_attempt(&in_flight) else { return false };
                if self.rng.u32(0..4) == 0 {
                    self.requests.get_mut(&id).expect("the request is recorded").is_closed = true;
                    self.harness.handle(Event::ClientDisconnected(RequestId(id)));
                } else {
                    self.harness.start_attempt(id, number);
                }
            }
        }
        true
    }

    fn random_attempt(&mut self, in_flight: &[AttemptId]) -> Option<AttemptId> {
        in_flight.get(self.rng.usize(0..in_flight.len().max(1))).copied()
    }

    fn offer_request(&mut self) {
        let deadline = self.harness.now + 10 * SECOND;
        self.requests.insert(self.next_request, RequestRecord { deadline, ..RequestRecord::default() });
        self.harness.offer(self.next_request, self.rng.f64() * 0.5);
        self.next_request += 1;
    }

    fn change_random_worker(&mut self) {
        let worker = self.rng.usize(0..6);
        self.is_ready[worker] = self.rng.bool();
        let state = if self.is_ready[worker] { WorkerState::Ready } else { WorkerState::Draining };
        let changed = Endpoint { state, ..self.endpoints[worker] };
        match self.rng.u32(0..4) {
            // The worker restarts under the same id, while attempts at its earlier process are in flight.
            0 => {
                let started_at = Some(self.harness.now);
                let restarted = Endpoint { started_at, ..changed };
                self.harness.update_endpoints(EndpointUpdateKind::Changes, &[restarted]);
            }
            // The worker is removed, and comes back with the next list that names it.
            1 if !self.is_ready[worker] => {
                let is_ready = self.is_ready;
                let ready = self.endpoints.iter().filter(|endpoint| is_ready[endpoint.worker.0 as usize]);
                let ready: Vec<_> = ready.copied().collect();
                self.harness.update_endpoints(EndpointUpdateKind::Full, &ready);
            }
            _ => {
                self.harness.update_endpoints(EndpointUpdateKind::Changes, &[changed]);
            }
        }
    }

    fn complete(&mut self, (id, number): AttemptId, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("the request is recorded");
        request.attempts[number as usize].outcome = Some(outcome);
        request.is_closed |= outcome == Outcome::Served;
        self.harness.handle(Event::AttemptCompleted(AttemptOutcome {
            request: RequestId(id),
            attempt: number,
            outcome,
            request_finished: request.is_closed,
            elapsed: 100 * MS,
            report: None,
        }));
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.check_send(request.0, worker.0),
            Action::Reject { request, .. } => self.check_response(request.0, true),
            Action::Fail { request } => self.check_response(request.0, false),
            _ => {}
        }
    }

    fn check_send(&mut self, id: u64, worker: u32) {
        let (seed, now) = (self.seed, self.harness.now);
        self.sends += 1;
        assert!(self.is_ready[worker as usize], "seed {seed}: sent to a draining worker");
        let request = self.requests.get_mut(&id).expect("the request is recorded");
        assert!(
            !request.is_closed && request.responses == 0,
            "seed {seed}: sent after the request was closed"
        );
        assert!(now < request.deadline && request.attempts.len() < 4);
        let is_repeated = request.attempts.iter().any(|attempt| attempt.worker == worker);
        assert!(!is_repeated, "seed {seed}: a second attempt at worker {worker}");
        let in_flight = request.attempts.iter().any(AttemptRecord::is_in_flight);
        assert!(self.hedging_allowed || !in_flight, "seed {seed}: hedged where hedging is not allowed");
        let first = request.attempts.iter().find(|attempt| attempt.may_have_run());
        match (self.idempotency, first) {
            (Idempotency::NonIdempotent, first) => assert!(first.is_none(), "seed {seed}: may run twice"),
            (Idempotency::IdempotentWithKey { scope, window }, Some(first)) => {
                let written_by = now + CONNECT_TIMEOUT + MAX_DISPATCH_DELAY;
                assert!(written_by <= first.sent_at + window, "seed {seed}: written after the key window");
                let (first_endpoint, next_endpoint) =
                    (self.endpoints[first.worker as usize], self.endpoints[worker as usize]);
                assert!(match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => first_endpoint.zone == next_endpoint.zone,
                    KeyScope::Cell => first_endpoint.cell == next_endpoint.cell,
                });
            }
            _ => {}
        }
        request.attempts.push(AttemptRecord { worker, sent_at: now, outcome: None });
    }

    fn check_response(&mut self, id: u64, is_rejection: bool) {
        let seed = self.seed;
        self.responses += 1;
        let request = self.requests.get_mut(&id).expect("the request is recorded");
        assert!(!request.is_closed, "seed {seed}: a final response after the request was closed");
        request.responses += 1;
        request.is_closed = true;
        let may_have_run = request.attempts.iter().any(AttemptRecord::may_have_run);
        if is_rejection && may_have_run {
            let may_be_rejected = matches!(
                self.idempotency,
                Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: KeyScope::All, .. }
            );
            assert!(may_be_rejected, "seed {seed}: rejected although it may have run");
        }
    }
}

#[test]
fn idempotency_and_retry_rules_hold_over_random_events() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        WITH_KEY_AT_ALL_WORKERS,
        WITH_KEY_IN_ZONE,
        WITH_KEY_IN_CELL,
    ] {
        for hedging_allowed in [false, true] {
            let (mut sends, mut responses) = (0, 0);
            for seed in 0..25 {
                let mut simulation = Simulation::new(idempotency, hedging_allowed, seed);
                simulation.run();
                sends += simulation.sends;
                responses += simulation.responses;
            }
            assert!(sends > 1000 && responses > 100, "{sends} attempts, {responses} responses");
        }
    }
}
