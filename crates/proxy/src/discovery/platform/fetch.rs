//! HTTP calls to the platform's discovery.
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

/// Maximum length of an endpoint list, in bytes.
///
/// A list of this length has about 10,000 endpoints, more than any expected fleet, and takes a sixteenth of
/// the smallest memory limit of a scheduler process. The 64 KiB limit on the bodies of other messages would
/// allow only about 400 endpoints.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Error of a call to discovery that returned no list.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum FetchError {
    /// Discovery refused the call with this status.
    #[error("answered {0}")]
    Refused(StatusCode),
    /// The address and the path don't form a valid HTTP request.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection to discovery failed.
    #[error(transparent)]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The body of discovery's response ended early or is too long.
    #[error("{0}")]
    Body(Box<dyn Error + Send + Sync>),
    /// The body of discovery's response is not a valid endpoint list.
    #[error("{reason}")]
    InvalidList {
        /// The parser's description of the fault in the list.
        reason: String,
    },
    /// Discovery's response was not received in time.
    #[error("fell silent")]
    TimedOut,
}

impl FetchError {
    /// Returns whether discovery responded and refused the call.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, FetchError::Refused(_))
    }
}

fn invalid_list(error: impl ToString) -> FetchError {
    FetchError::InvalidList { reason: error.to_string() }
}

/// Deadlines at which a call is dropped.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallDeadlines {
    /// Deadline for the head of the response.
    pub(super) head: Instant,
    /// Deadline for the whole response.
    pub(super) body: Instant,
}

/// HTTP client for one discovery address.
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

    /// Fetches a list with one call, which is dropped at its deadlines.
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

    /// Fetches a list with hedged calls, and returns the first list that is received.
    ///
    /// Whenever a further `interval` has passed without a list, another call is made on another connection.
    /// Each call is dropped at `deadline`. If all calls made so far have failed, no further call is made, and
    /// the error of the last failure is returned.
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

    /// Makes a call, and returns the response once its head is received with status 200.
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
