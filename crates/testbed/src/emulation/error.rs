//! Errors of emulations.
use std::io;

use crate::emulation::scheduler_process::ProcessError;
use crate::emulation::{MAX_JOBS, MAX_SCHEDULERS, MAX_WORKERS};

/// Reasons why a scenario cannot be emulated, or why an emulation is aborted.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EmulationError {
    /// The scenario has more workers or schedulers than one machine can run.
    #[error(
        "{scenario}: {workers} workers and {schedulers} schedulers; emulate supports at most {MAX_WORKERS} and \
         {MAX_SCHEDULERS}"
    )]
    FleetTooLarge {
        /// Name of the scenario that is too large.
        scenario: String,
        /// Number of workers in the scenario's fleet.
        workers: usize,
        /// Number of schedulers in the scenario.
        schedulers: u32,
    },
    /// The scenario sets `discovery.sizes`. The endpoint list must then give a size for each worker, which
    /// falls as the worker's number of jobs rises. The emulation does not refresh these sizes. The value is
    /// the scenario's name.
    #[error("{0}: discovery.sizes: emulate does not refresh the listed sizes; use sim")]
    SizesUnsupported(String),
    /// The scenario has a `DiscoveryMoves` fault, with which schedulers switch to another discovery service.
    /// Only the simulation supports this fault. The value is the scenario's name.
    #[error("{0}: faults: emulate does not support moving discovery; use sim")]
    DiscoveryMoveUnsupported(String),
    /// The scenario has more jobs than one emulation supports. The value is the scenario's name.
    #[error("{0}: more than {MAX_JOBS} jobs")]
    TooManyJobs(String),
    /// The emulation must use schedulers that are already running, but the list of their addresses is empty.
    #[error("no scheduler")]
    NoScheduler,
    /// The async runtime of the emulation cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A socket or temporary directory cannot be created.
    #[error("{resource}: {source}")]
    Resource {
        /// What the socket or directory was needed for, as the error message says.
        resource: &'static str,
        /// The I/O error with which the creation of the socket or directory failed.
        source: io::Error,
    },
    /// A scheduler process failed to start, exited unexpectedly or did not exit on SIGTERM.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fault of the scenario stops a scheduler, but the emulation did not start that scheduler.
    #[error("a fault stops a scheduler that was not started by the emulation")]
    ExternalScheduler,
    /// The histogram that records how late the jobs are sent cannot be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Some jobs have not ended several seconds after the last deadline, which is a bug of the emulation.
    #[error("some jobs did not end after their deadlines; this is a bug in the emulator")]
    UnfinishedJobs,
}

impl EmulationError {
    /// Returns a function that converts an I/O error to [`EmulationError::Resource`]. `resource` says what
    /// the socket or directory was needed for.
    pub(super) fn resource(resource: &'static str) -> impl Fn(io::Error) -> EmulationError {
        move |source| EmulationError::Resource { resource, source }
    }
}
