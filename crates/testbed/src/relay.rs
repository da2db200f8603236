//! A bare relay: the same exchange as a scheduler's, with the same hyper and axum, and no decision. It
//! sends each job to the next worker and answers with what that calls back. What the scheduler costs
//! beyond this is what its decisions, deadlines and rules cost.
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use copperspread_settings::platform;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http::uri::Authority;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

/// Longest body that is read.
const MAX_BODY_BYTES: usize = 64 * 1024;

struct Relay {
    workers: Vec<Authority>,
    next_worker: AtomicUsize,
    client: Client<HttpConnector, Full<Bytes>>,
    pending: Mutex<HashMap<String, oneshot::Sender<Bytes>>>,
}

#[derive(serde::Deserialize)]
struct Callback {
    id: String,
    state: String,
    #[serde(default)]
    result: String,
}

impl Relay {
    fn lock_pending(&self) -> std::sync::MutexGuard<'_, HashMap<String, oneshot::Sender<Bytes>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward(&self, request: Request) -> Option<Bytes> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        let id = head.headers.get("x-request-id")?.to_str().ok()?.to_owned();
        let at = self.next_worker.fetch_add(1, Ordering::Relaxed) % self.workers.len();
        let path = head.uri.path_and_query()?.clone();
        let uri =
            hyper::Uri::builder().scheme("http").authority(self.workers[at].clone()).path_and_query(path);
        let mut passed = hyper::Request::post(uri.build().ok()?).body(Full::new(body)).ok()?;
        *passed.headers_mut() = head.headers;
        let (told, hears) = oneshot::channel();
        self.lock_pending().insert(id, told);
        let answer = self.client.request(passed).await.ok()?;
        let taken = answer.status() == StatusCode::ACCEPTED;
        Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await.ok()?;
        if taken { hears.await.ok() } else { None }
    }
}

async fn handle_job(State(relay): State<Arc<Relay>>, request: Request) -> Response {
    match relay.forward(request).await {
        Some(result) => Body::from(result).into_response(),
        None => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn handle_callback(State(relay): State<Arc<Relay>>, body: Bytes) -> StatusCode {
    let Ok(news) = serde_json::from_slice::<Callback>(&body) else { return StatusCode::BAD_REQUEST };
    if news.state == "done"
        && let Some(told) = relay.lock_pending().remove(&news.id)
    {
        let _ = told.send(news.result.into());
    }
    StatusCode::NO_CONTENT
}

/// Serves by the configuration that `EDGE_CONFIG` names, to the workers that it knows, until SIGTERM.
///
/// # Errors
/// A configuration that cannot be used, or an address that cannot be listened on.
pub fn serve_relay() -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG names no file".to_owned())?;
    let content = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let start = platform::read_startup_config(&content).map_err(|e| format!("{path}: {e}"))?;
    let known = start.cached_endpoints.ok_or("known: a relay needs its workers at the start")?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let relay = Arc::new(Relay {
        workers: known.endpoints.into_iter().map(|member| member.address).collect(),
        next_worker: AtomicUsize::new(0),
        client: Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector),
        pending: Mutex::default(),
    });
    if relay.workers.is_empty() {
        return Err("known: no workers".into());
    }
    let routes = Router::new()
        .route("/_jobs/news", post(handle_callback))
        .route("/-/ready", get(async || StatusCode::OK))
        .fallback(handle_job)
        .with_state(relay);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        let listener = TcpListener::bind(start.listen).await.map_err(|e| format!("{}: {e}", start.listen))?;
        tokio::select! {
            served = async { axum::serve(listener, routes).await } => served.map_err(|e| e.to_string()),
            _ = term.recv() => Ok(()),
        }
    })
}
