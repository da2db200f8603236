//! The simulated schedulers: start and stop of their processes, events for their dispatch policies, and the
//! actions of the policies.
use std::sync::Arc;

use copperspread_dispatcher::{
    Action, EndpointUpdateKind, Event, IncomingRequest, Micros, Outcome as AttemptResult, RequestId,
    SettingsError, Timer,
};

use super::event_queue::{FinalResponse, SimulationEvent};
use super::{CLOCK_OFFSET, COOLDOWN, Simulation};
use crate::model::random::{StreamPurpose, random_stream};
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::TrueState;
use crate::policy::{Policy, PolicyKind};
use crate::scenario::{Scenario, micros_from_seconds};

/// Difference between the seeds of two schedulers with consecutive IDs in one run.
const SCHEDULER_SEED_STRIDE: u64 = 7919;

/// A simulated scheduler. It runs one process after the other. Each process ends with a crash or a shutdown.
pub(super) struct Scheduler {
    pub(super) policy: Box<dyn Policy>,
    pub(super) zone: u32,
    /// Version of the last endpoint update that the scheduler's current process got; 0 before the first
    /// update.
    pub(super) list_version: u64,
    pub(super) is_up: bool,
    /// Whether the scheduler accepts new requests. It does not from the start of a graceful shutdown until
    /// the next process starts. Clients reach a scheduler only if it accepts requests and is up.
    pub(super) accepts_requests: bool,
    /// Number of the scheduler's current process, counted from 0. It is incremented when a process ends.
    pub(super) process_number: u32,
    /// Whether the scheduler receives full endpoint lists and changes from discovery.
    pub(super) is_subscribed: bool,
}

impl Scheduler {
    /// Creates a simulated scheduler that is up and runs its first process.
    ///
    /// # Errors
    /// Fails if the policy does not accept the scenario's settings.
    pub(super) fn new(
        scenario: &Scenario,
        policy_kind: PolicyKind,
        seed: u64,
        id: SchedulerId,
    ) -> Result<Scheduler, SettingsError> {
        Ok(Scheduler {
            policy: build_policy(scenario, policy_kind, id, scheduler_seed(seed, id))?,
            zone: id.zone(scenario.zones),
            list_version: 0,
            is_up: true,
            accepts_requests: true,
            process_number: 0,
            is_subscribed: !scenario.discovery.polled,
        })
    }
}

fn scheduler_seed(seed: u64, id: SchedulerId) -> u64 {
    seed.wrapping_add(u64::from(id.0) * SCHEDULER_SEED_STRIDE)
}

fn build_policy(
    scenario: &Scenario,
    policy_kind: PolicyKind,
    id: SchedulerId,
    seed: u64,
) -> Result<Box<dyn Policy>, SettingsError> {
    policy_kind.build(scenario.settings(id), seed, random_stream(seed, StreamPurpose::Network))
}

impl Simulation<'_> {
    pub(super) fn receive_request(&mut self, id: RequestId) {
        let Some(request) = self.scheduler_requests.get_mut(&id).filter(|request| !request.is_answered)
        else {
            return;
        };
        let (scheduler, deadline) = (request.scheduler, request.deadline);
        let client_job = request.client_job;
        if !self.schedulers[scheduler.index()].is_up {
            // The scheduler's process ended while the request was on its way, or no scheduler accepts
            // requests at all.
            request.is_answered = true;
            self.break_client_connection(id, client_job);
            return self.close_request(id);
        }
        let Some(client_job) = self.client_jobs.get(&client_job) else { return };
        let incoming = IncomingRequest {
            request: id,
            class: client_job.arrival.class,
            tenant: 0,
            slots: Some(client_job.arrival.slots),
            cost_hint: client_job.arrival.cost_hint,
            time_left: deadline.saturating_sub(self.now),
        };
        self.schedule(deadline, SimulationEvent::DeadlinePassed(id));
        self.show_true_state(scheduler);
        self.notify_scheduler(scheduler, Event::Request(incoming));
    }

    fn show_true_state(&mut self, scheduler: SchedulerId) {
        let policy = &mut self.schedulers[scheduler.index()].policy;
        if policy.needs_true_state() {
            let states: Vec<TrueState> =
                self.workers.iter().map(|(worker, _)| worker.true_state(self.now)).collect();
            policy.observe_true_state(&states);
        }
    }

    /// Handles the scheduler's deadline for a request: the attempts in flight end as timed out.
    pub(super) fn expire_request(&mut self, id: RequestId) {
        let Some(request) = self.scheduler_requests.get_mut(&id) else { return };
        request.is_past_deadline = true;
        for attempt in request.attempts.clone() {
            self.complete_attempt(attempt, AttemptResult::TimedOut);
        }
    }

    /// Passes an event to a scheduler's policy and applies the policy's actions.
    pub(super) fn notify_scheduler(&mut self, scheduler: SchedulerId, event: Event<'_>) {
        if !self.schedulers[scheduler.index()].is_up {
            return;
        }
        let mut actions = std::mem::take(&mut self.action_buffer);
        let policy = &mut self.schedulers[scheduler.index()].policy;
        policy.handle(self.now + CLOCK_OFFSET, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(scheduler, action);
        }
        self.action_buffer = actions;
    }

    fn apply_action(&mut self, scheduler: SchedulerId, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.send_attempt(request, worker),
            Action::Reject { request, retry_after, .. } => {
                self.respond(request, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.respond(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::StartTimer { after, timer } => self.start_timer(scheduler, after, timer),
            Action::Subscribe => self.subscribe(scheduler),
            Action::QueryLoad { worker } => self.send_load_query(scheduler, worker),
        }
    }

    fn cancel_attempt(&mut self, request: RequestId, number: u32) {
        let request = self.scheduler_requests.get(&request);
        let attempt = request.and_then(|request| request.attempts.get(number as usize)).copied();
        if let Some(attempt) = attempt {
            // The policy has not yet finished the current event. The end of the attempt is therefore
            // scheduled as an event of its own, and not applied at once.
            let result = AttemptResult::Cancelled;
            self.schedule(self.now, SimulationEvent::AttemptCompleted { attempt, result });
        }
    }

    fn start_timer(&mut self, scheduler: SchedulerId, after: Micros, timer: Timer) {
        // Timers that would expire later than `COOLDOWN` after the scenario's duration are not scheduled.
        // Otherwise periodic timers would keep the run from ending.
        if self.now + after <= micros_from_seconds(self.scenario.duration_s) + COOLDOWN {
            let process_number = self.schedulers[scheduler.index()].process_number;
            let event = SimulationEvent::TimerExpired { scheduler, process_number, timer };
            self.schedule(self.now + after, event);
        }
    }

    /// Sends a final response to the client of a request. If the policy gives a second response to the same
    /// request, that response is sent too, so that the rule checker detects the violation.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) {
        let Some(request) = self.scheduler_requests.get_mut(&id) else { return };
        request.is_answered = true;
        let scheduler = request.scheduler;
        self.rule_checker.response_sent(id);
        let zone = self.scheduler_zone(scheduler);
        let delay = self.network_delay(zone, zone);
        self.schedule(self.now + delay, SimulationEvent::ResponseArrived { request: id, response });
        self.close_request(id);
    }

    /// Ends a scheduler's process and its requests. After a crash, the client connections of requests without
    /// a response break. A graceful shutdown should leave no such request. If one is left, its client waits
    /// until the timeout, so that the rule checker reports the request.
    pub(super) fn stop_scheduler(&mut self, id: SchedulerId, is_graceful: bool) {
        let scheduler = &mut self.schedulers[id.index()];
        scheduler.is_up = false;
        scheduler.process_number += 1;
        scheduler.is_subscribed = !self.scenario.discovery.polled;
        let requests = self.scheduler_requests.iter().filter(|(_, request)| request.scheduler == id);
        let mut ids: Vec<RequestId> = requests.map(|(id, _)| *id).collect();
        // The iteration order of the map is not deterministic. The requests are sorted by ID to keep the run
        // deterministic.
        ids.sort_unstable_by_key(|id| id.0);
        for request in ids {
            self.abandon_request(request, is_graceful);
        }
    }

    /// Ends a request because its scheduler process has ended.
    fn abandon_request(&mut self, id: RequestId, is_graceful: bool) {
        let Some(request) = self.scheduler_requests.get_mut(&id) else { return };
        let was_answered = std::mem::replace(&mut request.is_answered, true);
        let client_job = request.client_job;
        request.attempts_in_flight = 0;
        for attempt_id in request.attempts.clone() {
            let Some(attempt) = self.attempts.get_mut(&attempt_id) else { continue };
            attempt.is_in_flight = false;
            if !attempt.is_at_worker {
                self.attempts.remove(&attempt_id);
            }
        }
        if !was_answered && is_graceful {
            return;
        }
        if !was_answered {
            self.break_client_connection(id, client_job);
        }
        self.close_request(id);
    }

    /// Starts the next process of a simulated scheduler. The process gets the current endpoint list, marked
    /// as cached or as full. A cached list is the list that a process knows at its start, without discovery.
    ///
    /// In some scenarios, discovery sends lists only to processes that have subscribed. A new process has not
    /// subscribed yet, so there the list is marked as cached. In all other scenarios, it is marked as full,
    /// as if discovery had sent the list.
    pub(super) fn start_scheduler(&mut self, id: SchedulerId) {
        // The first process of a scheduler has the seed that `scheduler_seed` returns. Each later process has
        // this seed plus 1, so all later processes share one seed.
        let seed = scheduler_seed(self.seed, id).wrapping_add(1);
        let Ok(policy) = build_policy(self.scenario, self.policy_kind, id, seed) else {
            unreachable!("the policy accepted the same settings for the first process")
        };
        let scheduler = &mut self.schedulers[id.index()];
        scheduler.policy = policy;
        scheduler.is_up = true;
        scheduler.accepts_requests = true;
        scheduler.list_version = 0;
        let delay =
            if self.discovery_outages > 0 { micros_from_seconds(self.scenario.discovery.delay_s) } else { 0 };
        let kind = if self.scenario.discovery.polled {
            EndpointUpdateKind::Cached
        } else {
            EndpointUpdateKind::Full
        };
        let endpoints = Arc::new(self.endpoint_list());
        self.schedule_endpoints(self.now + delay, id, kind, &endpoints);
    }
}
