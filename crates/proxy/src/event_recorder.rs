//! Writes the scheduler's events to the event log. The log contains the names of workers and request classes,
//! not their numbers. If the event log is disabled, no event is built.
//!
//! The names of reasons, states and outcomes in this module are part of the event log's format. They must
//! stay the same when the corresponding Rust types are renamed.
use std::sync::Arc;

use copperspread_dispatcher::{
    Action, AttemptOutcome, Endpoint, EndpointUpdateKind, IncomingRequest, Micros, Outcome, Rejection,
    RequestId, WorkerId, WorkerState,
};
use copperspread_event_log::writer::Recorder;
use copperspread_event_log::{Decision, EndpointEntry, EventKind};
use copperspread_settings::ProxySettings;

use crate::endpoints::EndpointTable;

/// The event recorder: converts the events of one scheduler into records of the event log.
pub struct EventRecorder {
    recorder: Recorder,
    endpoints: Arc<EndpointTable>,
    classes: Vec<String>,
}

/// Formats a request id as 16 hexadecimal digits.
fn request_id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

/// The name of a rejection's reason in the event log and in log messages.
pub(crate) fn rejection_name(reason: &Rejection) -> &'static str {
    match reason {
        Rejection::Invalid => "invalid",
        Rejection::Overloaded => "scarce",
        Rejection::NoEligibleWorker => "no_worker",
        Rejection::WouldBeLate(_) => "late",
        Rejection::AttemptsExhausted => "spent",
    }
}

impl EventRecorder {
    /// Creates an event recorder that takes worker names from the endpoint table and class names from the
    /// settings.
    pub fn new(
        recorder: Recorder,
        endpoints: Arc<EndpointTable>,
        settings: &ProxySettings,
    ) -> Arc<EventRecorder> {
        Arc::new(EventRecorder { recorder, endpoints, classes: settings.classes.clone() })
    }

    fn record(&self, event: impl FnOnce() -> EventKind) {
        if self.recorder.is_enabled() {
            self.recorder.record(event());
        }
    }

    fn worker_name(&self, worker: WorkerId) -> String {
        self.endpoints.name(worker).to_string()
    }

    fn class_name(&self, class: u32) -> String {
        self.classes.get(class as usize).cloned().unwrap_or_default()
    }

    /// Records an endpoint update, with its kind and its endpoints. Called when the dispatch policy is
    /// notified of the update.
    pub fn endpoints_changed(&self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        let form = match kind {
            EndpointUpdateKind::Changes => "changes",
            EndpointUpdateKind::Full => "full",
            EndpointUpdateKind::Cached => "remembered",
            EndpointUpdateKind::Failed => "failed",
        };
        // An update of the kind `Changes` without endpoints is not recorded: it only says that the list has
        // not changed.
        if kind == EndpointUpdateKind::Changes && endpoints.is_empty() {
            return;
        }
        let entry = |endpoint: &Endpoint| EndpointEntry {
            worker: self.worker_name(endpoint.worker),
            state: match endpoint.state {
                WorkerState::Ready => "ready",
                WorkerState::Draining => "draining",
                WorkerState::Removed => "gone",
            }
            .into(),
            started_us: endpoint.started_at,
            kind: endpoint.kind,
            zone: endpoint.zone,
            size: endpoint.size,
        };
        self.record(|| EventKind::EndpointsChanged {
            form: form.into(),
            endpoints: endpoints.iter().map(entry).collect(),
        });
    }

    /// Records that a request is passed to the dispatch policy, which may still reject the request.
    pub fn request_accepted(&self, request: &IncomingRequest) {
        self.record(|| EventKind::RequestAccepted {
            request_id: request_id(request.request),
            class: self.class_name(request.class),
            cost_hint_s: request.cost_hint,
            slots: request.slots,
            time_left_us: request.time_left,
        });
    }

    /// Records a decision of the dispatch policy about a request: to send, reject, fail or cancel.
    pub fn action_decided(&self, action: &Action) {
        if !self.recorder.is_enabled() {
            return;
        }
        let (request, decision) = match action {
            Action::Send { request, worker, estimate } => {
                (request, Decision::Send { worker: self.worker_name(*worker), estimate_us: *estimate })
            }
            Action::Reject { request, retry_after, reason } => {
                let late_by_us = match reason {
                    Rejection::WouldBeLate(excess) => Some(*excess),
                    _ => None,
                };
                let reason = rejection_name(reason).into();
                (request, Decision::Reject { retry_after_us: *retry_after, reason, late_by_us })
            }
            Action::Fail { request } => (request, Decision::Fail),
            Action::Cancel { request, attempt } => (request, Decision::Cancel { attempt: *attempt }),
            Action::StartTimer { .. } | Action::Subscribe | Action::QueryLoad { .. } => return,
        };
        self.recorder.record(EventKind::Decided { request_id: request_id(*request), decision });
    }

    /// Records that an attempt is sent, with the attempt's number and the worker's name.
    pub fn attempt_sent(&self, request: RequestId, attempt: u32, worker: WorkerId) {
        self.record(|| EventKind::AttemptSent {
            request_id: request_id(request),
            attempt,
            worker: self.worker_name(worker),
        });
    }

    /// Records that an attempt ended, with its outcome, its duration and the worker's load report.
    pub fn attempt_ended(&self, attempt: &AttemptOutcome, worker: WorkerId) {
        let outcome = match attempt.outcome {
            Outcome::Served => "served",
            Outcome::Error => "error",
            Outcome::Rejected => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Superseded => "moot",
        };
        self.record(|| EventKind::AttemptEnded {
            request_id: request_id(attempt.request),
            attempt: attempt.attempt,
            worker: self.worker_name(worker),
            outcome: outcome.into(),
            elapsed_us: attempt.elapsed,
            free_slots: attempt.report.and_then(|report| report.free_slots),
            queue: attempt.report.and_then(|report| report.queue),
        });
    }

    /// Records that a request has ended: the client got its final response, or disconnected before that.
    pub fn request_ended(&self, request: &IncomingRequest, response: &'static str, elapsed: Micros) {
        self.record(|| EventKind::RequestFinished {
            request_id: request_id(request.request),
            class: self.class_name(request.class),
            response: response.into(),
            elapsed_since_accepted_us: elapsed,
        });
    }

    /// Records that a counter of the module `invariant` has reached a power of two. Other counts are not
    /// recorded, so that a frequent event does not flood the event log.
    pub fn counter_reached(&self, counter: &'static str, count: u64) {
        self.record(|| EventKind::CounterReached { counter: counter.into(), count });
    }
}
