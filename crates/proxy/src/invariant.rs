//! Counts violated invariants, and errors that clients, workers and discovery cause. In debug builds, a
//! violated invariant also fails an assertion.
//!
//! The name of a counter should not change, because it is also the counter's log message and its key in the
//! event log. If a counter is renamed nevertheless, its old name must be added to the module `counter_names`
//! of the event log's crate.
use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock, PoisonError};

/// The number of events that each counter has counted, keyed by the counter's name. Only [`count_event_for`]
/// changes this map.
static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// A function that is called with a counter's name and count each time the count reaches a power of two.
pub type CounterObserver = Box<dyn Fn(&'static str, u64) + Send + Sync>;

static OBSERVER: OnceLock<CounterObserver> = OnceLock::new();

/// Sets the function that is called when any counter of this module reaches a power of two. Each counter
/// counts one kind of event in this process, such as a violated invariant or an error of a worker. Only the
/// first call of `observe_counters` has an effect.
pub fn observe_counters(observer: CounterObserver) {
    let _ = OBSERVER.set(observer);
}

/// Counts a violated invariant that the macro `invariant!` has detected. The counter has the name of the
/// invariant.
pub fn count_violation(invariant: &'static str) {
    count_event(invariant, "it does not hold");
}

/// The worker, request class and peer that a counted event concerns, as far as they are known.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventSubject<'a> {
    /// Name of the worker that the event concerns, if known.
    pub worker: Option<&'a str>,
    /// Name of the request class that the event concerns, if known.
    pub class: Option<&'a str>,
    /// Network address of the peer that the event concerns, if known.
    pub peer: Option<&'a str>,
}

/// Counts an event that is not tied to a worker, request class or peer. See [`count_event_for`].
pub fn count_event(counter: &'static str, reason: &str) {
    count_event_for(counter, reason, EventSubject::default());
}

/// Counts an event. When the count reaches a power of two, the event is logged with the worker, request class
/// and peer in `subject`.
///
/// Other counts are not logged. A peer that repeats an error can therefore neither flood the log nor overload
/// the thread that writes it.
pub fn count_event_for(counter: &'static str, reason: &str, subject: EventSubject<'_>) {
    let mut counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    let count = counts.entry(counter).or_default();
    *count += 1;
    if count.is_power_of_two() {
        let EventSubject { worker, class, peer } = subject;
        tracing::warn!(count, reason, worker, class, peer, "{counter}");
        if let Some(observer) = OBSERVER.get() {
            observer(counter, *count);
        }
    }
}

/// The names of all counters with their counts so far. They are logged at shutdown.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    counts.iter().map(|(&counter, &count)| (counter, count)).collect()
}

/// Checks an invariant. A violation fails an assertion in debug builds, and is counted in release builds.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $invariant:literal) => {
        let holds: bool = $holds;
        debug_assert!(holds, $invariant);
        if !holds {
            $crate::invariant::count_violation($invariant);
        }
    };
}

#[cfg(test)]
#[path = "../tests/unit/invariant.rs"]
mod tests;
