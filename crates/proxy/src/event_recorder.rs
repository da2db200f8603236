//! Tells the records what happens, in their own form and with names in place of numbers. Where none
//! are kept it makes nothing.
use std::sync::Arc;

use copperspread_dispatcher::*;
use copperspread_event_log::writer::Recorder;
use copperspread_event_log::{Decision, EndpointEntry, EventKind};
use copperspread_settings::ProxySettings;

use crate::endpoints::EndpointTable;

/// What sees all that is worth a record.
pub struct EventRecorder {
    recorder: Recorder,
    endpoints: Arc<EndpointTable>,
    classes: Vec<String>,
}

fn id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

impl EventRecorder {
    /// Tells a recorder, with the names that the table and the settings have.
    pub fn new(
        recorder: Recorder,
        entries: Arc<EndpointTable>,
        settings: &ProxySettings,
    ) -> Arc<EventRecorder> {
        Arc::new(EventRecorder { recorder, endpoints: entries, classes: settings.classes.clone() })
    }

    fn record(&self, what: impl FnOnce() -> EventKind) {
        if self.recorder.is_enabled() {
            self.recorder.record(what());
        }
    }

    fn name(&self, worker: WorkerId) -> String {
        self.endpoints.name(worker).to_string()
    }

    fn class(&self, class: u32) -> String {
        self.classes.get(class as usize).cloned().unwrap_or_default()
    }

    /// The worker list changed.
    pub fn endpoints_changed(&self, kind: EndpointUpdateKind, entries: &[Endpoint]) {
        let form = match kind {
            EndpointUpdateKind::Changes => "changes",
            EndpointUpdateKind::Full => "full",
            EndpointUpdateKind::Cached => "remembered",
            EndpointUpdateKind::Failed => "failed",
        };
        // An empty answer of a watch changes nothing.
        if kind == EndpointUpdateKind::Changes && entries.is_empty() {
            return;
        }
        let entry = |entry: &Endpoint| EndpointEntry {
            worker: self.name(entry.worker),
            state: match entry.state {
                WorkerState::Ready => "ready",
                WorkerState::Draining => "draining",
                WorkerState::Removed => "gone",
            }
            .into(),
            started_us: entry.started_at,
            kind: entry.kind,
            zone: entry.zone,
            size: entry.size,
        };
        self.record(|| EventKind::EndpointsChanged {
            form: form.into(),
            endpoints: entries.iter().map(entry).collect(),
        });
    }

    /// A flow was taken.
    pub fn request_accepted(&self, job: &IncomingRequest) {
        self.record(|| EventKind::RequestAccepted {
            request_id: id(job.request),
            class: self.class(job.class),
            cost_hint_s: job.cost_hint,
            slots: job.slots,
            time_left_us: job.time_left,
        });
    }

    /// The module chose.
    pub fn action_decided(&self, action: &Action) {
        if !self.recorder.is_enabled() {
            return;
        }
        let (request, choice) = match action {
            Action::Send { request, worker, estimate } => {
                (request, Decision::Send { worker: self.name(*worker), estimate_us: *estimate })
            }
            Action::Reject { request, retry_after, reason: why } => {
                let (why, late_by_us) = match why {
                    Rejection::Invalid => ("invalid", None),
                    Rejection::Overloaded => ("scarce", None),
                    Rejection::NoEligibleWorker => ("no_worker", None),
                    Rejection::TooLate(excess) => ("late", Some(*excess)),
                    Rejection::AttemptsExhausted => ("spent", None),
                };
                let why = why.into();
                (request, Decision::Reject { retry_after_us: *retry_after, reason: why, late_by_us })
            }
            Action::Fail { request } => (request, Decision::Fail),
            Action::Cancel { request, attempt } => (request, Decision::Cancel { attempt: *attempt }),
            Action::StartTimer { .. } | Action::Subscribe | Action::QueryLoad { .. } => return,
        };
        self.recorder.record(EventKind::Decided { request_id: id(*request), decision: choice });
    }

    /// A scheduling is handed over.
    pub fn attempt_sent(&self, request: RequestId, attempt: u32, worker: WorkerId) {
        let real_server = || self.name(worker);
        self.record(|| EventKind::AttemptSent { request_id: id(request), attempt, worker: real_server() });
    }

    /// A scheduling ended.
    pub fn attempt_ended(&self, end: &AttemptOutcome, worker: WorkerId) {
        let outcome = match end.outcome {
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
            request_id: id(end.request),
            attempt: end.attempt,
            worker: self.name(worker),
            outcome: outcome.into(),
            elapsed_us: end.elapsed,
            free_slots: end.report.and_then(|report| report.free_slots),
            queue: end.report.and_then(|report| report.queue),
        });
    }

    /// The client got its final answer, or left before.
    pub fn response_sent(&self, job: &IncomingRequest, answer: &'static str, after: Micros) {
        self.record(|| EventKind::RequestFinished {
            request_id: id(job.request),
            class: self.class(job.class),
            response: answer.into(),
            elapsed_since_accepted_us: after,
        });
    }

    /// Something that is counted happened once more.
    pub fn counter_reached(&self, what: &'static str, count: u64) {
        self.record(|| EventKind::CounterReached { counter: what.into(), count });
    }
}
