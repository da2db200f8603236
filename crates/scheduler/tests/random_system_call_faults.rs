//! Randomized tests of system-call faults: each random fault plan runs against the real program under a short
//! load. The seed is printed. `COPPERSPREAD_FAULT_SEED` sets it, `COPPERSPREAD_FAULT_PLANS` the number of
//! plans.
mod sockets;
#[path = "sockets/system_call_faults.rs"]
mod system_call_faults;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use futures_util::FutureExt;
use futures_util::future::join_all;
use sockets::*;
use system_call_faults::{
    BROKEN_CONNECTION_ERRORS, CONNECT_ERRORS, CONNECTION_ERRORS, FaultPlan, SHORTAGES, start_with_faults,
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The number of plans by default.
const PLANS: u64 = 100;
/// The number of scheduler processes that run in parallel.
const PROGRAMS: usize = 4;
/// The delay of each response of discovery.
const DISCOVERY_DELAY: Duration = Duration::from_millis(20);
const CLIENTS: u64 = 4;
const REQUESTS_PER_CLIENT: u64 = 6;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long after the request timeout a response may arrive on a busy machine.
const TIMEOUT_SLACK: Duration = Duration::from_secs(3);
/// The number of attempts that a worker makes for each callback, as in the protocol.
const CALLBACK_ATTEMPTS: u32 = 10;
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Faults of `socket` begin after this many calls, so that the listener and the first connection to discovery
/// get their sockets.
const FAULT_FREE_SOCKETS: u64 = 3;

/// Returns one random statement of a fault plan.
fn random_statement(rng: &mut Rng) -> String {
    let first = rng.u64(1..=30);
    let calls = format!("calls {first}..{}", first + rng.u64(0..5));
    let kind = *rng.choice(&["client", "worker", "worker", "discovery"]).expect("a non-empty list of kinds");
    let upstream = *rng.choice(&["worker", "worker", "discovery"]).expect("a non-empty list of kinds");
    let transfer = *rng.choice(&["recv", "send"]).expect("a non-empty list of calls");
    let one_of =
        |rng: &mut Rng, errors: &[&'static str]| *rng.choice(errors).expect("a non-empty list of errors");
    match rng.u32(0..10) {
        0 => format!("fail accept4 client {} {calls}", one_of(rng, &CONNECTION_ERRORS)),
        1 => format!("fail accept4 client {} {calls}", one_of(rng, &SHORTAGES)),
        2 => format!("fail connect {upstream} {} {calls}", one_of(rng, &CONNECT_ERRORS)),
        3 => format!("fail connect-completion {upstream} {} {calls}", one_of(rng, &CONNECT_ERRORS)),
        4 => {
            let first = first + FAULT_FREE_SOCKETS;
            format!("fail socket any {} calls {first}..{}", one_of(rng, &SHORTAGES), first + rng.u64(0..5))
        }
        5 | 6 => format!("fail {transfer} {kind} {} {calls}", one_of(rng, &BROKEN_CONNECTION_ERRORS)),
        7 => format!("short {transfer} {kind} {} calls {first}..", rng.u64(1..40)),
        8 => format!("fail epoll_wait any EINTR every {}", rng.u64(2..6)),
        _ => {
            let offset =
                *rng.choice(&["+3s", "-3s", "+3600s", "-3600s"]).expect("a non-empty list of offsets");
            format!("clock {offset} at {}s", rng.f64() / 2.0)
        }
    }
}

/// Returns the fault plan of a seed.
fn random_plan(seed: u64) -> String {
    let mut rng = Rng::with_seed(seed);
    let statements: Vec<_> = (0..rng.u32(1..=5)).map(|_| random_statement(&mut rng)).collect();
    statements.join("\n")
}

/// Sends a request on a connection; returns the response, or none if the connection broke.
async fn try_exchange(connection: &mut BufReader<TcpStream>, text: &str) -> Option<Message> {
    connection.write_all(text.as_bytes()).await.ok()?;
    next_message(connection).await
}

async fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    BufReader::new(TcpStream::connect(address).await.expect("the scheduler accepts connections"))
}

/// How often each request, by its id, was received completely by a worker.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Simulates a worker: accepts each request and reports it as completed with a callback.
async fn run_worker(mut server: FakeServer, name: &str, scheduler: SocketAddr, runs: Runs) {
    loop {
        let request = server.next_request().await;
        if !request.message.first_line.starts_with("POST") {
            request.respond("200 OK", "", "");
            continue;
        }
        let id = request.accept();
        *runs.lock().expect("a lock that is not poisoned").entry(id.clone()).or_default() += 1;
        let body = format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{id}"}}"#);
        let length = body.len();
        let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        for _ in 0..CALLBACK_ATTEMPTS {
            let response = try_exchange(&mut connect(scheduler).await, &text).await;
            if response.is_some_and(|response| response.status() == 204) {
                break;
            }
        }
    }
}

/// The result of one request at its client.
struct RequestResult {
    id: u64,
    class: &'static str,
    /// None if the connection broke before the response.
    message: Option<Message>,
    elapsed: Duration,
}

/// Simulates a client: sends requests one after the other; returns their results and the last connection.
async fn run_client(scheduler: SocketAddr, number: u64) -> (Vec<RequestResult>, BufReader<TcpStream>) {
    let mut connection = connect(scheduler).await;
    let mut results = Vec::new();
    for (id, class) in (1000 * number..)
        .zip(["once", "safe", "keyed"].into_iter().cycle())
        .take(REQUESTS_PER_CLIENT as usize)
    {
        let since = Instant::now();
        let text = request_text(class, id, REQUEST_TIMEOUT.as_millis() as u64);
        let message = try_exchange(&mut connection, &text).await;
        let is_closing = message
            .as_ref()
            .is_none_or(|message| message.headers.get("connection").is_some_and(|value| value == "close"));
        if is_closing {
            connection = connect(scheduler).await;
        }
        results.push(RequestResult { id, class, message, elapsed: since.elapsed() });
    }
    (results, connection)
}

/// Simulates discovery: responds to each call with the same workers under a higher revision.
async fn run_discovery(mut server: FakeServer, known: [SocketAddr; 2]) {
    let members = [endpoint("r0", known[0], "SERVING"), endpoint("r1", known[1], "SERVING")];
    for revision in 6.. {
        let call = server.next_request().await;
        tokio::time::sleep(DISCOVERY_DELAY).await;
        call.respond("200 OK", "", &endpoint_list(revision, true, &members));
    }
}

/// Checks that each request whose client connection did not break has a final response in time, and that its
/// status agrees with its runs at the workers.
fn check_results(results: &[RequestResult], runs: &HashMap<String, u32>, faults: &FaultPlan) {
    for result in results {
        let id = format!("{:016x}", result.id);
        let runs = runs.get(&id).copied().unwrap_or_default();
        let status = result.message.as_ref().map(Message::status);
        let class = result.class;
        assert!(result.elapsed < REQUEST_TIMEOUT + TIMEOUT_SLACK, "{id}: {:?}", result.elapsed);
        match status {
            Some(200) => assert_eq!(result.message.as_ref().map(|message| &message.body), Some(&id)),
            Some(429 | 503) if class != "safe" => assert_eq!(runs, 0, "{id}, {class}: rejected, but ran"),
            Some(429 | 503 | 500) | None => {}
            other => panic!("{id}: {other:?}"),
        }
        assert!(class != "once" || runs <= 1, "{id} ran {runs} times");
    }
    let broken = |line: &&String| {
        let words: Vec<_> = line.split(' ').collect();
        matches!(words[..], ["recv" | "send", "client", errno] if BROKEN_CONNECTION_ERRORS.contains(&errno))
    };
    let unanswered = results.iter().filter(|result| result.message.is_none()).count();
    let broken = faults.injected().iter().filter(broken).count();
    assert!(
        unanswered <= broken,
        "{unanswered} requests have no final response, but only {broken} connections broke"
    );
}

/// Checks that the scheduler becomes ready and serves three requests in a row within the recovery timeout.
async fn check_recovery(scheduler: SocketAddr, first_id: u64) {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    let mut served_in_a_row = 0;
    for id in first_id.. {
        let mut connection = connect(scheduler).await;
        let ready = try_exchange(&mut connection, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await;
        let served = try_exchange(&mut connection, &request_text("once", id, 1_000)).await;
        let is_served =
            [ready, served].iter().flatten().filter(|response| response.status() == 200).count() == 2;
        served_in_a_row = if is_served { served_in_a_row + 1 } else { 0 };
        if served_in_a_row == 3 {
            return;
        }
        assert!(Instant::now() < until, "the scheduler does not recover in time");
        if !is_served {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Runs the fault plan of a seed; panics if a check fails, and returns the number of injected faults. Every
/// tenth scheduler is shut down by SIGTERM, the others are killed.
async fn run_plan(seed: u64) -> usize {
    let servers = [FakeServer::start().await, FakeServer::start().await];
    let known = [servers[0].address, servers[1].address];
    let (mut scheduler, faults) = start_with_faults(&random_plan(seed), &known).await;
    let address = scheduler.address;
    let runs = Runs::default();
    let mut servers: Vec<_> = servers
        .into_iter()
        .zip(["r0", "r1"])
        .map(|(server, name)| tokio::spawn(run_worker(server, name, address, Arc::clone(&runs))))
        .collect();
    let discovery = std::mem::replace(&mut scheduler.discovery, FakeServer::start().await);
    servers.push(tokio::spawn(run_discovery(discovery, known)));
    let finished = join_all((1..=CLIENTS).map(|number| run_client(address, number))).await;
    let (results, connections): (Vec<_>, Vec<_>) = finished.into_iter().unzip();
    let results: Vec<_> = results.into_iter().flatten().collect();
    check_recovery(address, 1_000_000).await;
    check_results(&results, &runs.lock().expect("a lock that is not poisoned"), &faults);
    for mut connection in connections {
        let next_bytes = connection.fill_buf().now_or_never();
        assert!(
            next_bytes.and_then(Result::ok).is_none_or(<[u8]>::is_empty),
            "no bytes follow the last response"
        );
    }
    assert!(scheduler.child.try_wait().expect("a child process").is_none(), "the scheduler still runs");
    if seed.is_multiple_of(10) {
        scheduler.terminate().await;
        let status = within("the exit", scheduler.child.wait()).await.expect("the process exits");
        assert!(status.success(), "{status}");
    }
    scheduler.child.kill().await.expect("a child process");
    while let Some(line) = scheduler.try_next_line().await {
        assert!(!line.contains("panicked"), "{line}");
    }
    servers.iter().for_each(tokio::task::JoinHandle::abort);
    faults.injected().len()
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|value| value.parse().expect("an integer"))
}

/// Runs the plans of the next seeds until none is left; returns the number of injected faults.
fn run_plans(next_seed: &AtomicU64, end: u64) -> usize {
    let mut injected = 0;
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return injected;
        }
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a Tokio runtime");
        match std::panic::catch_unwind(|| runtime.block_on(run_plan(seed))) {
            Ok(count) => injected += count,
            Err(panic) => {
                eprintln!("COPPERSPREAD_FAULT_SEED={seed} fails with the plan\n{}", random_plan(seed));
                next_seed.store(end, Ordering::Relaxed);
                std::panic::resume_unwind(panic);
            }
        }
    }
}

// Covers faults that no other test injects: combinations of errors, and errors at other times.
#[test]
fn each_request_has_one_final_response_under_random_system_call_errors() {
    let seed = number_from_environment("COPPERSPREAD_FAULT_SEED").unwrap_or_else(|| fastrand::u64(..1 << 32));
    let plans = number_from_environment("COPPERSPREAD_FAULT_PLANS").unwrap_or(PLANS);
    println!("COPPERSPREAD_FAULT_SEED={seed}, {plans} plans");
    let (next_seed, end) = (AtomicU64::new(seed), seed + plans);
    let injected: usize = std::thread::scope(|scope| {
        let runners = [(); PROGRAMS].map(|()| scope.spawn(|| run_plans(&next_seed, end)));
        runners.map(|runner| runner.join().expect("all its plans pass")).iter().sum()
    });
    println!("{injected} faults were injected");
    assert!(injected as u64 >= plans, "on average, at least one fault per plan is injected");
}
