//! The HTTP/1.1 protocol of the clients: the routes, the parsing of requests, and the encoding of final
//! responses.
//!
//! No other module depends on the details of this protocol.
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::header;
use axum::http::request::Parts;
use axum::http::{Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Router};
use copperspread_dispatcher::{Micros, SECOND};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

use crate::body_collector::{BodyCollector, CollectError, CollectedBody};
use crate::context::ProxyContext;
use crate::descriptors::DescriptorBudget;
use crate::downstream::client_connections::ClientListener;
use crate::downstream::http::request_head::{RequestHead, copy_path, end_to_end_headers, parse_head};
use crate::downstream::request_limits::RequestLimits;
use crate::invariant::{EventSubject, count_event, count_event_for};
use crate::memory::{MemoryReservation, MemoryUse};
use crate::messages::{AdmissionRequest, FinalResponse, UpstreamRequest};
use crate::request_task;
use crate::shutdown::effective_deadline;

pub mod request_head;

/// The route to which workers send callbacks. The route is on the listener for clients, because workers can
/// call no other address of the scheduler.
#[derive(Clone)]
pub struct CallbackRoute {
    /// The path to which workers send callbacks, with `POST`.
    pub path: &'static str,
    /// The function that is called with the body of each callback.
    pub handle: Arc<CallbackHandler>,
}

/// The type of a function that handles the body of one callback. The function takes over the reservation of
/// the body's memory, and keeps as much of it as the callback's result needs. It returns an error if the body
/// is not a valid callback.
pub type CallbackHandler =
    dyn Fn(&[u8], Option<MemoryReservation>) -> Result<(), Box<dyn Error + Send + Sync>> + Send + Sync;

/// An additional page with information about the process. It is served on the listener for clients, as
/// `/-/ready` is.
#[derive(Clone)]
pub struct StatusPage {
    /// The path at which the status page is read, with `GET`.
    pub path: &'static str,
    /// Returns the status page as JSON text. Called for each request of the page, and must not block.
    pub render_json: Arc<dyn Fn() -> String + Send + Sync>,
}

/// Creates a listener that accepts client connections on `listener` and answers their requests.
///
/// The connections take their file descriptors and their memory from `descriptors`.
pub fn listen(
    context: Arc<ProxyContext>,
    callbacks: CallbackRoute,
    pages: &[StatusPage],
    listener: TcpListener,
    descriptors: Arc<DescriptorBudget>,
) -> Arc<ClientListener> {
    let shutdown = context.shutdown.clone();
    let callback_path = callbacks.path;
    let router = routes(context, callbacks, pages);
    ClientListener::new(router, callback_path, shutdown, listener, descriptors)
}

/// Builds the router for client requests, workers' callbacks and status pages.
pub fn routes(context: Arc<ProxyContext>, callbacks: CallbackRoute, pages: &[StatusPage]) -> Router {
    let router = Router::new()
        .route(callbacks.path, post(handle_callback).with_state(callbacks))
        .route("/-/ready", get(readiness))
        .fallback(handle_request)
        .with_state(context);
    pages.iter().fold(router, |router, StatusPage { path, render_json }| {
        let render_json = Arc::clone(render_json);
        let render = move || async move { ([(header::CONTENT_TYPE, "application/json")], render_json()) };
        router.route(path, get(render))
    })
}

async fn readiness(State(context): State<Arc<ProxyContext>>) -> StatusCode {
    if context.shutdown.is_started() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
}

/// Reads the body of a request. The body's length, the time until it is received, and the memory for all
/// bodies are limited.
///
/// # Errors
///
/// Returns the status of the response: 413 for a body that is too long, 400 for a body that cannot be read,
/// and 408 for a body that is not received by its deadline, or for which there is no memory until then.
async fn read_body(
    body: Body,
    limits: &RequestLimits,
    memory_use: MemoryUse,
) -> Result<CollectedBody, StatusCode> {
    let collected = BodyCollector::new(&limits.memory, memory_use).collect(body);
    match timeout_at(limits.body_deadline, collected).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::TooLong)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(CollectError::Unreadable)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Handles a callback, by which a worker reports the progress or the end of an attempt. A valid callback gets
/// the same response even if the client's request to which the attempt belongs has already completed.
async fn handle_callback(
    State(callbacks): State<CallbackRoute>,
    Extension(limits): Extension<RequestLimits>,
    request: Request,
) -> StatusCode {
    let body = match read_body(request.into_body(), &limits, MemoryUse::Callback).await {
        Ok(body) => body,
        Err(status) => return status,
    };
    match (callbacks.handle)(&body.bytes, body.reservation) {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(error) => {
            count_event("bad call-back", &error.to_string());
            StatusCode::BAD_REQUEST
        }
    }
}

/// Handles a client's request and waits for its final response.
async fn handle_request(
    State(context): State<Arc<ProxyContext>>,
    Extension(limits): Extension<RequestLimits>,
    request: Request,
) -> Response {
    match receive(&context, limits, request).await {
        Ok(admission) => {
            let mut response = request_task::spawn(&context, admission);
            render(&context, response.final_response().await)
        }
        Err(refusal) => refusal.into_response(),
    }
}

/// Why a client's request was refused before it was passed to the dispatch policy.
///
/// A refused request does not count as rejected: only the policy rejects requests.
enum RefusedRequest {
    UnknownClass,
    MethodNotAllowed,
    InvalidHead,
    Body(StatusCode),
}

impl IntoResponse for RefusedRequest {
    fn into_response(self) -> Response {
        match self {
            RefusedRequest::UnknownClass => StatusCode::NOT_FOUND.into_response(),
            RefusedRequest::MethodNotAllowed => {
                (StatusCode::METHOD_NOT_ALLOWED, [(header::ALLOW, "POST")]).into_response()
            }
            RefusedRequest::InvalidHead => StatusCode::BAD_REQUEST.into_response(),
            RefusedRequest::Body(status) => status.into_response(),
        }
    }
}

/// Reads a client's request with its body, and computes the request's deadline.
async fn receive(
    context: &ProxyContext,
    mut limits: RequestLimits,
    request: Request,
) -> Result<AdmissionRequest, RefusedRequest> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let RequestHead { mut request, id, idempotency } = parse_client_head(context, &parts)?;
    let client_deadline = received_at + Duration::from_micros(request.time_left);
    let shutdown = context.shutdown.watch();
    limits.body_deadline = limits.body_deadline.min(effective_deadline(client_deadline, &shutdown));
    // The parsed head keeps the read buffer that it was received in. What is needed of it is therefore copied
    // before the body is awaited.
    let path = parts.uri.path_and_query().and_then(copy_path).ok_or(RefusedRequest::InvalidHead)?;
    let headers = end_to_end_headers(&parts.headers);
    drop(parts);
    let body = read_body(body, &limits, MemoryUse::RequestBody).await.map_err(RefusedRequest::Body)?;
    limits.mark_request_complete();
    // A shutdown may have begun while the body was received. A request that is not answered by the shutdown's
    // drain deadline would fail. The deadline and the remaining time are therefore computed only now, and the
    // deadline is at the latest the drain deadline. If the remaining time is too short, the policy can reject
    // the request, so that the client retries at another scheduler.
    let deadline = effective_deadline(client_deadline, &shutdown);
    request.time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
    let upstream_request = UpstreamRequest {
        id,
        path,
        headers,
        idempotency,
        body: body.into_bytes(),
        client: limits.client_presence(),
    };
    Ok(AdmissionRequest { request, deadline, upstream_request })
}

/// Parses the head of a client's request: the request class from the path, and the headers.
fn parse_client_head(context: &ProxyContext, parts: &Parts) -> Result<RequestHead, RefusedRequest> {
    let class_name = parts.uri.path().split('/').nth(1).unwrap_or_default();
    let mut classes = context.settings.classes.iter();
    let class = classes.position(|name| name == class_name && !name.is_empty());
    let class = class.ok_or(RefusedRequest::UnknownClass)?;
    if parts.method != Method::POST {
        return Err(RefusedRequest::MethodNotAllowed);
    }
    parse_head(&parts.headers, class as u32, &context.settings).map_err(|error| {
        let subject = EventSubject { class: Some(class_name), ..EventSubject::default() };
        count_event_for("bad request", &error.to_string(), subject);
        RefusedRequest::InvalidHead
    })
}

/// Encodes the final response to a client's request. Status 503 is sent only if the policy rejected the
/// request.
fn render(context: &ProxyContext, response: FinalResponse) -> Response {
    match response {
        FinalResponse::Served(result) => result.into_response(),
        FinalResponse::Rejected { retry_after } => {
            // During a shutdown, `Retry-After` is 0, so that the client retries at once. Another scheduler
            // may have capacity now.
            let retry_after = if context.shutdown.is_started() { 0 } else { retry_after };
            let seconds = retry_after.min(context.settings.max_retry_after) as f64 / SECOND as f64;
            (StatusCode::SERVICE_UNAVAILABLE, [(header::RETRY_AFTER, seconds.to_string())]).into_response()
        }
        FinalResponse::Failed => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        FinalResponse::Duplicate => StatusCode::BAD_REQUEST.into_response(),
    }
}
