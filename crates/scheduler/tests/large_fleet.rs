//! Fleets that have many more workers than a scheduler has file descriptors.
//!
//! The test in CI is short. `COPPERSPREAD_FLEET_WORKERS`, `COPPERSPREAD_FLEET_DESCRIPTORS` and
//! `COPPERSPREAD_FLEET_SECONDS` set the size of a longer run, which needs a high `ulimit -n`, and
//! `COPPERSPREAD_FLEET_SEED` its seed.
#[path = "sockets/fleet.rs"]
mod fleet;
mod sockets;

use std::time::Duration;

use fleet::Fleet;
use sockets::*;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

const CONFIGURED_DESCRIPTORS: &str = "\"sockets\":1024";
/// The time that a client waits for its response, in milliseconds.
const CLIENT_TIMEOUT_MILLIS: u64 = 3_000;
/// How long after the client's time-out a response may come until the request counts as lost. The value is
/// that of the platform's standing test (0.5 s) with the excess that its protocol permits (0.05 s).
const LOSS_MARGIN: Duration = Duration::from_millis(550);
/// The least share of the requests that must be served. All workers work, so only a machine that is busy
/// otherwise gives a reason for less than all.
const MIN_SERVED_SHARE: f64 = 0.9;
/// The time that a worker takes for a request.
const WORK_TIME: Duration = Duration::from_millis(100);
/// The number of schedulers in the settings of the largest fleet that the platform has. Each of so many
/// schedulers prefers some of the workers.
const LARGE_FLEET: u32 = 900;

/// The size of one run.
struct Run {
    schedulers: u32,
    workers: u64,
    /// The number of descriptors in the scheduler's configuration.
    descriptors: u64,
    /// The number of descriptors that the system lets the scheduler open.
    system_limit: u64,
    duration: Duration,
    requests_per_second: u64,
    seed: u64,
}

/// How the requests of a run ended.
#[derive(Debug, Default, PartialEq)]
struct Outcomes {
    served: usize,
    /// Requests with another response than 200.
    failed: usize,
    /// Requests with no response in time.
    lost: usize,
}

/// What a run needed.
struct Needs {
    most_descriptors: usize,
    connections_to_workers: usize,
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|value| value.parse().expect("an integer"))
}

/// Starts a scheduler whose workers report their load only when they are queried.
async fn start_scheduler(fleet: &Fleet, run: &Run) -> Scheduler {
    let Run { schedulers, descriptors, system_limit, seed, .. } = run;
    let fleet_settings = format!(r#""fleet_size":{schedulers},"load_info":{{"how":"pull"}}"#);
    let edit = |config: String| {
        config
            .replace(CONFIGURED_DESCRIPTORS, &format!("\"sockets\":{descriptors}"))
            .replace("8c1f30d27a5be964", &format!("{seed:016x}"))
            .replace("\"fleet_size\":1", &fleet_settings)
            .replace("\"send_cap\":4", "\"send_cap\":4,\"probes\":true")
            .replace("\"keepalive_s\":5", "\"keepalive_s\":60")
    };
    let command = format!("ulimit -n {system_limit}; exec \"$PROGRAM\"");
    let scheduler = Scheduler::start_edited(&command, &fleet.addresses, edit).await;
    fleet.call_back_to(scheduler.address);
    scheduler
}

/// Sends a request on a new connection; returns the status of its response, or `None` without a response in
/// time.
async fn request_status(scheduler: std::net::SocketAddr, id: u64) -> Option<u16> {
    let mut client = Client::connect(scheduler).await;
    client.send_request("safe", id, CLIENT_TIMEOUT_MILLIS).await;
    let deadline = Instant::now() + Duration::from_millis(CLIENT_TIMEOUT_MILLIS) + LOSS_MARGIN;
    let response = timeout_at(deadline, client.try_next_response()).await.ok()??;
    Some(response.status())
}

/// Sends requests at random times, each on a connection of its own.
async fn send_requests(scheduler: &Scheduler, run: &Run) -> Outcomes {
    let mut rng = fastrand::Rng::with_seed(run.seed);
    let end = Instant::now() + run.duration;
    let mut next = Instant::now();
    let mut requests = Vec::new();
    while next < end {
        next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / run.requests_per_second as f64);
        sleep_until(next).await;
        requests.push(tokio::spawn(request_status(scheduler.address, rng.u64(..))));
    }
    let mut outcomes = Outcomes::default();
    for request in requests {
        match request.await.expect("a client that does not panic") {
            Some(200) => outcomes.served += 1,
            Some(_) => outcomes.failed += 1,
            None => outcomes.lost += 1,
        }
    }
    outcomes
}

/// Returns the largest number of descriptors that the scheduler has open, read repeatedly without end.
async fn watch_descriptors(scheduler: &Scheduler, most: &mut usize) {
    let folder = format!("/proc/{}/fd", scheduler.child.id().expect("the program runs"));
    loop {
        let open = std::fs::read_dir(&folder).expect("the program runs").count();
        *most = open.max(*most);
        sleep(Duration::from_millis(20)).await;
    }
}

/// Plays a run, in which no request may be lost.
async fn play(run: Run) -> Needs {
    println!(
        "COPPERSPREAD_FLEET_SEED={} with {} workers and {} descriptors",
        run.seed, run.workers, run.descriptors
    );
    let fleet = Fleet::start(run.workers as usize, WORK_TIME).await;
    let scheduler = start_scheduler(&fleet, &run).await;
    let mut most_descriptors = 0;
    let outcomes = tokio::select! {
        outcomes = send_requests(&scheduler, &run) => outcomes,
        () = watch_descriptors(&scheduler, &mut most_descriptors) => unreachable!("the watch has no end"),
    };
    println!(
        "{outcomes:?}, at most {most_descriptors} descriptors, {} connections to workers, {} load queries",
        fleet.accepted_connections(),
        fleet.load_queries()
    );
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // Where the system has fewer descriptors than configured, requests may fail, but none is lost.
    if run.system_limit >= run.descriptors {
        let requests = outcomes.served + outcomes.failed;
        assert!(outcomes.served as f64 >= MIN_SERVED_SHARE * requests as f64, "{outcomes:?}");
    }
    assert!(most_descriptors < run.descriptors as usize, "{most_descriptors} descriptors");
    assert!(fleet.load_queries() > 0, "the workers' load is queried");
    Needs { most_descriptors, connections_to_workers: fleet.accepted_connections() }
}

// Guards against idle connections to the workers of a large fleet that take all descriptors, so that clients'
// requests get neither a response nor a close.
#[tokio::test]
async fn no_request_is_lost_in_a_fleet_with_more_workers_than_descriptors() {
    let descriptors = number_from_environment("COPPERSPREAD_FLEET_DESCRIPTORS").unwrap_or(256);
    let run = Run {
        schedulers: LARGE_FLEET,
        workers: number_from_environment("COPPERSPREAD_FLEET_WORKERS").unwrap_or(300),
        descriptors,
        system_limit: descriptors,
        duration: Duration::from_secs(number_from_environment("COPPERSPREAD_FLEET_SECONDS").unwrap_or(8)),
        requests_per_second: 30,
        seed: number_from_environment("COPPERSPREAD_FLEET_SEED").unwrap_or(1),
    };
    play(run).await;
}

/// Returns a run of a single scheduler, which sends its requests to all workers in turn.
fn small_fleet_run(descriptors: u64, system_limit: u64) -> Run {
    let duration = Duration::from_secs(6);
    let (schedulers, workers, requests_per_second, seed) = (1, 120, 30, 2);
    Run { schedulers, workers, descriptors, system_limit, duration, requests_per_second, seed }
}

// Guards against requests that get no connection because idle connections to other workers hold the
// descriptors.
#[tokio::test]
async fn no_request_is_lost_while_idle_worker_connections_are_evicted() {
    let needs = play(small_fleet_run(64, 64)).await;
    let connections = needs.connections_to_workers;
    assert!(connections > 64, "{connections} connections: none had to be evicted");
}

// Guards against idle connections to workers that are kept although `accept` or `connect` finds no descriptor.
#[tokio::test]
async fn no_request_is_lost_where_the_system_has_fewer_descriptors_than_configured() {
    play(small_fleet_run(256, 64)).await;
}

// Guards against a scheduler that needs the more descriptors and connections the more workers its fleet has.
// The bounds are those of the platform's standing test for a fleet that has grown sixteen times.
#[tokio::test]
async fn a_scheduler_of_a_grown_fleet_needs_few_more_descriptors_and_connections() {
    let run = |growth: u32| Run {
        schedulers: 3 * growth,
        workers: 15 * u64::from(growth),
        descriptors: 256,
        system_limit: 256,
        duration: Duration::from_secs(8),
        requests_per_second: 30,
        seed: 3,
    };
    let usual = play(run(1)).await;
    let grown = play(run(16)).await;
    assert!(grown.most_descriptors <= 2 * usual.most_descriptors + 40);
    assert!(grown.connections_to_workers <= usual.connections_to_workers * 5 / 2 + 40);
}
