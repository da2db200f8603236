//! The clients' side: edge connections, routes and the form of answers. Only this file knows the
//! protocol that clients speak.
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes, to_bytes};
use axum::extract::{Request, State};
use axum::http::header::{self, HeaderValue};
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep_until, timeout_at};
use tower_service::Service;

use crate::interface::*;
use crate::net::Node;
use crate::net::clock::from_now;
use crate::net::flow::{self, Answer, Demand};
use crate::net::invariant::note;
use crate::net::real_server::{self, Order};

/// Longest body of a request.
const LONGEST_BODY: usize = 64 * 1024;
/// An answer is due this long before the client gives up: it covers the way of both messages and
/// this process's own waits for its part of a core.
const MARGIN: Micros = 50_000;
/// Longest time that a client is believed to wait.
const LONGEST_WAIT: Micros = 86_400 * SECOND;
/// A call-back's body that has not come by then is dropped.
const CALL_BACK_WITHIN: Micros = 2 * SECOND;
/// An edge connection that sends no request for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// Most bytes buffered for one edge connection.
const BUFFER: usize = 16 * 1024;
/// Most bytes that one edge connection holds on to: a request's body, a result and its buffers.
const WEIGHT: usize = 2 * LONGEST_BODY + 2 * BUFFER;
/// Wait after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Micros = 20_000;
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

/// The node's own ending: when it has begun, the instant by which all is answered.
pub struct Ending {
    by: watch::Sender<Option<Instant>>,
}

/// A flow's view of the ending.
pub type EndingWatch = watch::Receiver<Option<Instant>>;

impl Default for Ending {
    fn default() -> Self {
        Ending { by: watch::Sender::new(None) }
    }
}

impl Ending {
    /// Begins the ending: all is answered by this instant.
    pub fn begin(&self, by: Instant) {
        self.by.send_replace(Some(by));
    }

    /// Whether it has begun.
    pub fn begun(&self) -> bool {
        self.by.borrow().is_some()
    }

    /// Tells when it begins.
    pub fn watch(&self) -> EndingWatch {
        self.by.subscribe()
    }
}

/// A deadline, or the end of the node if that comes first.
pub fn earlier(deadline: Instant, ending: &EndingWatch) -> Instant {
    (*ending.borrow()).map_or(deadline, |by| by.min(deadline))
}

/// The descriptors that edge connections may use, and how many do.
pub struct Edge {
    node: Arc<Node>,
    router: Router,
    places: Arc<Semaphore>,
    most: usize,
    busy: AtomicUsize,
}

impl Edge {
    /// The edge of a node within its limits.
    pub fn new(node: Arc<Node>, sockets: usize, memory_mb: f64) -> Arc<Edge> {
        let most = places(sockets, memory_mb);
        let router = routes(Arc::clone(&node));
        let places = Arc::new(Semaphore::new(most));
        Arc::new(Edge { node, router, places, most, busy: AtomicUsize::new(0) })
    }

    /// Requests that are being read or answered.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Edge connections are few enough that idle ones may stay.
    fn roomy(&self) -> bool {
        self.places.available_permits() > self.most / 4
    }

    /// The last places are left, which are kept for call-backs.
    fn crowded(&self) -> bool {
        self.places.available_permits() < self.most / 8
    }

    /// Takes edge connections for good.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok(place) = Arc::clone(&self.places).acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let edge = Arc::clone(&self);
                    tokio::spawn(async move {
                        edge.serve(stream).await;
                        drop(place);
                    });
                }
                Err(error) if of_one_connection(&error) => {}
                // Guards against an end, or a busy loop, when descriptors run out.
                Err(error) => {
                    note("no connection taken", &error.to_string());
                    sleep_until(from_now(ACCEPT_PAUSE)).await;
                }
            }
        }
    }

    /// Serves one edge connection until either side closes it.
    async fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let used = Arc::new(AtomicBool::new(false));
        let mine = Arc::clone(&used);
        let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
            let (edge, used) = (Arc::clone(self), Arc::clone(&mine));
            async move {
                let _busy = Busy::new(&edge.busy);
                let of_client = request.uri().path() != CALL_BACK_PATH;
                used.store(of_client, Ordering::Relaxed);
                let mut router = edge.router.clone();
                // Guards against clients that fill all places and shut the call-backs out on which
                // their answers wait. Not a refusal: those are the module's.
                let mut response = if of_client && edge.crowded() {
                    StatusCode::INTERNAL_SERVER_ERROR.into_response()
                } else {
                    match router.call(request.map(Body::new)).await {
                        Ok(response) => response,
                        Err(never) => match never {},
                    }
                };
                if edge.node.ending.begun() || !edge.roomy() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .max_buf_size(BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut ending = self.node.ending.watch();
        let old = !self.node.ending.begun();
        tokio::select! {
            _ = connection.as_mut() => {}
            // A client's connection closes once it is idle, so that its next request goes to
            // another scheduler. One that has sent nothing yet stays: its first request may be on
            // its way. So does a real server's, for its call-backs.
            _ = ending.changed(), if old => {
                if used.load(Ordering::Relaxed) {
                    connection.as_mut().graceful_shutdown();
                }
                let _ = connection.await;
            }
        }
    }
}

/// How many edge connections fit: a quarter of the descriptors is kept for real servers, discovery
/// and files, and half of the memory for all but bodies on their way.
fn places(sockets: usize, memory_mb: f64) -> usize {
    let by_sockets = (sockets - sockets / 4).saturating_sub(16);
    let by_memory = (memory_mb * 1e6 / 2.0) as usize / WEIGHT;
    by_sockets.min(by_memory).max(8)
}

struct Busy<'a>(&'a AtomicUsize);

impl Busy<'_> {
    fn new(count: &AtomicUsize) -> Busy<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        Busy(count)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn of_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(error.kind(), ConnectionAborted | ConnectionRefused | ConnectionReset | Interrupted)
}

const CALL_BACK_PATH: &str = "/_jobs/news";

fn routes(node: Arc<Node>) -> Router {
    Router::new()
        .route(CALL_BACK_PATH, post(call_back))
        .route("/-/ready", get(ready))
        .fallback(job)
        .with_state(node)
}

async fn ready(State(node): State<Arc<Node>>) -> StatusCode {
    if node.ending.begun() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
}

/// Reads a body within its bound and its deadline.
async fn read_body(body: Body, by: Instant) -> Result<Bytes, StatusCode> {
    // A length that is announced too large is not waited for.
    if hyper::body::Body::size_hint(&body).lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match timeout_at(by, to_bytes(body, LONGEST_BODY)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => {
            let too_large = std::error::Error::source(&error)
                .is_some_and(|source| source.is::<http_body_util::LengthLimitError>());
            Err(if too_large { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST })
        }
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// A real server tells of a scheduling. One that belongs to none any more is answered like the rest.
async fn call_back(State(node): State<Arc<Node>>, request: Request) -> StatusCode {
    let body = match read_body(request.into_body(), from_now(CALL_BACK_WITHIN)).await {
        Ok(body) => body,
        Err(status) => return status,
    };
    match real_server::read_call_back(&body) {
        Ok(told) => {
            if let Some(worker) = node.entries.worker(&told.from) {
                node.decisions.news(told.request, worker, told.news);
            }
            StatusCode::NO_CONTENT
        }
        Err(why) => {
            note("bad call-back", &why);
            StatusCode::BAD_REQUEST
        }
    }
}

/// A client hands in a job and waits for its result.
async fn job(State(node): State<Arc<Node>>, request: Request) -> Response {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let class = head.uri.path().split('/').nth(1).unwrap_or_default();
    let Some(class) = node.settings.classes.iter().position(|name| name == class && !name.is_empty()) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if head.method != Method::POST {
        return (StatusCode::METHOD_NOT_ALLOWED, [(header::ALLOW, "POST")]).into_response();
    }
    let demanded = read_head(&head.headers, class as u32);
    let Ok((job, id)) = demanded.map_err(|why| note("bad request", &why)) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let deadline = arrived + Duration::from_micros(job.time_left);
    let body = match read_body(body, deadline).await {
        Ok(body) => body,
        Err(status) => return status.into_response(),
    };
    let Some(path) = head.uri.path_and_query().cloned() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let order = Order { id, path, headers: passed_on(head.headers), body };
    let mut held = flow::begin(&node, Demand { job, deadline, order });
    answer(&node, held.answer().await)
}

/// The job that a request's headers describe, and the request's id as written.
fn read_head(headers: &HeaderMap, class: u32) -> Result<(Job, String), String> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let id = text("x-request-id").ok_or("no X-Request-ID")?;
    let request = real_server::request_id(id).ok_or_else(|| format!("X-Request-ID {id:?}"))?;
    let timeout = text("x-timeout").ok_or("no X-Timeout")?;
    let left = read_timeout(timeout).ok_or_else(|| format!("X-Timeout {timeout:?}"))?;
    let hint = text("x-cost").and_then(|cost| cost.parse::<f64>().ok());
    let job = Job {
        request,
        class,
        tenant: 0,
        slots: text("x-attrs").and_then(|attrs| attribute(attrs, &["width", "slots"])),
        cost_hint: hint.map(|micros| micros / SECOND as f64),
        time_left: left.saturating_sub(MARGIN.min(left / 4)),
    };
    Ok((job, id.to_owned()))
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
fn answer(node: &Node, answer: Answer) -> Response {
    match answer {
        Answer::Served(result) => result.into_response(),
        Answer::Refused { retry_after } => {
            let after = retry_after.min(node.settings.max_retry_after) as f64 / SECOND as f64;
            (StatusCode::SERVICE_UNAVAILABLE, [(header::RETRY_AFTER, after.to_string())]).into_response()
        }
        Answer::Failed => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Answer::Repeated => StatusCode::BAD_REQUEST.into_response(),
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn edge_connections_fit_within_the_limits() {
        assert_eq!(super::places(1024, 2048.0), 752);
        assert_eq!(super::places(1024, 192.0), 585, "memory binds before descriptors");
        assert_eq!(super::places(64, 192.0), 32);
        assert_eq!(super::places(0, 0.0), 8, "a few in any case");
    }
}
