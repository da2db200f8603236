//! Defines the records of the event log and their serialized format, version 1.
//!
//! A new field must be optional, as older files lack it. A new event kind is unknown to older readers, which
//! count it and continue. Any other change increments [`FORMAT_VERSION`]. The serialized names are fixed,
//! independently of the Rust names.
use serde::{Deserialize, Serialize};

use crate::counter_names;

/// The current version of the record format. A reader rejects records of a later version.
pub const FORMAT_VERSION: u32 = 1;

/// A record, which is one line of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The version of the record format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The id of the run, which is random for each start of the program.
    #[serde(rename = "run")]
    pub run_id: String,
    /// The sequence number in the run, counted from 0; numbers are left out only for missing records.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Time of the event by the wall clock, in microseconds of Unix time. Jumps when the clock is set.
    pub unix_us: u64,
    /// Time of the event by the monotonic clock, in microseconds since the start of the run. Never jumps.
    pub mono_us: u64,
    /// The event, with its kind and the fields of that kind.
    #[serde(rename = "what")]
    pub event: EventKind,
}

/// An event of a run, by its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", expecting = "internally tagged enum What")]
pub enum EventKind {
    /// The scheduler started, which began the run.
    RunStarted {
        /// The name of the scheduler whose run began.
        name: String,
        /// The version of the scheduler program that records the run.
        #[serde(rename = "program")]
        version: String,
    },
    /// The scheduler shut down, which ended the run.
    RunEnded {
        /// Number of requests that had no final response at the shutdown.
        requests_left: u64,
        /// The counts of the run's requests; absent in older files.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        requests: Option<RequestCounts>,
    },
    /// The dispatch policy was notified of an endpoint update.
    #[serde(rename = "roster")]
    EndpointsChanged {
        /// The kind of the update: `full`, `changes`, `remembered` (a cached list), or `failed` (the list
        /// could not be polled or watched).
        form: String,
        /// The endpoints that the dispatch policy was notified of.
        #[serde(rename = "entries")]
        endpoints: Vec<EndpointEntry>,
    },
    /// A client's request was passed to the dispatch policy, which may still reject it.
    #[serde(rename = "flow_taken")]
    RequestAccepted {
        /// The id of the request, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The name of the request's class.
        class: String,
        /// The client's cost hint for the request, in seconds of service time.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cost_hint_s: Option<f64>,
        /// Number of slots that the request takes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        slots: Option<f64>,
        /// Time left until the request's deadline, in microseconds.
        time_left_us: u64,
    },
    /// The dispatch policy decided on a request.
    Decided {
        /// The id of the request that the decision is about, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The decision, whose fields are serialized among those of the event.
        #[serde(flatten)]
        decision: Decision,
    },
    /// An attempt was sent to its worker.
    #[serde(rename = "scheduling_sent")]
    AttemptSent {
        /// The id of the request that the attempt belongs to, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The name of the worker that the attempt was sent to.
        #[serde(rename = "real_server")]
        worker: String,
    },
    /// An attempt ended.
    #[serde(rename = "scheduling_ended")]
    AttemptEnded {
        /// The id of the request that the attempt belongs to, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The name of the worker that the attempt was sent to.
        #[serde(rename = "real_server")]
        worker: String,
        /// The outcome: `served`, `error`, `full` (rejected by the worker), `timed_out`, `connect_failed`,
        /// `reset`, `cancelled` or `moot` (superseded).
        outcome: String,
        /// Time since the attempt was sent, in microseconds.
        elapsed_us: u64,
        /// Number of free slots, from the worker's load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free_slots: Option<f64>,
        /// Number of requests queued at the worker, from the worker's load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queue: Option<f64>,
    },
    /// The client got its final response, or disconnected first.
    #[serde(rename = "answered")]
    RequestFinished {
        /// The id of the request, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The name of the request's class.
        class: String,
        /// The final response: `served`, `refused` (rejected), `failed`, `repeated` (duplicate), or `gone` if
        /// the client disconnected first.
        #[serde(rename = "answer")]
        response: String,
        /// Time since the request was accepted, in microseconds.
        #[serde(rename = "after_us")]
        elapsed_since_accepted_us: u64,
    },
    /// A counter reached a power of 2 (1, 2, 4, ...). Such counters count how often a limit was reached, a
    /// peer made an error or an invariant was broken.
    #[serde(rename = "limit")]
    CounterReached {
        /// The current name of the counter; names in older files are converted.
        #[serde(rename = "what", deserialize_with = "counter_names::deserialize")]
        counter: String,
        /// The value of the counter when this event was recorded, a power of 2.
        count: u64,
    },
    /// Records are missing; this record has the sequence number of the last of them.
    Gap {
        /// Number of missing records.
        dropped: u64,
    },
}

/// Counts of the requests of one run, by how they ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Number of requests received from clients.
    pub received: u64,
    /// Number of requests whose final response was written.
    pub answered: u64,
    /// Number of requests whose client disconnected before the final response.
    pub disconnected: u64,
    /// Number of requests that were neither answered nor disconnected at the end of the run; normally 0.
    pub unanswered: u64,
}

/// A decision of the dispatch policy on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "choice", rename_all = "snake_case")]
pub enum Decision {
    /// An attempt is to be sent to a worker.
    Send {
        /// The name of the worker that gets the attempt.
        #[serde(rename = "real_server")]
        worker: String,
        /// Estimated finish time of the attempt, in microseconds from the decision.
        estimate_us: u64,
    },
    /// The request is to be rejected.
    #[serde(rename = "refuse")]
    Reject {
        /// How long the client should wait before it retries, in microseconds.
        retry_after_us: u64,
        /// The reason of the rejection: `invalid`, `scarce` (overloaded), `no_worker`, `late` or `spent`
        /// (attempts exhausted).
        #[serde(rename = "why")]
        reason: String,
        /// For `late`: by how much the lowest estimated finish time exceeds the time left, in microseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        late_by_us: Option<u64>,
    },
    /// The request is to be answered as failed.
    Fail,
    /// The scheduler is to stop waiting for an attempt.
    Cancel {
        /// The number of the attempt, from 0.
        attempt: u32,
    },
}

/// One worker of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The name of the worker, as the endpoint list states it.
    #[serde(rename = "real_server")]
    pub worker: String,
    /// The state of the worker: `ready`, `draining` or `gone`.
    pub state: String,
    /// The time of the worker's last start, in microseconds of Unix time on the scheduler's clock, which is
    /// set from the wall clock only when the scheduler starts. Absent if the endpoint list does not state the
    /// start; such a worker is not in slow start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_us: Option<u64>,
    /// The worker's kind, such as a machine type, as a number; the scheduler numbers all worker kinds from 0.
    #[serde(default)]
    pub kind: u32,
    /// The worker's zone as a number; the scheduler numbers all zones from 0.
    #[serde(default)]
    pub zone: u32,
    /// The worker's size as the endpoint list states it: a number without a unit, to compare workers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<f64>,
}

impl EventKind {
    /// The serialized name of the event kind.
    pub fn kind(&self) -> &'static str {
        match self {
            EventKind::RunStarted { .. } => "run_started",
            EventKind::RunEnded { .. } => "run_ended",
            EventKind::EndpointsChanged { .. } => "roster",
            EventKind::RequestAccepted { .. } => "flow_taken",
            EventKind::Decided { .. } => "decided",
            EventKind::AttemptSent { .. } => "scheduling_sent",
            EventKind::AttemptEnded { .. } => "scheduling_ended",
            EventKind::RequestFinished { .. } => "answered",
            EventKind::CounterReached { .. } => "limit",
            EventKind::Gap { .. } => "gap",
        }
    }
}
