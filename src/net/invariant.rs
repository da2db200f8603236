//! What must hold: asserted in debug builds, counted in release builds.
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

static BROKEN: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// Counts what did not hold and logs its 1st, 2nd, 4th, 8th ... time.
pub fn broken(what: &'static str) {
    let mut counts = BROKEN.lock().unwrap_or_else(PoisonError::into_inner);
    let count = counts.entry(what).or_default();
    *count += 1;
    if count.is_power_of_two() {
        eprintln!("copperspread: invariant broken {count} times: {what}");
    }
}

/// All counts so far, for the closing line of the log.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counts = BROKEN.lock().unwrap_or_else(PoisonError::into_inner);
    counts.iter().map(|(&what, &count)| (what, count)).collect()
}

/// States what must hold here.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:literal) => {
        let holds: bool = $holds;
        debug_assert!(holds, $what);
        if !holds {
            $crate::net::invariant::broken($what);
        }
    };
}
