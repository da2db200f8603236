//! The event log of a scheduler. This crate writes the scheduler's events as typed records, each a line of
//! JSON. It also reads and summarizes these records.
//!
//! ```text
//!  serving path ─► Recorder::record ─► bounded queue ─► batch writer (a thread) ─► log file, rotated
//!                                                                                     │
//!                       StreamSummary (one stream), FleetSummary (many) ◄─ Reader ◄───┘
//! ```
//!
//! A stream is the sequence of lines of one scheduler's event log. The lines come from one or more files, or
//! from output that another program has collected. A stream may contain several runs. A run lasts from a
//! start of the scheduler to its end.
//!
//! 1. The code that serves requests passes an [`EventKind`] to a [`recorder::Recorder`]. The recorder adds a
//!    sequence number, the wall-clock time and the monotonic-clock time. Then it puts the record into a
//!    bounded queue. The call never waits for space in the queue: if the queue is full, the record is
//!    dropped.
//! 2. A separate thread writes the records in batches ([`writer`]). Records that cannot be written are lost,
//!    and the scheduler continues.
//! 3. The sequence numbers of dropped and lost records are not used again. The next record that is written is
//!    preceded by an [`EventKind::Gap`] with the number of missing records.
//! 4. A [`reader`] reads the records. Summaries track the sequence numbers of each run, and so report records
//!    that are missing or out of order.
//!
//! The event log is not meant for recovery. Batches are written to the operating system but not synced to
//! disk, so the last records may be lost if the machine crashes.
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

pub use record::{Decision, EndpointEntry, EventKind, FORMAT_VERSION, Record, RequestCounts};
