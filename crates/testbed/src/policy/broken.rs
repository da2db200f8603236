//! Breaks the dispatcher by one deliberate defect at a time, to show that the rule checker finds each.
use copperspread_dispatcher::{
    Action, AttemptOutcome, DispatchPolicy, Dispatcher, Endpoint, EndpointUpdate, Event, Micros,
    Outcome as AttemptResult, RequestId, WorkerId, WorkerState,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::Policy;

/// Every so many served attempts get a second final response.
const ANSWERS_TWICE_INTERVAL: u64 = 10;

/// What is wrong with a broken policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    /// Some requests get two final responses.
    AnswersTwice,
    /// Rejections and failures are not sent.
    NeverAnswers,
    /// Attempts that may have run are retried, in another zone.
    Resends,
    /// Draining workers count as ready.
    IgnoresDrains,
}

/// The dispatcher behind a defect.
pub(super) struct BrokenPolicy {
    dispatcher: Dispatcher,
    defect: Defect,
    endpoints: Vec<Endpoint>,
    served_attempts: u64,
    /// The workers that each request was sent to.
    attempted: FxHashMap<RequestId, Vec<WorkerId>>,
    /// Requests that were resent here, of which the dispatcher knows nothing any more.
    resent: FxHashSet<RequestId>,
}

impl BrokenPolicy {
    pub(super) fn new(dispatcher: Dispatcher, defect: Defect) -> BrokenPolicy {
        BrokenPolicy {
            dispatcher,
            defect,
            endpoints: Vec::new(),
            served_attempts: 0,
            attempted: FxHashMap::default(),
            resent: FxHashSet::default(),
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate<'_>) {
        for endpoint in update.endpoints {
            self.endpoints.retain(|known| known.worker != endpoint.worker);
            self.endpoints.push(*endpoint);
        }
    }

    fn handle_as_ready(&mut self, now: Micros, update: EndpointUpdate<'_>, actions: &mut Vec<Action>) {
        let as_ready = |endpoint: &Endpoint| Endpoint { state: WorkerState::Ready, ..*endpoint };
        let endpoints: Vec<_> = update.endpoints.iter().map(as_ready).collect();
        let update = EndpointUpdate { endpoints: &endpoints, ..update };
        self.dispatcher.handle(now, Event::Endpoints(update), actions);
    }

    fn record_attempts(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Send { request, worker, .. } = action {
                self.attempted.entry(*request).or_default().push(*worker);
            }
        }
    }

    /// A ready worker in a zone without an attempt, if there is one.
    fn untried_zone_worker(&self, attempted: &[WorkerId]) -> Option<WorkerId> {
        let is_attempted = |endpoint: &&Endpoint| attempted.contains(&endpoint.worker);
        let zones: Vec<u32> =
            self.endpoints.iter().filter(is_attempted).map(|endpoint| endpoint.zone).collect();
        let untried = self.endpoints.iter().find(|endpoint| {
            endpoint.state == WorkerState::Ready
                && !attempted.contains(&endpoint.worker)
                && !zones.contains(&endpoint.zone)
        });
        untried.map(|endpoint| endpoint.worker)
    }

    /// Retries an attempt that may have run. `first` is where this event's actions begin.
    fn resend(&mut self, end: AttemptOutcome, first: usize, actions: &mut Vec<Action>) {
        let id = end.request;
        let may_have_run = matches!(end.outcome, AttemptResult::Reset | AttemptResult::Error);
        if end.request_finished || !(may_have_run || self.resent.contains(&id)) {
            return;
        }
        actions.retain(|action| !matches!(action, Action::Fail { request } if *request == id));
        if actions.len() != first {
            return;
        }
        let attempted = self.attempted.get(&id).map_or(&[][..], Vec::as_slice);
        match self.untried_zone_worker(attempted).filter(|_| may_have_run) {
            Some(worker) => {
                self.resent.insert(id);
                self.attempted.entry(id).or_default().push(worker);
                actions.push(Action::Send { request: id, worker, estimate: 0 });
            }
            None => actions.push(Action::Fail { request: id }),
        }
    }

    fn answer_twice(&mut self, end: AttemptOutcome, actions: &mut Vec<Action>) {
        if end.outcome == AttemptResult::Served {
            self.served_attempts += 1;
            if self.served_attempts.is_multiple_of(ANSWERS_TWICE_INTERVAL) {
                actions.push(Action::Fail { request: end.request });
            }
        }
    }
}

impl DispatchPolicy for BrokenPolicy {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let first = actions.len();
        if let Event::Endpoints(update) = event {
            self.update_endpoints(update);
            if self.defect == Defect::IgnoresDrains {
                return self.handle_as_ready(now, update, actions);
            }
        }
        self.dispatcher.handle(now, event, actions);
        self.record_attempts(&actions[first..]);
        match (self.defect, event) {
            (Defect::NeverAnswers, _) => {
                actions.retain(|action| !matches!(action, Action::Reject { .. } | Action::Fail { .. }));
            }
            (Defect::Resends, Event::AttemptCompleted(end)) => self.resend(end, first, actions),
            (Defect::AnswersTwice, Event::AttemptCompleted(end)) => self.answer_twice(end, actions),
            _ => {}
        }
    }
}

impl Policy for BrokenPolicy {}
