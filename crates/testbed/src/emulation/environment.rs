//! What the emulator's tasks share: the world behind a cell, the workers' doors, and what follows from
//! each change of the world.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use copperspread_dispatcher::{Endpoint, LoadReport, Micros, WorkerId, WorkerState};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::emulation::endpoint_list::VersionedEndpointList;
use crate::emulation::state::{Callback, CallbackState, EmulationState};
use crate::model::worker::ProcessState;
use crate::scenario::{Scenario, micros_from_seconds};

/// Longest body that is read.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// A worker tries a call-back so often, with this wait between.
const CALLBACK_ATTEMPTS: u32 = 10;
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A call-back that is not answered by then is tried again.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the emulator's own.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;
/// An answer of the emulator's own.
pub type HttpResponse = Response<Full<Bytes>>;

/// What a worker's sockets do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// A process listens; the number tells it from the one before.
    Accepting(u32),
    /// Nobody listens.
    Refusing,
    /// The machine is out of reach.
    Unreachable,
}

/// A worker as others see it.
pub struct WorkerListener {
    /// Where it listens while it does.
    pub address: SocketAddr,
    /// What its sockets do.
    pub listener_state: watch::Sender<ListenerState>,
    /// It is to be looked at.
    pub wake: Notify,
    process: Cell<u32>,
}

impl WorkerListener {
    /// At an address.
    pub fn new(address: SocketAddr, door: ListenerState) -> WorkerListener {
        WorkerListener {
            address,
            listener_state: watch::Sender::new(door),
            wake: Notify::new(),
            process: Cell::new(0),
        }
    }
}

/// What the tasks share. One thread: nothing is held over an await.
pub struct Environment {
    /// What is played.
    pub scenario: Scenario,
    /// The world.
    pub state: RefCell<EmulationState>,
    /// The workers' doors.
    pub listeners: Vec<WorkerListener>,
    /// The list.
    pub endpoint_list: RefCell<VersionedEndpointList>,
    list_changed: watch::Sender<u64>,
    /// Where the schedulers listen, and whether their processes are up.
    pub schedulers: Vec<(SocketAddr, Cell<bool>)>,
    /// For call-backs.
    client: HttpClient,
    started_unix_ms: Cell<u64>,
}

/// A client that resends nothing by itself.
pub fn new_http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

impl Environment {
    /// Round a world.
    pub fn new(
        world: EmulationState,
        ports: Vec<WorkerListener>,
        listing: VersionedEndpointList,
        schedulers: Vec<SocketAddr>,
    ) -> Environment {
        let scenario = world.scenario.clone();
        Environment {
            scenario,
            state: RefCell::new(world),
            listeners: ports,
            endpoint_list: RefCell::new(listing),
            list_changed: watch::Sender::new(0),
            schedulers: schedulers.into_iter().map(|at| (at, Cell::new(true))).collect(),
            client: new_http_client(),
            started_unix_ms: Cell::new(0),
        }
    }

    /// The clients begin to come now.
    pub fn start_clock(&self) {
        self.state.borrow_mut().start_clock();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.started_unix_ms.set(since.as_millis() as u64);
    }

    /// Microseconds since the clients began.
    pub fn now(&self) -> Micros {
        self.state.borrow().now()
    }

    /// An instant of the run.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.state.borrow().instant_at(at)
    }

    /// An instant of the run on the machines' clock.
    pub fn unix_ms_at(&self, at: Micros) -> u64 {
        self.started_unix_ms.get() + at / 1_000
    }

    /// Where a worker listens.
    pub fn worker_address(&self, worker: u32) -> SocketAddr {
        self.listeners[worker as usize].address
    }

    /// A worker's kind.
    pub fn worker_kind(&self, worker: u32) -> &str {
        &self.scenario.workers[self.state.borrow().kinds[worker as usize] as usize].kind
    }

    /// Tells when the list changes.
    pub fn subscribe_to_list(&self) -> watch::Receiver<u64> {
        self.list_changed.subscribe()
    }

    /// A scheduler was told of entries.
    pub fn record_notification(&self, scheduler: u32, entries: &[Endpoint]) {
        let mut world = self.state.borrow_mut();
        let now = world.now();
        for entry in entries {
            world.referee.availability_notified(
                now,
                scheduler,
                entry.worker.0,
                entry.state == WorkerState::Ready,
            );
        }
    }

    /// A worker's entry as it is now.
    pub fn endpoint(&self, worker: u32) -> Endpoint {
        endpoint_of(&self.state.borrow(), worker)
    }

    /// Every entry as it is now.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.listeners.len() as u32).map(|worker| self.endpoint(worker)).collect()
    }

    /// The list changes.
    pub fn update_endpoint_list(&self, change: impl FnOnce(&mut VersionedEndpointList)) {
        change(&mut self.endpoint_list.borrow_mut());
        self.list_changed.send_modify(|count| *count += 1);
    }

    /// Does something to the world and carries out what follows.
    pub fn apply<R>(self: &Rc<Self>, deed: impl FnOnce(&mut EmulationState) -> R) -> R {
        let (result, news, changed) = {
            let mut world = self.state.borrow_mut();
            let result = deed(&mut world);
            (result, std::mem::take(&mut world.callbacks), std::mem::take(&mut world.changed_workers))
        };
        for one in news {
            tokio::task::spawn_local(deliver_callback(Rc::clone(self), one));
        }
        for worker in changed {
            self.propagate_worker_change(worker);
        }
        result
    }

    /// A worker's life changed: its sockets follow, and in time the list.
    fn propagate_worker_change(self: &Rc<Self>, worker: u32) {
        let port = &self.listeners[worker as usize];
        let (life, refusing, started) = {
            let world = self.state.borrow();
            let of = &world.workers[worker as usize].0;
            (of.process, of.is_refusing, of.started_at)
        };
        let door = match life {
            ProcessState::Up | ProcessState::Draining if refusing => ListenerState::Refusing,
            ProcessState::Up | ProcessState::Draining => {
                // Each start is another process.
                let process = started.map_or(0, |at| (at / 1_000) as u32 + 1);
                port.process.set(process);
                ListenerState::Accepting(process)
            }
            ProcessState::Stopped => ListenerState::Refusing,
            ProcessState::Unreachable => ListenerState::Unreachable,
        };
        port.listener_state.send_if_modified(|now| std::mem::replace(now, door) != door);
        port.wake.notify_one();
        let (entry, stage) = (self.endpoint(worker), Rc::clone(self));
        if self.endpoint_list.borrow().outages > 0 {
            return self.endpoint_list.borrow_mut().unannounced_workers.push(worker);
        }
        tokio::task::spawn_local(async move {
            sleep(Duration::from_micros(micros_from_seconds(stage.scenario.discovery.delay_s))).await;
            // An unchanged entry, as of a worker that only refuses, is no news.
            let same = stage.endpoint_list.borrow().endpoints[worker as usize].1 == entry;
            if !same {
                stage.update_endpoint_list(|listing| listing.update(vec![entry]));
            }
        });
    }
}

/// A worker's entry as the world has it.
pub fn endpoint_of(world: &EmulationState, worker: u32) -> Endpoint {
    let (of, zone) = &world.workers[worker as usize];
    let state = match of.process {
        ProcessState::Up => WorkerState::Ready,
        ProcessState::Draining => WorkerState::Draining,
        ProcessState::Stopped | ProcessState::Unreachable => WorkerState::Removed,
    };
    let kind = world.kinds[worker as usize];
    Endpoint {
        worker: WorkerId(worker),
        zone: *zone,
        kind,
        cell: world.cells[worker as usize],
        state,
        started_at: of.started_at,
        hash_key: worker.into(),
        size: None,
    }
}

/// A load report's figures, by their names.
fn load_report_fields(report: &LoadReport) -> impl Iterator<Item = (&'static str, f64)> {
    let all = [
        ("x0", report.free_slots),
        ("queue", report.queue),
        ("util", report.utilization),
        ("qps", report.qps),
        ("inflight", report.in_flight),
    ];
    all.into_iter().filter_map(|(name, value)| Some((name, value?)))
}

/// A load report as an object.
pub fn load_report_json(report: &LoadReport) -> Value {
    load_report_fields(report).map(|(name, value)| (name.to_owned(), value)).collect()
}

/// A load report as a header.
pub fn load_report_header(report: &LoadReport) -> String {
    let parts = load_report_fields(report).map(|(name, value)| format!("{name}={value:.4}"));
    format!("TEXT {}", parts.collect::<Vec<_>>().join(", "))
}

/// The result that a worker makes for a request.
pub fn expected_result(request: u64) -> String {
    format!("result of {request:016x}")
}

async fn deliver_callback(stage: Rc<Environment>, news: Callback) {
    sleep(Duration::from_micros(news.delay)).await;
    let mut body = json!({"id": format!("{:016x}", news.request), "from": format!("w-{}", news.worker)});
    match news.state {
        CallbackState::Started => body["state"] = "started".into(),
        CallbackState::Running(share) => {
            body["state"] = "running".into();
            body["share"] = share.into();
        }
        CallbackState::Done(report) => {
            body["state"] = "done".into();
            body["result"] = expected_result(news.request).into();
            body["load"] = load_report_json(&report);
        }
        CallbackState::Returned(report) => {
            body["state"] = "returned".into();
            body["load"] = load_report_json(&report);
        }
        CallbackState::Lost => body["state"] = "lost".into(),
        CallbackState::Failed => body["state"] = "failed".into(),
    }
    let body = Bytes::from(body.to_string());
    let (address, up) = &stage.schedulers[news.scheduler as usize];
    let mut left = 1 + u32::from(news.is_duplicated);
    for _ in 0..CALLBACK_ATTEMPTS {
        if !up.get() {
            return;
        }
        let request = Request::post(format!("http://{address}/_jobs/news")).body(Full::new(body.clone()));
        let Ok(request) = request else { return };
        let answered = timeout(CALLBACK_TIMEOUT, async {
            let answer = stage.client.request(request).await.ok()?;
            // Read to the end, so that the connection can carry the next one.
            Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await.ok()
        });
        if matches!(answered.await, Ok(Some(_))) {
            left -= 1;
            if left == 0 {
                return;
            }
        } else {
            sleep(CALLBACK_RETRY_DELAY).await;
        }
    }
}

/// Serves a connection of the emulator's own that nothing breaks.
pub async fn serve_connection<F>(stream: TcpStream, answer: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = HttpResponse>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
