//! Outcomes of attempts and load queries, and load reports of workers.

/// The outcome of an attempt or of a load query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served the attempt or answered the load query.
    Served,
    /// The worker responded with an error; the attempt may have run.
    Error,
    /// The worker rejected the attempt, which never ran.
    Rejected,
    /// There was no response in time; the attempt may have run or may still be running.
    TimedOut,
    /// The connection could not be established; the attempt never ran.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    Reset,
    /// The attempt was cancelled after it had been sent to the worker, so it may have run.
    Cancelled,
    /// The attempt or load query was given up before it was sent.
    Superseded,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded)
    }
}

/// A load report, in which a worker states its load. A value that the worker did not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests that wait at the worker.
    pub queue: Option<f64>,
    /// Number of requests at the worker, waiting or running.
    pub in_flight: Option<f64>,
    /// Fraction of the worker's cores that is in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Number of requests that the worker serves per second.
    pub qps: Option<f64>,
    /// Number of the worker's slots that are free.
    pub free_slots: Option<f64>,
}
