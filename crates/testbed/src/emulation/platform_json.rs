//! Writes endpoint lists, callbacks and load reports in the JSON format that is used in production. There,
//! schedulers run on a hosting platform, whose part the emulation plays.
use std::net::SocketAddr;

use copperspread_dispatcher::{LoadReport, WorkerId, WorkerState};
use serde_json::{Value, json};

use crate::emulation::messages::CallbackState;
use crate::emulation::scheduler_config::zone_name;

/// A worker's entry in an endpoint list. The fields are those that an entry has in production, where the
/// hosting platform serves the endpoint list to the schedulers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointRecord<'a> {
    /// Index of the worker in the fleet. The id of the endpoint is `w-` followed by this index.
    pub worker: WorkerId,
    /// Address at which the worker listens.
    pub address: SocketAddr,
    /// Index of the zone to which the worker belongs.
    pub zone: u32,
    /// The kind of the worker, as the scenario names it for the worker's group.
    pub kind: &'a str,
    /// Index of the worker's cell, which is a group of workers that share a store of idempotency keys.
    pub cell: u32,
    /// Whether the worker is ready, draining or removed.
    pub state: WorkerState,
    /// Start time of the worker process, in milliseconds of Unix time; 0 if the time is unknown.
    pub started_at_unix_ms: u64,
}

impl EndpointRecord<'_> {
    /// Serializes this entry for the `members` of an endpoint list.
    pub(crate) fn to_json(self) -> Value {
        let phase = match self.state {
            WorkerState::Ready => "SERVING",
            WorkerState::Draining => "DRAINING",
            WorkerState::Removed => "DELETED",
        };
        json!({
            "id": worker_name(self.worker),
            "host_port": self.address.to_string(),
            "locality": zone_name(self.zone),
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.started_at_unix_ms,
        })
    }
}

/// Serializes an endpoint list. If `is_complete`, `members` has all endpoints; otherwise only those that
/// changed.
pub(crate) fn endpoint_list_json(revision: u64, is_complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": is_complete, "members": members})
}

/// Serializes the body of a callback, with the worker's load report if there is one.
pub(crate) fn callback_json(
    request: u64,
    worker: WorkerId,
    state: CallbackState,
    load: Option<&LoadReport>,
) -> Value {
    let mut body =
        json!({"id": request_name(request), "from": worker_name(worker), "state": state_name(state)});
    match state {
        CallbackState::Running(share) => body["share"] = share.into(),
        CallbackState::Done => body["result"] = expected_result(request).into(),
        CallbackState::Started | CallbackState::Returned | CallbackState::Lost | CallbackState::Failed => {}
    }
    if let Some(report) = load {
        body["load"] = load_report_json(report);
    }
    body
}

/// Returns the result that a worker produces for a request. Clients compare each response with this text to
/// find forged results.
pub(crate) fn expected_result(request: u64) -> String {
    format!("result of {}", request_name(request))
}

/// Serializes a load report as a JSON object.
pub(crate) fn load_report_json(report: &LoadReport) -> Value {
    load_report_fields(report).map(|(name, value)| (name.to_owned(), value)).collect()
}

/// Serializes a load report as the value of an HTTP header.
pub(crate) fn load_report_header(report: &LoadReport) -> String {
    let parts = load_report_fields(report).map(|(name, value)| format!("{name}={value:.4}"));
    format!("TEXT {}", parts.collect::<Vec<_>>().join(", "))
}

fn request_name(request: u64) -> String {
    format!("{request:016x}")
}

fn worker_name(worker: WorkerId) -> String {
    format!("w-{}", worker.0)
}

fn state_name(state: CallbackState) -> &'static str {
    match state {
        CallbackState::Started => "started",
        CallbackState::Running(_) => "running",
        CallbackState::Done => "done",
        CallbackState::Returned => "returned",
        CallbackState::Lost => "lost",
        CallbackState::Failed => "failed",
    }
}

/// Returns the values that a load report has, each with the name of the field in JSON and in the HTTP header.
/// Absent values are left out.
fn load_report_fields(report: &LoadReport) -> impl Iterator<Item = (&'static str, f64)> {
    let fields = [
        ("x0", report.free_slots),
        ("queue", report.queue),
        ("util", report.utilization),
        ("qps", report.qps),
        ("inflight", report.in_flight),
    ];
    fields.into_iter().filter_map(|(name, value)| Some((name, value?)))
}
