//! The event log: what a scheduler did, as it happened, as a typed stream of records; one JSON line for each.
//!
//! ```text
//!  serving path ─► Recorder::record ─► bounded queue ─► batch writer (a thread) ─► log file, rotated
//!                                                                                     │
//!                       StreamSummary (one stream), FleetSummary (many) ◄─ Reader ◄───┘
//! ```
//!
//! 1. The serving path passes an [`EventKind`] to a [`recorder::Recorder`]. There it gets its sequence number and both
//!    clocks, and enters a bounded queue; the call never waits. If the queue is full, the record is dropped.
//! 2. A thread of its own writes batches ([`writer`]). What cannot be written is lost, and the scheduler goes on.
//! 3. The sequence numbers of what was dropped or lost are left out. The next record that is written is preceded by an
//!    [`EventKind::Gap`] with the number of missing records.
//! 4. A [`reader`] reads the records back; summaries follow runs and sequence numbers, so that they see gaps and
//!    disorder.
//!
//! The log is not for recovery: it is flushed, not synced, and a crash of the machine may lose its end.
mod batch_writer;
mod config;
mod counter_names;
pub mod error;
mod file_system;
pub mod fleet_summary;
mod log_file;
pub mod reader;
mod record;
pub mod recorder;
mod run_summary;
pub mod run_timeline;
mod sequence_tracker;
pub mod stream_summary;
mod text_format;
mod window_summary;
mod worker_summary;
pub mod writer;

pub use record::{Decision, EndpointEntry, EventKind, FORMAT, Record, RequestCounts};
