//! Measures what the whole program costs for a job, against a bare relay, in one run: requests a second on
//! one thread and processor time a request. Clients and workers run on threads of their own.
mod stand_ins;
mod table;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Serialize;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::emulation::scheduler_config::SchedulerConfig;
use crate::emulation::scheduler_process::{
    ProcessError, SchedulerProcess, SchedulerProgram, cpu_time, reserve_address, resident_memory_bytes,
};
use crate::http_client::{HttpClient, new_http_client, read_body};
use crate::model::scheduler_id::SchedulerId;
use crate::scenario::Scenario;
use crate::startup::single_threaded_runtime;
use stand_ins::StandIns;
pub use table::format_table;

/// How long each program is warmed up in a round before it is measured.
const WARM_UP: Duration = Duration::from_secs(1);

/// How it is measured.
#[derive(Clone, Copy, Debug)]
pub struct CostSettings {
    /// Rounds, each of every program in turn.
    pub rounds: u32,
    /// Seconds of each program in a round, after one of warming up.
    pub seconds: f64,
    /// Clients that ask one request after the other.
    pub clients: usize,
    /// Workers, each of which calls back at once.
    pub workers: u32,
}

/// What a program cost in one round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CostSample {
    /// Requests a second that were served.
    pub rate: f64,
    /// Processor time for each, in microseconds.
    pub cpu_us: f64,
    /// Resident memory at the end, in megabytes.
    pub resident_mb: f64,
    /// Requests that were answered otherwise.
    pub not_served: u64,
}

/// Programs with what they showed, round by round.
pub type ProgramCosts = Vec<(String, Vec<CostSample>)>;

/// Why no cost can be measured.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CostError {
    /// The scenario that schedulers are configured by is wrong.
    #[error("{0}")]
    Scenario(String),
    /// A socket or a folder cannot be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The workers cannot listen.
    #[error("the workers' side does not start")]
    NoWorkers,
    /// The runtime cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The program does not start, or ends by itself.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The program has no process.
    #[error("it does not run")]
    NotRunning,
}

const COST_SCENARIO: &str = "name = 'cost'\nabout = 'jobs that cost nothing'\nseconds = 1.0\nschedulers = 1\n\
    [clients]\nrate = 1.0\n[cold]\nfall_seconds = 0.0\n\
    [[workers]]\nkind = 'w'\ncount = 1\ncores = 64.0\nslots = 64.0\nspeed = [1.0, 1.0]\n\
    [[classes]]\nname = 'job'\nshare = 1.0\nwork = 0.001\naim = 1.0\ndeadline = 5.0\nworth = 1.0\nrepeat = 'safe'\n";

/// Measures programs in turns.
///
/// # Errors
/// A program that does not start, or sockets that cannot be had.
pub fn measure_costs(
    programs: &[(String, SchedulerProgram)],
    settings: CostSettings,
) -> Result<ProgramCosts, CostError> {
    let mut costs: ProgramCosts = programs.iter().map(|(name, _)| (name.clone(), Vec::new())).collect();
    for round in 0..settings.rounds.max(1) {
        // In alternating order, so that none is always the first.
        let mut order: Vec<usize> = (0..programs.len()).collect();
        if round % 2 == 1 {
            order.reverse();
        }
        for position in order {
            costs[position].1.push(measure_program(&programs[position].1, settings)?);
        }
    }
    Ok(costs)
}

fn measure_program(program: &SchedulerProgram, settings: CostSettings) -> Result<CostSample, CostError> {
    let scenario = Scenario::parse(COST_SCENARIO).map_err(|error| CostError::Scenario(error.to_string()))?;
    // Kept until the program has ended.
    let (_reserved, listen) = reserve_address()?;
    let stand_ins = StandIns::start(listen, settings.workers).ok_or(CostError::NoWorkers)?;
    let runtime = single_threaded_runtime().map_err(CostError::Runtime)?;
    let folder = tempfile::tempdir()?;
    let process = configure(program, &scenario, listen, &stand_ins, folder.path());
    // Clients' tasks end with this set.
    LocalSet::new().block_on(&runtime, async { sample_cost(process?, settings).await })
}

/// The program with its configuration written; it does not run yet.
fn configure(
    program: &SchedulerProgram,
    scenario: &Scenario,
    listen: SocketAddr,
    stand_ins: &StandIns,
    folder: &Path,
) -> Result<SchedulerProcess, ProcessError> {
    let config = SchedulerConfig {
        scenario,
        scheduler: SchedulerId(0),
        seed: 1,
        listen,
        discovery: stand_ins.discovery.address,
        cached_list: Some(&stand_ins.discovery.list),
    };
    SchedulerProcess::new(program, folder, SchedulerId(0), listen, &config.to_platform_json())
}

/// Starts a program, sends requests for a while, and kills it.
async fn sample_cost(mut process: SchedulerProcess, settings: CostSettings) -> Result<CostSample, CostError> {
    process.start().await?;
    let pid = process.pid().ok_or(CostError::NotRunning)?;
    let counts = Rc::new(ResponseCounts::default());
    let client = new_http_client();
    for number in 0..settings.clients as u64 {
        spawn_local(run_client(client.clone(), process.address, number, Rc::clone(&counts)));
    }
    sleep(WARM_UP).await;
    let (started_at, cpu_before) = (Instant::now(), cpu_time(pid).unwrap_or_default());
    let (served_before, not_served_before) = (counts.served.get(), counts.not_served.get());
    sleep(Duration::from_secs_f64(settings.seconds)).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let cpu = cpu_time(pid).unwrap_or_default().saturating_sub(cpu_before);
    let served = counts.served.get() - served_before;
    process.check_running()?;
    let sample = CostSample {
        rate: served as f64 / elapsed_s,
        cpu_us: cpu.as_secs_f64() * 1e6 / served.max(1) as f64,
        resident_mb: resident_memory_bytes(pid).unwrap_or_default() as f64 / 1e6,
        not_served: counts.not_served.get() - not_served_before,
    };
    process.kill().await;
    Ok(sample)
}

/// Responses to all clients of a program.
#[derive(Default)]
struct ResponseCounts {
    served: Cell<u64>,
    not_served: Cell<u64>,
}

/// One client, which sends one request after the other for good.
async fn run_client(client: HttpClient, target: SocketAddr, number: u64, counts: Rc<ResponseCounts>) {
    for turn in 0_u64.. {
        // Never the same id twice.
        let id = (number + 1) << 40 | turn;
        let request = Request::post(format!("http://{target}/job/{id:x}"))
            .header("x-request-id", format!("{id:016x}"))
            .header("x-timeout", "5000m")
            .header("x-cost", "1000")
            .body(Full::from("a job"));
        let Ok(request) = request else { return };
        let is_served = send_request(&client, request).await.is_some_and(|status| status == StatusCode::OK);
        let count = if is_served { &counts.served } else { &counts.not_served };
        count.set(count.get() + 1);
    }
}

/// The status of a response that was read to its end.
async fn send_request(client: &HttpClient, request: Request<Full<Bytes>>) -> Option<StatusCode> {
    let response = client.request(request).await.ok()?;
    let status = response.status();
    read_body(response.into_body()).await.ok()?;
    Some(status)
}
