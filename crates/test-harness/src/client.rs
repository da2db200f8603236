//! The HTTP client that fetches the members' views of the membership.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::view::MembershipView;

/// Maximum time for a response. A paused member does not respond at all.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The reason why a member's view could not be fetched.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ViewError {
    /// No complete response arrived within the timeout.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The request could not be sent, or received no response.
    #[error(transparent)]
    Response(#[from] hyper_util::client::legacy::Error),
    /// The response body is incomplete or too large.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response has a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response body is not a valid view.
    #[error("invalid view: {0}")]
    Decode(#[source] serde_json::Error),
}

/// The HTTP client that fetches each member's view of the membership.
pub(crate) struct MembershipClient(Client<HttpConnector, Empty<Bytes>>);

impl MembershipClient {
    pub(crate) fn new() -> MembershipClient {
        // No idle connections are kept, because a connection to a process that has been killed is unusable.
        let mut client = Client::builder(TokioExecutor::new());
        client.pool_timer(TokioTimer::new()).pool_max_idle_per_host(0);
        MembershipClient(client.build_http())
    }

    /// Fetches the view of the member that accepts clients at this address.
    pub(crate) async fn fetch_view(&self, address: SocketAddr) -> Result<MembershipView, ViewError> {
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.request_view(address)).await;
        response.unwrap_or(Err(ViewError::Timeout(RESPONSE_TIMEOUT)))
    }

    async fn request_view(&self, address: SocketAddr) -> Result<MembershipView, ViewError> {
        let request = Request::get(format!("http://{address}/-/cluster")).body(Empty::new())?;
        let response = self.0.request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(ViewError::Body)?;
        if status != StatusCode::OK {
            return Err(ViewError::Status(status));
        }
        serde_json::from_slice(&body.to_bytes()).map_err(ViewError::Decode)
    }
}
