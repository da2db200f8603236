//! The errors of emulations: why a scenario cannot be emulated, or a run ended early.
use std::io;

use crate::emulation::scheduler_process::ProcessError;
use crate::emulation::{MAX_JOBS, MAX_SCHEDULERS, MAX_WORKERS};

/// Why a scenario cannot be emulated.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EmulationError {
    /// More workers or schedulers than one machine can have.
    #[error(
        "{scenario}: {workers} workers and {schedulers} schedulers; emulate plays {MAX_WORKERS} and \
         {MAX_SCHEDULERS} at most"
    )]
    FleetTooLarge {
        /// The scenario's name.
        scenario: String,
        /// Its workers.
        workers: usize,
        /// Its schedulers.
        schedulers: u32,
    },
    /// The scenario, by its name, wants sizes in the endpoint list.
    #[error("{0}: discovery.sizes: emulate's list renews no sizes; sim plays it")]
    SizesUnsupported(String),
    /// The scenario, by its name, moves discovery.
    #[error("{0}: faults: emulate has one discovery, which cannot move; sim plays it")]
    DiscoveryMoveUnsupported(String),
    /// The scenario, by its name, has too many jobs.
    #[error("{0}: more than {MAX_JOBS} jobs")]
    TooManyJobs(String),
    /// No address of a running scheduler is given.
    #[error("no scheduler")]
    NoScheduler,
    /// The runtime cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A socket or folder cannot be had.
    #[error("{resource}: {source}")]
    Resource {
        /// What it is for.
        resource: &'static str,
        /// Why.
        source: io::Error,
    },
    /// A scheduler's process does not run as it must.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fault ends a scheduler that was not started here.
    #[error("a scheduler that was not started here cannot end here")]
    ExternalScheduler,
    /// The delays in sending cannot be recorded.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Clients still wait long after the last deadline.
    #[error("jobs that do not end: a fault of the emulator")]
    UnfinishedJobs,
}

impl EmulationError {
    /// Adds what a socket or folder was for.
    pub(super) fn resource(resource: &'static str) -> impl Fn(io::Error) -> EmulationError {
        move |source| EmulationError::Resource { resource, source }
    }
}
