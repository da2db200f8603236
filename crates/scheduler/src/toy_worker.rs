//! A toy real server and the discovery that lists it, to try the scheduler with. See README.md.
//!
//! The real server takes any job, works on it for as long as `X-Cost` says and calls back. It holds
//! one job at a time for each of its two slots and reports the slots that are free.
use std::future::IntoFuture;
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

const DISCOVERY: &str = "127.0.0.1:8500";
/// Where the toy listens that the built-in default lists, and its name there.
pub const DEFAULT: (&str, &str) = ("toy-1", "127.0.0.1:9001");
const SLOTS: usize = 2;

type Caller = Client<HttpConnector, Full<Bytes>>;

/// Tells the scheduler what became of a job, once; a real one would try again.
async fn call_back(caller: &Caller, scheduler: SocketAddr, body: String) {
    let uri = format!("http://{scheduler}/_jobs/news");
    let request = hyper::Request::post(uri).body(Full::from(body)).expect("a request");
    match caller.request(request).await {
        Ok(answer) => debug!(status = answer.status().as_u16(), "toy: a call-back is answered"),
        Err(error) => warn!(%error, "toy: a call-back failed"),
    }
}

/// What all jobs of one toy share.
#[derive(Clone)]
struct Toy {
    caller: Caller,
    scheduler: SocketAddr,
    name: Arc<str>,
    slots: Arc<Semaphore>,
}

async fn work(toy: Toy, id: String, cost: Duration) {
    let Toy { caller, scheduler, name, slots } = toy;
    let Ok(slot) = slots.acquire().await else { return };
    call_back(&caller, scheduler, format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#)).await;
    sleep(cost).await;
    drop(slot);
    let free = slots.available_permits();
    let result = format!(r#""state":"done","result":"{id} is done","load":{{"x0":{free},"waiting":0}}"#);
    call_back(&caller, scheduler, format!(r#"{{"id":"{id}","from":"{name}",{result}}}"#)).await;
}

/// The whole list. A watch from its only version is held for as long as it asks.
async fn targets(request: Request) -> String {
    let query = request.uri().query().unwrap_or_default();
    let figure = |name| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    if figure("from=") == Some(1) {
        sleep(Duration::from_millis(figure("hold_ms=").unwrap_or(0))).await;
    }
    let place = r#""locality":"a","flavor":"toy","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0"#;
    let (name, address) = DEFAULT;
    let member = format!(r#"{{"id":"{name}","host_port":"{address}",{place}}}"#);
    format!(r#"{{"revision":1,"complete":true,"members":[{member}]}}"#)
}

/// Serves a toy real server by its name and address for a scheduler, until the task is dropped.
///
/// # Errors
/// An address that cannot be listened on, or that is not this machine's own.
pub async fn serve(scheduler: SocketAddr, name: &str, address: &str) -> std::io::Result<()> {
    let toy = Toy {
        caller: Client::builder(TokioExecutor::new()).build_http(),
        scheduler,
        name: name.into(),
        slots: Arc::new(Semaphore::new(SLOTS)),
    };
    let take = move |headers: HeaderMap, request: Request| async move {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        match text("x-request-id") {
            None => StatusCode::NOT_FOUND,
            Some(id) => {
                let cost = text("x-cost").and_then(|cost| cost.parse().ok()).unwrap_or(100_000);
                info!(id, cost_us = cost, "toy: {} {}", request.method(), request.uri());
                tokio::spawn(work(toy, id, Duration::from_micros(cost)));
                StatusCode::ACCEPTED
            }
        }
    };
    let listener = listen(address).await?;
    info!("toy: the real server {name} listens on {address}");
    let router = Router::new().route("/jobs/{id}", any(async || StatusCode::NO_CONTENT)).fallback(take);
    axum::serve(listener, router).await
}

/// Serves the default toy and the discovery that lists it.
///
/// # Errors
/// As [`serve`].
pub async fn serve_with_discovery(scheduler: SocketAddr) -> std::io::Result<()> {
    let listener = listen(DISCOVERY).await?;
    let router = Router::new().route("/api/targets", get(targets));
    info!("toy: discovery listens on {DISCOVERY}");
    let (name, address) = DEFAULT;
    tokio::try_join!(axum::serve(listener, router).into_future(), serve(scheduler, name, address))?;
    Ok(())
}

async fn listen(address: &str) -> std::io::Result<TcpListener> {
    let named = |error: std::io::Error| std::io::Error::new(error.kind(), format!("{address}: {error}"));
    // A toy is no server for others.
    let at: SocketAddr = address.parse().map_err(std::io::Error::other).map_err(named)?;
    if !at.ip().is_loopback() {
        return Err(named(std::io::Error::other("is not a loopback address")));
    }
    TcpListener::bind(at).await.map_err(named)
}
