//! How attempts and load queries complete, and what workers report of their load.

/// How an attempt or a load query completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The worker responded with an error; it may have run.
    Error,
    /// Rejected by the worker; it never ran.
    Rejected,
    /// No response in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Canceled; it may have run.
    Cancelled,
    /// Never sent.
    Superseded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded)
    }
}

/// A worker's report of its load; what is absent was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Requests it holds, waiting or running.
    pub in_flight: Option<f64>,
    /// Fraction of its cores that is in use.
    pub utilization: Option<f64>,
    /// Requests served a second.
    pub qps: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
}
