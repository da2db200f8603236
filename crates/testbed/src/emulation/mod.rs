//! Runs a scenario in real time. Schedulers are processes, and everything around them runs here on loopback
//! by the platform's protocol: the same fleet, faults, clients and rule checker as in virtual time.
//!
//! ```text
//!   clients.rs ──HTTP──► scheduler processes ──HTTP──► workers/ (faulty_socket.rs breaks connections)
//!                          ▲ polls discovery              │ each attempt, each load query
//!      discovery_server.rs ◄── environment.rs ◄── state/ (model, rule checker, counts; no socket)
//! ```
//!
//! `run.rs` starts and ends all of it; `faults.rs` plays the scenario's faults.
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

/// Most jobs in one run: each is a task and some connections here.
pub const MAX_JOBS: usize = 200_000;
/// Most workers: more would want more descriptors than an ordinary user has.
pub const MAX_WORKERS: usize = 200;
/// Most schedulers: more are no use on one machine.
pub const MAX_SCHEDULERS: u32 = 16;

/// What the schedulers of a run are.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerInstances {
    /// Processes of this program, started and ended by the run.
    Spawned(SchedulerProgram),
    /// Schedulers that run already, at these addresses. They do not know the emulation's discovery.
    External(Vec<SocketAddr>),
}

/// Emulates a scenario. `policy_name` is what the outcome calls the schedulers' policy.
///
/// # Errors
/// A scenario that is too large for one machine, sockets that cannot be had, or a scheduler that does not
/// start, ends by itself or does not end when told.
pub fn emulate(
    scenario: &Scenario,
    schedulers: &SchedulerInstances,
    policy_name: &str,
    seed: u64,
) -> Result<RunOutcome, EmulationError> {
    check_limits(scenario, seed)?;
    let runtime = single_threaded_runtime().map_err(EmulationError::Runtime)?;
    // All tasks of the run are in this set and end with it.
    LocalSet::new().block_on(&runtime, run::run(scenario, schedulers, policy_name, seed))
}

/// Whether one machine can emulate it.
fn check_limits(scenario: &Scenario, seed: u64) -> Result<(), EmulationError> {
    let workers: usize = scenario.workers.iter().map(|group| group.count as usize).sum();
    let (name, schedulers) = (scenario.name.clone(), scenario.schedulers);
    if workers > MAX_WORKERS || schedulers > MAX_SCHEDULERS {
        return Err(EmulationError::FleetTooLarge { scenario: name, workers, schedulers });
    }
    if scenario.discovery.size_interval_s > 0.0 {
        // Without sizes all workers would pass for idle.
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
