//! Invariants, which are asserted in debug builds and counted in release builds, and counters of the mistakes
//! of peers. A counter's name is also its log message and its
//! key in the event log, so that it stays as it was first written; one that changes all the same is listed with its
//! old name in the event log's `counter_names`.
use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock, PoisonError};

/// Owned by this module; only [`note_of`] writes to it.
static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// Called with a counter's name and its count, at the 1st, 2nd, 4th, 8th ... time.
pub type CounterObserver = Box<dyn Fn(&'static str, u64) + Send + Sync>;

static OBSERVER: OnceLock<CounterObserver> = OnceLock::new();

/// Sets the process's one observer of counters; a second one is ignored.
pub fn observe_counters(observer: CounterObserver) {
    let _ = OBSERVER.set(observer);
}

/// Counts an invariant that does not hold.
pub fn broken(invariant: &'static str) {
    note(invariant, "it does not hold");
}

/// Whom a counted event concerns, as far as the code that notes it knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// The worker's name.
    pub worker: Option<&'a str>,
    /// The request class.
    pub class: Option<&'a str>,
    /// The address of the other end.
    pub peer: Option<&'a str>,
}

/// Counts an event of which no subject is known; see [`note_of`].
pub fn note(counter: &'static str, reason: &str) {
    note_of(counter, reason, Subject::default());
}

/// Counts an event and logs its 1st, 2nd, 4th, 8th ... time, with the subject of that time: a peer that repeats
/// its mistake must not flood the log, nor the thread that writes it.
pub fn note_of(counter: &'static str, reason: &str, subject: Subject<'_>) {
    let mut counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    let count = counts.entry(counter).or_default();
    *count += 1;
    if count.is_power_of_two() {
        let Subject { worker, class, peer } = subject;
        tracing::warn!(count, reason, worker, class, peer, "{counter}");
        if let Some(observer) = OBSERVER.get() {
            observer(counter, *count);
        }
    }
}

/// All counts so far, for the closing lines of the log.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    counts.iter().map(|(&counter, &count)| (counter, count)).collect()
}

/// States an invariant.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $invariant:literal) => {
        let holds: bool = $holds;
        debug_assert!(holds, $invariant);
        if !holds {
            $crate::invariant::broken($invariant);
        }
    };
}

#[cfg(test)]
#[path = "../tests/unit/invariant.rs"]
mod tests;
