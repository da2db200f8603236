//! Shares the state, the workers' listeners and the endpoint list among the emulation's tasks, and carries
//! out what follows from each change of the state.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use copperspread_dispatcher::{Endpoint, Micros, WorkerId, WorkerState};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use crate::emulation::endpoint_list::VersionedEndpointList;
use crate::emulation::state::EmulationState;
use crate::http_client::{HttpClient, new_http_client};
use crate::model::fleet::worker_ids;
use crate::model::scheduler_id::SchedulerId;
use crate::model::worker::ProcessState;
use crate::scenario::{Scenario, micros_from_seconds};

/// A response of the emulation's own servers.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// What a worker's port does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// A process accepts them; the number tells it from the process before.
    Accepting(u32),
    /// No process listens.
    Refusing,
    /// The machine is out of reach.
    Unreachable,
}

/// A worker as its tasks and connections see it.
pub(crate) struct WorkerListener {
    /// Where it listens while it does.
    pub address: SocketAddr,
    /// What its port does; the environment sets it.
    pub listener_state: watch::Sender<ListenerState>,
    /// Wakes the task that advances the worker's model.
    pub wake: Notify,
}

impl WorkerListener {
    /// A worker at an address.
    pub(crate) fn new(address: SocketAddr, state: ListenerState) -> WorkerListener {
        WorkerListener { address, listener_state: watch::Sender::new(state), wake: Notify::new() }
    }
}

/// A scheduler as clients and workers reach it.
pub(crate) struct SchedulerTarget {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether its process runs and is not about to end.
    pub is_up: Cell<bool>,
}

/// What the tasks of one run share. They run on one thread; nothing is borrowed over an await.
pub(crate) struct Environment {
    /// The scenario.
    pub scenario: Scenario,
    /// The model's state.
    pub state: RefCell<EmulationState>,
    /// The workers.
    pub listeners: Vec<WorkerListener>,
    /// The endpoint list that discovery serves.
    pub endpoint_list: RefCell<VersionedEndpointList>,
    list_changed: watch::Sender<u64>,
    /// The schedulers.
    pub schedulers: Vec<SchedulerTarget>,
    /// For callbacks.
    pub client: HttpClient,
    started_unix_ms: Cell<u64>,
}

impl Environment {
    /// Joins a run's parts; all schedulers count as up.
    pub(crate) fn new(
        state: EmulationState,
        listeners: Vec<WorkerListener>,
        endpoint_list: VersionedEndpointList,
        schedulers: Vec<SocketAddr>,
    ) -> Environment {
        let target = |address| SchedulerTarget { address, is_up: Cell::new(true) };
        Environment {
            scenario: state.scenario.clone(),
            state: RefCell::new(state),
            listeners,
            endpoint_list: RefCell::new(endpoint_list),
            list_changed: watch::Sender::new(0),
            schedulers: schedulers.into_iter().map(target).collect(),
            client: new_http_client(),
            started_unix_ms: Cell::new(0),
        }
    }

    /// Starts the run's clock: from now on it counts from 0.
    pub(crate) fn start_clock(&self) {
        self.state.borrow_mut().start_clock();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.started_unix_ms.set(unix_time.as_millis() as u64);
    }

    /// Microseconds since the run's clock was started.
    pub(crate) fn now(&self) -> Micros {
        self.state.borrow().now()
    }

    /// An instant of the run.
    pub(crate) fn instant_at(&self, at: Micros) -> Instant {
        self.state.borrow().instant_at(at)
    }

    /// An instant of the run in Unix time, in milliseconds.
    pub(crate) fn unix_ms_at(&self, at: Micros) -> u64 {
        self.started_unix_ms.get() + at / 1_000
    }

    /// Where a worker listens.
    pub(crate) fn worker_address(&self, worker: WorkerId) -> SocketAddr {
        self.listeners[worker.0 as usize].address
    }

    /// The name of a worker's kind.
    pub(crate) fn worker_kind(&self, worker: WorkerId) -> &str {
        &self.scenario.workers[self.state.borrow().kinds[worker.0 as usize] as usize].kind
    }

    /// Wakes the task that advances a worker's model.
    pub(crate) fn wake_worker(&self, worker: WorkerId) {
        self.listeners[worker.0 as usize].wake.notify_one();
    }

    /// Changes with each change of the endpoint list.
    pub(crate) fn subscribe_to_list(&self) -> watch::Receiver<u64> {
        self.list_changed.subscribe()
    }

    /// Records that a scheduler was notified of endpoints.
    pub(crate) fn record_notification(&self, scheduler: SchedulerId, endpoints: &[Endpoint]) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        for endpoint in endpoints {
            let is_ready = endpoint.state == WorkerState::Ready;
            state.rule_checker.availability_notified(now, scheduler, endpoint.worker, is_ready);
        }
    }

    /// A worker's endpoint as it is now.
    pub(crate) fn endpoint(&self, worker: WorkerId) -> Endpoint {
        endpoint_of(&self.state.borrow(), worker)
    }

    /// Every worker's endpoint as it is now.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        worker_ids(self.listeners.len()).map(|worker| self.endpoint(worker)).collect()
    }

    /// Changes the endpoint list and wakes the watches on it.
    pub(crate) fn update_endpoint_list(&self, update: impl FnOnce(&mut VersionedEndpointList)) {
        update(&mut self.endpoint_list.borrow_mut());
        self.list_changed.send_modify(|changes| *changes += 1);
    }

    /// How long the endpoint list lags behind the workers.
    pub(crate) fn discovery_delay(&self) -> Duration {
        Duration::from_micros(micros_from_seconds(self.scenario.discovery.delay_s))
    }

    /// Changes the state and carries out what follows: callbacks, each by a task that ends with it, and
    /// what the change means for sockets and the endpoint list.
    pub(crate) fn apply<R>(self: &Rc<Self>, change: impl FnOnce(&mut EmulationState) -> R) -> R {
        let (result, callbacks, changed_workers) = {
            let mut state = self.state.borrow_mut();
            let result = change(&mut state);
            let callbacks = std::mem::take(&mut state.callbacks);
            (result, callbacks, std::mem::take(&mut state.changed_workers))
        };
        for callback in callbacks {
            tokio::task::spawn_local(Rc::clone(self).deliver_callback(callback));
        }
        for worker in changed_workers {
            self.propagate_worker_change(worker);
        }
        result
    }

    /// A worker's process or machine changed: its sockets follow, and in time the endpoint list.
    fn propagate_worker_change(self: &Rc<Self>, worker: WorkerId) {
        let listener_state = self.current_listener_state(worker);
        let listener = &self.listeners[worker.0 as usize];
        listener
            .listener_state
            .send_if_modified(|known| std::mem::replace(known, listener_state) != listener_state);
        listener.wake.notify_one();
        let endpoint = self.endpoint(worker);
        if self.endpoint_list.borrow().outages > 0 {
            return self.endpoint_list.borrow_mut().unannounced_workers.push(worker);
        }
        // Ends after the list's delay.
        tokio::task::spawn_local(publish_after_delay(Rc::clone(self), endpoint));
    }

    fn current_listener_state(&self, worker: WorkerId) -> ListenerState {
        let state = self.state.borrow();
        let model = &state.workers[worker.0 as usize].0;
        match model.process {
            ProcessState::Up | ProcessState::Draining if model.is_refusing => ListenerState::Refusing,
            ProcessState::Up | ProcessState::Draining => {
                // Each start is another process.
                ListenerState::Accepting(model.started_at.map_or(0, |at| (at / 1_000) as u32 + 1))
            }
            ProcessState::Stopped => ListenerState::Refusing,
            ProcessState::Unreachable => ListenerState::Unreachable,
        }
    }
}

async fn publish_after_delay(environment: Rc<Environment>, endpoint: Endpoint) {
    sleep(environment.discovery_delay()).await;
    // An unchanged endpoint, as of a worker that only refuses connections, is no change of the list.
    let is_unchanged =
        environment.endpoint_list.borrow().endpoints[endpoint.worker.0 as usize].endpoint == endpoint;
    if !is_unchanged {
        environment.update_endpoint_list(|list| list.update(vec![endpoint]));
    }
}

/// A worker's endpoint as the state has it.
pub(crate) fn endpoint_of(state: &EmulationState, worker: WorkerId) -> Endpoint {
    let (model, zone) = &state.workers[worker.0 as usize];
    let worker_state = match model.process {
        ProcessState::Up => WorkerState::Ready,
        ProcessState::Draining => WorkerState::Draining,
        ProcessState::Stopped | ProcessState::Unreachable => WorkerState::Removed,
    };
    Endpoint {
        worker,
        zone: *zone,
        kind: state.kinds[worker.0 as usize],
        cell: state.cells[worker.0 as usize],
        state: worker_state,
        started_at: model.started_at,
        hash_key: worker.0.into(),
        size: None,
    }
}

/// Serves a connection of the emulation's own that nothing breaks, until it ends.
pub(crate) async fn serve_connection<F>(stream: TcpStream, respond: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = HttpResponse>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = respond(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
