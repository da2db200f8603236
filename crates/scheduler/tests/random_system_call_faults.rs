//! Random plans of system calls that fail, each played under a short load on the real program. The seed is printed;
//! `COPPERSPREAD_FAULT_SEED` sets it, and `COPPERSPREAD_FAULT_PLANS` the number of plans.
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

const PLANS: u64 = 100;
/// Programs that run side by side.
const PROGRAMS: usize = 4;
/// How long discovery holds a call.
const DISCOVERY_DELAY: Duration = Duration::from_millis(20);
const CLIENTS: u64 = 4;
const REQUESTS_PER_CLIENT: u64 = 6;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How late an answer may come on a machine that is busy.
const TIMEOUT_SLACK: Duration = Duration::from_secs(3);
/// A worker tries each callback this often, as the protocol says.
const CALLBACK_TRIES: u32 = 10;
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// The program's first two sockets are its listener and its first call of discovery's.
const FIRST_SOCKET: u64 = 3;

/// One statement of a random plan.
fn random_statement(rng: &mut Rng) -> String {
    let first = rng.u64(1..=30);
    let calls = format!("calls {first}..{}", first + rng.u64(0..5));
    let kind = *rng.choice(&["client", "worker", "worker", "discovery"]).expect("a kind");
    let upstream = *rng.choice(&["worker", "worker", "discovery"]).expect("a kind");
    let transfer = *rng.choice(&["recv", "send"]).expect("a call");
    let one_of = |rng: &mut Rng, errors: &[&'static str]| *rng.choice(errors).expect("an errno");
    match rng.u32(0..10) {
        0 => format!("fail accept4 client {} {calls}", one_of(rng, &CONNECTION_ERRORS)),
        1 => format!("fail accept4 client {} {calls}", one_of(rng, &SHORTAGES)),
        2 => format!("fail connect {upstream} {} {calls}", one_of(rng, &CONNECT_ERRORS)),
        3 => format!("fail connect-completion {upstream} {} {calls}", one_of(rng, &CONNECT_ERRORS)),
        4 => {
            let first = first + FIRST_SOCKET;
            format!("fail socket any {} calls {first}..{}", one_of(rng, &SHORTAGES), first + rng.u64(0..5))
        }
        5 | 6 => format!("fail {transfer} {kind} {} {calls}", one_of(rng, &BROKEN_CONNECTION_ERRORS)),
        7 => format!("short {transfer} {kind} {} calls {first}..", rng.u64(1..40)),
        8 => format!("fail epoll_wait any EINTR every {}", rng.u64(2..6)),
        _ => {
            let offset = *rng.choice(&["+3s", "-3s", "+3600s", "-3600s"]).expect("an offset");
            format!("clock {offset} at {}s", rng.f64() / 2.0)
        }
    }
}

fn random_plan(seed: u64) -> String {
    let mut rng = Rng::with_seed(seed);
    let statements: Vec<_> = (0..rng.u32(1..=5)).map(|_| random_statement(&mut rng)).collect();
    statements.join("\n")
}

/// Sends a request on a connection; its answer, unless the connection broke.
async fn try_exchange(connection: &mut BufReader<TcpStream>, text: &str) -> Option<Message> {
    connection.write_all(text.as_bytes()).await.ok()?;
    next_message(connection).await
}

async fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    BufReader::new(TcpStream::connect(address).await.expect("it listens"))
}

/// How often each request, by its id, came to a worker to its last byte.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Takes each request and tells the scheduler that it is done.
async fn play_worker(mut server: FakeServer, name: &str, scheduler: SocketAddr, runs: Runs) {
    loop {
        let request = server.next_request().await;
        if !request.message.first_line.starts_with("POST") {
            request.respond("200 OK", "", "");
            continue;
        }
        let id = request.accept();
        *runs.lock().expect("no panic").entry(id.clone()).or_default() += 1;
        let body = format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{id}"}}"#);
        let length = body.len();
        let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        for _ in 0..CALLBACK_TRIES {
            let answer = try_exchange(&mut connect(scheduler).await, &text).await;
            if answer.is_some_and(|answer| answer.status() == 204) {
                break;
            }
        }
    }
}

/// What a client got for a request.
struct Answer {
    id: u64,
    class: &'static str,
    /// None if the connection broke before.
    message: Option<Message>,
    elapsed: Duration,
}

/// Sends requests one after the other; returns their answers and the connection on which the last one came.
async fn play_client(scheduler: SocketAddr, number: u64) -> (Vec<Answer>, BufReader<TcpStream>) {
    let mut connection = connect(scheduler).await;
    let mut answers = Vec::new();
    for (id, class) in (1000 * number..)
        .zip(["once", "safe", "keyed"].into_iter().cycle())
        .take(REQUESTS_PER_CLIENT as usize)
    {
        let since = Instant::now();
        let text = request_text(class, id, REQUEST_TIMEOUT.as_millis() as u64);
        let message = try_exchange(&mut connection, &text).await;
        let closes = message
            .as_ref()
            .is_none_or(|message| message.headers.get("connection").is_some_and(|value| value == "close"));
        if closes {
            connection = connect(scheduler).await;
        }
        answers.push(Answer { id, class, message, elapsed: since.elapsed() });
    }
    (answers, connection)
}

/// Answers each call with the same workers, as a list that is newer.
async fn play_discovery(mut server: FakeServer, known: [SocketAddr; 2]) {
    let members = [endpoint("r0", known[0], "SERVING"), endpoint("r1", known[1], "SERVING")];
    for revision in 6.. {
        let call = server.next_request().await;
        tokio::time::sleep(DISCOVERY_DELAY).await;
        call.respond("200 OK", "", &endpoint_list(revision, true, &members));
    }
}

/// Each request has its one answer, in time, and what is promised of it holds.
fn check_answers(answers: &[Answer], runs: &HashMap<String, u32>, faults: &FaultPlan) {
    for answer in answers {
        let id = format!("{:016x}", answer.id);
        let runs = runs.get(&id).copied().unwrap_or_default();
        let status = answer.message.as_ref().map(Message::status);
        let class = answer.class;
        assert!(answer.elapsed < REQUEST_TIMEOUT + TIMEOUT_SLACK, "{id}: {:?}", answer.elapsed);
        match status {
            Some(200) => assert_eq!(answer.message.as_ref().map(|message| &message.body), Some(&id)),
            Some(429 | 503) if class != "safe" => assert_eq!(runs, 0, "{id}, {class}: refused, and ran"),
            Some(429 | 503 | 500) | None => {}
            other => panic!("{id}: {other:?}"),
        }
        assert!(class != "once" || runs <= 1, "{id} ran {runs} times");
    }
    let broken = |line: &&String| {
        let words: Vec<_> = line.split(' ').collect();
        matches!(words[..], ["recv" | "send", "client", errno] if BROKEN_CONNECTION_ERRORS.contains(&errno))
    };
    let unanswered = answers.iter().filter(|answer| answer.message.is_none()).count();
    let broken = faults.injected().iter().filter(broken).count();
    assert!(unanswered <= broken, "{unanswered} have no answer, and {broken} connections broke");
}

/// It is ready, and serves three requests in a row.
async fn check_recovery(scheduler: SocketAddr, first_id: u64) {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    let mut served_in_a_row = 0;
    for id in first_id.. {
        let mut connection = connect(scheduler).await;
        let ready = try_exchange(&mut connection, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await;
        let served = try_exchange(&mut connection, &request_text("once", id, 1_000)).await;
        let is_served = [ready, served].iter().flatten().filter(|answer| answer.status() == 200).count() == 2;
        served_in_a_row = if is_served { served_in_a_row + 1 } else { 0 };
        if served_in_a_row == 3 {
            return;
        }
        assert!(Instant::now() < until, "it does not recover");
        if !is_served {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Plays one plan; panics where something does not hold, and returns how many faults were injected. Every tenth program
/// is ended by a signal, the others at once.
async fn play(seed: u64) -> usize {
    let servers = [FakeServer::start().await, FakeServer::start().await];
    let known = [servers[0].address, servers[1].address];
    let (mut scheduler, faults) = start_with_faults(&random_plan(seed), &known).await;
    let address = scheduler.address;
    let runs = Runs::default();
    let mut servers: Vec<_> = servers
        .into_iter()
        .zip(["r0", "r1"])
        .map(|(server, name)| tokio::spawn(play_worker(server, name, address, Arc::clone(&runs))))
        .collect();
    let discovery = std::mem::replace(&mut scheduler.discovery, FakeServer::start().await);
    servers.push(tokio::spawn(play_discovery(discovery, known)));
    let played = join_all((1..=CLIENTS).map(|number| play_client(address, number))).await;
    let (answers, connections): (Vec<_>, Vec<_>) = played.into_iter().unzip();
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    check_recovery(address, 1_000_000).await;
    check_answers(&answers, &runs.lock().expect("no panic"), &faults);
    for mut connection in connections {
        let more = connection.fill_buf().now_or_never();
        assert!(more.and_then(Result::ok).is_none_or(<[u8]>::is_empty), "nothing follows the last answer");
    }
    assert!(scheduler.child.try_wait().expect("a child").is_none(), "it runs");
    if seed.is_multiple_of(10) {
        scheduler.terminate().await;
        let status = within("the end", scheduler.child.wait()).await.expect("it ends");
        assert!(status.success(), "{status}");
    }
    scheduler.child.kill().await.expect("a child");
    while let Some(line) = scheduler.try_next_line().await {
        assert!(!line.contains("panicked"), "{line}");
    }
    servers.iter().for_each(tokio::task::JoinHandle::abort);
    faults.injected().len()
}

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|value| value.parse().expect("a number"))
}

/// Plays plans until none is left; returns how many faults were injected.
fn play_plans(next_seed: &AtomicU64, end: u64) -> usize {
    let mut injected = 0;
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return injected;
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        match std::panic::catch_unwind(|| runtime.block_on(play(seed))) {
            Ok(count) => injected += count,
            Err(panic) => {
                eprintln!("COPPERSPREAD_FAULT_SEED={seed} fails, under the plan\n{}", random_plan(seed));
                next_seed.store(end, Ordering::Relaxed);
                std::panic::resume_unwind(panic);
            }
        }
    }
}

// Guards against what no other test thought of: two errors at once, or one in a moment that none of them forces.
#[test]
fn requests_are_answered_once_under_any_system_call_errors() {
    let seed = number_from_environment("COPPERSPREAD_FAULT_SEED").unwrap_or_else(|| fastrand::u64(..1 << 32));
    let plans = number_from_environment("COPPERSPREAD_FAULT_PLANS").unwrap_or(PLANS);
    println!("COPPERSPREAD_FAULT_SEED={seed}, {plans} plans");
    let (next_seed, end) = (AtomicU64::new(seed), seed + plans);
    let injected: usize = std::thread::scope(|scope| {
        let programs = [(); PROGRAMS].map(|()| scope.spawn(|| play_plans(&next_seed, end)));
        programs.map(|program| program.join().expect("its plans hold")).iter().sum()
    });
    println!("{injected} faults were injected");
    assert!(injected as u64 >= plans, "the plans do something");
}
