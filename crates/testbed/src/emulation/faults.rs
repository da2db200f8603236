//! Injects a scenario's faults at their scheduled times.
use std::rc::Rc;

use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::emulation::EmulationError;
use crate::emulation::discovery_server::CONTRADICTION_INTERVAL;
use crate::emulation::environment::Environment;
use crate::emulation::scheduler_process::SchedulerProcess;
use crate::model::fleet::{FaultTarget, FaultTransition};
use crate::model::scheduler_id::SchedulerId;
use crate::scenario::FaultKind;

/// Starts and ends each of the scenario's faults at its scheduled time. Returns an error if a fault cannot be
/// injected, and otherwise never returns.
pub(super) async fn inject_faults(
    environment: &Rc<Environment>,
    transitions: &[FaultTransition],
    processes: &mut [SchedulerProcess],
) -> EmulationError {
    let mut transitions = transitions.to_vec();
    transitions.sort_by_key(|transition| transition.at);
    for transition in transitions {
        sleep_until(environment.instant_at(transition.at)).await;
        if let Err(error) = apply_transition(environment, transition, processes).await {
            return error;
        }
    }
    std::future::pending().await
}

async fn apply_transition(
    environment: &Rc<Environment>,
    transition: FaultTransition,
    processes: &mut [SchedulerProcess],
) -> Result<(), EmulationError> {
    let fault = environment.scenario.faults[transition.fault].kind;
    match (fault, transition.target) {
        (
            FaultKind::SchedulerCrash | FaultKind::SchedulerRestart,
            Some(FaultTarget::Scheduler(scheduler)),
        ) => {
            let process = processes.get_mut(scheduler.index()).ok_or(EmulationError::ExternalScheduler)?;
            if transition.is_start {
                stop_scheduler(environment, scheduler, process, fault).await;
            } else {
                restart_scheduler(environment, scheduler, process).await?;
            }
        }
        (FaultKind::DiscoveryDown, _) if transition.is_start => {
            environment.update_endpoint_list(|list| list.outages += 1);
        }
        (FaultKind::DiscoveryDown, _) => {
            // This task waits for the discovery delay of the scenario, ends the outage and returns.
            spawn_local(end_discovery_outage(Rc::clone(environment)));
        }
        (FaultKind::DiscoveryContradicts, _) => {
            let stale_copy = transition.is_start.then(|| environment.endpoints());
            environment.update_endpoint_list(|list| list.stale_copy = stale_copy);
            if transition.is_start {
                // The task regularly switches between two endpoint lists that discovery serves. It ends at
                // its first switch after the end of the fault.
                spawn_local(alternate_lists(Rc::clone(environment)));
            }
        }
        _ => environment.apply(|state| state.apply_fault(transition)),
    }
    Ok(())
}

/// Marks a scheduler as down, so that clients and workers do not use it, and ends its process. A crash fault
/// kills the process. A restart fault sends SIGTERM, and does not wait until the process has exited.
async fn stop_scheduler(
    environment: &Environment,
    scheduler: SchedulerId,
    process: &mut SchedulerProcess,
    fault: FaultKind,
) {
    environment.schedulers[scheduler.index()].is_up.set(false);
    match fault {
        FaultKind::SchedulerRestart => process.terminate(),
        _ => process.kill().await,
    }
}

async fn restart_scheduler(
    environment: &Environment,
    scheduler: SchedulerId,
    process: &mut SchedulerProcess,
) -> Result<(), EmulationError> {
    process.stop().await?;
    process.start().await?;
    environment.schedulers[scheduler.index()].is_up.set(true);
    Ok(())
}

async fn end_discovery_outage(environment: Rc<Environment>) {
    sleep(environment.discovery_delay()).await;
    // The list of workers with unpublished changes is read only after the discovery delay. It thus includes
    // the workers that changed during the delay.
    let workers = std::mem::take(&mut environment.endpoint_list.borrow_mut().unpublished_workers);
    let endpoints: Vec<_> = workers.into_iter().map(|worker| environment.endpoint(worker)).collect();
    environment.update_endpoint_list(|list| {
        list.outages -= 1;
        list.update(endpoints);
    });
}

/// Makes discovery serve two endpoint lists in turn until the `DiscoveryContradicts` fault ends: the list
/// from the start of the fault, and the current list.
async fn alternate_lists(environment: Rc<Environment>) {
    sleep(environment.discovery_delay()).await;
    let mut is_stale_next = true;
    loop {
        let current = environment.endpoints();
        let stale = environment.endpoint_list.borrow().stale_copy.clone();
        let Some(stale) = stale else {
            return environment.update_endpoint_list(|list| list.replace_all(current));
        };
        let next = if is_stale_next { stale } else { current };
        environment.update_endpoint_list(|list| list.replace_all(next));
        is_stale_next = !is_stale_next;
        sleep(CONTRADICTION_INTERVAL).await;
    }
}
