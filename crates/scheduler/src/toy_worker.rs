//! A toy worker for trying out the scheduler, and a toy discovery service whose endpoint list contains only
//! that worker. Both listen only on loopback addresses and are not meant for real traffic.
//!
//! The toy worker accepts every request that has an id. It processes two requests at a time; further requests
//! wait. For each request, the worker first sends a callback to the scheduler that the request has started.
//! Then it sleeps for the request's cost hint (the header `X-Cost`, in microseconds). At the end, it sends
//! the result in a final callback. The final callback contains a load report with the number of free slots.
use std::future::IntoFuture;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::Request;
use axum::http::{HeaderMap, StatusCode};
use axum::routing::{any, get};
use http_body_util::Full;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tracing::{debug, info, warn};

/// Address on which the toy discovery service listens.
const DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";
/// Name of the toy worker in the built-in default configuration and in the toy discovery's endpoint list.
const DEFAULT_WORKER_NAME: &str = "toy-1";
/// Address of the toy worker in the built-in default configuration and in the toy discovery's endpoint list.
const DEFAULT_WORKER_ADDRESS: &str = "127.0.0.1:9001";
/// Maximum number of requests that the toy worker processes at the same time.
const SLOTS: usize = 2;
/// How long the toy worker sleeps for a request without a valid cost hint, in microseconds.
const DEFAULT_COST_MICROS: u64 = 100_000;

type CallbackClient = Client<HttpConnector, Full<Bytes>>;

/// State shared by all requests of one toy worker.
#[derive(Clone)]
struct ToyWorker {
    client: CallbackClient,
    scheduler: SocketAddr,
    name: Arc<str>,
    slots: Arc<Semaphore>,
}

impl ToyWorker {
    fn new(scheduler: SocketAddr, name: &str) -> ToyWorker {
        ToyWorker {
            client: Client::builder(TokioExecutor::new()).build_http(),
            scheduler,
            name: name.into(),
            slots: Arc::new(Semaphore::new(SLOTS)),
        }
    }

    /// Accepts a request and spawns a task that processes it. A request without an id is not accepted but
    /// answered with status 404.
    fn accept(self, headers: &HeaderMap, request: &Request) -> StatusCode {
        let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let Some(id) = header("x-request-id") else { return StatusCode::NOT_FOUND };
        let cost_us = header("x-cost").and_then(|cost| cost.parse().ok()).unwrap_or(DEFAULT_COST_MICROS);
        let (method, uri) = (request.method(), request.uri());
        info!(request_id = id, cost_us, %method, %uri, "toy worker accepted a request");
        tokio::spawn(self.process_request(id.to_owned(), Duration::from_micros(cost_us)));
        StatusCode::ACCEPTED
    }

    /// Processes a request: waits for a free slot, sends a callback that the request has started, sleeps for
    /// `cost` and sends the result in a final callback.
    async fn process_request(self, id: String, cost: Duration) {
        let Ok(slot) = self.slots.acquire().await else { return };
        let name = &self.name;
        self.send_callback(format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#)).await;
        sleep(cost).await;
        drop(slot);
        let free = self.slots.available_permits();
        let final_fields =
            format!(r#""state":"done","result":"{id} is done","load":{{"x0":{free},"waiting":0}}"#);
        self.send_callback(format!(r#"{{"id":"{id}","from":"{name}",{final_fields}}}"#)).await;
    }

    /// Sends a callback to the scheduler. A failed callback is not retried, although a real worker would
    /// retry it.
    async fn send_callback(&self, body: String) {
        let uri = format!("http://{}/_jobs/news", self.scheduler);
        let request =
            hyper::Request::post(uri).body(Full::from(body)).expect("the callback request is valid");
        match self.client.request(request).await {
            Ok(response) => debug!(status = response.status().as_u16(), "toy worker's callback was answered"),
            Err(error) => {
                let (worker, scheduler) = (&*self.name, self.scheduler);
                warn!(%error, worker, %scheduler, "toy worker's callback failed");
            }
        }
    }
}

/// Answers a request to the toy discovery service with the complete endpoint list. The list never changes and
/// always has revision 1.
///
/// A request with the parameter `from=1` is a watch: it asks for the changes after revision 1. A watch is
/// answered after the number of milliseconds in its parameter `hold_ms`.
async fn answer_with_list(request: Request) -> String {
    let query = request.uri().query().unwrap_or_default();
    let numeric_parameter =
        |prefix| query.split('&').find_map(|pair| pair.strip_prefix(prefix)?.parse::<u64>().ok());
    if numeric_parameter("from=") == Some(1) {
        sleep(Duration::from_millis(numeric_parameter("hold_ms=").unwrap_or(0))).await;
    }
    let attributes = r#""locality":"a","flavor":"toy","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0"#;
    let (name, address) = (DEFAULT_WORKER_NAME, DEFAULT_WORKER_ADDRESS);
    let endpoint = format!(r#"{{"id":"{name}","host_port":"{address}",{attributes}}}"#);
    format!(r#"{{"revision":1,"complete":true,"members":[{endpoint}]}}"#)
}

/// Runs a toy worker with the name `name` that listens on `address` and sends callbacks to `scheduler`. The
/// worker runs until the returned future is dropped.
///
/// # Errors
/// Fails if the worker cannot listen on the address or the address is not a loopback address.
pub(crate) async fn serve(scheduler: SocketAddr, name: &str, address: &str) -> io::Result<()> {
    let worker = ToyWorker::new(scheduler, name);
    let accept = move |headers: HeaderMap, request: Request| async move { worker.accept(&headers, &request) };
    let listener = listen(address).await?;
    info!(worker = name, address, "toy worker is listening");
    // The scheduler sends cancellations to `/jobs/{id}`. The toy worker answers them with status 204 but does
    // not cancel the request.
    let router = Router::new().route("/jobs/{id}", any(async || StatusCode::NO_CONTENT)).fallback(accept);
    axum::serve(listener, router).await
}

/// Runs a toy worker on 127.0.0.1:9001 and a toy discovery service on 127.0.0.1:8500. The endpoint list of
/// the service contains that worker. The worker sends its callbacks to `scheduler`.
///
/// # Errors
/// Fails if the worker or the discovery service cannot listen on its address.
pub(crate) async fn serve_with_discovery(scheduler: SocketAddr) -> io::Result<()> {
    let listener = listen(DISCOVERY_ADDRESS).await?;
    let router = Router::new().route("/api/targets", get(answer_with_list));
    info!(address = DISCOVERY_ADDRESS, "toy discovery is listening");
    tokio::try_join!(
        axum::serve(listener, router).into_future(),
        serve(scheduler, DEFAULT_WORKER_NAME, DEFAULT_WORKER_ADDRESS)
    )?;
    Ok(())
}

async fn listen(address: &str) -> io::Result<TcpListener> {
    let with_address = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
    let parsed: SocketAddr = address.parse().map_err(io::Error::other).map_err(with_address)?;
    if !parsed.ip().is_loopback() {
        return Err(with_address(io::Error::other("is not a loopback address")));
    }
    TcpListener::bind(parsed).await.map_err(with_address)
}
