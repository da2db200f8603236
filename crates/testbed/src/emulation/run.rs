//! Executes one emulation run: opens the sockets, starts the tasks and scheduler processes, and builds the
//! outcome.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind, SECOND, WorkerId, WorkerState};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::emulation::clients::{SendLag, send_jobs};
use crate::emulation::discovery_server::{discovery_response_json, serve_discovery};
use crate::emulation::endpoint_list::VersionedEndpointList;
use crate::emulation::environment::{Environment, ListenerState, WorkerListener, endpoint_of};
use crate::emulation::faults::inject_faults;
use crate::emulation::scheduler_config::SchedulerConfig;
use crate::emulation::scheduler_process::{SchedulerProcess, SchedulerProgram, cpu_time, reserve_address};
use crate::emulation::state::EmulationState;
use crate::emulation::{EmulationError, SchedulerInstances, workers};
use crate::model::fleet::{Fleet, worker_ids};
use crate::model::scheduler_id::SchedulerId;
use crate::outcome::{MachineUsage, RunOutcome, RunRecord};
use crate::rule_checker::RuleChecker;
use crate::scenario::Scenario;

/// Time to wait before the clients start, after all schedulers are ready.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Smallest duration by which the schedulers' CPU time is divided, in seconds. A shorter run counts as this
/// long, so that the divisor is never zero.
const MIN_RUN_S: f64 = 1.0 / SECOND as f64;

/// What was measured in an emulation run: how late jobs were sent, the CPU time of the schedulers, and the
/// duration of the run.
struct Measurements {
    send_lag: SendLag,
    scheduler_cpu: Duration,
    duration: Duration,
}

/// Emulates a scenario until all clients' jobs have ended, and returns the outcome.
pub(super) async fn run(
    scenario: &Scenario,
    schedulers: &SchedulerInstances,
    policy_name: &str,
    seed: u64,
) -> Result<RunOutcome, EmulationError> {
    let fleet = Fleet::generate(scenario, seed);
    let (missing_workers, transitions) = (fleet.missing_workers.clone(), fleet.fault_transitions.clone());
    let (listeners, sockets) = bind_workers(&fleet)?;
    let state = EmulationState::new(scenario, fleet, seed);
    let endpoints: Vec<_> = worker_ids(listeners.len()).map(|worker| endpoint_of(&state, worker)).collect();
    let cached_endpoints = cached_endpoints(&endpoints, &missing_workers);
    let (addresses, _reserved) = scheduler_addresses(schedulers, scenario.schedulers)?;
    let list = VersionedEndpointList::new(endpoints);
    let environment = Rc::new(Environment::new(state, listeners, list, addresses));
    spawn_workers(&environment, sockets);
    let folder = tempfile::tempdir().map_err(EmulationError::resource("directory for configurations"))?;
    environment.start_clock();
    let mut processes = match schedulers {
        SchedulerInstances::Spawned(program) => {
            prepare_processes(&environment, program, folder.path(), seed, &cached_endpoints).await?
        }
        SchedulerInstances::External(_) => Vec::new(),
    };
    for process in &mut processes {
        process.start().await?;
    }
    sleep(SETTLE_TIME).await;
    // The run's clock is restarted here, so that the clients start at time 0. Before the restart, the rule
    // checker may have recorded when a scheduler was notified that a worker is not available. Such a record
    // keeps its time on the earlier clock. For example, a record at 0.5 s counts as 0.5 s after the restart,
    // although the notification came before the restart. From the notification on, the rule checker allows
    // attempts to the worker for a grace period, which now ends too late. A violation at the start of the run
    // can therefore be missed, but no false violation is reported.
    environment.start_clock();
    let started_at = Instant::now();
    let send_lag = tokio::select! {
        send_lag = send_jobs(&environment, seed) => send_lag,
        error = inject_faults(&environment, &transitions, &mut processes) => return Err(error),
    };
    let duration = started_at.elapsed();
    let scheduler_cpu = stop_processes(&mut processes).await?;
    let measurements = Measurements { send_lag: send_lag?, scheduler_cpu, duration };
    Ok(outcome(&environment, policy_name, seed, &measurements))
}

/// Binds a loopback port for each worker. The worker's listener task first uses the socket that is bound
/// here. After each change of the port's [`ListenerState`], the task binds the same port again.
fn bind_workers(fleet: &Fleet) -> Result<(Vec<WorkerListener>, Vec<TcpSocket>), EmulationError> {
    let (mut listeners, mut sockets) = (Vec::new(), Vec::new());
    for (worker, _) in &fleet.workers {
        let (socket, address) = reserve_address().map_err(EmulationError::resource("port of a worker"))?;
        let state = if worker.accepts_jobs() { ListenerState::Accepting(0) } else { ListenerState::Refusing };
        listeners.push(WorkerListener::new(address, state));
        sockets.push(socket);
    }
    Ok((listeners, sockets))
}

/// Returns the outdated endpoint list that schedulers have in their cache when they start. The workers in
/// `missing_workers` no longer exist, but the list still has them as ready.
fn cached_endpoints(endpoints: &[Endpoint], missing_workers: &[WorkerId]) -> Vec<Endpoint> {
    let mut cached = endpoints.to_vec();
    for &worker in missing_workers {
        cached[worker.0 as usize].state = WorkerState::Ready;
    }
    cached
}

/// Returns the addresses of the schedulers. For schedulers that the emulation starts, also returns the
/// sockets that reserve these addresses. The sockets must be held for the whole run, so that a restarted
/// scheduler finds its address free.
fn scheduler_addresses(
    schedulers: &SchedulerInstances,
    count: u32,
) -> Result<(Vec<SocketAddr>, Vec<TcpSocket>), EmulationError> {
    let (mut addresses, mut reserved) = (Vec::new(), Vec::new());
    for number in 0..count as usize {
        addresses.push(match schedulers {
            SchedulerInstances::Spawned(_) => {
                let (socket, address) =
                    reserve_address().map_err(EmulationError::resource("port of a scheduler"))?;
                reserved.push(socket);
                address
            }
            SchedulerInstances::External(running) => {
                *running.get(number % running.len().max(1)).ok_or(EmulationError::NoScheduler)?
            }
        });
    }
    Ok((addresses, reserved))
}

/// Starts the tasks of all emulated workers. The tasks end when the run's task set is dropped.
fn spawn_workers(environment: &Rc<Environment>, sockets: Vec<TcpSocket>) {
    for (worker, socket) in worker_ids(sockets.len()).zip(sockets) {
        spawn_local(workers::run_listener(Rc::clone(environment), worker, Some(socket)));
        spawn_local(workers::drive_worker(Rc::clone(environment), worker));
        spawn_local(workers::report_progress(Rc::clone(environment), worker));
        spawn_local(workers::refresh_load_reports(Rc::clone(environment), worker));
    }
}

/// For each scheduler, starts a discovery server and writes the configuration file. The schedulers are not
/// started yet. The discovery servers end when the run's task set is dropped.
async fn prepare_processes(
    environment: &Rc<Environment>,
    program: &SchedulerProgram,
    folder: &std::path::Path,
    seed: u64,
    cached_endpoints: &[Endpoint],
) -> Result<Vec<SchedulerProcess>, EmulationError> {
    let scenario = &environment.scenario;
    let mut processes = Vec::new();
    let ids = SchedulerId::first(environment.schedulers.len() as u32);
    for (id, scheduler) in ids.zip(&environment.schedulers) {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.map_err(EmulationError::resource("port of a discovery server"))?;
        let discovery =
            listener.local_addr().map_err(EmulationError::resource("port of a discovery server"))?;
        spawn_local(serve_discovery(Rc::clone(environment), id, listener));
        let cached_list = (scenario.discovery.first_list_after_s > 0.0)
            .then(|| discovery_response_json(environment, EndpointUpdateKind::Cached, 0, cached_endpoints));
        let config = SchedulerConfig {
            scenario,
            scheduler: id,
            seed,
            listen: scheduler.address,
            discovery,
            cached_list: cached_list.as_ref(),
        };
        let config = config.to_platform_json();
        processes.push(SchedulerProcess::new(program, folder, id, scheduler.address, &config)?);
    }
    Ok(processes)
}

/// Stops the schedulers, and returns the sum of the CPU time that their processes have used. Processes that a
/// fault ended are not included.
async fn stop_processes(processes: &mut [SchedulerProcess]) -> Result<Duration, EmulationError> {
    let mut cpu = Duration::ZERO;
    for process in processes.iter_mut() {
        process.check_running()?;
        cpu += process.pid().and_then(cpu_time).unwrap_or_default();
    }
    for process in processes {
        process.stop().await?;
    }
    Ok(cpu)
}

fn outcome(
    environment: &Environment,
    policy_name: &str,
    seed: u64,
    measurements: &Measurements,
) -> RunOutcome {
    let mut state = environment.state.borrow_mut();
    let rule_checker = std::mem::replace(&mut state.rule_checker, RuleChecker::new(None));
    let jobs = state.outcomes.job_count();
    let Measurements { send_lag, scheduler_cpu, duration } = measurements;
    RunRecord {
        scenario: &environment.scenario,
        policy: policy_name.to_owned(),
        seed,
        events: 0,
        counter: &state.outcomes,
        workers: &state.workers,
        kinds: &state.kinds,
        attempts: state.attempts_sent,
        cross_zone_attempts: state.cross_zone_attempts,
        load_queries: state.load_query_count,
        overloads: state.overload_count,
        job_microseconds: state.in_flight_job_micros(),
        violations: rule_checker.into_violations(),
        machine_usage: Some(MachineUsage {
            send_lag_ms: send_lag.quantiles_ms,
            cpu_us_per_job: scheduler_cpu.as_micros() as f64 / jobs.max(1) as f64,
            cores: scheduler_cpu.as_secs_f64() / duration.as_secs_f64().max(MIN_RUN_S),
        }),
    }
    .into_outcome()
}
