//! Tells the records what happens, in their own form and with names in place of numbers. Where none
//! are kept it makes nothing.
use std::sync::Arc;

use copperspread_dispatcher::*;
use copperspread_event_log::writer::Recorder;
use copperspread_event_log::{Choice, Entry, What};
use copperspread_settings::NodeSettings;

use crate::endpoints::ServiceEntries;

/// What sees all that is worth a record.
pub struct Witness {
    recorder: Recorder,
    entries: Arc<ServiceEntries>,
    classes: Vec<String>,
}

fn id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

impl Witness {
    /// Tells a recorder, with the names that the table and the settings have.
    pub fn new(recorder: Recorder, entries: Arc<ServiceEntries>, settings: &NodeSettings) -> Arc<Witness> {
        Arc::new(Witness { recorder, entries, classes: settings.classes.clone() })
    }

    fn tell(&self, what: impl FnOnce() -> What) {
        if self.recorder.is_on() {
            self.recorder.record(what());
        }
    }

    fn name(&self, worker: WorkerId) -> String {
        self.entries.name(worker).to_string()
    }

    fn class(&self, class: u32) -> String {
        self.classes.get(class as usize).cloned().unwrap_or_default()
    }

    /// The worker list changed.
    pub fn roster(&self, kind: RosterKind, entries: &[WorkerEntry]) {
        let form = match kind {
            RosterKind::Changes => "changes",
            RosterKind::Full => "full",
            RosterKind::Remembered => "remembered",
            RosterKind::Failed => "failed",
        };
        // An empty answer of a watch changes nothing.
        if kind == RosterKind::Changes && entries.is_empty() {
            return;
        }
        let entry = |entry: &WorkerEntry| Entry {
            real_server: self.name(entry.worker),
            state: match entry.state {
                WorkerState::Ready => "ready",
                WorkerState::Draining => "draining",
                WorkerState::Gone => "gone",
            }
            .into(),
            started_us: entry.started_at,
            kind: entry.kind,
            zone: entry.zone,
            size: entry.size,
        };
        self.tell(|| What::Roster { form: form.into(), entries: entries.iter().map(entry).collect() });
    }

    /// A flow was taken.
    pub fn taken(&self, job: &Job) {
        self.tell(|| What::FlowTaken {
            flow: id(job.request),
            class: self.class(job.class),
            cost_hint_s: job.cost_hint,
            slots: job.slots,
            time_left_us: job.time_left,
        });
    }

    /// The module chose.
    pub fn decided(&self, action: &Action) {
        if !self.recorder.is_on() {
            return;
        }
        let (request, choice) = match action {
            Action::Send { request, worker, estimate } => {
                (request, Choice::Send { real_server: self.name(*worker), estimate_us: *estimate })
            }
            Action::Refuse { request, retry_after, why } => {
                let (why, late_by_us) = match why {
                    Refusal::Invalid => ("invalid", None),
                    Refusal::Scarce => ("scarce", None),
                    Refusal::NoWorker => ("no_worker", None),
                    Refusal::Late(excess) => ("late", Some(*excess)),
                    Refusal::Spent => ("spent", None),
                };
                let why = why.into();
                (request, Choice::Refuse { retry_after_us: *retry_after, why, late_by_us })
            }
            Action::Fail { request } => (request, Choice::Fail),
            Action::Cancel { request, attempt } => (request, Choice::Cancel { attempt: *attempt }),
            Action::Wake { .. } | Action::Subscribe | Action::Probe { .. } => return,
        };
        self.recorder.record(What::Decided { flow: id(*request), choice });
    }

    /// A scheduling is handed over.
    pub fn sent(&self, request: RequestId, attempt: u32, worker: WorkerId) {
        let real_server = || self.name(worker);
        self.tell(|| What::SchedulingSent { flow: id(request), attempt, real_server: real_server() });
    }

    /// A scheduling ended.
    pub fn ended(&self, end: &AttemptOutcome, worker: WorkerId) {
        let outcome = match end.outcome {
            Outcome::Served => "served",
            Outcome::Error => "error",
            Outcome::Full => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Moot => "moot",
        };
        self.tell(|| What::SchedulingEnded {
            flow: id(end.request),
            attempt: end.attempt,
            real_server: self.name(worker),
            outcome: outcome.into(),
            elapsed_us: end.elapsed,
            free_slots: end.report.and_then(|report| report.free_slots),
            queue: end.report.and_then(|report| report.queue),
        });
    }

    /// The client got its final answer, or left before.
    pub fn answered(&self, job: &Job, answer: &'static str, after: Micros) {
        self.tell(|| What::Answered {
            flow: id(job.request),
            class: self.class(job.class),
            answer: answer.into(),
            after_us: after,
        });
    }

    /// Something that is counted happened once more.
    pub fn limit(&self, what: &'static str, count: u64) {
        self.tell(|| What::Limit { what: what.into(), count });
    }
}
