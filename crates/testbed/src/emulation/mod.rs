//! The drive in real time: schedulers are processes, and everything round them is played on loopback
//! by the platform's protocol. The same fleet, faults, clients and referee as in virtual time.
//!
//! ```text
//!   clients.rs ──HTTP──► scheduler processes ──HTTP──► workers.rs (socket.rs breaks what is to break)
//!                          ▲ agent of the list            │ each hand-over, each look
//!            listing.rs ◄──── stage.rs (list.rs) ◄──── world.rs (model, referee, tally; no socket)
//! ```
pub mod baseline;
mod clients;
mod discovery_server;
mod endpoint_list;
pub(crate) mod environment;
pub mod faulty_socket;
pub mod scheduler_process;
mod state;
mod workers;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use copperspread_dispatcher::{EndpointUpdateKind, Micros, SECOND, WorkerState};
use hdrhistogram::Histogram;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::model::arrivals::Arrivals;
use crate::model::fleet::{FaultTransition, Fleet};
use crate::model::random::{StreamPurpose, random_stream};
use crate::outcome::{MachineUsage, RunOutcome, RunRecord};
use crate::scenario::{FaultKind, Scenario, micros_from_seconds};
use endpoint_list::VersionedEndpointList;
use environment::{Environment, ListenerState, WorkerListener};
use scheduler_process::{SchedulerProcess, SchedulerProgram, scheduler_config};
use state::EmulationState;

/// More jobs than this are not sent in one run: each is a task and some connections here.
pub const MAX_JOBS: usize = 200_000;
/// More workers than this would want more descriptors than an ordinary user has.
pub const MAX_WORKERS: usize = 200;
/// More schedulers than this are no use on one machine.
pub const MAX_SCHEDULERS: u32 = 16;
/// Time between the schedulers' readiness and the first client.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Jobs that have not ended so long after the last deadline are given up, and that is an error.
const COMPLETION_GRACE: Duration = Duration::from_secs(5);

/// Who plays the schedulers.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerInstances {
    /// Processes of this program, started and ended here.
    Spawned(SchedulerProgram),
    /// They run already, at these addresses. The emulator's list is told to nobody.
    External(Vec<SocketAddr>),
}

/// Plays a scenario in real time. `called` is the name of what plays the schedulers.
///
/// # Errors
/// A scenario that is too large for one machine, sockets that cannot be had, or a scheduler that does not
/// start, ends by itself or does not end when told.
pub fn emulate(
    scenario: &Scenario,
    schedulers: &SchedulerInstances,
    called: &str,
    seed: u64,
) -> Result<RunOutcome, String> {
    check_limits(scenario, seed)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, run(scenario, schedulers, called, seed))
}

/// Whether one machine can play it.
fn check_limits(scenario: &Scenario, seed: u64) -> Result<(), String> {
    let workers: usize = scenario.workers.iter().map(|group| group.count as usize).sum();
    if workers > MAX_WORKERS || scenario.schedulers > MAX_SCHEDULERS {
        return Err(format!(
            "{}: {workers} workers and {} schedulers; emulate plays {MAX_WORKERS} and {MAX_SCHEDULERS} at most",
            scenario.name, scenario.schedulers
        ));
    }
    if scenario.discovery.size_interval_s > 0.0 {
        // Guards against a run in which all workers pass for idle.
        let name = &scenario.name;
        return Err(format!("{name}: discovery.sizes: emulate's list renews no sizes; sim plays it"));
    }
    if scenario.faults.iter().any(|fault| fault.kind == FaultKind::DiscoveryMoves) {
        let name = &scenario.name;
        return Err(format!("{name}: faults: emulate has one discovery, which cannot move; sim plays it"));
    }
    if Arrivals::new(scenario, seed).take(MAX_JOBS + 1).count() > MAX_JOBS {
        return Err(format!("{}: more than {MAX_JOBS} jobs", scenario.name));
    }
    Ok(())
}

fn io_error(what: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |error| format!("{what}: {error}")
}

async fn run(
    scenario: &Scenario,
    schedulers: &SchedulerInstances,
    called: &str,
    seed: u64,
) -> Result<RunOutcome, String> {
    let fleet = Fleet::generate(scenario, seed);
    let (gone, turns) = (fleet.missing_workers.clone(), fleet.fault_transitions.clone());
    // Each worker's port is bound at once and stays so.
    let mut sockets = Vec::new();
    let mut ports = Vec::new();
    for (worker, _) in &fleet.workers {
        let (socket, address) = scheduler_process::reserve_address().map_err(io_error("a worker's port"))?;
        ports.push(WorkerListener::new(
            address,
            if worker.accepts_jobs() { ListenerState::Accepting(0) } else { ListenerState::Refusing },
        ));
        sockets.push(Some(socket));
    }
    let world = EmulationState::new(scenario, fleet, seed);
    let entries: Vec<_> =
        (0..ports.len() as u32).map(|worker| environment::endpoint_of(&world, worker)).collect();
    let mut remembered = entries.clone();
    gone.iter().for_each(|&at| remembered[at as usize].state = WorkerState::Ready);
    let (mut addresses, mut reserved) = (Vec::new(), Vec::new());
    for _ in 0..scenario.schedulers {
        addresses.push(match schedulers {
            SchedulerInstances::Spawned(_) => {
                let (socket, address) =
                    scheduler_process::reserve_address().map_err(io_error("a scheduler's port"))?;
                reserved.push(socket);
                address
            }
            SchedulerInstances::External(at) => {
                *at.get(addresses.len() % at.len().max(1)).ok_or("no scheduler")?
            }
        });
    }
    let stage = Environment::new(world, ports, VersionedEndpointList::new(entries), addresses.clone());
    let stage = Rc::new(stage);
    for (worker, socket) in sockets.iter_mut().enumerate() {
        tokio::task::spawn_local(workers::run_listener(Rc::clone(&stage), worker as u32, socket.take()));
        tokio::task::spawn_local(workers::drive_worker(Rc::clone(&stage), worker as u32));
        tokio::task::spawn_local(workers::report_progress(Rc::clone(&stage), worker as u32));
        tokio::task::spawn_local(workers::refresh_load_reports(Rc::clone(&stage), worker as u32));
    }
    let folder = tempfile::tempdir().map_err(io_error("a folder for configurations"))?;
    let mut processes = Vec::new();
    stage.start_clock();
    for (number, &address) in addresses.iter().enumerate() {
        let number = number as u32;
        let SchedulerInstances::Spawned(program) = schedulers else { break };
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io_error("a list's port"))?;
        let discovery = listener.local_addr().map_err(io_error("a list's port"))?;
        tokio::task::spawn_local(discovery_server::serve_discovery(Rc::clone(&stage), number, listener));
        let known = (scenario.discovery.first_list_after_s > 0.0).then(|| {
            discovery_server::endpoint_list_json(&stage, EndpointUpdateKind::Cached, 0, &remembered)
        });
        let configuration = scheduler_config(scenario, number, seed, address, discovery, known.as_ref());
        processes.push(SchedulerProcess::new(program, folder.path(), number, address, &configuration)?);
    }
    for process in &mut processes {
        process.start().await?;
    }
    sleep(SETTLE_TIME).await;
    // The run's time begins here: what was told before was told at its start.
    stage.start_clock();
    let began = Instant::now();
    let lag = tokio::select! {
        lag = send_jobs(&stage, scenario, seed) => lag,
        error = play_faults(&stage, &turns, &mut processes) => return Err(error),
    };
    let played = began.elapsed();
    let mut cpu = Duration::ZERO;
    for process in &mut processes {
        process.check_running()?;
        cpu += process.pid().and_then(scheduler_process::cpu_time).unwrap_or_default();
    }
    for process in &mut processes {
        process.stop().await?;
    }
    drop(reserved);
    Ok(outcome(&stage, called, seed, lag?, cpu, played))
}

/// Sends all jobs and waits for their ends. Returns how late this was in sending.
async fn send_jobs(stage: &Rc<Environment>, scenario: &Scenario, seed: u64) -> Result<[f64; 2], String> {
    let client = environment::new_http_client();
    let mut lag = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut jobs = JoinSet::new();
    for (number, arrival) in Arrivals::new(scenario, seed).enumerate() {
        let at = stage.instant_at(arrival.at);
        sleep_until(at).await;
        lag.saturating_record(at.elapsed().as_micros() as u64);
        let chance = random_stream(seed.wrapping_add(number as u64), StreamPurpose::Retries);
        jobs.spawn_local(clients::run_job(
            Rc::clone(stage),
            client.clone(),
            number as u64 + 1,
            arrival,
            chance,
        ));
    }
    let longest = scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    let by = Duration::from_secs_f64(longest) + COMPLETION_GRACE;
    let all = timeout(by, async { while jobs.join_next().await.is_some() {} });
    all.await.map_err(|_| "jobs that do not end: a fault of the emulator".to_owned())?;
    Ok([0.99, 1.0].map(|quantile| lag.value_at_quantile(quantile) as f64 / 1e3))
}

/// Plays the faults; returns only when one of them cannot be played.
async fn play_faults(
    stage: &Rc<Environment>,
    turns: &[FaultTransition],
    processes: &mut [SchedulerProcess],
) -> String {
    let mut turns = turns.to_vec();
    turns.sort_by_key(|turn| turn.at);
    for turn in turns {
        sleep_until(stage.instant_at(turn.at)).await;
        let what = stage.scenario.faults[turn.fault].kind;
        match (what, turn.target) {
            (FaultKind::SchedulerCrash | FaultKind::SchedulerRestart, Some(at)) => {
                let up = &stage.schedulers[at as usize].1;
                let Some(process) = processes.get_mut(at as usize) else {
                    return "a scheduler that was not started here cannot end here".into();
                };
                if turn.is_start {
                    up.set(false);
                    match what {
                        FaultKind::SchedulerRestart => process.terminate(),
                        _ => process.kill().await,
                    }
                } else {
                    if let Err(error) = process.stop().await {
                        return error;
                    }
                    if let Err(error) = process.start().await {
                        return error;
                    }
                    up.set(true);
                }
            }
            (FaultKind::DiscoveryDown, _) if turn.is_start => {
                stage.update_endpoint_list(|listing| listing.outages += 1)
            }
            (FaultKind::DiscoveryDown, _) => {
                tokio::task::spawn_local(end_discovery_outage(Rc::clone(stage)));
            }
            (FaultKind::DiscoveryContradicts, _) => {
                let old = turn.is_start.then(|| stage.endpoints());
                stage.update_endpoint_list(|listing| listing.stale_copy = old);
                if turn.is_start {
                    tokio::task::spawn_local(alternate_lists(Rc::clone(stage)));
                }
            }
            _ => stage.apply(|world| world.apply_fault(turn)),
        }
    }
    std::future::pending().await
}

async fn end_discovery_outage(stage: Rc<Environment>) {
    let delay: Micros = micros_from_seconds(stage.scenario.discovery.delay_s);
    sleep(Duration::from_micros(delay)).await;
    // Only now: what changed during the delay waits there as well.
    let untold = std::mem::take(&mut stage.endpoint_list.borrow_mut().unannounced_workers);
    let entries: Vec<_> = untold.into_iter().map(|worker| stage.endpoint(worker)).collect();
    stage.update_endpoint_list(|listing| {
        listing.outages -= 1;
        listing.update(entries);
    });
}

async fn alternate_lists(stage: Rc<Environment>) {
    sleep(Duration::from_micros(micros_from_seconds(stage.scenario.discovery.delay_s))).await;
    let mut old = true;
    loop {
        let now = stage.endpoints();
        let stale = stage.endpoint_list.borrow().stale_copy.clone();
        let Some(stale) = stale else {
            return stage.update_endpoint_list(|listing| listing.replace_all(now));
        };
        stage.update_endpoint_list(|listing| listing.replace_all(if old { stale } else { now }));
        old = !old;
        sleep(discovery_server::CONTRADICTION_INTERVAL).await;
    }
}

fn outcome(
    stage: &Rc<Environment>,
    called: &str,
    seed: u64,
    lag: [f64; 2],
    cpu: Duration,
    played: Duration,
) -> RunOutcome {
    let mut world = stage.state.borrow_mut();
    let referee = std::mem::replace(&mut world.referee, crate::rule_checker::RuleChecker::new(None));
    let jobs = world.tally.job_count();
    RunRecord {
        scenario: &stage.scenario,
        policy: called.to_owned(),
        seed,
        events: 0,
        counter: &world.tally,
        workers: &world.workers,
        kinds: &world.kinds,
        attempts: world.attempts_sent,
        cross_zone_attempts: world.cross_zone_attempts,
        load_queries: world.load_query_count,
        overloads: world.overloaded_workers,
        job_microseconds: world.in_flight_job_micros(),
        violations: referee.into_violations(),
        machine_usage: Some(MachineUsage {
            send_lag_ms: lag,
            cpu_us_per_job: cpu.as_micros() as f64 / jobs.max(1) as f64,
            cores: cpu.as_secs_f64() / played.as_secs_f64().max(1.0 / SECOND as f64),
        }),
    }
    .into_outcome()
}
