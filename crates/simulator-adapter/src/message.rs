//! The simulator's messages as they appear on the wire. serde includes the names of these types in its error
//! messages (`expected struct Load`), so the type names are part of the adapter's output.
use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::MessageError;

/// One line from the simulator: a message of any kind. All kinds share one flat struct: fields that a kind
/// lacks are `None`, unknown fields are ignored, and strings are borrowed from the line where possible. The
/// field names are those on the wire.
#[derive(Deserialize)]
pub(crate) struct Line<'a> {
    /// The kind of the message, which decides which other fields it needs.
    #[serde(borrow)]
    pub(crate) kind: Cow<'a, str>,
    /// The virtual time of a batch, in seconds.
    pub(crate) ts_s: Option<f64>,
    /// The turn number of a batch, which the end of the reply repeats.
    pub(crate) turn: Option<u64>,
    /// The name of the addressed instance.
    #[serde(borrow)]
    pub(crate) node_id: Option<Cow<'a, str>>,
    /// A request's id, 16 hex digits.
    #[serde(borrow)]
    pub(crate) req: Option<Cow<'a, str>>,
    /// The name of the worker that the message is about, such as the worker that answered a load query.
    #[serde(borrow)]
    pub(crate) executor: Option<Cow<'a, str>>,
    /// The cookie that an expired timer was started with.
    #[serde(borrow)]
    pub(crate) cookie: Option<Cow<'a, str>>,
    /// The kind of an endpoint update: `D` (changes), `F` (full), `C` (cached) or `X` (failed).
    #[serde(borrow)]
    pub(crate) mode: Option<Cow<'a, str>>,
    /// The version of the endpoint list in an endpoint update.
    pub(crate) serial: Option<u64>,
    /// The list of workers in an endpoint update, each with its state and properties.
    #[serde(borrow)]
    pub(crate) nodes_list: Option<Vec<Entry<'a>>>,
    /// The seed of an instance's random number generator.
    pub(crate) prng: Option<u64>,
    /// An instance's settings, in the JSON format in which the hosting platform configures a scheduler.
    #[serde(borrow)]
    pub(crate) params: Option<&'a RawValue>,
    /// The number of worker slots that a request occupies.
    pub(crate) width: Option<f64>,
    /// The tenant of a request, as a number.
    pub(crate) org: Option<u32>,
    /// The request class, as a number.
    pub(crate) category: Option<u32>,
    /// The time until a request's deadline, in seconds.
    pub(crate) expires_in_s: Option<f64>,
    /// The client's hint of a request's cost, in seconds of service time.
    pub(crate) work_s: Option<f64>,
    /// The attempt's number, counted from 0 for each request.
    #[serde(rename = "try")]
    pub(crate) attempt: Option<u32>,
    /// The kind of an attempt's progress: 1 (started) or 2 (partly done).
    pub(crate) what: Option<u32>,
    /// The completed fraction of an attempt's work, from 0 to 1.
    pub(crate) level: Option<f64>,
    /// Whether the request has its final response, from the attempt that the message reports or from an
    /// earlier attempt.
    pub(crate) over: Option<bool>,
    /// The code of the outcome of an attempt or of a load query; `decode.rs` lists the codes.
    pub(crate) state_code: Option<u32>,
    /// The duration of an attempt, in seconds.
    pub(crate) elapsed_s: Option<f64>,
    /// The load report that a worker returned with the outcome of an attempt or a load query.
    pub(crate) load: Option<Load>,
}

/// One endpoint of a `topology` message. The field names are those on the wire.
#[derive(Deserialize)]
pub(crate) struct Entry<'a> {
    /// The worker's name, by which other messages refer to the worker.
    #[serde(borrow)]
    pub(crate) executor: Cow<'a, str>,
    /// The worker's zone, as a number; absent means 0.
    pub(crate) dc: Option<u32>,
    /// The worker's kind, such as a machine type, as a number; absent means 0.
    pub(crate) class_of_host: Option<u32>,
    /// The worker's cell, a group of workers that share a store of idempotency keys, as a number; absent
    /// means 0.
    pub(crate) cluster: Option<u32>,
    /// The worker's state: `live`, `quiescing` (draining) or `dead` (removed).
    #[serde(borrow)]
    pub(crate) status: Cow<'a, str>,
    /// The virtual time of the worker's last start, in seconds; absent or 0 means long ago, so that the
    /// worker is not in slow start.
    pub(crate) online_since_s: Option<f64>,
    /// The worker's size, a figure to compare with the sizes of other workers.
    pub(crate) nominal: Option<f64>,
}

/// A worker's load report. The field names are those on the wire.
#[derive(Deserialize)]
pub(crate) struct Load {
    /// The number of attempts at the worker, queued or running.
    pub(crate) active: Option<f64>,
    /// The number of attempts that are queued at the worker.
    pub(crate) waiting: Option<f64>,
    /// The fraction of the worker's cores in use.
    pub(crate) cpu: Option<f64>,
    /// The number of requests that the worker serves per second.
    pub(crate) rps: Option<f64>,
    /// The number of the worker's free slots.
    pub(crate) x0: Option<f64>,
}

impl Line<'_> {
    /// Returns the value of a field that messages of this kind require; `field` is its name on the wire.
    ///
    /// # Errors
    /// Returns [`MessageError::MissingField`] if the message lacks the field.
    pub(crate) fn required<T>(&self, value: Option<T>, field: &'static str) -> Result<T, MessageError> {
        value.ok_or_else(|| MessageError::MissingField { kind: self.kind.to_string(), field })
    }
}
