//! What must hold: asserted in debug builds, counted in release builds. And the counts of what peers
//! did wrong.
use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock, PoisonError};

static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// What hears of a count at its 1st, 2nd, 4th, 8th ... time.
pub type Heard = Box<dyn Fn(&'static str, u64) + Send + Sync>;

static HEARD: OnceLock<Heard> = OnceLock::new();

/// Has the counts heard, once for all; a second hearer is not taken.
pub fn hear(heard: Heard) {
    let _ = HEARD.set(heard);
}

/// Counts what did not hold.
pub fn broken(what: &'static str) {
    note(what, "it does not hold");
}

/// Counts a kind of event and logs its 1st, 2nd, 4th, 8th ... time. Guards against a log, and a
/// thread that writes it, drowned by a peer that repeats its mistake.
pub fn note(what: &'static str, why: &str) {
    let mut counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    let count = counts.entry(what).or_default();
    *count += 1;
    if count.is_power_of_two() {
        tracing::warn!(count, why, "{what}");
        if let Some(heard) = HEARD.get() {
            heard(what, *count);
        }
    }
}

/// All counts so far, for the closing line of the log.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    counts.iter().map(|(&what, &count)| (what, count)).collect()
}

/// States what must hold here.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:literal) => {
        let holds: bool = $holds;
        debug_assert!(holds, $what);
        if !holds {
            $crate::invariant::broken($what);
        }
    };
}

#[cfg(test)]
#[path = "../tests/unit/invariant.rs"]
mod tests;
