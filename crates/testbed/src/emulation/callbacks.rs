//! Workers' callbacks to the schedulers, and the forms in which workers send their load.
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::LoadReport;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::emulation::environment::Environment;
use crate::emulation::messages::{Callback, CallbackState};
use crate::http_client::{HttpClient, read_body};

/// How often a worker tries a callback, the first time included.
const CALLBACK_ATTEMPTS: u32 = 10;
/// The wait between two tries.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A callback that has no response by then is tried again.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(2);

/// The result that a worker makes for a request.
pub(crate) fn expected_result(request: u64) -> String {
    format!("result of {request:016x}")
}

impl Environment {
    /// Delivers a callback after its delay, again after each failure until the tries are used up or the
    /// scheduler is down, and twice where it is duplicated.
    pub(crate) async fn deliver_callback(self: Rc<Self>, callback: Callback) {
        sleep(Duration::from_micros(callback.delay)).await;
        let body = Bytes::from(callback_body(&callback).to_string());
        let scheduler = &self.schedulers[callback.scheduler as usize];
        let mut remaining = 1 + u32::from(callback.is_duplicated);
        for _ in 0..CALLBACK_ATTEMPTS {
            if !scheduler.is_up.get() {
                return;
            }
            let url = format!("http://{}/_jobs/news", scheduler.address);
            let Ok(request) = Request::post(url).body(Full::new(body.clone())) else { return };
            if matches!(timeout(CALLBACK_TIMEOUT, send(&self.client, request)).await, Ok(Some(_))) {
                remaining -= 1;
                if remaining == 0 {
                    return;
                }
            } else {
                sleep(CALLBACK_RETRY_DELAY).await;
            }
        }
    }
}

async fn send(client: &HttpClient, request: Request<Full<Bytes>>) -> Option<Bytes> {
    let response = client.request(request).await.ok()?;
    read_body(response.into_body()).await.ok()
}

fn callback_body(callback: &Callback) -> Value {
    let mut body =
        json!({"id": format!("{:016x}", callback.request), "from": format!("w-{}", callback.worker)});
    body["state"] = state_name(&callback.state).into();
    match &callback.state {
        CallbackState::Running(share) => body["share"] = (*share).into(),
        CallbackState::Done(report) => {
            body["result"] = expected_result(callback.request).into();
            body["load"] = load_report_json(report);
        }
        CallbackState::Returned(report) => body["load"] = load_report_json(report),
        CallbackState::Started | CallbackState::Lost | CallbackState::Failed => {}
    }
    body
}

fn state_name(state: &CallbackState) -> &'static str {
    match state {
        CallbackState::Started => "started",
        CallbackState::Running(_) => "running",
        CallbackState::Done(_) => "done",
        CallbackState::Returned(_) => "returned",
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

/// A load report as a JSON object.
pub(crate) fn load_report_json(report: &LoadReport) -> Value {
    load_report_fields(report).map(|(name, value)| (name.to_owned(), value)).collect()
}

/// A load report as a header's value.
pub(crate) fn load_report_header(report: &LoadReport) -> String {
    let parts = load_report_fields(report).map(|(name, value)| format!("{name}={value:.4}"));
    format!("TEXT {}", parts.collect::<Vec<_>>().join(", "))
}
