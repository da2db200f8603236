//! Builds requests to workers, reads the bodies of the responses, and determines the outcomes of failed
//! requests.
use std::error::Error as _;
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::{Idempotency, KeyScope, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::uri::{Authority, PathAndQuery, Uri};
use hyper::{Method, Request};
use hyper_util::client::legacy::Error;

use crate::body_collector::{BodyCollector, CollectedBody};
use crate::memory::{MAX_BODY_BYTES, MemoryBudget, MemoryUse};
use crate::upstream::http::guarded_body::{BodyWithheld, GuardedBody};

/// Builds a request to a worker, without headers. Returns `None` if the address and path don't form a valid
/// URI.
pub(super) fn build_request(
    method: Method,
    address: Authority,
    path: PathAndQuery,
    body: GuardedBody,
) -> Option<Request<GuardedBody>> {
    let uri = Uri::builder().scheme("http").authority(address).path_and_query(path).build().ok()?;
    Request::builder().method(method).uri(uri).body(body).ok()
}

/// Reads a worker's response to its end without keeping it, so that the connection can be reused. Stops if
/// the body is longer than [`MAX_BODY_BYTES`].
pub(super) async fn discard_body(body: Incoming) {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    while let Some(Ok(_)) = body.frame().await {}
}

/// Returns the outcome of a request to a worker from which no response was received. `error` says why.
///
/// An outcome that means that the request never ran is returned only if this is certain, which it is in three
/// cases:
///
/// - No connection was established.
/// - The [`GuardedBody`] withheld the request's body, because the request must no longer be written.
/// - The HTTP client library (hyper) did not write the request.
///
/// In all other cases the outcome is [`Outcome::Reset`]: the request may have run.
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

/// Returns whether a request with the given idempotency can be retried at any worker, even if an earlier
/// attempt may have run.
pub(super) fn is_retryable_at_any_worker(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: KeyScope::All, .. }
    )
}

/// Reads the body of a worker's response, which takes its memory from `memory`. Returns an empty body if the
/// body cannot be read.
pub(super) async fn read_body_or_empty(body: Incoming, memory: &Arc<MemoryBudget>) -> Bytes {
    let collected = BodyCollector::new(memory, MemoryUse::WorkerConnection).collect(body).await;
    collected.map_or_else(|_| Bytes::new(), CollectedBody::into_bytes)
}
