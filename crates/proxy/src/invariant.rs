//! Counts violated invariants, and errors that clients, workers and discovery cause. A violated invariant
//! also fails an assertion in debug builds.
//!
//! The name of a counter is also its log message and its key in the event log, and should therefore not
//! change. If a counter is renamed nevertheless, add its old name to the module `counter_names` of the event
//! log's crate.
use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock, PoisonError};

/// The number of events counted so far by each counter. Only [`count_event_for`] writes to this map.
static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

/// The type of an observer function, which gets a counter's name and count whenever the count reaches a power
/// of two.
pub type CounterObserver = Box<dyn Fn(&'static str, u64) + Send + Sync>;

static OBSERVER: OnceLock<CounterObserver> = OnceLock::new();

/// Sets the process-wide observer of counters. Only the first call has an effect.
pub fn observe_counters(observer: CounterObserver) {
    let _ = OBSERVER.set(observer);
}

/// Counts a violation that the macro `invariant!` has detected, under the name of the violated invariant.
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

/// Counts an event without naming a worker, request class or peer that it concerns; see [`count_event_for`].
pub fn count_event(counter: &'static str, reason: &str) {
    count_event_for(counter, reason, EventSubject::default());
}

/// Counts an event, and logs it with the worker, request class and peer in `subject` when the count reaches a
/// power of two. The log is limited in this way so that a peer that repeats an error cannot flood it or
/// overload the thread that writes it.
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

/// All counters with their counts so far, which are logged at shutdown.
pub fn counts() -> Vec<(&'static str, u64)> {
    let counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    counts.iter().map(|(&counter, &count)| (counter, count)).collect()
}

/// Checks an invariant: a violation fails an assertion in debug builds and is counted in release builds.
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
