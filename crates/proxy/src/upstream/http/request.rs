//! Builds requests to workers, reads their responses' bodies and interprets their failures.
use std::error::Error as _;

use bytes::Bytes;
use copperspread_dispatcher::{Idempotency, KeyScope, Outcome};
use http_body_util::combinators::Collect;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::uri::{Authority, PathAndQuery, Uri};
use hyper::{Method, Request};
use hyper_util::client::legacy::Error;

use crate::upstream::http::guarded_body::{BodyWithheld, GuardedBody};

/// The maximum size of the body of a worker's response.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024;

/// Builds a request without headers; `None` if its address and path do not form a valid URI.
pub(super) fn build_request(
    method: Method,
    address: Authority,
    path: PathAndQuery,
    body: GuardedBody,
) -> Option<Request<GuardedBody>> {
    let uri = Uri::builder().scheme("http").authority(address).path_and_query(path).build().ok()?;
    Request::builder().method(method).uri(uri).body(body).ok()
}

/// Reads the body of a response. Fails if the body is longer than [`MAX_RESPONSE_BODY_BYTES`].
pub(super) fn read_body(body: Incoming) -> Collect<Limited<Incoming>> {
    Limited::new(body, MAX_RESPONSE_BODY_BYTES).collect()
}

/// The outcome of a failed request. An outcome that says that the request never ran is returned only if that
/// is certain: no connection was established, the body was withheld, or the client library did not write the
/// request. In all other cases the outcome is [`Outcome::Reset`].
pub(super) fn failure_outcome(error: &Error) -> Outcome {
    let cause = error.source().and_then(|source| source.downcast_ref::<hyper::Error>());
    let is_withheld =
        cause.and_then(|cause| cause.source()).is_some_and(|source| source.is::<BodyWithheld>());
    match cause {
        _ if is_withheld => Outcome::Superseded,
        _ if error.is_connect() => Outcome::ConnectFailed,
        Some(cause) if cause.is_canceled() => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}

/// Whether a request with the given idempotency can be retried at any worker although an earlier attempt may
/// have run.
pub(super) fn is_retryable_at_any_worker(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: KeyScope::All, .. }
    )
}

/// Reads the body of a response. Returns an empty body if the response's body cannot be read.
pub(super) async fn read_body_or_empty(body: Incoming) -> Bytes {
    read_body(body).await.map_or_else(|_| Bytes::new(), |body| body.to_bytes())
}
