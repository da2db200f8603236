//! Parses the heads of clients' requests.
use axum::http::HeaderMap;
use copperspread_dispatcher::{Idempotency, IncomingRequest, Micros, SECOND};
use copperspread_settings::ProxySettings;

use crate::messages::parse_request_id;

/// A response is due this long before the client stops waiting: it covers the way of both messages and this
/// process's own waits for its part of a core.
const RESPONSE_MARGIN: Micros = 50_000;
/// Longest time-out of a client that is taken as given.
const MAX_CLIENT_TIMEOUT: Micros = 86_400 * SECOND;
/// Headers that concern one connection only and are not forwarded.
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

/// What the head of a client's request says.
pub(super) struct RequestHead {
    /// The request, in the policy's form.
    pub(super) request: IncomingRequest,
    /// The request's id as written.
    pub(super) id: String,
    /// Whether it may run more than once.
    pub(super) idempotency: Idempotency,
}

/// Why a head is not that of a request.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(super) enum RequestHeadError {
    /// A header that must be unique is not: the next reader may choose the other one.
    #[error("{name} comes twice")]
    RepeatedHeader {
        /// The header.
        name: &'static str,
    },
    /// There is no request id.
    #[error("no X-Request-ID")]
    MissingRequestId,
    /// The request id has another form.
    #[error("X-Request-ID {value:?}")]
    InvalidRequestId {
        /// The header's value.
        value: String,
    },
    /// There is no time-out.
    #[error("no X-Timeout")]
    MissingTimeout,
    /// The time-out has another form.
    #[error("X-Timeout {value:?}")]
    InvalidTimeout {
        /// The header's value.
        value: String,
    },
    /// The class wants an idempotency key: no worker could tell the request's repeats from another request.
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
}

/// Parses the headers of a request of a class.
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

/// Which tenant a header names, by its name or number; an unknown one counts as none, which is the number after
/// the last.
fn tenant_index(tenant: &str, tenants: &[String]) -> usize {
    let by_name = tenants.iter().position(|name| name == tenant);
    by_name.or_else(|| tenant.parse().ok()).unwrap_or(tenants.len()).min(tenants.len())
}

/// Parses a number and a unit: `m` for milliseconds, `u` for microseconds. More than a day counts as a day.
pub fn parse_timeout(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros_per_unit = match unit {
        "m" => 1e3,
        "u" => 1.0,
        _ => return None,
    };
    let is_plain = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let timeout: f64 = number.parse().ok().filter(|_| is_plain)?;
    Some(((timeout * micros_per_unit) as Micros).min(MAX_CLIENT_TIMEOUT))
}

/// One of the further attributes, `name=value,name=value`; a garbled one counts as absent.
pub fn parse_attribute(attributes: &str, names: &[&str]) -> Option<f64> {
    let pairs = attributes.split(',').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(name, _)| names.contains(&name.trim()));
    named.next().and_then(|(_, value)| value.trim().parse().ok())
}

/// The headers that are forwarded to a worker: all that do not concern the client connection.
pub(super) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
