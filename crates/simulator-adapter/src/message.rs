//! The simulator's messages as they stand on a line. serde names these types in its errors (`expected
//! struct Load`), so their names are part of the adapter's output.
use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::MessageError;

/// One line from the simulator: a message of any kind. One flat struct serves all kinds: fields that a
/// kind lacks stay empty, unknown ones are skipped, and strings are borrowed from the line.
#[derive(Deserialize)]
pub(crate) struct Line<'a> {
    /// What happened.
    #[serde(borrow)]
    pub(crate) kind: Cow<'a, str>,
    /// A batch's time, in seconds.
    pub(crate) ts_s: Option<f64>,
    /// A batch's number.
    pub(crate) turn: Option<u64>,
    /// The instance that the message is for.
    #[serde(borrow)]
    pub(crate) node_id: Option<Cow<'a, str>>,
    /// A request's id, 16 hex digits.
    #[serde(borrow)]
    pub(crate) req: Option<Cow<'a, str>>,
    /// A worker's name.
    #[serde(borrow)]
    pub(crate) executor: Option<Cow<'a, str>>,
    /// What a timer was started with.
    #[serde(borrow)]
    pub(crate) cookie: Option<Cow<'a, str>>,
    /// The kind of an endpoint update.
    #[serde(borrow)]
    pub(crate) mode: Option<Cow<'a, str>>,
    /// An endpoint update's version.
    pub(crate) serial: Option<u64>,
    /// The endpoints of an update.
    #[serde(borrow)]
    pub(crate) nodes_list: Option<Vec<Entry<'a>>>,
    /// The seed of an instance's random numbers.
    pub(crate) prng: Option<u64>,
    /// An instance's settings, in the platform's JSON.
    #[serde(borrow)]
    pub(crate) params: Option<&'a RawValue>,
    /// How many slots a request takes.
    pub(crate) width: Option<f64>,
    /// A request's tenant.
    pub(crate) org: Option<u32>,
    /// A request's class.
    pub(crate) category: Option<u32>,
    /// The time until a request's deadline, in seconds.
    pub(crate) expires_in_s: Option<f64>,
    /// The client's estimate of a request's work, in seconds.
    pub(crate) work_s: Option<f64>,
    /// An attempt's number.
    #[serde(rename = "try")]
    pub(crate) attempt: Option<u32>,
    /// The kind of progress of an attempt.
    pub(crate) what: Option<u32>,
    /// The part of an attempt's work that is done.
    pub(crate) level: Option<f64>,
    /// Whether a request has ended with this attempt.
    pub(crate) over: Option<bool>,
    /// An outcome's code.
    pub(crate) state_code: Option<u32>,
    /// How long an attempt took, in seconds.
    pub(crate) elapsed_s: Option<f64>,
    /// A worker's load.
    pub(crate) load: Option<Load>,
}

/// One endpoint of a `topology` message.
#[derive(Deserialize)]
pub(crate) struct Entry<'a> {
    /// The worker's name.
    #[serde(borrow)]
    pub(crate) executor: Cow<'a, str>,
    /// Its zone.
    pub(crate) dc: Option<u32>,
    /// Its kind of machine.
    pub(crate) class_of_host: Option<u32>,
    /// Its cell.
    pub(crate) cluster: Option<u32>,
    /// Whether it takes work.
    #[serde(borrow)]
    pub(crate) status: Cow<'a, str>,
    /// Its last start, in seconds.
    pub(crate) online_since_s: Option<f64>,
    /// Its size.
    pub(crate) nominal: Option<f64>,
}

/// A worker's own figures.
#[derive(Deserialize)]
pub(crate) struct Load {
    /// Attempts that run.
    pub(crate) active: Option<f64>,
    /// Attempts that wait.
    pub(crate) waiting: Option<f64>,
    /// Utilization.
    pub(crate) cpu: Option<f64>,
    /// Requests a second.
    pub(crate) rps: Option<f64>,
    /// Free slots.
    pub(crate) x0: Option<f64>,
}

impl Line<'_> {
    /// The value of a field that this kind of message needs; `field` is its name on the wire.
    pub(crate) fn required<T>(&self, value: Option<T>, field: &'static str) -> Result<T, MessageError> {
        value.ok_or_else(|| MessageError::MissingField { kind: self.kind.to_string(), field })
    }
}
