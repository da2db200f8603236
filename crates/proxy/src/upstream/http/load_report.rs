//! Parses the load reports that workers send. A malformed load report is ignored.
use std::collections::HashMap;

use copperspread_dispatcher::LoadReport;
use copperspread_settings::json::{self, field};
use hyper::HeaderMap;
use tinyjson::JsonValue;

/// The name of the response header that contains a load report.
const LOAD_HEADER: &str = "x-server-load";

/// Parses a load report that is a JSON object. Returns `None` if `object` is not an object or a value is not
/// a finite number.
pub(super) fn parse_load_object(object: &JsonValue) -> Option<LoadReport> {
    let fields: &HashMap<String, JsonValue> = object.get()?;
    let mut report = LoadReport::default();
    for (name, value) in fields {
        let value: &f64 = value.get()?;
        if !value.is_finite() {
            return None;
        }
        set_field(&mut report, name, *value);
    }
    Some(report)
}

/// Parses a load report that is the value of a header: the word `TEXT`, then a list `name=value, name=value`.
/// Returns `None` if the value is malformed.
pub fn parse_load_header(value: &str) -> Option<LoadReport> {
    let pairs = value.trim().strip_prefix("TEXT")?;
    let mut report = LoadReport::default();
    for pair in pairs.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        set_field(&mut report, name.trim(), value);
    }
    Some(report)
}

/// Returns the load report in the headers of a worker's response, or `None` without a valid load report.
pub(super) fn header_load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(LOAD_HEADER).and_then(|value| value.to_str().ok());
    value.and_then(parse_load_header)
}

/// Returns the load report in a worker's response to a load query, or `None` without a valid load report.
///
/// The body may contain the load report as a JSON object, or as text in the form of the load report header.
/// If the body contains no load report, the header is used.
pub fn parse_load_response(headers: &HeaderMap, body: &[u8]) -> Option<LoadReport> {
    let object = json::parse_bytes(body).ok();
    let from_object =
        object.as_ref().and_then(|object| parse_load_object(field(object, "load").unwrap_or(object)));
    let from_text = std::str::from_utf8(body).ok().and_then(parse_load_header);
    from_object.or(from_text).or_else(|| header_load_report(headers))
}

/// Sets the field of a load report that has the name `name` in the protocol. An unknown name is ignored.
fn set_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "queue" | "waiting" => report.queue = Some(value),
        "inflight" | "active" => report.in_flight = Some(value),
        "util" | "cpu" => report.utilization = Some(value),
        "qps" | "rps" => report.qps = Some(value),
        "x0" => report.free_slots = Some(value),
        _ => {}
    }
}
