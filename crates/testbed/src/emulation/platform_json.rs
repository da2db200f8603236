//! Writes what discovery and workers send to schedulers, in the platform's JSON: endpoint lists, callbacks
//! and load reports.
use std::net::SocketAddr;

use copperspread_dispatcher::{LoadReport, WorkerId, WorkerState};
use serde_json::{Value, json};

use crate::emulation::messages::CallbackState;
use crate::emulation::scheduler_config::zone_name;

/// One endpoint of a list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointRecord<'a> {
    /// The worker.
    pub worker: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// Its kind.
    pub kind: &'a str,
    /// Its cell.
    pub cell: u32,
    /// Whether it accepts jobs.
    pub state: WorkerState,
    /// When its process started, in milliseconds of Unix time; 0 where that is not known.
    pub started_at_unix_ms: u64,
}

impl EndpointRecord<'_> {
    /// The endpoint as a member of a list.
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

/// A list of endpoints, or of those that changed where it is not complete.
pub(crate) fn endpoint_list_json(revision: u64, is_complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": is_complete, "members": members})
}

/// A callback's body. A load report belongs to a callback that ends the attempt, where the worker sends one.
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

/// The result that a worker makes for a request.
pub(crate) fn expected_result(request: u64) -> String {
    format!("result of {}", request_name(request))
}

/// A load report as a JSON object.
pub(crate) fn load_report_json(report: &LoadReport) -> Value {
    load_report_fields(report).map(|(name, value)| (name.to_owned(), value)).collect()
}

/// A load report as a header's value.
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

/// A load report's figures that are known, by the platform's names.
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
