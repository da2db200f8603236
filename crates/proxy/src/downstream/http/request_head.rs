//! Parses the heads of client requests.
use axum::http::uri::PathAndQuery;
use axum::http::{HeaderMap, HeaderValue};
use copperspread_dispatcher::{Idempotency, IncomingRequest, Micros, SECOND};
use copperspread_settings::ProxySettings;

use crate::messages::parse_request_id;

/// How much earlier than the client's time-out the response must be ready, in microseconds.
///
/// This time covers the transit of the request and the response, and delays of this process while it waits
/// for a CPU. It is at most a quarter of the client's time-out.
const RESPONSE_MARGIN: Micros = 50_000;
/// The maximum time-out of a client, in microseconds. Longer time-outs are reduced to this value.
const MAX_CLIENT_TIMEOUT: Micros = 86_400 * SECOND;
/// The headers that apply to a single connection (hop-by-hop headers). They are not forwarded to workers.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Parsed head of a client's request.
pub(super) struct RequestHead {
    /// The request in the form that the dispatch policy takes.
    pub(super) request: IncomingRequest,
    /// The request id as the client wrote it.
    pub(super) id: String,
    /// The idempotency of the request's class. It determines whether the request may run more than once.
    pub(super) idempotency: Idempotency,
}

/// Why the head of a client's request is not valid.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum RequestHeadError {
    /// A header of the request that must be unique is repeated. Another server might use the other value, so
    /// the request is refused.
    #[error("header {name} is repeated")]
    RepeatedHeader {
        /// The name of the repeated header.
        name: &'static str,
    },
    /// The request has no request id (`X-Request-ID`).
    #[error("missing X-Request-ID header")]
    MissingRequestId,
    /// The request id (`X-Request-ID`) is malformed.
    #[error("invalid X-Request-ID header: {value:?}")]
    InvalidRequestId {
        /// The malformed request id that was received.
        value: String,
    },
    /// The request has no client time-out (`X-Timeout`).
    #[error("missing X-Timeout header")]
    MissingTimeout,
    /// The client time-out (`X-Timeout`) is malformed.
    #[error("invalid X-Timeout header: {value:?}")]
    InvalidTimeout {
        /// The malformed time-out that was received.
        value: String,
    },
    /// The request has no idempotency key, although its class requires a key. Without a key, workers could
    /// not recognize a retry.
    #[error("missing Idempotency-Key header")]
    MissingIdempotencyKey,
}

/// Parses the headers of a client's request. `class` is the index of the request's class in the settings.
///
/// # Errors
///
/// Returns an error if the request id or the time-out is missing, malformed or repeated, or if a required
/// idempotency key is missing. Any other header that is malformed counts as absent.
pub(super) fn parse_head(
    headers: &HeaderMap,
    class: u32,
    settings: &ProxySettings,
) -> Result<RequestHead, RequestHeadError> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    for name in ["x-request-id", "x-timeout"] {
        if headers.get_all(name).iter().count() > 1 {
            return Err(RequestHeadError::RepeatedHeader { name });
        }
    }
    let id = text("x-request-id").ok_or(RequestHeadError::MissingRequestId)?;
    let request =
        parse_request_id(id).ok_or_else(|| RequestHeadError::InvalidRequestId { value: id.to_owned() })?;
    let timeout_text = text("x-timeout").ok_or(RequestHeadError::MissingTimeout)?;
    let timeout = parse_timeout(timeout_text)
        .ok_or_else(|| RequestHeadError::InvalidTimeout { value: timeout_text.to_owned() })?;
    let idempotency = settings.idempotency[class as usize];
    if matches!(idempotency, Idempotency::IdempotentWithKey { .. })
        && !headers.contains_key("idempotency-key")
    {
        return Err(RequestHeadError::MissingIdempotencyKey);
    }
    let cost_hint_us = text("x-cost").and_then(|cost| cost.parse::<f64>().ok());
    let tenants = &settings.tenants;
    let request = IncomingRequest {
        request,
        class,
        tenant: text("x-tenant-id").map_or(tenants.len(), |tenant| tenant_index(tenant, tenants)) as u32,
        slots: text("x-attrs").and_then(|attributes| parse_attribute(attributes, &["width", "slots"])),
        cost_hint: cost_hint_us.map(|micros| micros / SECOND as f64),
        time_left: timeout.saturating_sub(RESPONSE_MARGIN.min(timeout / 4)),
    };
    Ok(RequestHead { request, id: id.to_owned(), idempotency })
}

/// Returns the index of the tenant that a request's header gives by name or by index.
///
/// An unknown tenant counts as no tenant, whose index is `tenants.len()`.
fn tenant_index(tenant: &str, tenants: &[String]) -> usize {
    let by_name = tenants.iter().position(|name| name == tenant);
    by_name.or_else(|| tenant.parse().ok()).unwrap_or(tenants.len()).min(tenants.len())
}

/// Parses a client's time-out: a decimal number and a unit, `m` for milliseconds or `u` for microseconds.
///
/// Returns the time-out in microseconds, or `None` if the text is malformed. A time-out of more than a day
/// counts as a day.
pub fn parse_timeout(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros_per_unit = match unit {
        "m" => 1e3,
        "u" => 1.0,
        _ => return None,
    };
    let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let timeout: f64 = number.parse().ok().filter(|_| is_decimal)?;
    Some(((timeout * micros_per_unit) as Micros).min(MAX_CLIENT_TIMEOUT))
}

/// Returns the number that `attributes` gives for the first attribute whose name is in `names`.
///
/// `attributes` is a list of the form `name=value,name=value`. A malformed value counts as absent.
pub fn parse_attribute(attributes: &str, names: &[&str]) -> Option<f64> {
    let pairs = attributes.split(',').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(name, _)| names.contains(&name.trim()));
    named.next().and_then(|(_, value)| value.trim().parse().ok())
}

/// Returns the headers of a request that are forwarded to a worker: all headers except the hop-by-hop
/// headers. They share no memory with `headers`.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let copies = headers.iter().filter_map(|(name, value)| Some((name.clone(), copy_value(value)?)));
    let mut headers: HeaderMap = copies.collect();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Returns a copy of a header's value that shares no memory with it. The copy of a valid value is valid.
fn copy_value(value: &HeaderValue) -> Option<HeaderValue> {
    HeaderValue::from_bytes(value.as_bytes()).ok()
}

/// Returns a copy of a request's path and query that shares no memory with them, or `None` if they are not
/// valid.
pub(super) fn copy_path(path: &PathAndQuery) -> Option<PathAndQuery> {
    PathAndQuery::try_from(path.as_str()).ok()
}
