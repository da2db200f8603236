//! Counts the received client requests, the written responses, and the requests whose client disconnected
//! before the response was written.
use std::sync::atomic::{AtomicU64, Ordering};

/// The numbers of client requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// The number of client requests whose head was received.
    pub received: u64,
    /// The number of client requests whose response was written.
    pub answered: u64,
    /// The number of client requests whose client disconnected before the response was written.
    pub disconnected: u64,
}

impl RequestTotals {
    /// Returns the number of client requests whose response has not been written and whose client is still
    /// connected.
    pub fn unanswered(&self) -> u64 {
        self.received.saturating_sub(self.answered + self.disconnected)
    }
}

/// The counters from which [`RequestTotals`] is filled.
#[derive(Default)]
pub(super) struct RequestCounters {
    received: AtomicU64,
    answered: AtomicU64,
    disconnected: AtomicU64,
}

impl RequestCounters {
    pub(super) fn add_received(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_answered(&self, count: usize) {
        self.answered.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(super) fn add_disconnected(&self, count: usize) {
        self.disconnected.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(super) fn totals(&self) -> RequestTotals {
        RequestTotals {
            received: self.received.load(Ordering::Relaxed),
            answered: self.answered.load(Ordering::Relaxed),
            disconnected: self.disconnected.load(Ordering::Relaxed),
        }
    }
}
