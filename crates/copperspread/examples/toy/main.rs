//! A toy real server and the discovery that lists it, to try the scheduler with. See README.md.
//!
//! The real server takes any job, works on it for as long as `X-Cost` says and calls back. It holds
//! one job at a time for each of its two slots and reports the slots that are free.
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

const SCHEDULER: &str = "127.0.0.1:8081";
const DISCOVERY: &str = "127.0.0.1:8500";
const REAL_SERVER: &str = "127.0.0.1:9001";
const SLOTS: usize = 2;

type Caller = Client<HttpConnector, Full<Bytes>>;

/// Tells the scheduler what became of a job, once; a real one would try again.
async fn call_back(caller: &Caller, body: String) {
    let uri = format!("http://{SCHEDULER}/_jobs/news");
    let request = hyper::Request::post(uri).body(Full::from(body)).expect("a request");
    match caller.request(request).await {
        Ok(answer) => println!("call-back answered {}", answer.status()),
        Err(error) => println!("call-back failed: {error}"),
    }
}

async fn work(caller: Caller, slots: Arc<Semaphore>, id: String, cost: Duration) {
    let Ok(slot) = slots.acquire().await else { return };
    call_back(&caller, format!(r#"{{"id":"{id}","from":"toy-1","state":"started"}}"#)).await;
    sleep(cost).await;
    drop(slot);
    let free = slots.available_permits();
    let result = format!(r#""state":"done","result":"{id} is done","load":{{"x0":{free},"waiting":0}}"#);
    call_back(&caller, format!(r#"{{"id":"{id}","from":"toy-1",{result}}}"#)).await;
}

/// The whole list. A watch from its only version is held for as long as it asks.
async fn targets(request: Request) -> String {
    let query = request.uri().query().unwrap_or_default();
    let figure = |name| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    if figure("from=") == Some(1) {
        sleep(Duration::from_millis(figure("hold_ms=").unwrap_or(0))).await;
    }
    let place = r#""locality":"a","flavor":"toy","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0"#;
    let member = format!(r#"{{"id":"toy-1","host_port":"{REAL_SERVER}",{place}}}"#);
    format!(r#"{{"revision":1,"complete":true,"members":[{member}]}}"#)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    let slots = Arc::new(Semaphore::new(SLOTS));
    let take = move |headers: HeaderMap, request: Request| async move {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        println!("{} {}", request.method(), request.uri());
        match text("x-request-id") {
            None => StatusCode::NOT_FOUND,
            Some(id) => {
                let cost = text("x-cost").and_then(|cost| cost.parse().ok()).unwrap_or(100_000);
                tokio::spawn(work(caller, slots, id, Duration::from_micros(cost)));
                StatusCode::ACCEPTED
            }
        }
    };
    let discovery = TcpListener::bind(DISCOVERY).await?;
    tokio::spawn(async move {
        let router = Router::new().route("/api/targets", get(targets));
        axum::serve(discovery, router).await
    });
    println!("the toy real server listens on {REAL_SERVER}, discovery on {DISCOVERY}");
    let router = Router::new().route("/jobs/{id}", any(async || StatusCode::NO_CONTENT)).fallback(take);
    axum::serve(TcpListener::bind(REAL_SERVER).await?, router).await
}
