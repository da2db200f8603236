//! The emulated workers: their ports, their responses to attempts and load queries, and the tasks that run
//! their models.
mod listener;
mod requests;

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until};

use crate::emulation::environment::Environment;
use crate::scenario::micros_from_seconds;
use copperspread_dispatcher::WorkerId;
pub(super) use listener::run_listener;

/// Runs a worker's model in real time until the run's task set is dropped. Each event of the model is handled
/// when it is due.
pub(super) async fn drive_worker(environment: Rc<Environment>, worker: WorkerId) {
    let wake = &environment.listeners[worker.0 as usize].wake;
    loop {
        match environment.apply(|state| state.advance_worker(worker)) {
            Some(due_at) => tokio::select! {
                () = sleep_until(due_at) => {}
                () = wake.notified() => {}
            },
            None => wake.notified().await,
        }
    }
}

/// Sends progress callbacks for a worker's jobs at regular intervals, until the run's task set is dropped.
/// Returns at once if the scenario sets no interval.
pub(super) async fn report_progress(environment: Rc<Environment>, worker: WorkerId) {
    let interval = micros_from_seconds(environment.scenario.load_reports.progress_interval_s);
    if interval == 0 {
        return;
    }
    loop {
        sleep(Duration::from_micros(interval)).await;
        environment.apply(|state| state.report_progress(worker));
    }
}

/// Renews a worker's load report at regular intervals, until the run's task set is dropped. The worker
/// answers load queries with these reports. Returns at once if the scenario has no load queries.
pub(super) async fn refresh_load_reports(environment: Rc<Environment>, worker: WorkerId) {
    let reports = &environment.scenario.load_reports;
    if reports.load_query.is_none() {
        return;
    }
    let interval = Duration::from_micros(micros_from_seconds(reports.refresh_interval_s));
    loop {
        environment.apply(|state| state.refresh_load_report(worker));
        sleep(interval).await;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/emulation_workers.rs"]
mod tests;
