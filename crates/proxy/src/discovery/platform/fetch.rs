//! One call to the platform's discovery.
use std::error::Error;

use bytes::Bytes;
use copperspread_settings::{EndpointList, json, platform};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::uri::{Authority, Uri};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout_at};

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

    /// Fetches a list; the call is dropped at the deadline.
    pub(super) async fn fetch(
        &self,
        address: &Authority,
        path: &str,
        deadline: Instant,
    ) -> Result<EndpointList, FetchError> {
        let fetched = timeout_at(deadline, self.fetch_unbounded(address, path)).await;
        fetched.unwrap_or(Err(FetchError::TimedOut))
    }

    async fn fetch_unbounded(&self, address: &Authority, path: &str) -> Result<EndpointList, FetchError> {
        let uri = Uri::builder().scheme("http").authority(address.clone()).path_and_query(path).build()?;
        let request = Request::get(uri).body(Empty::new())?;
        let response = self.0.request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(FetchError::Refused(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(FetchError::Body)?;
        let value = json::parse_bytes(&body.to_bytes()).map_err(invalid_list)?;
        platform::read_endpoint_list(&value).map_err(invalid_list)
    }
}
