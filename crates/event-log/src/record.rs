//! Defines the records of the event log and their serialized format, version 1.
//!
//! A new field must be optional, because older files lack the field. Older readers do not know a new event
//! kind; they count its records and continue. Any other change of the format must increment
//! [`FORMAT_VERSION`]. The names in the serialized format never change, even if the Rust names do.
use serde::{Deserialize, Serialize};

use crate::counter_names;

/// The current version of the record format. A reader rejects records of a later version.
pub const FORMAT_VERSION: u32 = 1;

/// A record of the event log, which is one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The version of the record format that this record was written in.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The id of the run that recorded the event. Each start of the scheduler chooses a random id.
    #[serde(rename = "run")]
    pub run_id: String,
    /// The sequence number of the record within its run, counted from 0. If the numbers in the event
    /// log jump, the records in between were lost.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The wall-clock time of the event, in microseconds of Unix time. This time jumps when the clock is set.
    pub unix_us: u64,
    /// The monotonic-clock time of the event, in microseconds since the start of the run. This time never
    /// jumps.
    pub mono_us: u64,
    /// The event, with its kind and the fields of that kind.
    #[serde(rename = "what")]
    pub event: EventKind,
}

/// An event of a run of the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", expecting = "internally tagged enum What")]
pub enum EventKind {
    /// The start of the scheduler, with which a run begins.
    RunStarted {
        /// The name of the scheduler that started.
        name: String,
        /// The version of the scheduler program that started.
        #[serde(rename = "program")]
        version: String,
    },
    /// The shutdown of the scheduler, with which a run ends.
    RunEnded {
        /// Number of requests without a final response when the scheduler shut down.
        requests_left: u64,
        /// The numbers of requests of the run by how they ended; absent in older files.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        requests: Option<RequestCounts>,
    },
    /// The receipt of an endpoint update by the dispatch policy.
    #[serde(rename = "roster")]
    EndpointsChanged {
        /// The kind of the endpoint update: `full` (the complete list), `changes`, `remembered` (a cached
        /// list), or `failed` (the list could not be polled or watched).
        form: String,
        /// The workers in the endpoint update that the dispatch policy received.
        #[serde(rename = "entries")]
        endpoints: Vec<EndpointEntry>,
    },
    /// The acceptance of a client's request: the scheduler passed the request to the dispatch policy, which
    /// may still reject it.
    #[serde(rename = "flow_taken")]
    RequestAccepted {
        /// The id of the request that was passed to the dispatch policy, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The name of the request class that the request belongs to.
        class: String,
        /// The service time that the client states for the request, in seconds; absent if the client states
        /// none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cost_hint_s: Option<f64>,
        /// Number of worker slots that the request takes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        slots: Option<f64>,
        /// Time from this event until the deadline of the request, in microseconds.
        time_left_us: u64,
    },
    /// A decision of the dispatch policy on a request.
    Decided {
        /// The id of the request that the decision is about, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The decision of the dispatch policy. Its fields are serialized as fields of the event.
        #[serde(flatten)]
        decision: Decision,
    },
    /// The sending of an attempt to its worker.
    #[serde(rename = "scheduling_sent")]
    AttemptSent {
        /// The id of the request that the attempt belongs to, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The number of the attempt within its request, counted from 0.
        attempt: u32,
        /// The name of the worker that the attempt was sent to.
        #[serde(rename = "real_server")]
        worker: String,
    },
    /// The end of an attempt.
    #[serde(rename = "scheduling_ended")]
    AttemptEnded {
        /// The id of the request that the attempt belongs to, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The number of the attempt within its request, counted from 0.
        attempt: u32,
        /// The name of the worker that the attempt was sent to.
        #[serde(rename = "real_server")]
        worker: String,
        /// The outcome of the attempt: `served`, `error`, `full` (rejected by the worker), `timed_out`,
        /// `connect_failed`, `reset`, `cancelled` or `moot` (given up before the attempt was sent).
        outcome: String,
        /// Time from the sending of the attempt to its end, in microseconds.
        elapsed_us: u64,
        /// Number of free slots of the worker, from the worker's load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free_slots: Option<f64>,
        /// Number of requests queued at the worker, from the worker's load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queue: Option<f64>,
    },
    /// The end of a request: the client got its final response or disconnected first.
    #[serde(rename = "answered")]
    RequestFinished {
        /// The id of the request that was finished, 16 hex digits.
        #[serde(rename = "flow")]
        request_id: String,
        /// The name of the request class that the request belongs to.
        class: String,
        /// The final response to the client: `served`, `refused` (rejected), `failed`, `repeated`
        /// (duplicate), or `gone` if the client disconnected first.
        #[serde(rename = "answer")]
        response: String,
        /// Time from [`EventKind::RequestAccepted`] of the request until the request was finished, in
        /// microseconds.
        #[serde(rename = "after_us")]
        elapsed_since_accepted_us: u64,
    },
    /// A counter that has reached a power of 2 (1, 2, 4, ...). Such a counter counts how often a limit was
    /// reached, a peer made an error or an invariant was violated. Other values of the counter are not
    /// recorded, so that a frequent event does not flood the event log.
    #[serde(rename = "limit")]
    CounterReached {
        /// The current name of the counter. A name that only older files contain is converted on reading.
        #[serde(rename = "what", deserialize_with = "counter_names::deserialize")]
        counter: String,
        /// The value that the counter named by this event has reached, which is a power of 2.
        count: u64,
    },
    /// A record that stands for missing records. It has the sequence number of the last missing record.
    Gap {
        /// Number of missing records that this record stands for.
        dropped: u64,
    },
}

/// The numbers of requests of one run, by how the requests ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Number of requests that the scheduler received from clients during the run.
    pub received: u64,
    /// Number of requests of the run whose final response was written to the client.
    pub answered: u64,
    /// Number of requests of the run whose client disconnected before the final response.
    pub disconnected: u64,
    /// Number of requests that were neither answered nor ended by their client's disconnection when the run
    /// ended; normally 0.
    pub unanswered: u64,
}

/// A decision of the dispatch policy on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "choice", rename_all = "snake_case")]
pub enum Decision {
    /// The decision to send an attempt to a worker.
    Send {
        /// The name of the worker that the attempt is to be sent to.
        #[serde(rename = "real_server")]
        worker: String,
        /// The estimated time until the attempt finishes, in microseconds from the decision.
        estimate_us: u64,
    },
    /// The decision to reject the request.
    #[serde(rename = "refuse")]
    Reject {
        /// How long the client should wait before it sends the request again, in microseconds.
        retry_after_us: u64,
        /// The reason of the rejection: `invalid`, `scarce` (overloaded), `no_worker`, `late` (the
        /// best-ranked worker is estimated to finish too late) or `spent` (attempts exhausted).
        #[serde(rename = "why")]
        reason: String,
        /// How late the worker that ranks best for the request is estimated to finish it, in microseconds
        /// after the latency objective or the deadline, whichever comes first. Present only in a rejection
        /// whose `reason` is `late`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        late_by_us: Option<u64>,
    },
    /// The decision to answer the request as failed.
    Fail,
    /// The decision that the scheduler stops waiting for an attempt.
    Cancel {
        /// The number of the cancelled attempt within its request, counted from 0.
        attempt: u32,
    },
}

/// A worker in an endpoint update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The name of the worker in the endpoint list.
    #[serde(rename = "real_server")]
    pub worker: String,
    /// The state of the worker: `ready`, `draining` or `gone`.
    pub state: String,
    /// The scheduler's estimate of when the worker was last started, in microseconds of Unix time. Absent if
    /// the endpoint list does not contain a start time; the worker is then not in slow start.
    ///
    /// The estimate is a time on the scheduler's clock, which is set from the wall clock only when the
    /// scheduler starts. The estimate can differ from the start time in the endpoint list, for example if the
    /// wall clock was set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_us: Option<u64>,
    /// The number of the worker's kind, such as a machine type. The scheduler numbers all worker kinds from
    /// 0.
    #[serde(default)]
    pub kind: u32,
    /// The number of the worker's zone. The scheduler numbers all zones from 0.
    #[serde(default)]
    pub zone: u32,
    /// The worker's size from the endpoint list, a number without a unit with which workers are compared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<f64>,
}

impl EventKind {
    /// Returns the name of the event kind, as written in the record.
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
