//! Stub workers and a stub discovery service for cost measurements.
//!
//! The workers accept every job and send its callback immediately; the endpoint list never changes.
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{WorkerId, WorkerState};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::emulation::environment::{HttpResponse, serve_connection};
use crate::emulation::messages::CallbackState;
use crate::emulation::platform_json::{EndpointRecord, callback_json, endpoint_list_json};
use crate::http_client::{HttpClient, new_http_client, read_body};
use crate::startup::single_threaded_runtime;

/// Time for which the stub discovery service delays its response to a watch, which is a poll that waits for
/// changes. The response then has the unchanged list.
const WATCH_HOLD: Duration = Duration::from_secs(1);

/// The address of the stub discovery service, and the endpoint list that the service sends.
pub(super) struct Discovery {
    pub(super) address: SocketAddr,
    pub(super) list: Value,
}

/// Handle of the thread that runs the stub workers and the stub discovery service. Dropping the handle stops
/// the thread, but does not wait until the thread has ended.
pub(super) struct StubFleet {
    pub(super) discovery: Discovery,
    _stop: oneshot::Sender<()>,
}

impl StubFleet {
    /// Starts a thread with `workers` stub workers, which send their callbacks to `scheduler`, and a stub
    /// discovery service. Waits until all of them listen. Returns `None` if they cannot listen, or if the
    /// runtime of their thread cannot be created.
    pub(super) fn start(scheduler: SocketAddr, workers: u32) -> Option<StubFleet> {
        let (ready_sender, ready) = mpsc::channel();
        let (stop_sender, stop) = oneshot::channel::<()>();
        std::thread::spawn(move || {
            let Ok(runtime) = single_threaded_runtime() else { return };
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    () = serve(scheduler, workers, ready_sender) => {}
                    _ = stop => {}
                }
            });
        });
        Some(StubFleet { discovery: ready.recv().ok()?, _stop: stop_sender })
    }
}

/// Runs the stub workers and the stub discovery service without end. Returns only if a socket fails.
async fn serve(scheduler: SocketAddr, workers: u32, ready: mpsc::Sender<Discovery>) {
    let client = new_http_client();
    let mut members = Vec::new();
    for worker in 0..workers {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
        let Ok(address) = listener.local_addr() else { return };
        members.push(ready_endpoint(WorkerId(worker), address).to_json());
        // The task ends with the thread's runtime.
        spawn_local(serve_worker(
            listener,
            Worker { client: client.clone(), scheduler, id: WorkerId(worker) },
        ));
    }
    let list = endpoint_list_json(1, true, &members);
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
    let Ok(address) = listener.local_addr() else { return };
    let body = Bytes::from(list.to_string());
    let _ = ready.send(Discovery { address, list });
    serve_list(listener, body).await;
}

/// Returns the endpoint of a worker that is ready and belongs to zone 0 and cell 0. A cell is a group of
/// workers that share a store of idempotency keys.
fn ready_endpoint(worker: WorkerId, address: SocketAddr) -> EndpointRecord<'static> {
    let state = WorkerState::Ready;
    EndpointRecord { worker, address, zone: 0, kind: "w", cell: 0, state, started_at_unix_ms: 0 }
}

async fn serve_list(listener: TcpListener, list: Bytes) {
    while let Ok((stream, _)) = listener.accept().await {
        let list = list.clone();
        // The task ends when its connection or the thread's runtime ends.
        spawn_local(async move {
            serve_connection(stream, |request| answer_poll(request, list.clone())).await;
        });
    }
}

async fn answer_poll(request: Request<Incoming>, list: Bytes) -> HttpResponse {
    let is_watch = request.uri().query().is_some();
    if is_watch {
        sleep(WATCH_HOLD).await;
    }
    Response::new(Full::new(list))
}

/// A stub worker. Each connection to the worker has its own clone.
#[derive(Clone)]
struct Worker {
    client: HttpClient,
    scheduler: SocketAddr,
    id: WorkerId,
}

async fn serve_worker(listener: TcpListener, worker: Worker) {
    while let Ok((stream, _)) = listener.accept().await {
        let worker = worker.clone();
        // The task ends when its connection or the thread's runtime ends.
        spawn_local(async move {
            serve_connection(stream, |request| worker.clone().accept_job(request)).await;
        });
    }
}

impl Worker {
    /// Responds 202 to an attempt. A separate task sends the callback, and ends when the scheduler has
    /// responded to the callback.
    async fn accept_job(self, request: Request<Incoming>) -> HttpResponse {
        let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let id = u64::from_str_radix(id.unwrap_or_default(), 16).unwrap_or_default();
        let _ = read_body(request.into_body()).await;
        spawn_local(async move { self.send_callback(id).await });
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::ACCEPTED;
        response
    }

    async fn send_callback(&self, request: u64) {
        let body = callback_json(request, self.id, CallbackState::Done, None).to_string();
        let url = format!("http://{}/_jobs/news", self.scheduler);
        let Ok(request) = Request::post(url).body(Full::from(body)) else { return };
        if let Ok(response) = self.client.request(request).await {
            let _ = read_body(response.into_body()).await;
        }
    }
}
