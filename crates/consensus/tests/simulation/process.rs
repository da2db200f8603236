//! A simulated process with its disk and clock, and the events that reach it.
use copperspread_consensus::{Micros, Node, StorageWrite, StoredState, WriteToken};

use super::rules::TestRules;

const MILLION: i64 = 1_000_000;

pub(super) struct Process {
    pub(super) node: Node<TestRules>,
    pub(super) is_paused: bool,
    /// Messages that arrived while it was paused.
    pub(super) queued: Vec<Message>,
}

/// A message in transit, with the index of its sender.
pub(super) struct Message {
    pub(super) from: usize,
    pub(super) bytes: Vec<u8>,
}

pub(super) enum Event {
    Arrival(Message),
    Persisted(WriteToken, StorageWrite),
    Tick,
    Resume,
}

pub(super) struct ScheduledEvent {
    pub(super) member: usize,
    /// The number of the member's process that the event belongs to.
    pub(super) process_number: u64,
    pub(super) event: Event,
}

#[derive(Clone, Default)]
pub(super) struct Disk {
    pub(super) stored: StoredState,
    pub(super) is_written: bool,
}

/// A clock that has been fast by `ppm` parts per million since it was last set.
pub(super) struct SimulatedClock {
    pub(super) ppm: i64,
    pub(super) set_at: Micros,
    pub(super) reading_when_set: Micros,
}

impl SimulatedClock {
    pub(super) fn reading_at(&self, now: Micros) -> Micros {
        let rate = i128::from(MILLION + self.ppm);
        let elapsed = i128::from(now - self.set_at) * rate / i128::from(MILLION);
        self.reading_when_set + elapsed as Micros
    }
}
