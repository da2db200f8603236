//! Errors of emulations.
use std::io;

use crate::emulation::scheduler_process::ProcessError;
use crate::emulation::{MAX_JOBS, MAX_SCHEDULERS, MAX_WORKERS};

/// Reasons why a scenario cannot be emulated or a run is aborted.
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
    /// The scenario of this name sets `discovery.sizes`, so that the worker sizes in the endpoint list must
    /// be refreshed regularly, but the emulation does not refresh these sizes.
    #[error("{0}: discovery.sizes: emulate does not refresh the listed sizes; use sim")]
    SizesUnsupported(String),
    /// The scenario of this name has a `DiscoveryMoves` fault, which only the simulation supports.
    #[error("{0}: faults: emulate does not support moving discovery; use sim")]
    DiscoveryMoveUnsupported(String),
    /// The scenario of this name has more jobs than one emulation supports.
    #[error("{0}: more than {MAX_JOBS} jobs")]
    TooManyJobs(String),
    /// The emulation is to use schedulers that are already running, but the list of their addresses is empty.
    #[error("no scheduler")]
    NoScheduler,
    /// The async runtime of the emulation cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A socket or temporary directory cannot be created.
    #[error("{resource}: {source}")]
    Resource {
        /// What the socket or directory was for, as shown in the message.
        resource: &'static str,
        /// The I/O error with which the creation failed.
        source: io::Error,
    },
    /// A scheduler process failed to start, exited unexpectedly or did not exit on SIGTERM.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fault stops a scheduler that the emulation did not start.
    #[error("a fault stops a scheduler that was not started by the emulation")]
    ExternalScheduler,
    /// The histogram of the delays with which jobs are sent cannot be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Some clients are still waiting long after the last deadline.
    #[error("some jobs did not end after their deadlines; this is a bug in the emulator")]
    UnfinishedJobs,
}

impl EmulationError {
    /// Returns a function that adds the purpose of a socket or directory to an I/O error.
    pub(super) fn resource(resource: &'static str) -> impl Fn(io::Error) -> EmulationError {
        move |source| EmulationError::Resource { resource, source }
    }
}
