//! The format of records, version 1.
//!
//! A field that is added may be absent in older files; a kind that is added is unknown to older readers, which count
//! it and go on. Any other change raises [`FORMAT`]. The serialized names are fixed, whatever the Rust names are.
use serde::{Deserialize, Serialize};

use crate::counter_names;

/// The version of the format. A reader rejects records of a later one.
pub const FORMAT: u32 = 1;

/// One record: a line of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The version of the format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The run that it belongs to: a random id for each start of the program.
    #[serde(rename = "run")]
    pub run_id: String,
    /// Its number in the run, from 0 without a gap, unless records are missing.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// When it happened by the wall clock, in microseconds of Unix time. May jump.
    pub unix_us: u64,
    /// When it happened, in microseconds since the run began. Never jumps.
    pub mono_us: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub event: EventKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", expecting = "internally tagged enum What")]
pub enum EventKind {
    /// A run of the program began.
    RunStarted {
        /// The scheduler's name.
        name: String,
        /// The program's version.
        #[serde(rename = "program")]
        version: String,
    },
    /// The run ended by a shutdown.
    RunEnded {
        /// Requests without a final response.
        requests_left: u64,
        /// What became of the run's requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        requests: Option<RequestCounts>,
    },
    /// The endpoint list changed.
    #[serde(rename = "roster")]
    EndpointsChanged {
        /// `full`, `changes`, `remembered` or `failed`.
        form: String,
        /// The endpoints that the policy was notified of.
        #[serde(rename = "entries")]
        endpoints: Vec<EndpointEntry>,
    },
    /// A request was accepted from a client.
    #[serde(rename = "flow_taken")]
    RequestAccepted {
        /// The id of the request, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// Its class.
        class: String,
        /// The client's hint of its service time, in seconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cost_hint_s: Option<f64>,
        /// The slots it takes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        slots: Option<f64>,
        /// How long its client waits, in microseconds.
        time_left_us: u64,
    },
    /// The dispatch policy decided on a request.
    Decided {
        /// The id of the request.
        #[serde(rename = "flow")]
        request_id: String,
        /// The decision.
        #[serde(flatten)]
        decision: Decision,
    },
    /// An attempt is sent to its worker.
    #[serde(rename = "scheduling_sent")]
    AttemptSent {
        /// The id of the request.
        #[serde(rename = "flow")]
        request_id: String,
        /// Which attempt, from 0.
        attempt: u32,
        /// The worker.
        #[serde(rename = "real_server")]
        worker: String,
    },
    /// An attempt ended.
    #[serde(rename = "scheduling_ended")]
    AttemptEnded {
        /// The id of the request.
        #[serde(rename = "flow")]
        request_id: String,
        /// Which attempt, from 0.
        attempt: u32,
        /// The worker.
        #[serde(rename = "real_server")]
        worker: String,
        /// The outcome, by the policy's name for it.
        outcome: String,
        /// How long ago it was sent, in microseconds.
        elapsed_us: u64,
        /// Free slots, by the worker's load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free_slots: Option<f64>,
        /// Requests queued at the worker, by the same report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queue: Option<f64>,
    },
    /// The client got its final response, or left first.
    #[serde(rename = "answered")]
    RequestFinished {
        /// The id of the request.
        #[serde(rename = "flow")]
        request_id: String,
        /// Its class.
        class: String,
        /// `served`, `refused`, `failed`, `repeated`, or `gone` if the client left first.
        #[serde(rename = "answer")]
        response: String,
        /// How long after the request was accepted, in microseconds.
        #[serde(rename = "after_us")]
        elapsed_since_accepted_us: u64,
    },
    /// A counter reached 1, 2, 4, 8 ...: of a limit, or of a peer's errors.
    #[serde(rename = "limit")]
    CounterReached {
        /// What is counted, by the name that the counter has today.
        #[serde(rename = "what", deserialize_with = "counter_names::deserialize")]
        counter: String,
        /// How often so far.
        count: u64,
    },
    /// Records are missing; this one has the number of the last of them.
    Gap {
        /// How many.
        dropped: u64,
    },
}

/// What became of the requests of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that were received from clients.
    pub received: u64,
    /// Requests whose final response was written.
    pub answered: u64,
    /// Requests whose client disconnected first.
    pub disconnected: u64,
    /// The rest: none, unless a request was lost.
    pub unanswered: u64,
}

/// What the dispatch policy decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "choice", rename_all = "snake_case")]
pub enum Decision {
    /// To send an attempt to a worker.
    Send {
        /// Which one.
        #[serde(rename = "real_server")]
        worker: String,
        /// Its estimated finish time, in microseconds from now.
        estimate_us: u64,
    },
    /// To reject the request.
    #[serde(rename = "refuse")]
    Reject {
        /// How long the client should wait before it retries, in microseconds.
        retry_after_us: u64,
        /// `invalid`, `scarce`, `no_worker`, `late` or `spent`.
        #[serde(rename = "why")]
        reason: String,
        /// For `late`: by how much the lowest estimate exceeds the time left, in microseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        late_by_us: Option<u64>,
    },
    /// To fail the request.
    Fail,
    /// To stop waiting for an attempt.
    Cancel {
        /// Which one, from 0.
        attempt: u32,
    },
}

/// One worker of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The worker.
    #[serde(rename = "real_server")]
    pub worker: String,
    /// `ready`, `draining` or `gone`.
    pub state: String,
    /// Its last start, in microseconds of Unix time by the scheduler's own clock; absent if that is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_us: Option<u64>,
    /// Its kind, by the number that the policy has for it.
    #[serde(default)]
    pub kind: u32,
    /// Its zone, by the number that the policy has for it.
    #[serde(default)]
    pub zone: u32,
    /// Its size, as the list gives it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<f64>,
}

impl EventKind {
    /// The kind's name, as it is written.
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
