//! Requests to workers and what their failures mean.
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

/// Longest body of a worker's response that is read.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024;

/// A request without headers, if its address and path make a URI.
pub(super) fn build_request(
    method: Method,
    address: Authority,
    path: PathAndQuery,
    body: GuardedBody,
) -> Option<Request<GuardedBody>> {
    let uri = Uri::builder().scheme("http").authority(address).path_and_query(path).build().ok()?;
    Request::builder().method(method).uri(uri).body(body).ok()
}

/// Reads a response's body to its end or its bound.
pub(super) fn read_body(body: Incoming) -> Collect<Limited<Incoming>> {
    Limited::new(body, MAX_RESPONSE_BODY_BYTES).collect()
}

/// What a failed request means. It never ran only where the protocol proves it: no connection came up, its body
/// was withheld, or the client library gave the request back unwritten. In doubt it is a reset.
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

/// Whether a request that may have run may be sent to any worker.
pub(super) fn may_run_anywhere(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: KeyScope::All, .. }
    )
}

/// A response body's bytes, empty where it could not be read.
pub(super) async fn read_body_or_empty(body: Incoming) -> Bytes {
    read_body(body).await.map_or_else(|_| Bytes::new(), |body| body.to_bytes())
}
