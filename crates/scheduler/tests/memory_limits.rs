//! The memory of a real scheduler process while groups of clients send the longest bodies at once.
//!
//! The runs in CI are short. `COPPERSPREAD_MEMORY_SECONDS` sets the length of a longer run and
//! `COPPERSPREAD_MEMORY_SEED` its seed.
#[path = "sockets/fleet.rs"]
mod fleet;
mod sockets;

use std::time::Duration;

use fleet::Fleet;
use sockets::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The smallest memory limit of the platform, in bytes, and the most descriptors.
const MEMORY_LIMIT_BYTES: usize = 32_000_000;
const DESCRIPTORS: usize = 1_024;
/// The pages of the program file that a release build has in memory, in bytes. A debug build has more, so the
/// tests count this number instead of the pages that they find.
const PROGRAM_PAGES_BYTES: usize = 6_500_000;
/// The maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Clients hold at most a third of the descriptors for requests.
const CLIENTS: usize = DESCRIPTORS / 3;
const WORKERS: usize = 15;
const WORK_TIME: Duration = Duration::from_millis(300);
/// The time that a client waits for its response, in milliseconds.
const CLIENT_TIMEOUT_MILLIS: u64 = 5_000;
/// How long after the client's time-out a response may come until the request counts as lost.
const LOSS_MARGIN: Duration = Duration::from_millis(550);
/// A work time that is longer than a body may wait for memory.
const LONG_WORK_TIME: Duration = Duration::from_millis(2_500);
/// The length of a long result, in bytes: nearly that of the longest body.
const RESULT_BYTES: usize = 60_000;
/// The least number of requests with long bodies that are served of a group.
const MIN_SERVED: usize = 20;
/// The time between two small requests.
const SMALL_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|value| value.parse().expect("an integer"))
}

async fn start_scheduler(fleet: &Fleet) -> Scheduler {
    let edit = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":32");
    let scheduler = Scheduler::start_with(&fleet.addresses, edit).await;
    fleet.call_back_to(scheduler.address);
    scheduler
}

/// Returns the memory that the process holds: all but the pages of its files, and a release build's part of
/// those.
fn process_memory(scheduler: &Scheduler) -> usize {
    let path = format!("/proc/{}/status", scheduler.child.id().expect("the program runs"));
    let status = std::fs::read_to_string(path).expect("the program runs");
    let kilobytes = |name: &str| -> usize {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("a field of the status");
        line.trim().trim_end_matches(" kB").parse().expect("a number of kB")
    };
    (kilobytes("RssAnon:") + kilobytes("RssShmem:")) * 1024 + PROGRAM_PAGES_BYTES
}

/// Records the most memory that the process holds, without end.
async fn watch_memory(scheduler: &Scheduler, most: &mut usize) {
    loop {
        *most = process_memory(scheduler).max(*most);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request with a body in pieces of `piece_bytes`. Returns the status of its response, or `None`
/// without a response in time.
///
/// As the platform's clients do, this sends the request once more if its connection is closed without a
/// response. If the scheduler had taken the request before, the status is then 400.
async fn send_body(
    scheduler: std::net::SocketAddr,
    id: u64,
    body_bytes: usize,
    piece_bytes: usize,
) -> Option<u16> {
    match try_send_body(scheduler, id, body_bytes, piece_bytes).await {
        Some(status) => Some(status),
        None => try_send_body(scheduler, id, body_bytes, piece_bytes).await,
    }
}

async fn try_send_body(
    scheduler: std::net::SocketAddr,
    id: u64,
    body_bytes: usize,
    piece_bytes: usize,
) -> Option<u16> {
    let mut stream = TcpStream::connect(scheduler).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "POST /safe/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id:016x}\r\n\
         X-Timeout: {CLIENT_TIMEOUT_MILLIS}m\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let message = [head.into_bytes(), vec![b'q'; body_bytes]].concat();
    for piece in message.chunks(piece_bytes) {
        // The scheduler may respond before it has read the whole body.
        if stream.write_all(piece).await.is_err() {
            break;
        }
        tokio::task::yield_now().await;
    }
    let mut client = Client::from(stream);
    let deadline = Duration::from_millis(CLIENT_TIMEOUT_MILLIS) + LOSS_MARGIN;
    Some(timeout(deadline, client.try_next_response()).await.ok()??.status())
}

/// Sends groups of requests with long bodies, each group at once and after the one before. Returns the number
/// of requests and of those without a response.
async fn send_groups(scheduler: &Scheduler, duration: Duration, rng: &mut fastrand::Rng) -> (usize, usize) {
    let end = Instant::now() + duration;
    let (mut sent, mut lost) = (0, 0);
    while Instant::now() < end {
        let requests: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (id, piece_bytes) = (rng.u64(..), rng.usize(500..3_000));
                tokio::spawn(send_body(scheduler.address, id, MAX_BODY_BYTES, piece_bytes))
            })
            .collect();
        sent += requests.len();
        for request in requests {
            let status = request.await.expect("a client that does not panic");
            lost += usize::from(matches!(status, None | Some(400)));
        }
    }
    (sent, lost)
}

/// Sends small requests one after the other, without end. Counts those that are served and all others.
async fn send_small_requests(scheduler: &Scheduler, seed: u64, served: &mut usize, others: &mut usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        match send_body(scheduler.address, rng.u64(..), 16, MAX_BODY_BYTES).await {
            // 503 is the policy's rejection: the workers have too much to do.
            Some(200 | 503) => *served += 1,
            _ => *others += 1,
        }
        sleep(SMALL_REQUEST_INTERVAL).await;
    }
}

// Guards against groups of clients whose long bodies, in many pieces, take the process over its memory limit.
#[tokio::test]
async fn groups_of_long_bodies_in_pieces_stay_within_the_memory_limit() {
    let seed = number_from_environment("COPPERSPREAD_MEMORY_SEED").unwrap_or(1);
    let seconds = number_from_environment("COPPERSPREAD_MEMORY_SECONDS").unwrap_or(6);
    println!("COPPERSPREAD_MEMORY_SEED={seed}");
    let fleet = Fleet::start(WORKERS, WORK_TIME).await;
    let scheduler = start_scheduler(&fleet).await;
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut most_memory, mut served, mut others) = (0, 0, 0);
    let (sent, lost) = tokio::select! {
        outcome = send_groups(&scheduler, Duration::from_secs(seconds), &mut rng) => outcome,
        () = watch_memory(&scheduler, &mut most_memory) => unreachable!("the watch has no end"),
        () = send_small_requests(&scheduler, seed + 1, &mut served, &mut others) => unreachable!("no end"),
    };
    println!(
        "{sent} long bodies, {lost} lost, {served} small requests answered, {others} not, {most_memory} bytes"
    );
    assert!(sent >= 2 * CLIENTS, "{sent} requests are less than two groups");
    assert!(most_memory <= MEMORY_LIMIT_BYTES, "{most_memory} bytes");
    assert_eq!((lost, others), (0, 0), "requests without a response, small requests without service");
}

// Guards against requests that wait for results and hold all memory that the callbacks with the results need.
#[tokio::test]
async fn results_are_taken_while_requests_with_long_bodies_hold_the_memory() {
    let fleet = Fleet::start_with_results(WORKERS, LONG_WORK_TIME, RESULT_BYTES).await;
    let scheduler = start_scheduler(&fleet).await;
    let requests: Vec<_> = (0..CLIENTS as u64)
        .map(|id| tokio::spawn(send_body(scheduler.address, id, MAX_BODY_BYTES, MAX_BODY_BYTES)))
        .collect();
    let mut most_memory = 0;
    let statuses = async {
        let mut statuses = Vec::new();
        for request in requests {
            statuses.push(request.await.expect("a client that does not panic"));
        }
        statuses
    };
    let statuses = tokio::select! {
        statuses = statuses => statuses,
        () = watch_memory(&scheduler, &mut most_memory) => unreachable!("the watch has no end"),
    };
    let served = statuses.iter().filter(|&&status| status == Some(200)).count();
    println!("{served} of {CLIENTS} served, {most_memory} bytes");
    assert_eq!(fleet.refused_callbacks(), 0, "each callback is taken");
    assert!(served >= MIN_SERVED, "{served} requests");
    assert!(most_memory <= MEMORY_LIMIT_BYTES, "{most_memory} bytes");
}
