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
mod list;
mod listing;
pub mod program;
pub mod socket;
pub(crate) mod stage;
mod workers;
mod world;

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
use crate::outcome::{Measured, Outcome, Played};
use crate::scenario::{Scenario, Trouble, micros};
use list::Listing;
use program::{Process, Program, configuration};
use stage::{Door, Port, Stage};
use world::World;

/// More jobs than this are not sent in one run: each is a task and some connections here.
pub const MOST_JOBS: usize = 200_000;
/// More workers than this would want more descriptors than an ordinary user has.
pub const MOST_WORKERS: usize = 200;
/// More schedulers than this are no use on one machine.
pub const MOST_SCHEDULERS: u32 = 16;
/// Time between the schedulers' readiness and the first client.
const SETTLES: Duration = Duration::from_millis(200);
/// Jobs that have not ended so long after the last deadline are given up, and that is an error.
const LAST: Duration = Duration::from_secs(5);

/// Who plays the schedulers.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedulers {
    /// Processes of this program, started and ended here.
    Started(Program),
    /// They run already, at these addresses. The emulator's list is told to nobody.
    Running(Vec<SocketAddr>),
}

/// Plays a scenario in real time. `called` is the name of what plays the schedulers.
///
/// # Errors
/// A scenario that is too large for one machine, sockets that cannot be had, or a scheduler that does not
/// start, ends by itself or does not end when told.
pub fn emulate(
    scenario: &Scenario,
    schedulers: &Schedulers,
    called: &str,
    seed: u64,
) -> Result<Outcome, String> {
    check(scenario, seed)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, run(scenario, schedulers, called, seed))
}

/// Whether one machine can play it.
fn check(scenario: &Scenario, seed: u64) -> Result<(), String> {
    let workers: usize = scenario.workers.iter().map(|group| group.count as usize).sum();
    if workers > MOST_WORKERS || scenario.schedulers > MOST_SCHEDULERS {
        return Err(format!(
            "{}: {workers} workers and {} schedulers; emulate plays {MOST_WORKERS} and {MOST_SCHEDULERS} at most",
            scenario.name, scenario.schedulers
        ));
    }
    if scenario.discovery.sizes > 0.0 {
        // Guards against a run in which all workers pass for idle.
        let name = &scenario.name;
        return Err(format!("{name}: discovery.sizes: emulate's list renews no sizes; sim plays it"));
    }
    if scenario.faults.iter().any(|fault| fault.what == Trouble::DiscoveryMoves) {
        let name = &scenario.name;
        return Err(format!("{name}: faults: emulate has one discovery, which cannot move; sim plays it"));
    }
    if Arrivals::new(scenario, seed).take(MOST_JOBS + 1).count() > MOST_JOBS {
        return Err(format!("{}: more than {MOST_JOBS} jobs", scenario.name));
    }
    Ok(())
}

fn wrong(what: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |error| format!("{what}: {error}")
}

async fn run(
    scenario: &Scenario,
    schedulers: &Schedulers,
    called: &str,
    seed: u64,
) -> Result<Outcome, String> {
    let fleet = Fleet::generate(scenario, seed);
    let (gone, turns) = (fleet.missing_workers.clone(), fleet.fault_transitions.clone());
    // Each worker's port is bound at once and stays so.
    let mut sockets = Vec::new();
    let mut ports = Vec::new();
    for (worker, _) in &fleet.workers {
        let (socket, address) = program::reserve().map_err(wrong("a worker's port"))?;
        ports.push(Port::new(address, if worker.accepts_jobs() { Door::Open(0) } else { Door::Refusing }));
        sockets.push(Some(socket));
    }
    let world = World::new(scenario, fleet, seed);
    let entries: Vec<_> = (0..ports.len() as u32).map(|worker| stage::entry(&world, worker)).collect();
    let mut remembered = entries.clone();
    gone.iter().for_each(|&at| remembered[at as usize].state = WorkerState::Ready);
    let (mut addresses, mut reserved) = (Vec::new(), Vec::new());
    for _ in 0..scenario.schedulers {
        addresses.push(match schedulers {
            Schedulers::Started(_) => {
                let (socket, address) = program::reserve().map_err(wrong("a scheduler's port"))?;
                reserved.push(socket);
                address
            }
            Schedulers::Running(at) => *at.get(addresses.len() % at.len().max(1)).ok_or("no scheduler")?,
        });
    }
    let stage = Stage::new(world, ports, Listing::new(entries), addresses.clone());
    let stage = Rc::new(stage);
    for (worker, socket) in sockets.iter_mut().enumerate() {
        tokio::task::spawn_local(workers::listen(Rc::clone(&stage), worker as u32, socket.take()));
        tokio::task::spawn_local(workers::look(Rc::clone(&stage), worker as u32));
        tokio::task::spawn_local(workers::tell_progress(Rc::clone(&stage), worker as u32));
        tokio::task::spawn_local(workers::refresh(Rc::clone(&stage), worker as u32));
    }
    let folder = tempfile::tempdir().map_err(wrong("a folder for configurations"))?;
    let mut processes = Vec::new();
    stage.begin();
    for (number, &address) in addresses.iter().enumerate() {
        let number = number as u32;
        let Schedulers::Started(program) = schedulers else { break };
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(wrong("a list's port"))?;
        let discovery = listener.local_addr().map_err(wrong("a list's port"))?;
        tokio::task::spawn_local(listing::agent(Rc::clone(&stage), number, listener));
        let known = (scenario.discovery.first_after > 0.0)
            .then(|| listing::form(&stage, EndpointUpdateKind::Cached, 0, &remembered));
        let configuration = configuration(scenario, number, seed, address, discovery, known.as_ref());
        processes.push(Process::new(program, folder.path(), number, address, &configuration)?);
    }
    for process in &mut processes {
        process.start().await?;
    }
    sleep(SETTLES).await;
    // The run's time begins here: what was told before was told at its start.
    stage.begin();
    let began = Instant::now();
    let lag = tokio::select! {
        lag = clients(&stage, scenario, seed) => lag,
        error = faults(&stage, &turns, &mut processes) => return Err(error),
    };
    let played = began.elapsed();
    let mut cpu = Duration::ZERO;
    for process in &mut processes {
        process.still_runs()?;
        cpu += process.pid().and_then(program::cpu_time).unwrap_or_default();
    }
    for process in &mut processes {
        process.stop().await?;
    }
    drop(reserved);
    Ok(outcome(&stage, called, seed, lag?, cpu, played))
}

/// Sends all jobs and waits for their ends. Returns how late this was in sending.
async fn clients(stage: &Rc<Stage>, scenario: &Scenario, seed: u64) -> Result<[f64; 2], String> {
    let client = stage::sender();
    let mut lag = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut jobs = JoinSet::new();
    for (number, arrival) in Arrivals::new(scenario, seed).enumerate() {
        let at = stage.instant(arrival.at);
        sleep_until(at).await;
        lag.saturating_record(at.elapsed().as_micros() as u64);
        let chance = random_stream(seed.wrapping_add(number as u64), StreamPurpose::Retries);
        jobs.spawn_local(clients::job(Rc::clone(stage), client.clone(), number as u64 + 1, arrival, chance));
    }
    let longest = scenario.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let by = Duration::from_secs_f64(longest) + LAST;
    let all = timeout(by, async { while jobs.join_next().await.is_some() {} });
    all.await.map_err(|_| "jobs that do not end: a fault of the emulator".to_owned())?;
    Ok([0.99, 1.0].map(|quantile| lag.value_at_quantile(quantile) as f64 / 1e3))
}

/// Plays the faults; returns only when one of them cannot be played.
async fn faults(stage: &Rc<Stage>, turns: &[FaultTransition], processes: &mut [Process]) -> String {
    let mut turns = turns.to_vec();
    turns.sort_by_key(|turn| turn.at);
    for turn in turns {
        sleep_until(stage.instant(turn.at)).await;
        let what = stage.scenario.faults[turn.fault].what;
        match (what, turn.target) {
            (Trouble::SchedulerCrash | Trouble::SchedulerRestart, Some(at)) => {
                let up = &stage.schedulers[at as usize].1;
                let Some(process) = processes.get_mut(at as usize) else {
                    return "a scheduler that was not started here cannot end here".into();
                };
                if turn.is_start {
                    up.set(false);
                    match what {
                        Trouble::SchedulerRestart => process.terminate(),
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
            (Trouble::DiscoveryDown, _) if turn.is_start => stage.list(|listing| listing.down += 1),
            (Trouble::DiscoveryDown, _) => {
                tokio::task::spawn_local(list_is_back(Rc::clone(stage)));
            }
            (Trouble::DiscoveryContradicts, _) => {
                let old = turn.is_start.then(|| stage.entries());
                stage.list(|listing| listing.contradicted = old);
                if turn.is_start {
                    tokio::task::spawn_local(contradict(Rc::clone(stage)));
                }
            }
            _ => stage.act(|world| world.turn(turn)),
        }
    }
    std::future::pending().await
}

async fn list_is_back(stage: Rc<Stage>) {
    let delay: Micros = micros(stage.scenario.discovery.delay);
    sleep(Duration::from_micros(delay)).await;
    // Only now: what changed during the delay waits there as well.
    let untold = std::mem::take(&mut stage.listing.borrow_mut().untold);
    let entries: Vec<_> = untold.into_iter().map(|worker| stage.entry(worker)).collect();
    stage.list(|listing| {
        listing.down -= 1;
        listing.change(entries);
    });
}

async fn contradict(stage: Rc<Stage>) {
    sleep(Duration::from_micros(micros(stage.scenario.discovery.delay))).await;
    let mut old = true;
    loop {
        let now = stage.entries();
        let stale = stage.listing.borrow().contradicted.clone();
        let Some(stale) = stale else {
            return stage.list(|listing| listing.replace(now));
        };
        stage.list(|listing| listing.replace(if old { stale } else { now }));
        old = !old;
        sleep(listing::TURNS).await;
    }
}

fn outcome(
    stage: &Rc<Stage>,
    called: &str,
    seed: u64,
    lag: [f64; 2],
    cpu: Duration,
    played: Duration,
) -> Outcome {
    let mut world = stage.world.borrow_mut();
    let referee = std::mem::replace(&mut world.referee, crate::referee::Referee::new(None));
    let jobs = world.tally.jobs();
    Played {
        scenario: &stage.scenario,
        policy: called.to_owned(),
        seed,
        events: 0,
        tally: &world.tally,
        workers: &world.workers,
        kinds: &world.kinds,
        attempts: world.attempts_sent,
        crossed: world.crossed,
        probes: world.probed,
        fell: world.fell,
        held: world.held(),
        verdict: referee.verdict(),
        measured: Some(Measured {
            own_lag_ms: lag,
            cpu_us_a_job: cpu.as_micros() as f64 / jobs.max(1) as f64,
            cores: cpu.as_secs_f64() / played.as_secs_f64().max(1.0 / SECOND as f64),
        }),
    }
    .outcome()
}
