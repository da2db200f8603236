//! Helpers that the tests of the reader and the writer share.
use copperspread_event_log::EventKind;
use copperspread_event_log::reader::{Line, Reader};

pub(crate) fn counter_event(count: u64) -> EventKind {
    EventKind::CounterReached { counter: "x".repeat(40), count }
}

pub(crate) fn lines(bytes: &[u8]) -> Vec<Line> {
    Reader::new(bytes).map(|line| line.expect("reading from memory succeeds").1).collect()
}
