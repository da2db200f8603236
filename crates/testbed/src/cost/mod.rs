//! Measures the throughput and the CPU time per request of scheduler programs, which run on one thread.
//!
//! Several programs are measured in turn, so that their results can be compared. Usually they are the
//! scheduler and a relay that makes no dispatch decision. The clients run on the measuring thread. The
//! workers and discovery are stubs, which run on a second thread.
mod stub_fleet;
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
use stub_fleet::StubFleet;
pub use table::format_table;

/// Time for which the clients send requests to a program in each round before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(1);

/// Settings of a cost measurement.
#[derive(Clone, Copy, Debug)]
pub struct CostSettings {
    /// Number of rounds; each round measures every program once.
    pub rounds: u32,
    /// Duration of each measurement of a program, in seconds. A warm-up of one second precedes the
    /// measurement.
    pub seconds: f64,
    /// Number of concurrent clients; each sends its next request once the previous one has its response.
    pub clients: usize,
    /// Number of stub workers, each of which accepts every job and sends the job's callback immediately.
    pub workers: u32,
}

/// The measurements of one scheduler program in one round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CostSample {
    /// Number of requests that the program served per second.
    pub rate: f64,
    /// CPU time that the program used for each served request, in microseconds.
    pub cpu_us: f64,
    /// Resident memory of the program at the end of the measurement, in megabytes (10^6 bytes).
    pub resident_mb: f64,
    /// Number of requests that were rejected, failed or got no response.
    pub not_served: u64,
}

/// The name of each measured program, with the program's measurements in the order of the rounds.
pub type ProgramCosts = Vec<(String, Vec<CostSample>)>;

/// Errors of a cost measurement.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CostError {
    /// The scenario from which the configuration of the measured programs is generated is invalid.
    #[error("{0}")]
    Scenario(String),
    /// A socket or a temporary directory cannot be created.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The stub workers or the stub discovery service cannot listen, or the runtime of their thread cannot be
    /// created.
    #[error("the stub workers did not start")]
    NoWorkers,
    /// The async runtime for the clients cannot be created.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A measured program does not start, or exits during the measurement.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The process of a measured program has already ended when the measurement begins, so it has no process
    /// id.
    #[error("the program is not running")]
    NotRunning,
}

/// Scenario from which the configuration of the measured programs is generated. The workers and clients of
/// the scenario are not run.
const COST_SCENARIO: &str = "name = 'cost'\nabout = 'jobs that cost nothing'\nseconds = 1.0\nschedulers = 1\n\
    [clients]\nrate = 1.0\n[cold]\nfall_seconds = 0.0\n\
    [[workers]]\nkind = 'w'\ncount = 1\ncores = 64.0\nslots = 64.0\nspeed = [1.0, 1.0]\n\
    [[classes]]\nname = 'job'\nshare = 1.0\nwork = 0.001\naim = 1.0\ndeadline = 5.0\nworth = 1.0\nrepeat = 'safe'\n";

/// Measures each scheduler program once in each round. `programs` has the name and the command of each
/// program.
///
/// # Errors
/// Fails if a program does not start or exits early, or if a socket or directory cannot be created.
pub fn measure_costs(
    programs: &[(String, SchedulerProgram)],
    settings: CostSettings,
) -> Result<ProgramCosts, CostError> {
    let mut costs: ProgramCosts = programs.iter().map(|(name, _)| (name.clone(), Vec::new())).collect();
    for round in 0..settings.rounds.max(1) {
        // Every second round reverses the order, so that no program is always measured first.
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
    // The socket that reserves the program's listen address is held until the program has ended. Until then,
    // the kernel assigns the address to no other socket. The program can still listen on the address, because
    // its listener sets `SO_REUSEADDR`.
    let (_reserved, listen) = reserve_address()?;
    let stubs = StubFleet::start(listen, settings.workers).ok_or(CostError::NoWorkers)?;
    let runtime = single_threaded_runtime().map_err(CostError::Runtime)?;
    let folder = tempfile::tempdir()?;
    let process = configure(program, &scenario, listen, &stubs, folder.path());
    // The tasks of the clients are cancelled when this task set is dropped.
    LocalSet::new().block_on(&runtime, async { sample_cost(process?, settings).await })
}

/// Writes a program's configuration to `folder`, without starting the program.
fn configure(
    program: &SchedulerProgram,
    scenario: &Scenario,
    listen: SocketAddr,
    stubs: &StubFleet,
    folder: &Path,
) -> Result<SchedulerProcess, ProcessError> {
    let config = SchedulerConfig {
        scenario,
        scheduler: SchedulerId(0),
        seed: 1,
        listen,
        discovery: stubs.discovery.address,
        cached_list: Some(&stubs.discovery.list),
    };
    SchedulerProcess::new(program, folder, SchedulerId(0), listen, &config.to_platform_json())
}

/// Starts a scheduler program, measures it while the clients send requests, and kills it.
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

/// Number of served requests and number of other requests, counted over all clients of a measured program.
#[derive(Default)]
struct ResponseCounts {
    served: Cell<u64>,
    not_served: Cell<u64>,
}

/// Runs one client, which sends requests one after another until its task is cancelled.
async fn run_client(client: HttpClient, target: SocketAddr, client_index: u64, counts: Rc<ResponseCounts>) {
    for sequence in 0_u64.. {
        // The upper bits of a request id identify the client, so that no two clients use the same id.
        let id = (client_index + 1) << 40 | sequence;
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

/// Sends a request and reads the whole response. Returns the status of the response, or `None` on an error.
async fn send_request(client: &HttpClient, request: Request<Full<Bytes>>) -> Option<StatusCode> {
    let response = client.request(request).await.ok()?;
    let status = response.status();
    read_body(response.into_body()).await.ok()?;
    Some(status)
}
