//! The event log of a scheduler: writes the scheduler's events as typed records, each a line of JSON, and
//! reads and summarizes the records.
//!
//! ```text
//!  serving path ─► Recorder::record ─► bounded queue ─► batch writer (a thread) ─► log file, rotated
//!                                                                                     │
//!                       StreamSummary (one stream), FleetSummary (many) ◄─ Reader ◄───┘
//! ```
//!
//! A stream is the sequence of lines of one scheduler's event log, from one or more files or from collected
//! output; it may hold several runs. A run lasts from a start of the scheduler to its end.
//!
//! 1. The serving path passes an [`EventKind`] to a [`recorder::Recorder`], which adds a sequence number and
//!    the times of both clocks and puts the record into a bounded queue. The call never waits: if the queue
//!    is full, the record is dropped.
//! 2. A separate thread writes the records in batches ([`writer`]). Records that cannot be written are lost,
//!    and the scheduler continues.
//! 3. The sequence numbers of dropped and lost records are left out. The next record that is written is
//!    preceded by an [`EventKind::Gap`] with the number of missing records.
//! 4. A [`reader`] reads the records. Summaries track the sequence numbers of each run, and so report records
//!    that are missing or out of order.
//!
//! The log is not meant for recovery: batches are written to the operating system but not synced to disk, so
//! the last records may be lost if the machine crashes.
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
