//! HTTP calls to the platform's discovery.
use std::error::Error;
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::Micros;
use copperspread_settings::{EndpointList, json, platform};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::uri::{Authority, Uri};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;
use crate::memory::{MemoryBudget, MemoryUse};

/// Maximum length of an endpoint list, in bytes.
///
/// A list of this length has about 10,000 endpoints, which is more than any expected fleet has. It takes a
/// sixteenth of the smallest memory limit that a scheduler process has. Other messages have bodies of at most
/// 64 KiB, which would be enough for only about 400 endpoints.
const MAX_LIST_BYTES: usize = 2 << 20;
/// The maximum length of a read buffer, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// How many bytes of memory a byte of an endpoint list takes while the list is parsed.
const PARSED_BYTES_PER_BYTE: usize = 10;

/// The reason why a call to discovery returned no endpoint list.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum FetchError {
    /// Discovery refused the call: it answered with this status instead of 200.
    #[error("answered {0}")]
    Refused(StatusCode),
    /// No valid HTTP request can be built from discovery's address and the path.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The HTTP client could not connect to discovery, or the connection failed before the response's head
    /// arrived.
    #[error(transparent)]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The body of discovery's response ended early or is too long.
    #[error("{0}")]
    Body(Box<dyn Error + Send + Sync>),
    /// The body of discovery's response is not a valid endpoint list.
    #[error("{reason}")]
    InvalidList {
        /// The parser's description of what is wrong with the list.
        reason: String,
    },
    /// Discovery's response was not received by the deadline.
    #[error("fell silent")]
    TimedOut,
}

impl FetchError {
    /// Returns whether the call failed because discovery answered with a status other than 200.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, FetchError::Refused(_))
    }
}

fn invalid_list(error: impl ToString) -> FetchError {
    FetchError::InvalidList { reason: error.to_string() }
}

/// The deadlines at which a call to discovery is given up.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallDeadlines {
    /// The instant by which the head of discovery's response must be received.
    pub(super) head: Instant,
    /// The instant by which discovery's whole response must be received.
    pub(super) body: Instant,
}

/// HTTP client that calls discovery. The client is replaced when discovery's address changes.
pub(super) struct DiscoveryClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    /// The memory from which endpoint lists take their part.
    memory: Arc<MemoryBudget>,
}

impl DiscoveryClient {
    pub(super) fn new(memory: Arc<MemoryBudget>) -> DiscoveryClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(1)
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            .build(connector);
        DiscoveryClient { client, memory }
    }

    /// Fetches an endpoint list with one call, which is given up at its deadlines.
    pub(super) async fn fetch(
        &self,
        address: &Authority,
        path: &str,
        deadlines: CallDeadlines,
    ) -> Result<EndpointList, FetchError> {
        let response = timeout_at(deadlines.head, self.request(address, path)).await;
        let response = response.unwrap_or(Err(FetchError::TimedOut))?;
        let list = timeout_at(deadlines.body, read_list(response.into_body(), &self.memory)).await;
        list.unwrap_or(Err(FetchError::TimedOut))
    }

    /// Fetches an endpoint list with several parallel calls, and returns the first list that is received.
    ///
    /// The first call is made at once. Each time `interval` microseconds pass without a list, another call is
    /// made on another connection. All calls are given up at `deadline`. Once every call made so far has
    /// failed, no further call is made, and the error of the call that failed last is returned.
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

    /// Makes one call to discovery, and returns the response as soon as its head has been received with
    /// status 200.
    async fn request(&self, address: &Authority, path: &str) -> Result<Response<Incoming>, FetchError> {
        let uri = Uri::builder().scheme("http").authority(address.clone()).path_and_query(path).build()?;
        let request = Request::get(uri).body(Empty::new())?;
        let response = self.client.request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(FetchError::Refused(response.status()));
        }
        Ok(response)
    }
}

/// Reads an endpoint list. The memory for parsing it is reserved first.
async fn read_list(body: Incoming, memory: &Arc<MemoryBudget>) -> Result<EndpointList, FetchError> {
    let text = collect_text(body).await?;
    let _reservation = memory.reserve(MemoryUse::EndpointList, text.len() * PARSED_BYTES_PER_BYTE).await;
    let value = json::parse_bytes(&text).map_err(invalid_list)?;
    platform::read_endpoint_list(&value).map_err(invalid_list)
}

/// Reads the text of an endpoint list. Each piece of the text is copied and dropped, because it keeps the whole
/// read buffer that it was received in.
async fn collect_text(body: Incoming) -> Result<Vec<u8>, FetchError> {
    let mut text = Vec::with_capacity(body.size_hint().exact().map_or(0, announced_capacity));
    let mut body = Limited::new(body, MAX_LIST_BYTES);
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame.map_err(FetchError::Body)?.into_data() {
            text.extend_from_slice(&piece);
        }
    }
    Ok(text)
}

/// Returns the capacity for a list whose announced length is `length`.
fn announced_capacity(length: u64) -> usize {
    usize::try_from(length).unwrap_or(MAX_LIST_BYTES).min(MAX_LIST_BYTES)
}
