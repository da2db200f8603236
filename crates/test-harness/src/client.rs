//! The HTTP client that asks members for their view.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::view::MembershipView;

/// Longest wait for a response: a paused member gives none.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Why a member's view is not known.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ViewError {
    /// No whole response in time.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The request could not be made.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The request could not be sent, or got no response.
    #[error(transparent)]
    Response(#[from] hyper_util::client::legacy::Error),
    /// The response's body was cut short or is too large.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response is no view.
    #[error("no view: {0}")]
    Decode(#[source] serde_json::Error),
}

/// Asks members for their view.
pub(crate) struct MembershipClient(Client<HttpConnector, Empty<Bytes>>);

impl MembershipClient {
    pub(crate) fn new() -> MembershipClient {
        // A connection for each request: one to a process that has since been killed is of no use.
        let mut client = Client::builder(TokioExecutor::new());
        client.pool_timer(TokioTimer::new()).pool_max_idle_per_host(0);
        MembershipClient(client.build_http())
    }

    /// The view of the member that serves at this address.
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
