//! Deliberately faulty dispatch policies, with which tests show that the rule checker finds violations. Each
//! one is the dispatcher with one defect.
use copperspread_dispatcher::{
    Action, AttemptOutcome, DispatchPolicy, Dispatcher, Endpoint, EndpointUpdate, Event, Micros,
    Outcome as AttemptResult, RequestId, WorkerId, WorkerState,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::Policy;

/// With the defect `AnswersTwice`, a request gets an additional final response each time this many attempts
/// have been served.
const ANSWERS_TWICE_INTERVAL: u64 = 10;

/// The deliberate defect of a faulty dispatch policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    /// The defect that some requests get two final responses.
    AnswersTwice,
    /// The defect that rejections and failures are not sent to the client.
    NeverAnswers,
    /// The defect that attempts that may have run are retried in another zone.
    Resends,
    /// The defect that draining and removed workers count as ready.
    IgnoresDrains,
}

/// The dispatcher with a deliberate defect. The defect changes the events that the dispatcher gets or the
/// actions that it returns.
pub(super) struct BrokenPolicy {
    dispatcher: Dispatcher,
    defect: Defect,
    endpoints: Vec<Endpoint>,
    served_attempts: u64,
    /// For each request, the workers to which it was sent.
    attempted: FxHashMap<RequestId, Vec<WorkerId>>,
    /// Requests that this policy sent again after the dispatcher had ended them as failed. The dispatcher no
    /// longer knows these requests.
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

    /// Returns a ready worker in a zone that contains no worker in `attempted`. Returns `None` if there is no
    /// such worker.
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

    /// Handles the end of an attempt. If the attempt may have run, sends the request again to a ready worker
    /// in a zone where the request was not tried. If there is no such worker, the request fails.
    ///
    /// The dispatcher handles the end of the attempt first, and adds its own actions to `actions`, from the
    /// position `first_action` on. If one of these actions fails the request, that action is removed. If any
    /// other of these actions remains, the request is not sent again.
    fn resend(&mut self, completed: AttemptOutcome, first_action: usize, actions: &mut Vec<Action>) {
        let id = completed.request;
        let may_have_run = matches!(completed.outcome, AttemptResult::Reset | AttemptResult::Error);
        if completed.request_finished || !(may_have_run || self.resent.contains(&id)) {
            return;
        }
        actions.retain(|action| !matches!(action, Action::Fail { request } if *request == id));
        if actions.len() != first_action {
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

    fn answer_twice(&mut self, completed: AttemptOutcome, actions: &mut Vec<Action>) {
        if completed.outcome == AttemptResult::Served {
            self.served_attempts += 1;
            if self.served_attempts.is_multiple_of(ANSWERS_TWICE_INTERVAL) {
                actions.push(Action::Fail { request: completed.request });
            }
        }
    }
}

impl DispatchPolicy for BrokenPolicy {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let first_action = actions.len();
        if let Event::Endpoints(update) = event {
            self.update_endpoints(update);
            if self.defect == Defect::IgnoresDrains {
                return self.handle_as_ready(now, update, actions);
            }
        }
        self.dispatcher.handle(now, event, actions);
        self.record_attempts(&actions[first_action..]);
        match (self.defect, event) {
            (Defect::NeverAnswers, _) => {
                actions.retain(|action| !matches!(action, Action::Reject { .. } | Action::Fail { .. }));
            }
            (Defect::Resends, Event::AttemptCompleted(completed)) => {
                self.resend(completed, first_action, actions);
            }
            (Defect::AnswersTwice, Event::AttemptCompleted(completed)) => {
                self.answer_twice(completed, actions);
            }
            _ => {}
        }
    }
}

impl Policy for BrokenPolicy {}
