//! The HTTP client that fetches the members' views of the membership.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::view::MembershipView;

/// How long the client waits for a member's complete response. A paused member does not respond at all.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the body of a member's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The reason why a member's view could not be fetched.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ViewError {
    /// The member sent no complete response within the timeout.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The HTTP request for the member's view could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The HTTP request could not be sent to the member, or the member did not respond to it.
    #[error(transparent)]
    Response(#[from] hyper_util::client::legacy::Error),
    /// The body of the member's response is incomplete or too large.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The member's response has a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The body of the member's response is not a valid view.
    #[error("invalid view: {0}")]
    Decode(#[source] serde_json::Error),
}

/// The HTTP client that fetches each member's view of the membership.
pub(crate) struct MembershipClient(Client<HttpConnector, Empty<Bytes>>);

impl MembershipClient {
    pub(crate) fn new() -> MembershipClient {
        // The client keeps no idle connections. A kept connection would be unusable once the process of the
        // member has been killed.
        let mut client = Client::builder(TokioExecutor::new());
        client.pool_timer(TokioTimer::new()).pool_max_idle_per_host(0);
        MembershipClient(client.build_http())
    }

    /// Fetches the view of the membership from the member that accepts clients at this address.
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
