//! A relay, with which the CPU cost of a scheduler is compared. It forwards requests to workers in
//! round-robin order.
//!
//! The relay exchanges the same messages as a scheduler and uses the same HTTP libraries (hyper and axum),
//! but it has no dispatch policy. Each request goes to the next worker. The response is the result in the
//! worker's callback. It is status 500 if the request is invalid, cannot be sent or is not accepted by the
//! worker. The CPU time that a scheduler uses beyond the relay's is spent on dispatch decisions, deadlines
//! and retry rules.
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use copperspread_settings::StartupConfig;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Uri;
use hyper::http::uri::Authority;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::http_client::{HttpClient, MAX_BODY_BYTES, new_http_client, read_body};
use crate::startup::{ServeError, read_config, single_threaded_runtime};

/// The state that the relay's request handlers share.
struct Relay {
    workers: Vec<Authority>,
    next_worker: AtomicUsize,
    client: HttpClient,
    /// The requests that wait for the callback of their worker. The key is the request's id in the header
    /// `x-request-id`.
    pending: Mutex<HashMap<String, oneshot::Sender<Bytes>>>,
}

/// The JSON body of a worker's callback.
#[derive(serde::Deserialize)]
struct Callback {
    id: String,
    state: String,
    #[serde(default)]
    result: String,
}

impl Relay {
    fn new(workers: Vec<Authority>) -> Relay {
        Relay {
            workers,
            next_worker: AtomicUsize::new(0),
            client: new_http_client(),
            pending: Mutex::default(),
        }
    }

    fn lock_pending(&self) -> MutexGuard<'_, HashMap<String, oneshot::Sender<Bytes>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of the next worker in round-robin order.
    fn select_worker(&self) -> Authority {
        let turn = self.next_worker.fetch_add(1, Ordering::Relaxed);
        self.workers[turn % self.workers.len()].clone()
    }

    /// Sends a request to a worker, waits for the worker's callback and returns the result. Returns `None` if
    /// the request is invalid, cannot be sent or is not accepted by the worker. Callbacks with a state other
    /// than `done` are ignored.
    async fn forward(&self, request: Request) -> Option<Bytes> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        let id = head.headers.get("x-request-id")?.to_str().ok()?.to_owned();
        let worker = self.select_worker();
        let path = head.uri.path_and_query()?.clone();
        let uri = Uri::builder().scheme("http").authority(worker).path_and_query(path).build().ok()?;
        let mut forwarded = hyper::Request::post(uri).body(Full::new(body)).ok()?;
        *forwarded.headers_mut() = head.headers;
        let (result_sender, result) = oneshot::channel();
        self.lock_pending().insert(id, result_sender);
        let response = self.client.request(forwarded).await.ok()?;
        let is_accepted = response.status() == StatusCode::ACCEPTED;
        read_body(response.into_body()).await.ok()?;
        if is_accepted { result.await.ok() } else { None }
    }
}

async fn handle_job(State(relay): State<Arc<Relay>>, request: Request) -> Response {
    match relay.forward(request).await {
        Some(result) => Body::from(result).into_response(),
        None => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn handle_callback(State(relay): State<Arc<Relay>>, body: Bytes) -> StatusCode {
    let Ok(callback) = serde_json::from_slice::<Callback>(&body) else { return StatusCode::BAD_REQUEST };
    if callback.state == "done"
        && let Some(result_sender) = relay.lock_pending().remove(&callback.id)
    {
        // Sending fails if the client has disconnected. The error is ignored, because nobody needs the result
        // then.
        let _ = result_sender.send(callback.result.into());
    }
    StatusCode::NO_CONTENT
}

fn router(relay: Relay) -> Router {
    Router::new()
        .route("/_jobs/news", post(handle_callback))
        .route("/-/ready", get(async || StatusCode::OK))
        .fallback(handle_job)
        .with_state(Arc::new(relay))
}

/// Returns the addresses of the workers in the cached endpoint list of the relay's configuration.
fn cached_workers(config: &mut StartupConfig) -> Result<Vec<Authority>, ServeError> {
    let list = config.cached_endpoints.take().ok_or(ServeError::NoEndpointList)?;
    let workers: Vec<Authority> = list.endpoints.into_iter().map(|endpoint| endpoint.address).collect();
    if workers.is_empty() {
        return Err(ServeError::NoWorkers);
    }
    Ok(workers)
}

/// Runs the relay until SIGTERM. The environment variable `EDGE_CONFIG` contains the path of the relay's
/// configuration file. The relay uses the workers of the cached endpoint list in this file.
///
/// # Errors
/// Fails if the configuration cannot be read or has no workers, or if the relay cannot listen on its address.
pub fn serve_relay() -> Result<(), ServeError> {
    let mut config = read_config()?;
    let router = router(Relay::new(cached_workers(&mut config)?));
    let address = config.listen;
    let runtime = single_threaded_runtime().map_err(ServeError::Runtime)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| ServeError::Listen { address, source })?;
        tokio::select! {
            served = async { axum::serve(listener, router).await } => served.map_err(ServeError::Serve),
            _ = terminate.recv() => Ok(()),
        }
    })
}
