//! Emulation: runs a scenario in real time with scheduler processes and loopback sockets.
//!
//! Clients, workers and discovery run in this process. Their messages have the same form as in production,
//! where schedulers run on a hosting platform. Fleet, faults, clients and rule checker are the same as in the
//! simulation.
//!
//! The main modules:
//!
//! | Module | Contents |
//! |---|---|
//! | `clients` | the clients, which send requests to the scheduler processes over HTTP |
//! | `discovery_server` | the discovery servers, which the scheduler processes poll for the endpoint list |
//! | `workers` | the workers, to which the scheduler processes send attempts and load queries over HTTP |
//! | `faulty_socket` | the socket of a worker's connection, which injects connection faults |
//! | `callbacks` | the sending of callbacks from workers to scheduler processes |
//! | `state` | the worker models, the rule checker and the counts; uses no socket |
//! | `environment` | the state that all tasks share, the workers' listeners and the endpoint list |
//! | `faults` | the injection of the scenario's faults |
//! | `run` | the start and the stop of all parts |
pub mod baseline;
mod callbacks;
mod clients;
mod discovery_server;
mod endpoint_list;
pub(crate) mod environment;
mod error;
mod faults;
pub mod faulty_socket;
pub(crate) mod messages;
pub(crate) mod platform_json;
mod run;
pub mod scheduler_config;
pub mod scheduler_process;
mod state;
mod workers;

use std::net::SocketAddr;

use tokio::task::LocalSet;

use crate::model::arrivals::Arrivals;
use crate::outcome::RunOutcome;
use crate::scenario::{FaultKind, Scenario};
use crate::startup::single_threaded_runtime;
pub use error::EmulationError;
use scheduler_process::SchedulerProgram;

/// Maximum number of jobs in one emulation run, because each job takes a task and several connections in this
/// process.
pub const MAX_JOBS: usize = 200_000;
/// Maximum number of workers in one emulation run. More workers would exceed the usual limit of file
/// descriptors per process.
pub const MAX_WORKERS: usize = 200;
/// Maximum number of schedulers in one emulation run. More scheduler processes are not useful on one machine.
pub const MAX_SCHEDULERS: u32 = 16;

/// The schedulers of an emulation: either processes that the emulation starts, or processes that are already
/// running.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerInstances {
    /// The emulation starts and stops the schedulers, which are processes of the given program.
    Spawned(SchedulerProgram),
    /// The schedulers are already running at these addresses. They do not poll the emulation's discovery.
    External(Vec<SocketAddr>),
}

/// Emulates a scenario and returns the outcome of the run. `policy_name` is the name that the outcome gives
/// for the schedulers' policy.
///
/// # Errors
/// Fails if the scenario is too large for one machine or needs a feature that the emulation does not support.
/// Fails if a socket or temporary directory cannot be created. Fails if a scheduler does not start, exits
/// unexpectedly or does not exit on SIGTERM. Also fails if the list of external schedulers is empty, if a
/// fault stops an external scheduler, or if a job does not end.
pub fn emulate(
    scenario: &Scenario,
    schedulers: &SchedulerInstances,
    policy_name: &str,
    seed: u64,
) -> Result<RunOutcome, EmulationError> {
    check_limits(scenario, seed)?;
    let runtime = single_threaded_runtime().map_err(EmulationError::Runtime)?;
    // All tasks of the run belong to this task set. Dropping the task set cancels them.
    LocalSet::new().block_on(&runtime, run::run(scenario, schedulers, policy_name, seed))
}

/// Checks that one machine can run the scenario, and that the emulation supports the scenario's features.
fn check_limits(scenario: &Scenario, seed: u64) -> Result<(), EmulationError> {
    let workers: usize = scenario.workers.iter().map(|group| group.count as usize).sum();
    let (name, schedulers) = (scenario.name.clone(), scenario.schedulers);
    if workers > MAX_WORKERS || schedulers > MAX_SCHEDULERS {
        return Err(EmulationError::FleetTooLarge { scenario: name, workers, schedulers });
    }
    if scenario.discovery.size_interval_s > 0.0 {
        // The scenario has discovery refresh the sizes of the workers in the endpoint list at this interval.
        // A worker's size falls as its number of jobs rises, so schedulers derive the worker's load from the
        // size. The emulation does not refresh the sizes, and schedulers would take all workers for idle. The
        // scenario is therefore rejected.
        return Err(EmulationError::SizesUnsupported(name));
    }
    if scenario.faults.iter().any(|fault| fault.kind == FaultKind::DiscoveryMoves) {
        return Err(EmulationError::DiscoveryMoveUnsupported(name));
    }
    if Arrivals::new(scenario, seed).take(MAX_JOBS + 1).count() > MAX_JOBS {
        return Err(EmulationError::TooManyJobs(name));
    }
    Ok(())
}
