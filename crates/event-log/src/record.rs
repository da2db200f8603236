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
    pub v: u32,
    /// The run that it belongs to, a random name for each start of the program.
    pub run: String,
    /// Its number in the run, from 0 and without a step left out, unless records are missing.
    pub seq: u64,
    /// When it happened by the wall clock, in microseconds of Unix time. May jump.
    pub unix_us: u64,
    /// When it happened, in microseconds since the run began. Never jumps.
    pub mono_us: u64,
    /// What happened.
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum What {
    /// A run of the program began.
    RunStarted {
        /// The scheduler's name.
        name: String,
        /// The program's version.
        program: String,
    },
    /// It ended as asked.
    RunEnded {
        /// Requests that were not answered.
        requests_left: u64,
    },
    /// The worker list changed.
    Roster {
        /// `full`, `changes`, `remembered` or `failed`.
        form: String,
        /// The entries that were told.
        entries: Vec<Entry>,
    },
    /// A flow was taken.
    FlowTaken {
        /// The flow's id, 16 hex digits.
        flow: String,
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
        flow: String,
        /// The choice.
        #[serde(flatten)]
        choice: Choice,
    },
    /// A scheduling is handed over.
    SchedulingSent {
        /// The flow.
        flow: String,
        /// Which attempt, from 0.
        attempt: u32,
        /// The real server.
        real_server: String,
    },
    /// A scheduling ended.
    SchedulingEnded {
        /// The flow.
        flow: String,
        /// Which attempt, from 0.
        attempt: u32,
        /// The real server.
        real_server: String,
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
    Answered {
        /// The flow.
        flow: String,
        /// Its class.
        class: String,
        /// `served`, `refused`, `failed`, `repeated`, or `gone` where the client left first.
        answer: String,
        /// How long after the flow was taken.
        after_us: u64,
    },
    /// Something that is counted happened its 1st, 2nd, 4th, 8th ... time: a limit, or a peer's mistake.
    Limit {
        /// What.
        what: String,
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
pub enum Choice {
    /// To send it to a real server.
    Send {
        /// Which one.
        real_server: String,
        /// When it was to end there, from now.
        estimate_us: u64,
    },
    /// To turn it away.
    Refuse {
        /// When the client may come back.
        retry_after_us: u64,
        /// `invalid`, `scarce`, `no_worker`, `late` or `spent`.
        why: String,
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
pub struct Entry {
    /// The real server.
    pub real_server: String,
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

impl What {
    /// The kind's name, as it is written.
    pub fn kind(&self) -> &'static str {
        match self {
            What::RunStarted { .. } => "run_started",
            What::RunEnded { .. } => "run_ended",
            What::Roster { .. } => "roster",
            What::FlowTaken { .. } => "flow_taken",
            What::Decided { .. } => "decided",
            What::SchedulingSent { .. } => "scheduling_sent",
            What::SchedulingEnded { .. } => "scheduling_ended",
            What::Answered { .. } => "answered",
            What::Limit { .. } => "limit",
            What::Gap { .. } => "gap",
        }
    }
}
