//! Makes the HTTP client that the testbed's clients, workers and relay use.
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Longest request or response body that the testbed reads, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// A pooled HTTP/1 client for requests with a short body.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes a client that never resends a request by itself: that would hide broken connections from
/// whatever counts them.
pub(crate) fn new_http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Reads a body to its end, so that its connection can carry the next request.
///
/// # Errors
/// A body over [`MAX_BODY_BYTES`], or a connection that breaks.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    Ok(Limited::new(body, MAX_BODY_BYTES).collect().await?.to_bytes())
}
