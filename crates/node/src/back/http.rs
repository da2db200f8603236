//! The way to the real servers: handing over and giving up schedulings, their call-backs and what
//! each answer means.
use std::collections::{HashMap, HashSet};
use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use copperspread_decisions::*;
use copperspread_settings::NodeSettings;
use copperspread_settings::json::{self, field, need, number, text};
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http::Extensions;
use hyper::http::uri::{Authority, PathAndQuery, Uri};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, HttpInfo, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tinyjson::JsonValue;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::back::Back;
use crate::clock::from_now;
use crate::decisions::Decisions;
use crate::entries::ServiceEntries;
use crate::invariant::note;
use crate::order::{Handed, News, Order, request_id};

/// Where real servers call back.
pub const CALL_BACK_PATH: &str = "/_jobs/news";
/// Where real servers are probed.
const PROBE_PATH: &str = "/-/load";
/// A probe that is late is let go on for so long.
const LATE_PROBE: Micros = 4 * SECOND;
/// Longest body of an answer that is read.
const LONGEST_BODY: usize = 64 * 1024;
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
pub struct CallBack {
    /// The flow.
    pub request: RequestId,
    /// The real server's name.
    pub from: String,
    /// The news.
    pub news: News,
}

/// Reads a call-back.
pub fn read_call_back(body: &[u8]) -> Result<CallBack, String> {
    let value = json::parse_bytes(body)?;
    let id = need(text(&value, "id"), "id")?;
    let ended = |outcome, result| News::Ended(outcome, result, field(&value, "load").and_then(load_object));
    let news = match need(text(&value, "state"), "state")? {
        "started" => News::Progress(Progress::Started),
        "running" => News::Progress(Progress::Done(need(number(&value, "share"), "share")?)),
        "done" => {
            let result = need(text(&value, "result"), "result")?;
            ended(Outcome::Served, Some(Bytes::copy_from_slice(result.as_bytes())))
        }
        "failed" => ended(Outcome::Error, None),
        "returned" => ended(Outcome::Full, None),
        "lost" => ended(Outcome::Reset, None),
        other => return Err(format!("unknown state {other:?}")),
    };
    Ok(CallBack {
        request: request_id(id).ok_or_else(|| format!("id {id:?} is not 16 hex digits"))?,
        from: need(text(&value, "from"), "from")?.to_owned(),
        news,
    })
}

/// What takes the real servers' call-backs, wherever these come in. One that belongs to no flow any
/// more is taken like the rest.
pub fn call_backs(
    entries: Arc<ServiceEntries>,
    decisions: Arc<Decisions>,
) -> impl Fn(&[u8]) -> Result<(), String> + Send + Sync {
    move |body| {
        let told = read_call_back(body)?;
        if let Some(worker) = entries.worker(&told.from) {
            decisions.news(told.request, worker, told.news);
        }
        Ok(())
    }
}

fn set(report: &mut Report, name: &str, value: f64) {
    match name {
        "queue" | "waiting" => report.queue = Some(value),
        "inflight" | "active" => report.inflight = Some(value),
        "util" | "cpu" => report.util = Some(value),
        "qps" | "rps" => report.qps = Some(value),
        "x0" => report.free_slots = Some(value),
        _ => {}
    }
}

/// A load report as an object; a garbled one counts as none.
fn load_object(load: &JsonValue) -> Option<Report> {
    let fields: &std::collections::HashMap<String, JsonValue> = load.get()?;
    let mut report = Report::default();
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
pub fn load_header(value: &str) -> Option<Report> {
    let pairs = value.trim().strip_prefix("TEXT")?;
    let mut report = Report::default();
    for pair in pairs.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        set(&mut report, name.trim(), value);
    }
    Some(report)
}

/// The load report that a probe's answer brings: in its body, as an object or as in the header, or there.
pub fn load_answer(headers: &HeaderMap, body: &[u8]) -> Option<Report> {
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
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Some(Outcome::Full),
        // Any other word leaves open whether it ran.
        _ => Some(Outcome::Error),
    }
}

/// What a broken hand-over means. It never ran only where the protocol proves it: no connection
/// came up, or the client's library gave the request back unwritten. In doubt it is a reset.
fn broken(error: &Error) -> Outcome {
    let unwritten = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled);
    if error.is_connect() || unwritten { Outcome::ConnectFailed } else { Outcome::Reset }
}

/// How long an idle connection is kept here, when the real servers keep theirs for so long.
pub fn kept_idle(keepalive: Micros) -> Micros {
    ((keepalive as f64 * KEEP_SHARE) as Micros).min(keepalive.saturating_sub(KEEP_MARGIN))
}

/// Most hand-overs under way at once, for a process of so many descriptors.
pub fn hand_overs(sockets: usize) -> usize {
    (sockets / 8).max(4)
}

/// Most probes under way at once, beside the hand-overs. Guards against probes that take a job's place.
pub fn probes(sockets: usize) -> usize {
    (sockets / 48).clamp(4, 12)
}

/// Most idle connections kept to one real server. Guards against two dozen real servers whose idle
/// connections hold the descriptors that edge connections count on.
pub fn idle_most(sockets: usize) -> usize {
    (sockets / 192).clamp(1, 8)
}

/// What is known of kept connections: who used them last, and whether they can be relied on.
struct Kept {
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
pub struct RealServers {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Opens a connection for each request.
    anew: Client<HttpConnector, Full<Bytes>>,
    kept: Mutex<Kept>,
    keepalive: Duration,
    entries: Arc<ServiceEntries>,
    /// Hand-overs that may be under way at once: an eighth of the descriptors.
    places: Semaphore,
    /// The real servers that have a probe unanswered, and how many may.
    probed: Arc<Mutex<HashSet<WorkerId>>>,
    most_probed: usize,
}

/// A probe that is under way.
struct Probing {
    probed: Arc<Mutex<HashSet<WorkerId>>>,
    worker: WorkerId,
}

impl Drop for Probing {
    fn drop(&mut self) {
        self.probed.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.worker);
    }
}

impl RealServers {
    /// Makes the client within the settings and for a process of so many descriptors.
    pub fn new(settings: &NodeSettings, entries: Arc<ServiceEntries>, sockets: usize) -> RealServers {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_micros(settings.connect_within)));
        let client = |most_idle| {
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                // Guards against a request written to a connection that the real server is closing.
                .pool_idle_timeout(Duration::from_micros(kept_idle(settings.keepalive)))
                .pool_max_idle_per_host(most_idle)
                // Guards against a second copy that nobody decided: the library never resends.
                .retry_canceled_requests(false)
                .build(connector.clone())
        };
        RealServers {
            client: client(idle_most(sockets)),
            anew: client(0),
            kept: Mutex::new(Kept { used: HashMap::new(), doubted_until: None }),
            keepalive: Duration::from_micros(settings.keepalive),
            entries,
            places: Semaphore::new(hand_overs(sockets)),
            probed: Arc::default(),
            most_probed: probes(sockets),
        }
    }

    /// The client for a job. Guards against kept connections that have died unseen and break under
    /// the next request, after which a job that must run once may not go on, and one whose repeats only
    /// some real servers drop may go to few: while they are doubted, such a job gets a connection of its
    /// own.
    fn client_for(&self, order: &Order) -> &Client<HttpConnector, Full<Bytes>> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let doubted = kept.doubted_until.is_some_and(|until| Instant::now() < until);
        let free = matches!(order.effect, Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. });
        if doubted && !free { &self.anew } else { &self.client }
    }

    /// A connection has carried a request, which ended well or in a break.
    fn carried(&self, connection: &CaptureConnection, well: bool) {
        let Some(address) = local_address(connection) else { return };
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let again = kept.used.remove(&address).is_some();
        if well {
            if kept.used.len() >= USED_MOST {
                kept.used.retain(|_, used| now.duration_since(*used) < self.keepalive);
            }
            kept.used.insert(address, now);
        } else if again {
            kept.doubted_until = Some(now + Duration::from_micros(DOUBT));
            note(
                "a kept connection broke under its next request",
                "jobs that may not go anywhere get new ones",
            );
        }
    }

    /// Hands a scheduling over; returns once the real server has taken it, or how it ended.
    async fn hand_over_now(&self, worker: WorkerId, order: &Order, deadline: Instant) -> Handed {
        // Guards against new work for a real server of which discovery told, after the module
        // chose it, that it drains or is gone.
        let Some(address) = self.entries.serving(worker) else { return Err((Outcome::Moot, None)) };
        // Guards against real servers that fall silent by the dozen and hold the descriptors that
        // call-backs need. As where none is left, no connection comes up.
        let Ok(_place) = self.places.try_acquire() else { return Err((Outcome::ConnectFailed, None)) };
        let left = deadline.saturating_duration_since(Instant::now()).as_millis();
        let (Some(mut request), true) =
            (request(Method::POST, address, order.path.clone(), order.body.clone()), left > 0)
        else {
            return Err((Outcome::Moot, None));
        };
        *request.headers_mut() = order.headers.clone();
        if let Ok(value) = format!("{left}m").parse() {
            request.headers_mut().insert("x-timeout", value);
        }
        let connection = capture_connection(&mut request);
        let response = match self.client_for(order).request(request).await {
            Ok(response) => response,
            Err(error) => {
                self.carried(&connection, false);
                return Err((broken(&error), None));
            }
        };
        let (head, body) = response.into_parts();
        let report = head.headers.get("x-server-load").and_then(|value| value.to_str().ok());
        let report = report.and_then(load_header);
        // Read to the end, so that the connection can carry the next request.
        let _ = Limited::new(body, LONGEST_BODY).collect().await;
        self.carried(&connection, true);
        read_answer(head.status, &head.headers).map_or(Ok(()), |outcome| Err((outcome, report)))
    }
}

impl RealServers {
    /// A probe's place. Guards against probes that pile up at a real server that answers none.
    fn begin_probe(&self, worker: WorkerId) -> Option<Probing> {
        let mut probed = self.probed.lock().unwrap_or_else(PoisonError::into_inner);
        let begins = probed.len() < self.most_probed && probed.insert(worker);
        begins.then(|| Probing { probed: Arc::clone(&self.probed), worker })
    }

    async fn probe_now(&self, worker: WorkerId, by: Instant) -> (Outcome, Option<Report>) {
        let Some(probing) = self.begin_probe(worker) else { return (Outcome::Moot, None) };
        let path = PathAndQuery::from_static(PROBE_PATH);
        let request =
            self.entries.serving(worker).and_then(|at| request(Method::GET, at, path, Bytes::new()));
        let Some(mut request) = request else { return (Outcome::Moot, None) };
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
                self.carried(&connection, false);
                (broken(&error), None)
            }
            Ok(Ok(Ok((head, body)))) => {
                self.carried(&connection, true);
                let well = if head.status == StatusCode::OK { Outcome::Served } else { Outcome::Error };
                (well, load_answer(&head.headers, &body))
            }
        }
    }
}

impl Back for RealServers {
    fn probe<'a>(&'a self, worker: WorkerId, by: Instant) -> BoxFuture<'a, (Outcome, Option<Report>)> {
        Box::pin(self.probe_now(worker, by))
    }

    fn hand_over<'a>(
        &'a self,
        worker: WorkerId,
        order: &'a Order,
        deadline: Instant,
    ) -> BoxFuture<'a, Handed> {
        Box::pin(self.hand_over_now(worker, order, deadline))
    }

    fn give_up(&self, worker: WorkerId, order: &Order) {
        let Some(address) = self.entries.address(worker) else { return };
        let Ok(path) = format!("/jobs/{}", order.id).parse() else { return };
        let Some(request) = request(Method::DELETE, address, path, Bytes::new()) else { return };
        let answer = self.client.request(request);
        let by = from_now(GIVE_UP_WITHIN);
        tokio::spawn(timeout_at(by, async move {
            if let Ok(response) = answer.await {
                let _ = Limited::new(response.into_body(), LONGEST_BODY).collect().await;
            }
        }));
    }

    fn name(&self, worker: WorkerId) -> Arc<str> {
        self.entries.name(worker)
    }
}

fn request(
    method: Method,
    address: Authority,
    path: PathAndQuery,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let uri = Uri::builder().scheme("http").authority(address).path_and_query(path).build().ok()?;
    Request::builder().method(method).uri(uri).body(Full::new(body)).ok()
}
