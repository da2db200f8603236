//! The simulator's messages as they are on the wire. serde writes the names of these types into its error
//! messages (`expected struct Load`), so the type names are part of the adapter's output.
use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::MessageError;

/// One line from the simulator, which is a message of any kind. All kinds share this struct, and a field that
/// the message does not contain is `None`. Unknown fields are ignored, and strings are borrowed from the line
/// where possible. The field names are those on the wire.
#[derive(Deserialize)]
pub(crate) struct Line<'a> {
    /// The kind of the message. It decides which of the other fields the message must contain.
    #[serde(borrow)]
    pub(crate) kind: Cow<'a, str>,
    /// The virtual time at which the simulator sends a batch of messages, in seconds.
    pub(crate) ts_s: Option<f64>,
    /// The turn number that the simulator gives to a batch of messages. The end of the reply to the batch
    /// repeats this number.
    pub(crate) turn: Option<u64>,
    /// The name of the scheduler instance to which the message is addressed.
    #[serde(borrow)]
    pub(crate) node_id: Option<Cow<'a, str>>,
    /// The id of the request that the message is about, 16 hex digits.
    #[serde(borrow)]
    pub(crate) req: Option<Cow<'a, str>>,
    /// The name of the worker that the message is about, such as the worker that answered a load query.
    #[serde(borrow)]
    pub(crate) executor: Option<Cow<'a, str>>,
    /// The cookie of the timer that has expired, which is a text that identifies the timer. The adapter sent
    /// this cookie when it started the timer.
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
    /// The seed of the random numbers of a scheduler instance.
    pub(crate) prng: Option<u64>,
    /// The settings of a scheduler instance, in the JSON format in which the hosting platform configures a
    /// scheduler.
    #[serde(borrow)]
    pub(crate) params: Option<&'a RawValue>,
    /// The number of worker slots that a request occupies.
    pub(crate) width: Option<f64>,
    /// The number of the tenant that the request belongs to.
    pub(crate) org: Option<u32>,
    /// The number of the request class that the request belongs to.
    pub(crate) category: Option<u32>,
    /// The time left until the deadline of the request, in seconds.
    pub(crate) expires_in_s: Option<f64>,
    /// The service time that the client expects for the request, in seconds.
    pub(crate) work_s: Option<f64>,
    /// The number of the attempt within its request, counted from 0.
    #[serde(rename = "try")]
    pub(crate) attempt: Option<u32>,
    /// The kind of progress that an attempt has made: 1 (started to run) or 2 (partly done).
    pub(crate) what: Option<u32>,
    /// The completed fraction of an attempt's work, from 0 to 1.
    pub(crate) level: Option<f64>,
    /// Whether the request has its final response. The response may come from the attempt that the message
    /// reports or from an earlier attempt.
    pub(crate) over: Option<bool>,
    /// The code of the outcome of an attempt or of a load query; `decode.rs` lists the codes.
    pub(crate) state_code: Option<u32>,
    /// The duration of an attempt, in seconds.
    pub(crate) elapsed_s: Option<f64>,
    /// The load report that a worker returned with the outcome of an attempt or of a load query.
    pub(crate) load: Option<Load>,
}

/// A worker in the endpoint list of a `topology` message. The field names are those on the wire.
#[derive(Deserialize)]
pub(crate) struct Entry<'a> {
    /// The worker's name, by which other messages refer to the worker.
    #[serde(borrow)]
    pub(crate) executor: Cow<'a, str>,
    /// The number of the worker's zone; absent means 0.
    pub(crate) dc: Option<u32>,
    /// The number of the worker's kind, such as a machine type; absent means 0.
    pub(crate) class_of_host: Option<u32>,
    /// The number of the worker's cell; absent means 0. A cell is a group of workers that share a store of
    /// idempotency keys.
    pub(crate) cluster: Option<u32>,
    /// The worker's state: `live`, `quiescing` (draining) or `dead` (removed).
    #[serde(borrow)]
    pub(crate) status: Cow<'a, str>,
    /// The virtual time of the worker's last start, in seconds. If absent or 0, the worker started long ago
    /// and is not in slow start.
    pub(crate) online_since_s: Option<f64>,
    /// The worker's size, a number without a unit with which workers are compared.
    pub(crate) nominal: Option<f64>,
}

/// A worker's load report in a message. The field names are those on the wire.
#[derive(Deserialize)]
pub(crate) struct Load {
    /// The number of attempts at the worker, both queued and running.
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
    /// Returns the value of a field that messages of this kind must contain. `field` is the name of the field
    /// on the wire.
    ///
    /// # Errors
    /// Returns [`MessageError::MissingField`] if the message does not contain the field.
    pub(crate) fn required<T>(&self, value: Option<T>, field: &'static str) -> Result<T, MessageError> {
        value.ok_or_else(|| MessageError::MissingField { kind: self.kind.to_string(), field })
    }
}
