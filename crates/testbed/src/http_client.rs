//! The HTTP client with which the testbed's clients, workers and relay send their requests.
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Maximum size of a request or response body that the testbed reads, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// An HTTP/1 client with a connection pool, for requests with a short body.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates an HTTP client that never resends a request by itself. An automatic resend would hide a broken
/// connection from the code that counts broken connections.
pub(crate) fn new_http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Reads the body of a request or response to its end, so that the connection can be reused for the next
/// request.
///
/// # Errors
/// Fails if the body exceeds [`MAX_BODY_BYTES`] or the connection breaks.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    Ok(Limited::new(body, MAX_BODY_BYTES).collect().await?.to_bytes())
}
