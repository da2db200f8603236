//! The clients' side: routes, what requests hold and the form of answers. Only this file knows the
//! protocol that clients speak.
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes, to_bytes};
use axum::extract::{Request, State};
use axum::http::header;
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Router};
use copperspread_dispatcher::*;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

use crate::context::ProxyContext;
use crate::downstream::client_connection::{ClientConnections, LONGEST_BODY, RequestLimits};
use crate::invariant::note;
use crate::messages::{AdmissionRequest, BodyPermit, FinalResponse, UpstreamRequest, parse_request_id};
use crate::request_task;
use crate::shutdown::effective_deadline;

/// An answer is due this long before the client gives up: it covers the way of both messages and
/// this process's own waits for its part of a core.
const MARGIN: Micros = 50_000;
/// Longest time that a client is believed to wait.
const LONGEST_WAIT: Micros = 86_400 * SECOND;
/// Headers that concern one connection only and do not pass on.
const OF_THE_CONNECTION: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Messages of another protocol that come to the clients' address: real servers have no other one to
/// call back at.
#[derive(Clone)]
pub struct CallbackRoute {
    /// Where they come, by `POST`.
    pub path: &'static str,
    /// What takes them.
    pub take: Arc<CallbackHandler>,
}

/// Takes one message; the error says in words why it is none.
pub type CallbackHandler = dyn Fn(&[u8]) -> Result<(), String> + Send + Sync;

/// A page of the program's own at the clients' address, beside `/-/ready`.
#[derive(Clone)]
pub struct StatusPage {
    /// Where it is, by `GET`.
    pub path: &'static str,
    /// Its text, JSON, made on each request; it waits for nothing.
    pub json: Arc<dyn Fn() -> String + Send + Sync>,
}

/// The front that speaks the platform's HTTP/1.1, on a listener and within the limits.
pub fn front(
    node: Arc<ProxyContext>,
    guest: CallbackRoute,
    pages: &[StatusPage],
    listener: TcpListener,
    sockets: usize,
    memory_mb: f64,
) -> Arc<ClientConnections> {
    let ending = node.shutdown.clone();
    let guest_path = guest.path;
    ClientConnections::new(routes(node, guest, pages), guest_path, ending, listener, sockets, memory_mb)
}

/// What is answered where.
pub fn routes(node: Arc<ProxyContext>, guest: CallbackRoute, pages: &[StatusPage]) -> Router {
    let own = Router::new()
        .route(guest.path, post(call_back).with_state(guest))
        .route("/-/ready", get(ready))
        .fallback(job)
        .with_state(node);
    pages.iter().fold(own, |own, StatusPage { path, json }| {
        let json = Arc::clone(json);
        let answer = move || async move { ([(header::CONTENT_TYPE, "application/json")], json()) };
        own.route(path, get(answer))
    })
}

async fn ready(State(node): State<Arc<ProxyContext>>) -> StatusCode {
    if node.shutdown.has_begun() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
}

/// Reads a body within its bound, its deadline and the room for bodies.
async fn read_body(body: Body, terms: &RequestLimits) -> Result<(Bytes, BodyPermit), StatusCode> {
    let size = hyper::body::Body::size_hint(&body);
    // A length that is announced too large is not waited for.
    if size.lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let most = size.upper().map_or(LONGEST_BODY, |most| most as usize);
    let whole = async { (terms.room(most).await, to_bytes(body, LONGEST_BODY).await) };
    match timeout_at(terms.body_by, whole).await {
        Ok((room, Ok(body))) => Ok((body, room)),
        Ok((_, Err(error))) => {
            let too_large = std::error::Error::source(&error)
                .is_some_and(|source| source.is::<http_body_util::LengthLimitError>());
            Err(if too_large { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST })
        }
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// A guest's message. One that belongs to nothing any more is answered like the rest.
async fn call_back(
    State(guest): State<CallbackRoute>,
    Extension(terms): Extension<RequestLimits>,
    request: Request,
) -> StatusCode {
    let (body, _room) = match read_body(request.into_body(), &terms).await {
        Ok(read) => read,
        Err(status) => return status,
    };
    match (guest.take)(&body) {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(why) => {
            note("bad call-back", &why);
            StatusCode::BAD_REQUEST
        }
    }
}

/// A client hands in a job and waits for its result.
async fn job(
    State(node): State<Arc<ProxyContext>>,
    Extension(mut terms): Extension<RequestLimits>,
    request: Request,
) -> Response {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let class = head.uri.path().split('/').nth(1).unwrap_or_default();
    let Some(class) = node.settings.classes.iter().position(|name| name == class && !name.is_empty()) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if head.method != Method::POST {
        return (StatusCode::METHOD_NOT_ALLOWED, [(header::ALLOW, "POST")]).into_response();
    }
    let effect = node.settings.idempotency[class];
    let demanded = read_head(&head.headers, class as u32, &node.settings.tenants).and_then(|read| {
        // Guards against a keyed job that no real server can tell from another.
        let keyless = matches!(effect, Idempotency::IdempotentWithKey { .. })
            && !head.headers.contains_key("idempotency-key");
        if keyless { Err("no Idempotency-Key".into()) } else { Ok(read) }
    });
    let Ok((mut job, id)) = demanded.map_err(|why| note("bad request", &why)) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    // Guards against a job that comes while this node ends, cannot end here in time, and would fail then:
    // the module is told of the time that there is, and a client that is turned away can go elsewhere.
    let deadline = effective_deadline(arrived + Duration::from_micros(job.time_left), &node.shutdown.watch());
    job.time_left = deadline.saturating_duration_since(arrived).as_micros() as Micros;
    terms.body_by = terms.body_by.min(deadline);
    let (body, room) = match read_body(body, &terms).await {
        Ok(read) => read,
        Err(status) => return status.into_response(),
    };
    terms.whole();
    let Some(path) = head.uri.path_and_query().cloned() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let order = UpstreamRequest {
        id,
        path,
        headers: passed_on(head.headers),
        idempotency: effect,
        body,
        body_permit: room,
    };
    let mut held =
        request_task::spawn(&node, AdmissionRequest { request: job, deadline, upstream_request: order });
    answer(&node, held.answer().await)
}

/// The job that a request's headers describe, and the request's id as written.
fn read_head(
    headers: &HeaderMap,
    class: u32,
    tenants: &[String],
) -> Result<(IncomingRequest, String), String> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    // Guards against two ids, or two deadlines, of which the next reader may choose the other.
    for name in ["x-request-id", "x-timeout"] {
        if headers.get_all(name).iter().count() > 1 {
            return Err(format!("{name} comes twice"));
        }
    }
    let id = text("x-request-id").ok_or("no X-Request-ID")?;
    let request = parse_request_id(id).ok_or_else(|| format!("X-Request-ID {id:?}"))?;
    let timeout = text("x-timeout").ok_or("no X-Timeout")?;
    let left = read_timeout(timeout).ok_or_else(|| format!("X-Timeout {timeout:?}"))?;
    let hint = text("x-cost").and_then(|cost| cost.parse::<f64>().ok());
    let job = IncomingRequest {
        request,
        class,
        tenant: text("x-tenant-id").map_or(tenants.len(), |of| which(of, tenants)) as u32,
        slots: text("x-attrs").and_then(|attrs| attribute(attrs, &["width", "slots"])),
        cost_hint: hint.map(|micros| micros / SECOND as f64),
        time_left: left.saturating_sub(MARGIN.min(left / 4)),
    };
    Ok((job, id.to_owned()))
}

/// Which tenant a header names, by its name or number; one that nobody knows counts as none, which is the
/// number after the last.
fn which(tenant: &str, tenants: &[String]) -> usize {
    let named = tenants.iter().position(|name| name == tenant);
    named.or_else(|| tenant.parse().ok()).unwrap_or(tenants.len()).min(tenants.len())
}

/// A number and a unit: `m` for milliseconds, `u` for microseconds. Absurd figures are cut.
pub fn read_timeout(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1e3,
        "u" => 1.0,
        _ => return None,
    };
    let plain = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let span: f64 = number.parse().ok().filter(|_| plain)?;
    Some(((span * scale) as Micros).min(LONGEST_WAIT))
}

/// One of the further figures, `name=value,name=value`; a garbled one counts as absent.
pub fn attribute(attrs: &str, names: &[&str]) -> Option<f64> {
    let pairs = attrs.split(',').filter_map(|pair| pair.split_once('='));
    let mut of_name = pairs.filter(|(name, _)| names.contains(&name.trim()));
    of_name.next().and_then(|(_, value)| value.trim().parse().ok())
}

/// The headers that pass on to a real server: all that do not concern the edge connection.
fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    for name in OF_THE_CONNECTION {
        headers.remove(name);
    }
    headers
}

/// The form of a final answer. 503 is said only where the module refused.
fn answer(node: &ProxyContext, answer: FinalResponse) -> Response {
    match answer {
        FinalResponse::Served(result) => result.into_response(),
        FinalResponse::Rejected { retry_after } => {
            // Guards against a client that waits for a node that ends: others may have room now.
            let retry_after = if node.shutdown.has_begun() { 0 } else { retry_after };
            let after = retry_after.min(node.settings.max_retry_after) as f64 / SECOND as f64;
            (StatusCode::SERVICE_UNAVAILABLE, [(header::RETRY_AFTER, after.to_string())]).into_response()
        }
        FinalResponse::Failed => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        FinalResponse::Duplicate => StatusCode::BAD_REQUEST.into_response(),
    }
}
