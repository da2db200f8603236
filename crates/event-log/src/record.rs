//! The records' form, version 1.
//!
//! A field that is added may be absent in older files; a kind that is added is unknown to older
//! readers, which count it and go on. Whatever else changes raises [`FORMAT`].
use serde::{Deserialize, Serialize};

/// The version of the form. A reader refuses records of a later one.
pub const FORMAT: u32 = 1;

/// One record: a line of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The form's version.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The run that it belongs to, a random name for each start of the program.
    #[serde(rename = "run")]
    pub run_id: String,
    /// Its number in the run, from 0 and without a step left out, unless records are missing.
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
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A run of the program began.
    RunStarted {
        /// The scheduler's name.
        name: String,
        /// The program's version.
        #[serde(rename = "program")]
        version: String,
    },
    /// It ended as asked.
    RunEnded {
        /// Requests that were not answered.
        requests_left: u64,
    },
    /// The worker list changed.
    #[serde(rename = "roster")]
    EndpointsChanged {
        /// `full`, `changes`, `remembered` or `failed`.
        form: String,
        /// The entries that were told.
        #[serde(rename = "entries")]
        endpoints: Vec<EndpointEntry>,
    },
    /// A flow was taken.
    #[serde(rename = "flow_taken")]
    RequestAccepted {
        /// The flow's id, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// Its class.
        class: String,
        /// The hint of its running time, in seconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cost_hint_s: Option<f64>,
        /// The slots it takes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        slots: Option<f64>,
        /// The time that its client waits.
        time_left_us: u64,
    },
    /// The decision module chose for a flow.
    Decided {
        /// The flow.
        #[serde(rename = "flow")]
        request_id: String,
        /// The choice.
        #[serde(flatten)]
        decision: Decision,
    },
    /// A scheduling is handed over.
    #[serde(rename = "scheduling_sent")]
    AttemptSent {
        /// The flow.
        #[serde(rename = "flow")]
        request_id: String,
        /// Which attempt, from 0.
        attempt: u32,
        /// The real server.
        #[serde(rename = "real_server")]
        worker: String,
    },
    /// A scheduling ended.
    #[serde(rename = "scheduling_ended")]
    AttemptEnded {
        /// The flow.
        #[serde(rename = "flow")]
        request_id: String,
        /// Which attempt, from 0.
        attempt: u32,
        /// The real server.
        #[serde(rename = "real_server")]
        worker: String,
        /// How, in the module's words.
        outcome: String,
        /// How long ago it was sent.
        elapsed_us: u64,
        /// Free slots, as the real server reported them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free_slots: Option<f64>,
        /// Jobs that waited there, as reported with it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queue: Option<f64>,
    },
    /// The client got its final answer.
    #[serde(rename = "answered")]
    RequestFinished {
        /// The flow.
        #[serde(rename = "flow")]
        request_id: String,
        /// Its class.
        class: String,
        /// `served`, `refused`, `failed`, `repeated`, or `gone` where the client left first.
        #[serde(rename = "answer")]
        response: String,
        /// How long after the flow was taken.
        #[serde(rename = "after_us")]
        elapsed_since_accepted_us: u64,
    },
    /// Something that is counted happened its 1st, 2nd, 4th, 8th ... time: a limit, or a peer's mistake.
    #[serde(rename = "limit")]
    CounterReached {
        /// What.
        #[serde(rename = "what")]
        counter: String,
        /// How often so far.
        count: u64,
    },
    /// Records are missing right before this one's number.
    Gap {
        /// How many.
        dropped: u64,
    },
}

/// What the decision module chose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "choice", rename_all = "snake_case")]
pub enum Decision {
    /// To send it to a real server.
    Send {
        /// Which one.
        #[serde(rename = "real_server")]
        worker: String,
        /// When it was to end there, from now.
        estimate_us: u64,
    },
    /// To turn it away.
    #[serde(rename = "refuse")]
    Reject {
        /// When the client may come back.
        retry_after_us: u64,
        /// `invalid`, `scarce`, `no_worker`, `late` or `spent`.
        #[serde(rename = "why")]
        reason: String,
        /// For `late`: by how much the lowest estimate exceeds the time left.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        late_by_us: Option<u64>,
    },
    /// To fail it.
    Fail,
    /// To stop waiting for an attempt.
    Cancel {
        /// Which one, from 0.
        attempt: u32,
    },
}

/// One line of the worker list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The real server.
    #[serde(rename = "real_server")]
    pub worker: String,
    /// `ready`, `draining` or `gone`.
    pub state: String,
    /// Its last start, in microseconds of Unix time; absent is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_us: Option<u64>,
    /// Its kind and zone, by the numbers that the module knows them by.
    #[serde(default)]
    pub kind: u32,
    /// Its zone.
    #[serde(default)]
    pub zone: u32,
    /// Its size as listed.
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
