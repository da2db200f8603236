//! HTTP request handlers of a worker: attempts, cancellations and load queries.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{LoadReport, Micros, WorkerId};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::sleep;

use crate::emulation::environment::{Environment, HttpResponse};
use crate::emulation::faulty_socket::ResponseFault;
use crate::emulation::messages::{AttemptResponse, LoadQueryResponse};
use crate::emulation::platform_json::{load_report_header, load_report_json};
use crate::http_client::read_body;

/// The start of response 202, as long as the part that is written before a fault resets the connection. Only
/// the length of this text is used. The written bytes come from the HTTP library.
const TRUNCATED_RESPONSE: &[u8] = b"HTTP/1.1 202 Acc";
/// Path of a load query whose response carries a load report.
const LOAD_PATH: &str = "/-/load";
/// Path of a load query that asks only whether the worker is healthy.
const HEALTH_PATH: &str = "/-/healthy";

/// Creates an HTTP response that has a status but no body.
pub(super) fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Handles an HTTP request to a worker and returns the response. Sets `fault` if a fault must be injected
/// into the response.
pub(super) async fn handle_request(
    environment: &Rc<Environment>,
    worker: WorkerId,
    request: Request<Incoming>,
    fault: &Cell<ResponseFault>,
) -> HttpResponse {
    let path = request.uri().path();
    if request.method() == Method::DELETE {
        return handle_cancellation(environment, worker, path);
    }
    if request.method() == Method::GET && matches!(path, LOAD_PATH | HEALTH_PATH) {
        return handle_load_query(environment, worker, path == LOAD_PATH, fault).await;
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    handle_attempt(environment, worker, id, request.into_body(), fault).await
}

/// Handles the cancellation of a request, which is `DELETE /jobs/ID`. `ID` is the request's id.
fn handle_cancellation(environment: &Rc<Environment>, worker: WorkerId, path: &str) -> HttpResponse {
    let id = path.strip_prefix("/jobs/").and_then(|id| u64::from_str_radix(id, 16).ok());
    if let Some(id) = id {
        environment.apply(|state| state.cancel_request(id, worker));
        environment.wake_worker(worker);
    }
    empty_response(StatusCode::OK)
}

async fn handle_attempt(
    environment: &Rc<Environment>,
    worker: WorkerId,
    request_id: u64,
    body: Incoming,
    fault: &Cell<ResponseFault>,
) -> HttpResponse {
    let head_arrived_at = environment.now();
    let network_delay = environment.apply(|state| state.attempt_arrives(request_id, worker));
    if read_body(body).await.is_err() {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    wait(network_delay).await;
    let response = environment.apply(|state| state.receive_attempt(request_id, worker, head_arrived_at));
    environment.wake_worker(worker);
    wait(network_delay).await;
    match response {
        AttemptResponse::Accepted => empty_response(StatusCode::ACCEPTED),
        AttemptResponse::AcceptedThenReset => {
            fault.set(ResponseFault::Truncate(TRUNCATED_RESPONSE.len()));
            empty_response(StatusCode::ACCEPTED)
        }
        AttemptResponse::Rejected(report) => rejection(&report),
        AttemptResponse::UnknownRequest => empty_response(StatusCode::BAD_REQUEST),
        AttemptResponse::Reset => reset(fault),
        AttemptResponse::Garbage => garbage(fault),
    }
}

async fn wait(network_delay: Micros) {
    if network_delay > 0 {
        sleep(Duration::from_micros(network_delay)).await;
    }
}

/// Builds response 503 with the worker's load report. The header `x-not-processed` guarantees that the worker
/// does not run the job.
fn rejection(report: &LoadReport) -> HttpResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("x-not-processed", HeaderValue::from_static("1"));
    if let Ok(load) = load_report_header(report).parse() {
        response.headers_mut().insert("x-server-load", load);
    }
    response
}

fn reset(fault: &Cell<ResponseFault>) -> HttpResponse {
    fault.set(ResponseFault::Reset);
    Response::new(Full::new(Bytes::from_static(b"never written")))
}

/// Sets `fault` so that bytes that are not HTTP are written in place of the response. Returns a placeholder
/// response, of which nothing is written.
fn garbage(fault: &Cell<ResponseFault>) -> HttpResponse {
    fault.set(ResponseFault::Garbage);
    empty_response(StatusCode::ACCEPTED)
}

/// Handles a load query. Returns response 200 or an error status. If `wants_report`, response 200 has the
/// worker's load report.
async fn handle_load_query(
    environment: &Rc<Environment>,
    worker: WorkerId,
    wants_report: bool,
    fault: &Cell<ResponseFault>,
) -> HttpResponse {
    let response = environment.apply(|state| state.receive_load_query(worker));
    environment.wake_worker(worker);
    match response {
        LoadQueryResponse::AfterDelay(delay) => sleep(Duration::from_micros(delay)).await,
        LoadQueryResponse::Queued(finished) => {
            if finished.await.is_err() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        LoadQueryResponse::Unavailable => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
        LoadQueryResponse::NotFound => return empty_response(StatusCode::NOT_FOUND),
        LoadQueryResponse::Failed => return empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        LoadQueryResponse::Reset => return reset(fault),
        LoadQueryResponse::Garbage => return garbage(fault),
    }
    if !wants_report {
        return empty_response(StatusCode::OK);
    }
    let report = environment.apply(|state| state.queried_load_report(worker));
    Response::new(Full::from(load_report_json(&report).to_string()))
}
