//! The way to the real servers: handing over and giving up schedulings, their call-backs and what
//! each answer means.
use std::collections::{HashMap, HashSet};
use std::error::Error as _;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::*;
use copperspread_settings::ProxySettings;
use copperspread_settings::json::{self, field, need, number, text};
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::http::Extensions;
use hyper::http::uri::{Authority, PathAndQuery, Uri};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, HttpConnector, HttpInfo, capture_connection,
};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tinyjson::JsonValue;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;
use crate::endpoints::EndpointTable;
use crate::invariant::note;
use crate::messages::{DispatchPermission, DispatchResult, UpstreamRequest, WorkerEvent, parse_request_id};
use crate::policy_handle::PolicyHandle;
use crate::upstream::Upstream;

/// Where real servers call back.
pub const CALLBACK_PATH: &str = "/_jobs/news";
/// Where real servers are probed.
const PROBE_PATH: &str = "/-/load";
/// A probe that is late is let go on for so long.
const LATE_PROBE: Micros = 4 * SECOND;
/// Longest body of an answer that is read.
const LONGEST_BODY: usize = 64 * 1024;
/// Longest head of an answer that is read. Guards against heads without end, one on each connection.
const LONGEST_HEAD: usize = 32 * 1024;
/// The rest of an answer whose head has told the outcome is read for so long, then its connection is closed.
const REST_WITHIN: Micros = 100_000;
/// A second answer to a request may follow the first by so much: the protocol's slack on time limits.
const STRAY_WITHIN: Micros = 50_000;
/// Share of the real servers' keep-alive for which idle connections are kept here.
const KEEP_SHARE: f64 = 0.9;
/// ... and at least this much less, since a request may be on its way when they close.
const KEEP_MARGIN: Micros = 300_000;
/// Kept connections are doubted for this long after one broke under the request that it was used for
/// again: long enough for the jobs that may be repeated to show whether it still happens.
const DOUBT: Micros = 10 * SECOND;
/// Connections whose last use is remembered before old ones are forgotten.
const USED_MOST: usize = 256;
/// A word of giving up that has not been answered by then is let go.
const GIVE_UP_WITHIN: Micros = 2 * SECOND;

/// A call-back: whose scheduling, at which real server, and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Callback {
    /// The flow.
    pub request: RequestId,
    /// The real server's name.
    pub from: String,
    /// The news.
    pub news: WorkerEvent,
}

/// Reads a call-back.
pub fn parse_callback(body: &[u8]) -> Result<Callback, String> {
    let value = json::parse_bytes(body)?;
    let id = need(text(&value, "id"), "id")?;
    let ended =
        |outcome, result| WorkerEvent::Ended(outcome, result, field(&value, "load").and_then(load_object));
    let news = match need(text(&value, "state"), "state")? {
        "started" => WorkerEvent::Progress(Progress::Started),
        "running" => WorkerEvent::Progress(Progress::Done(need(number(&value, "share"), "share")?)),
        "done" => {
            let result = need(text(&value, "result"), "result")?;
            ended(Outcome::Served, Some(Bytes::copy_from_slice(result.as_bytes())))
        }
        "failed" => ended(Outcome::Error, None),
        "returned" => ended(Outcome::Rejected, None),
        "lost" => ended(Outcome::Reset, None),
        other => return Err(format!("unknown state {other:?}")),
    };
    Ok(Callback {
        request: parse_request_id(id).ok_or_else(|| format!("id {id:?} is not 16 hex digits"))?,
        from: need(text(&value, "from"), "from")?.to_owned(),
        news,
    })
}

/// What takes the real servers' call-backs, wherever these come in. One that belongs to no flow any
/// more is taken like the rest.
pub fn callback_handler(
    entries: Arc<EndpointTable>,
    decisions: Arc<PolicyHandle>,
) -> impl Fn(&[u8]) -> Result<(), String> + Send + Sync {
    move |body| {
        let told = parse_callback(body)?;
        if let Some(worker) = entries.worker_by_name(&told.from) {
            decisions.deliver_worker_event(told.request, worker, told.news);
        }
        Ok(())
    }
}

fn set(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "queue" | "waiting" => report.queue = Some(value),
        "inflight" | "active" => report.in_flight = Some(value),
        "util" | "cpu" => report.utilization = Some(value),
        "qps" | "rps" => report.qps = Some(value),
        "x0" => report.free_slots = Some(value),
        _ => {}
    }
}

/// A load report as an object; a garbled one counts as none.
fn load_object(load: &JsonValue) -> Option<LoadReport> {
    let fields: &std::collections::HashMap<String, JsonValue> = load.get()?;
    let mut report = LoadReport::default();
    for (name, value) in fields {
        let value: &f64 = value.get()?;
        if !value.is_finite() {
            return None;
        }
        set(&mut report, name, *value);
    }
    Some(report)
}

/// A load report as a header's value; a garbled one counts as none.
pub fn load_header(value: &str) -> Option<LoadReport> {
    let pairs = value.trim().strip_prefix("TEXT")?;
    let mut report = LoadReport::default();
    for pair in pairs.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        set(&mut report, name.trim(), value);
    }
    Some(report)
}

/// The load report that a probe's answer brings: in its body, as an object or as in the header, or there.
pub fn load_answer(headers: &HeaderMap, body: &[u8]) -> Option<LoadReport> {
    let header = headers.get("x-server-load").and_then(|value| value.to_str().ok());
    let object = json::parse_bytes(body).ok();
    let object = object.as_ref().and_then(|object| load_object(field(object, "load").unwrap_or(object)));
    let text = std::str::from_utf8(body).ok().and_then(load_header);
    object.or(text).or_else(|| header.and_then(load_header))
}

/// What an answer to a handed-over scheduling means; `None` is that the real server has taken it.
pub fn read_answer(status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
    let not_run = headers.get("x-not-processed").is_some_and(|value| value == "1");
    match status {
        StatusCode::ACCEPTED => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Some(Outcome::Rejected),
        // Any other word leaves open whether it ran.
        _ => Some(Outcome::Error),
    }
}

/// What a broken hand-over means. It never ran only where the protocol proves it: no connection
/// came up, its body was withheld, or the client's library gave the request back unwritten. In doubt
/// it is a reset.
fn broken(error: &Error) -> Outcome {
    let cause = error.source().and_then(|source| source.downcast_ref::<hyper::Error>());
    let withheld = cause.and_then(|cause| cause.source()).is_some_and(|source| source.is::<BodyWithheld>());
    match cause {
        _ if withheld => Outcome::Superseded,
        _ if error.is_connect() => Outcome::ConnectFailed,
        Some(cause) if cause.is_canceled() => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}

/// Until when, and while which service entry serves where, a hand-over may be written that is wanted.
struct WriteGuard {
    wanted: DispatchPermission,
    entries: Arc<EndpointTable>,
    worker: WorkerId,
    address: Authority,
    until: Instant,
}

impl WriteGuard {
    fn holds(&self) -> bool {
        let there = |address| address == self.address;
        self.wanted.is_valid()
            && Instant::now() < self.until
            && self.entries.serving_address(self.worker).is_some_and(there)
    }
}

/// Why a body was not given out.
#[derive(Debug)]
struct BodyWithheld;

impl std::fmt::Display for BodyWithheld {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("its time is over, nobody waits for it, or its real server takes nothing new there")
    }
}

impl std::error::Error for BodyWithheld {}

/// A request's body, which a connection's task asks for in the step that writes the head, and before any
/// of it is flushed. Guards against a hand-over that waited for its connection, new or kept, while
/// discovery told that the real server drains or moved, or while its time ran out: without its last byte
/// it never runs.
struct GuardedBody {
    body: Full<Bytes>,
    leave: Option<WriteGuard>,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyWithheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyWithheld>>> {
        if self.leave.take().is_some_and(|leave| !leave.holds()) {
            return Poll::Ready(Some(Err(BodyWithheld)));
        }
        Pin::new(&mut self.body).poll_frame(context).map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.leave.is_none()
    }

    // An empty body is asked for its length alone: one that is withheld tells none, and is asked for then.
    fn size_hint(&self) -> SizeHint {
        let empty = self.body.is_end_stream();
        let withheld = empty && self.leave.as_ref().is_some_and(|leave| !leave.holds());
        if withheld { SizeHint::default() } else { self.body.size_hint() }
    }
}

/// How long an idle connection is kept here, when the real servers keep theirs for so long.
pub fn idle_timeout(keepalive: Micros) -> Micros {
    ((keepalive as f64 * KEEP_SHARE) as Micros).min(keepalive.saturating_sub(KEEP_MARGIN))
}

/// Most hand-overs under way at once, for a process of so many descriptors.
pub fn max_dispatches(sockets: usize) -> usize {
    (sockets / 8).max(4)
}

/// Most probes under way at once, beside the hand-overs. Guards against probes that take a job's place.
pub fn max_load_queries(sockets: usize) -> usize {
    (sockets / 48).clamp(4, 12)
}

/// Most idle connections kept to one real server. Guards against two dozen real servers whose idle
/// connections hold the descriptors that edge connections count on.
pub fn max_idle_per_worker(sockets: usize) -> usize {
    (sockets / 192).clamp(1, 8)
}

/// Whether a job that may have run may go on at any real server.
fn goes_anywhere(effect: Idempotency) -> bool {
    matches!(effect, Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: KeyScope::All, .. })
}

/// How a connection carried a request.
enum ConnectionUse {
    /// It brought the usual answer, and carries the next one.
    Well,
    /// It brought another answer, and carries no more.
    Doubtful,
    /// It broke.
    Broke,
}

/// What is known of kept connections: who used them last, and whether they can be relied on.
struct ConnectionReuse {
    used: HashMap<SocketAddr, Instant>,
    doubted_until: Option<Instant>,
}

/// The local address of the connection that a request went out on, which names the connection.
fn local_address(connection: &CaptureConnection) -> Option<SocketAddr> {
    let mut extras = Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extras);
    extras.get().map(HttpInfo::local_addr)
}

/// The client's side of all real servers.
pub struct HttpUpstream {
    client: Client<HttpConnector, GuardedBody>,
    /// Opens a connection for each request.
    fresh_client: Client<HttpConnector, GuardedBody>,
    connection_reuse: Mutex<ConnectionReuse>,
    keep_alive_timeout: Duration,
    /// A hand-over of a keyed job that may have run before is written within this, or not at all.
    write_window: Duration,
    endpoints: Arc<EndpointTable>,
    /// Hand-overs that may be under way at once: an eighth of the descriptors.
    dispatch_permits: Arc<Semaphore>,
    /// The real servers that have a probe unanswered, and how many may.
    queried_workers: Arc<Mutex<HashSet<WorkerId>>>,
    max_load_queries: usize,
}

/// A probe that is under way.
struct LoadQueryPermit {
    probed: Arc<Mutex<HashSet<WorkerId>>>,
    worker: WorkerId,
}

impl Drop for LoadQueryPermit {
    fn drop(&mut self) {
        self.probed.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.worker);
    }
}

impl HttpUpstream {
    /// Makes the client within the settings and for a process of so many descriptors.
    pub fn new(settings: &ProxySettings, entries: Arc<EndpointTable>, sockets: usize) -> HttpUpstream {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_micros(settings.connect_timeout)));
        let client = |most_idle| {
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                // Guards against a request written to a connection that the real server is closing.
                .pool_idle_timeout(Duration::from_micros(idle_timeout(settings.keep_alive_timeout)))
                .pool_max_idle_per_host(most_idle)
                // Guards against a second copy that nobody decided: the library never resends.
                .retry_canceled_requests(false)
                .http1_max_buf_size(LONGEST_HEAD)
                .build(connector.clone())
        };
        HttpUpstream {
            client: client(max_idle_per_worker(sockets)),
            fresh_client: client(0),
            connection_reuse: Mutex::new(ConnectionReuse { used: HashMap::new(), doubted_until: None }),
            keep_alive_timeout: Duration::from_micros(settings.keep_alive_timeout),
            write_window: Duration::from_micros(settings.connect_timeout + DISPATCH_SLACK / 2),
            endpoints: entries,
            dispatch_permits: Arc::new(Semaphore::new(max_dispatches(sockets))),
            queried_workers: Arc::default(),
            max_load_queries: max_load_queries(sockets),
        }
    }

    /// The client for a job. Guards against kept connections that have died unseen and break under
    /// the next request, after which a job that must run once may not go on, and one whose repeats only
    /// some real servers drop may go to few: while they are doubted, such a job gets a connection of its
    /// own.
    fn client_for(&self, order: &UpstreamRequest) -> &Client<HttpConnector, GuardedBody> {
        let kept = self.connection_reuse.lock().unwrap_or_else(PoisonError::into_inner);
        let doubted = kept.doubted_until.is_some_and(|until| Instant::now() < until);
        if doubted && !goes_anywhere(order.idempotency) { &self.fresh_client } else { &self.client }
    }

    /// A connection has carried a request; tells when it carried the one before.
    fn carried(&self, connection: &CaptureConnection, how: ConnectionUse) -> Option<Instant> {
        let address = local_address(connection)?;
        let mut kept = self.connection_reuse.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let before = kept.used.remove(&address);
        match how {
            ConnectionUse::Well => {
                if kept.used.len() >= USED_MOST {
                    kept.used.retain(|_, used| now.duration_since(*used) < self.keep_alive_timeout);
                }
                kept.used.insert(address, now);
            }
            // Guards against a second answer that comes a little after the first: the next request's own it
            // would seem, and all later ones would be off by one.
            ConnectionUse::Doubtful => connection.connection_metadata().iter().for_each(Connected::poison),
            ConnectionUse::Broke if before.is_some() => {
                kept.doubted_until = Some(now + Duration::from_micros(DOUBT));
                note(
                    "a kept connection broke under its next request",
                    "jobs that may not go anywhere get new ones",
                );
            }
            ConnectionUse::Broke => {}
        }
        before
    }

    /// Hands a scheduling over; returns once the real server has taken it, or how it ended.
    async fn hand_over_now(
        &self,
        worker: WorkerId,
        order: &UpstreamRequest,
        deadline: Instant,
        wanted: &DispatchPermission,
    ) -> DispatchResult {
        // Guards against new work for a real server of which discovery told, after the module
        // chose it, that it drains or is gone. The body asks again as it is written.
        let Some(address) = self.endpoints.serving_address(worker) else {
            return Err((Outcome::Superseded, None));
        };
        // Guards against real servers that fall silent by the dozen and hold the descriptors that
        // call-backs need. As where none is left, no connection comes up.
        let Ok(place) = Arc::clone(&self.dispatch_permits).try_acquire_owned() else {
            return Err((Outcome::ConnectFailed, None));
        };
        let began = Instant::now();
        let left = deadline.saturating_duration_since(began).as_millis();
        // Guards against a repeat that is written after the real servers have forgotten its key: the module
        // has left this much of the window.
        let until = match order.idempotency {
            Idempotency::IdempotentWithKey { .. } => deadline.min(began + self.write_window),
            _ => deadline,
        };
        let (wanted, entries) = (wanted.clone(), Arc::clone(&self.endpoints));
        let leave = WriteGuard { wanted, entries, worker, address: address.clone(), until };
        let body = GuardedBody { body: Full::new(order.body.clone()), leave: Some(leave) };
        let (Some(mut request), true) = (request(Method::POST, address, order.path.clone(), body), left > 0)
        else {
            return Err((Outcome::Superseded, None));
        };
        *request.headers_mut() = order.headers.clone();
        // The body tells it.
        request.headers_mut().remove(CONTENT_LENGTH);
        if let Ok(value) = format!("{left}m").parse() {
            request.headers_mut().insert("x-timeout", value);
        }
        let connection = capture_connection(&mut request);
        let response = match self.client_for(order).request(request).await {
            Ok(response) => response,
            Err(error) => {
                let outcome = broken(&error);
                if outcome != Outcome::Superseded {
                    self.carried(&connection, ConnectionUse::Broke);
                }
                return Err((outcome, None));
            }
        };
        // The head tells all. Guards against an answer whose body never ends, under a job whose outcome is
        // known.
        let (head, body) = response.into_parts();
        let Some(mut outcome) = read_answer(head.status, &head.headers) else {
            self.carried(&connection, ConnectionUse::Well);
            // Read to the end, so that the connection can carry the next request. Until then it keeps its
            // place.
            if !body.is_end_stream() {
                let rest = Limited::new(body, LONGEST_BODY).collect();
                let rest = timeout_at(from_now(REST_WITHIN), rest);
                tokio::spawn(async move {
                    let _ = rest.await;
                    drop(place);
                });
            }
            return Ok(());
        };
        let before = self.carried(&connection, ConnectionUse::Doubtful);
        // Guards against a second run on the word of an answer that may be the last request's second one.
        let stray = before.is_some_and(|before| began < before + Duration::from_micros(STRAY_WITHIN));
        if stray && outcome.never_ran() && !goes_anywhere(order.idempotency) {
            outcome = Outcome::Error;
        }
        let report = head.headers.get("x-server-load").and_then(|value| value.to_str().ok());
        Err((outcome, report.and_then(load_header)))
    }
}

impl HttpUpstream {
    /// A probe's place. Guards against probes that pile up at a real server that answers none.
    fn begin_probe(&self, worker: WorkerId) -> Option<LoadQueryPermit> {
        let mut probed = self.queried_workers.lock().unwrap_or_else(PoisonError::into_inner);
        let begins = probed.len() < self.max_load_queries && probed.insert(worker);
        begins.then(|| LoadQueryPermit { probed: Arc::clone(&self.queried_workers), worker })
    }

    async fn probe_now(&self, worker: WorkerId, by: Instant) -> (Outcome, Option<LoadReport>) {
        let Some(probing) = self.begin_probe(worker) else { return (Outcome::Superseded, None) };
        let path = PathAndQuery::from_static(PROBE_PATH);
        let request =
            self.endpoints.serving_address(worker).and_then(|at| request(Method::GET, at, path, nothing()));
        let Some(mut request) = request else { return (Outcome::Superseded, None) };
        let connection = capture_connection(&mut request);
        let asked = self.client.request(request);
        let (sender, answer) = oneshot::channel();
        // Guards against a new connection for each probe that waits long in a queue: one that is late is
        // let go on for a while, so that its connection stays.
        tokio::spawn(timeout_at(by + Duration::from_micros(LATE_PROBE), async move {
            let _probing = probing;
            let answered = async {
                let (head, body) = asked.await?.into_parts();
                let body = Limited::new(body, LONGEST_BODY).collect().await;
                Ok((head, body.map_or_else(|_| Bytes::new(), |body| body.to_bytes())))
            };
            let _ = sender.send(answered.await);
        }));
        match timeout_at(by, answer).await {
            Err(_) | Ok(Err(_)) => (Outcome::TimedOut, None),
            Ok(Ok(Err(error))) => {
                self.carried(&connection, ConnectionUse::Broke);
                (broken(&error), None)
            }
            Ok(Ok(Ok((head, body)))) => {
                let well = head.status == StatusCode::OK;
                self.carried(&connection, if well { ConnectionUse::Well } else { ConnectionUse::Doubtful });
                (if well { Outcome::Served } else { Outcome::Error }, load_answer(&head.headers, &body))
            }
        }
    }
}

impl Upstream for HttpUpstream {
    fn query_load<'a>(
        &'a self,
        worker: WorkerId,
        by: Instant,
    ) -> BoxFuture<'a, (Outcome, Option<LoadReport>)> {
        Box::pin(self.probe_now(worker, by))
    }

    fn dispatch<'a>(
        &'a self,
        worker: WorkerId,
        order: &'a UpstreamRequest,
        deadline: Instant,
        wanted: &'a DispatchPermission,
    ) -> BoxFuture<'a, DispatchResult> {
        Box::pin(self.hand_over_now(worker, order, deadline, wanted))
    }

    fn cancel(&self, worker: WorkerId, order: &UpstreamRequest) {
        let Some(address) = self.endpoints.last_known_address(worker) else { return };
        let Ok(path) = format!("/jobs/{}", order.id).parse() else { return };
        let Some(request) = request(Method::DELETE, address, path, nothing()) else { return };
        let answer = self.client.request(request);
        let by = from_now(GIVE_UP_WITHIN);
        tokio::spawn(timeout_at(by, async move {
            if let Ok(response) = answer.await {
                let _ = Limited::new(response.into_body(), LONGEST_BODY).collect().await;
            }
        }));
    }

    fn worker_name(&self, worker: WorkerId) -> Arc<str> {
        self.endpoints.name(worker)
    }
}

fn request(
    method: Method,
    address: Authority,
    path: PathAndQuery,
    body: GuardedBody,
) -> Option<Request<GuardedBody>> {
    let uri = Uri::builder().scheme("http").authority(address).path_and_query(path).build().ok()?;
    Request::builder().method(method).uri(uri).body(body).ok()
}

fn nothing() -> GuardedBody {
    GuardedBody { body: Full::default(), leave: None }
}
