//! One call to the platform's discovery.
use std::error::Error;

use bytes::Bytes;
use copperspread_dispatcher::Micros;
use copperspread_settings::{EndpointList, json, platform};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::http::uri::{Authority, Uri};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;

/// Longest list that is read: some 10,000 endpoints, so that no fleet in sight reaches it, and a sixteenth of the
/// least memory. The 64 KiB of the protocol's other bodies hold about 400.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum FetchError {
    /// Discovery refused the call.
    #[error("answered {0}")]
    Refused(StatusCode),
    /// The address and the path make no request.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The body broke off or is too long.
    #[error("{0}")]
    Body(Box<dyn Error + Send + Sync>),
    /// The body is no endpoint list.
    #[error("{reason}")]
    InvalidList {
        /// What is wrong with it.
        reason: String,
    },
    /// No answer came in time.
    #[error("fell silent")]
    TimedOut,
}

impl FetchError {
    /// Whether discovery answered, and refused.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, FetchError::Refused(_))
    }
}

fn invalid_list(error: impl ToString) -> FetchError {
    FetchError::InvalidList { reason: error.to_string() }
}

/// When a call is dropped.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallDeadlines {
    /// Unless the head of its response has come.
    pub(super) head: Instant,
    /// Unless all of it has come.
    pub(super) body: Instant,
}

/// The HTTP client of one discovery address.
pub(super) struct DiscoveryClient(Client<HttpConnector, Empty<Bytes>>);

impl DiscoveryClient {
    pub(super) fn new() -> DiscoveryClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(1)
            .retry_canceled_requests(false)
            .build(connector);
        DiscoveryClient(client)
    }

    /// Fetches a list; the call is dropped at its deadlines.
    pub(super) async fn fetch(
        &self,
        address: &Authority,
        path: &str,
        deadlines: CallDeadlines,
    ) -> Result<EndpointList, FetchError> {
        let response = timeout_at(deadlines.head, self.request(address, path)).await;
        let response = response.unwrap_or(Err(FetchError::TimedOut))?;
        let list = timeout_at(deadlines.body, read_list(response.into_body())).await;
        list.unwrap_or(Err(FetchError::TimedOut))
    }

    /// Fetches a list by hedged calls: after each interval without a list the call is made again on a further
    /// connection, and the first list counts. All are dropped at the deadline.
    pub(super) async fn fetch_hedged(
        &self,
        address: &Authority,
        path: &str,
        interval: Micros,
        deadline: Instant,
    ) -> Result<EndpointList, FetchError> {
        let mut calls = FuturesUnordered::new();
        loop {
            calls.push(self.fetch(address, path, CallDeadlines { head: deadline, body: deadline }));
            let next_call_at = from_now(interval);
            while let Ok(Some(fetched)) = timeout_at(next_call_at, calls.next()).await {
                if fetched.is_ok() || calls.is_empty() {
                    return fetched;
                }
            }
        }
    }

    /// Makes a call; returns the response once its head says that it brings a list.
    async fn request(&self, address: &Authority, path: &str) -> Result<Response<Incoming>, FetchError> {
        let uri = Uri::builder().scheme("http").authority(address.clone()).path_and_query(path).build()?;
        let request = Request::get(uri).body(Empty::new())?;
        let response = self.0.request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(FetchError::Refused(response.status()));
        }
        Ok(response)
    }
}

async fn read_list(body: Incoming) -> Result<EndpointList, FetchError> {
    let body = Limited::new(body, MAX_LIST_BYTES).collect().await;
    let body = body.map_err(FetchError::Body)?;
    let value = json::parse_bytes(&body.to_bytes()).map_err(invalid_list)?;
    platform::read_endpoint_list(&value).map_err(invalid_list)
}
