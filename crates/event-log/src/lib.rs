//! What a scheduler did, as it happened: a typed stream of records, JSON lines, one a record.
//!
//! 1. The serving path hands a [`EventKind`] to a [`writer::Recorder`]. It gets its sequence number and both clocks
//!    there, and goes into a bounded queue; it never waits. A full queue drops it.
//! 2. A thread of its own writes batches ([`writer`]). What could not be written is lost, and the
//!    scheduler goes on.
//! 3. Whatever was dropped or lost left its numbers out. The next record that is written has a
//!    [`EventKind::Gap`] before it that says how many are missing.
//! 4. A [`reader`] follows runs and numbers, so that it sees gaps and disorder, and takes a torn last
//!    line for what it is.
//!
//! The stream is no journal to recover from: it is flushed, not synced, and a crash of the machine may
//! lose its end.
pub mod fleet_summary;
pub mod reader;
mod record;
pub mod stream_summary;
pub mod writer;

pub use record::*;
