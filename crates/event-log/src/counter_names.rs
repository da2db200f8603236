//! Converts the old names of counters, which earlier versions of the scheduler wrote, to the current names.
use serde::{Deserialize, Deserializer};

/// Pairs of an old counter name and the current name of the same counter.
const RENAMED_COUNTERS: [(&str, &str); 3] = [
    ("an action finds its flow", "an action finds its request"),
    ("a flow has one scheduling at a real server", "a request has one attempt at a worker"),
    ("a kept connection broke under its next request", "a reused connection broke under its request"),
];

/// Deserializes the name of a counter. An old name is converted to the current name.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let written = String::deserialize(deserializer)?;
    let renamed = RENAMED_COUNTERS.iter().find(|(old, _)| *old == written);
    Ok(renamed.map_or(written, |(_, current)| (*current).to_owned()))
}
