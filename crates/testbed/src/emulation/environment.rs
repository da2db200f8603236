//! The state that all tasks of an emulation run share: the emulated workers and requests, the workers'
//! listeners and the endpoint list.
//!
//! Tasks change the state through [`Environment::apply`]. That function then updates the sockets and the
//! endpoint list, and sends the callbacks that result from the change.
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

/// The response type of the emulation's HTTP servers.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// How a worker's port handles new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// A worker process listens and accepts connections. The value is a number that identifies the start of
    /// this process. A restart therefore changes the state of the listener. On this change, the connections
    /// to the earlier process are reset.
    Accepting(u32),
    /// Connections are refused: no process listens on the worker's port, or a fault makes the worker refuse
    /// connections.
    Refusing,
    /// The worker's machine is unreachable, so connections to the worker are not established.
    Unreachable,
}

/// The address of a worker's listener, and the channels that control the worker's tasks.
pub(crate) struct WorkerListener {
    /// Loopback address at which the worker listens.
    pub address: SocketAddr,
    /// How the worker's port handles new connections at present. The environment sends each change of this
    /// state to the worker's tasks.
    pub listener_state: watch::Sender<ListenerState>,
    /// Wakes the task that runs the worker's model, which simulates the worker's jobs and process.
    pub wake: Notify,
}

impl WorkerListener {
    /// Creates the record of a worker's listener. `state` says how the worker's port handles new connections
    /// at first.
    pub(crate) fn new(address: SocketAddr, state: ListenerState) -> WorkerListener {
        WorkerListener { address, listener_state: watch::Sender::new(state), wake: Notify::new() }
    }
}

/// What the emulation's clients and workers know of a scheduler to which they send requests and callbacks.
pub(crate) struct SchedulerTarget {
    /// Address at which the scheduler listens.
    pub address: SocketAddr,
    /// Whether the scheduler's process is running and not shutting down.
    pub is_up: Cell<bool>,
}

/// The state that all tasks of one emulation run share. The tasks run on one thread. No task may hold a
/// borrow of a `RefCell` across an `await`, because another task could then not borrow the same cell.
pub(crate) struct Environment {
    /// The scenario of the run.
    pub scenario: Scenario,
    /// State of the emulation: worker models, requests, attempts and counters.
    pub state: RefCell<EmulationState>,
    /// Listeners of the workers, indexed by worker number.
    pub listeners: Vec<WorkerListener>,
    /// The endpoint list that discovery serves to schedulers.
    pub endpoint_list: RefCell<VersionedEndpointList>,
    list_changed: watch::Sender<u64>,
    /// The schedulers, indexed by scheduler number.
    pub schedulers: Vec<SchedulerTarget>,
    /// HTTP client with which the workers' callbacks are sent to schedulers.
    pub client: HttpClient,
    started_unix_ms: Cell<u64>,
}

impl Environment {
    /// Creates the environment of a run. All schedulers count as up at first.
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

    /// Starts, or restarts, the run's clock at 0.
    pub(crate) fn start_clock(&self) {
        self.state.borrow_mut().start_clock();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.started_unix_ms.set(unix_time.as_millis() as u64);
    }

    /// The current time on the run's clock: microseconds since the clock was last started.
    pub(crate) fn now(&self) -> Micros {
        self.state.borrow().now()
    }

    /// Converts a time on the run's clock, in microseconds, to an `Instant`.
    pub(crate) fn instant_at(&self, at: Micros) -> Instant {
        self.state.borrow().instant_at(at)
    }

    /// Converts a time on the run's clock, in microseconds, to Unix time in milliseconds.
    pub(crate) fn unix_ms_at(&self, at: Micros) -> u64 {
        self.started_unix_ms.get() + at / 1_000
    }

    /// The loopback address at which a worker listens.
    pub(crate) fn worker_address(&self, worker: WorkerId) -> SocketAddr {
        self.listeners[worker.0 as usize].address
    }

    /// The name of a worker's kind, as in the scenario and in the endpoint list.
    pub(crate) fn worker_kind(&self, worker: WorkerId) -> &str {
        &self.scenario.workers[self.state.borrow().kinds[worker.0 as usize] as usize].kind
    }

    /// Wakes the task that runs a worker's model.
    pub(crate) fn wake_worker(&self, worker: WorkerId) {
        self.listeners[worker.0 as usize].wake.notify_one();
    }

    /// Returns a receiver that is notified of each change of the endpoint list.
    pub(crate) fn subscribe_to_list(&self) -> watch::Receiver<u64> {
        self.list_changed.subscribe()
    }

    /// Tells the rule checker that discovery has sent these endpoints to a scheduler.
    pub(crate) fn record_notification(&self, scheduler: SchedulerId, endpoints: &[Endpoint]) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        for endpoint in endpoints {
            let is_ready = endpoint.state == WorkerState::Ready;
            state.rule_checker.availability_notified(now, scheduler, endpoint.worker, is_ready);
        }
    }

    /// Returns the endpoint that describes a worker as it is now. The endpoint list can still have an older
    /// state.
    pub(crate) fn endpoint(&self, worker: WorkerId) -> Endpoint {
        endpoint_of(&self.state.borrow(), worker)
    }

    /// Returns the endpoints that describe all workers as they are now. The endpoint list can still have
    /// older states.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        worker_ids(self.listeners.len()).map(|worker| self.endpoint(worker)).collect()
    }

    /// Changes the endpoint list with `update`, and wakes the polls that wait for a change of the list.
    pub(crate) fn update_endpoint_list(&self, update: impl FnOnce(&mut VersionedEndpointList)) {
        update(&mut self.endpoint_list.borrow_mut());
        self.list_changed.send_modify(|changes| *changes += 1);
    }

    /// Delay after which a change of a worker appears in the endpoint list, as the scenario sets it.
    pub(crate) fn discovery_delay(&self) -> Duration {
        Duration::from_micros(micros_from_seconds(self.scenario.discovery.delay_s))
    }

    /// Applies a change to the emulation's state. Then starts one task for each callback that must be sent.
    /// Also updates the sockets and the endpoint list for each worker that has changed.
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

    /// Updates a worker's sockets after the worker's process or machine has changed. The endpoint list shows
    /// the change after the discovery delay or, if discovery is down, at the end of the outage.
    fn propagate_worker_change(self: &Rc<Self>, worker: WorkerId) {
        let listener_state = self.current_listener_state(worker);
        let listener = &self.listeners[worker.0 as usize];
        listener
            .listener_state
            .send_if_modified(|known| std::mem::replace(known, listener_state) != listener_state);
        listener.wake.notify_one();
        let endpoint = self.endpoint(worker);
        if self.endpoint_list.borrow().outages > 0 {
            return self.endpoint_list.borrow_mut().unpublished_workers.push(worker);
        }
        // This task waits for the discovery delay, updates the endpoint list and ends.
        tokio::task::spawn_local(publish_after_delay(Rc::clone(self), endpoint));
    }

    fn current_listener_state(&self, worker: WorkerId) -> ListenerState {
        let state = self.state.borrow();
        let model = &state.workers[worker.0 as usize].0;
        match model.process {
            ProcessState::Up | ProcessState::Draining if model.is_refusing => ListenerState::Refusing,
            ProcessState::Up | ProcessState::Draining => {
                // The start time identifies the worker's process. After a restart of the process the value
                // differs, so the state of the listener changes. On this change, the tasks that serve the
                // worker's connections reset the connections to the earlier process.
                ListenerState::Accepting(model.started_at.map_or(0, |at| (at / 1_000) as u32 + 1))
            }
            ProcessState::Stopped => ListenerState::Refusing,
            ProcessState::Unreachable => ListenerState::Unreachable,
        }
    }
}

async fn publish_after_delay(environment: Rc<Environment>, endpoint: Endpoint) {
    sleep(environment.discovery_delay()).await;
    // Some changes of a worker, such as the refusal of connections, do not show in the worker's endpoint. The
    // endpoint list is not updated for them.
    let is_unchanged =
        environment.endpoint_list.borrow().endpoints[endpoint.worker.0 as usize].endpoint == endpoint;
    if !is_unchanged {
        environment.update_endpoint_list(|list| list.update(vec![endpoint]));
    }
}

/// Builds a worker's endpoint from the worker's present state.
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

/// Serves the HTTP requests of one connection until the connection ends, without injecting faults.
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
