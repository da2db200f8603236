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

use crate::emulate::list::Listing;
use crate::emulate::world::{News, Word, World};
use crate::model::worker::ProcessState;
use crate::scenario::{Scenario, micros};

/// Longest body that is read.
pub const LONGEST_BODY: usize = 64 * 1024;
/// A worker tries a call-back so often, with this wait between.
const CALLS: u32 = 10;
const CALL_PAUSE: Duration = Duration::from_millis(100);
/// A call-back that is not answered by then is tried again.
const CALL_WITHIN: Duration = Duration::from_secs(2);

/// A client of the emulator's own.
pub type Sender = Client<HttpConnector, Full<Bytes>>;
/// An answer of the emulator's own.
pub type Answer = Response<Full<Bytes>>;

/// What a worker's sockets do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// A process listens; the number tells it from the one before.
    Open(u32),
    /// Nobody listens.
    Refusing,
    /// The machine is out of reach.
    Silent,
}

/// A worker as others see it.
pub struct Port {
    /// Where it listens while it does.
    pub address: SocketAddr,
    /// What its sockets do.
    pub door: watch::Sender<Door>,
    /// It is to be looked at.
    pub wake: Notify,
    process: Cell<u32>,
}

impl Port {
    /// At an address.
    pub fn new(address: SocketAddr, door: Door) -> Port {
        Port { address, door: watch::Sender::new(door), wake: Notify::new(), process: Cell::new(0) }
    }
}

/// What the tasks share. One thread: nothing is held over an await.
pub struct Stage {
    /// What is played.
    pub scenario: Scenario,
    /// The world.
    pub world: RefCell<World>,
    /// The workers' doors.
    pub ports: Vec<Port>,
    /// The list.
    pub listing: RefCell<Listing>,
    listed: watch::Sender<u64>,
    /// Where the schedulers listen, and whether their processes are up.
    pub schedulers: Vec<(SocketAddr, Cell<bool>)>,
    /// For call-backs.
    client: Sender,
    unix_began: Cell<u64>,
}

/// A client that resends nothing by itself.
pub fn sender() -> Sender {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

impl Stage {
    /// Round a world.
    pub fn new(world: World, ports: Vec<Port>, listing: Listing, schedulers: Vec<SocketAddr>) -> Stage {
        let scenario = world.scenario.clone();
        Stage {
            scenario,
            world: RefCell::new(world),
            ports,
            listing: RefCell::new(listing),
            listed: watch::Sender::new(0),
            schedulers: schedulers.into_iter().map(|at| (at, Cell::new(true))).collect(),
            client: sender(),
            unix_began: Cell::new(0),
        }
    }

    /// The clients begin to come now.
    pub fn begin(&self) {
        self.world.borrow_mut().begin();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.unix_began.set(since.as_millis() as u64);
    }

    /// Microseconds since the clients began.
    pub fn now(&self) -> Micros {
        self.world.borrow().now()
    }

    /// An instant of the run.
    pub fn instant(&self, at: Micros) -> Instant {
        self.world.borrow().instant(at)
    }

    /// An instant of the run on the machines' clock.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.unix_began.get() + at / 1_000
    }

    /// Where a worker listens.
    pub fn address(&self, worker: u32) -> SocketAddr {
        self.ports[worker as usize].address
    }

    /// A worker's kind.
    pub fn kind(&self, worker: u32) -> &str {
        &self.scenario.workers[self.world.borrow().kinds[worker as usize] as usize].kind
    }

    /// Tells when the list changes.
    pub fn list_changes(&self) -> watch::Receiver<u64> {
        self.listed.subscribe()
    }

    /// A scheduler was told of entries.
    pub fn told(&self, scheduler: u32, entries: &[Endpoint]) {
        let mut world = self.world.borrow_mut();
        let now = world.now();
        for entry in entries {
            world.referee.told(now, scheduler, entry.worker.0, entry.state == WorkerState::Ready);
        }
    }

    /// A worker's entry as it is now.
    pub fn entry(&self, worker: u32) -> Endpoint {
        entry(&self.world.borrow(), worker)
    }

    /// Every entry as it is now.
    pub fn entries(&self) -> Vec<Endpoint> {
        (0..self.ports.len() as u32).map(|worker| self.entry(worker)).collect()
    }

    /// The list changes.
    pub fn list(&self, change: impl FnOnce(&mut Listing)) {
        change(&mut self.listing.borrow_mut());
        self.listed.send_modify(|count| *count += 1);
    }

    /// Does something to the world and carries out what follows.
    pub fn act<R>(self: &Rc<Self>, deed: impl FnOnce(&mut World) -> R) -> R {
        let (result, news, changed) = {
            let mut world = self.world.borrow_mut();
            let result = deed(&mut world);
            (result, std::mem::take(&mut world.news), std::mem::take(&mut world.changed))
        };
        for one in news {
            tokio::task::spawn_local(call_back(Rc::clone(self), one));
        }
        for worker in changed {
            self.changed(worker);
        }
        result
    }

    /// A worker's life changed: its sockets follow, and in time the list.
    fn changed(self: &Rc<Self>, worker: u32) {
        let port = &self.ports[worker as usize];
        let (life, refusing, started) = {
            let world = self.world.borrow();
            let of = &world.workers[worker as usize].0;
            (of.process, of.is_refusing, of.started_at)
        };
        let door = match life {
            ProcessState::Up | ProcessState::Draining if refusing => Door::Refusing,
            ProcessState::Up | ProcessState::Draining => {
                // Each start is another process.
                let process = started.map_or(0, |at| (at / 1_000) as u32 + 1);
                port.process.set(process);
                Door::Open(process)
            }
            ProcessState::Stopped => Door::Refusing,
            ProcessState::Unreachable => Door::Silent,
        };
        port.door.send_if_modified(|now| std::mem::replace(now, door) != door);
        port.wake.notify_one();
        let (entry, stage) = (self.entry(worker), Rc::clone(self));
        if self.listing.borrow().down > 0 {
            return self.listing.borrow_mut().untold.push(worker);
        }
        tokio::task::spawn_local(async move {
            sleep(Duration::from_micros(micros(stage.scenario.discovery.delay))).await;
            // An unchanged entry, as of a worker that only refuses, is no news.
            let same = stage.listing.borrow().entries[worker as usize].1 == entry;
            if !same {
                stage.list(|listing| listing.change(vec![entry]));
            }
        });
    }
}

/// A worker's entry as the world has it.
pub fn entry(world: &World, worker: u32) -> Endpoint {
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
fn figures(report: &LoadReport) -> impl Iterator<Item = (&'static str, f64)> {
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
pub fn load_object(report: &LoadReport) -> Value {
    figures(report).map(|(name, value)| (name.to_owned(), value)).collect()
}

/// A load report as a header.
pub fn load_header(report: &LoadReport) -> String {
    let parts = figures(report).map(|(name, value)| format!("{name}={value:.4}"));
    format!("TEXT {}", parts.collect::<Vec<_>>().join(", "))
}

/// The result that a worker makes for a request.
pub fn result(request: u64) -> String {
    format!("result of {request:016x}")
}

async fn call_back(stage: Rc<Stage>, news: News) {
    sleep(Duration::from_micros(news.after)).await;
    let mut body = json!({"id": format!("{:016x}", news.request), "from": format!("w-{}", news.worker)});
    match news.word {
        Word::Started => body["state"] = "started".into(),
        Word::Running(share) => {
            body["state"] = "running".into();
            body["share"] = share.into();
        }
        Word::Done(report) => {
            body["state"] = "done".into();
            body["result"] = result(news.request).into();
            body["load"] = load_object(&report);
        }
        Word::Returned(report) => {
            body["state"] = "returned".into();
            body["load"] = load_object(&report);
        }
        Word::Lost => body["state"] = "lost".into(),
        Word::Failed => body["state"] = "failed".into(),
    }
    let body = Bytes::from(body.to_string());
    let (address, up) = &stage.schedulers[news.scheduler as usize];
    let mut left = 1 + u32::from(news.twice);
    for _ in 0..CALLS {
        if !up.get() {
            return;
        }
        let request = Request::post(format!("http://{address}/_jobs/news")).body(Full::new(body.clone()));
        let Ok(request) = request else { return };
        let answered = timeout(CALL_WITHIN, async {
            let answer = stage.client.request(request).await.ok()?;
            // Read to the end, so that the connection can carry the next one.
            Limited::new(answer.into_body(), LONGEST_BODY).collect().await.ok()
        });
        if matches!(answered.await, Ok(Some(_))) {
            left -= 1;
            if left == 0 {
                return;
            }
        } else {
            sleep(CALL_PAUSE).await;
        }
    }
}

/// Serves a connection of the emulator's own that nothing breaks.
pub async fn serve_connection<F>(stream: TcpStream, answer: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = Answer>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
