//! A wall clock that is off or steps: deadlines, waits and readiness of the real program do not follow it.
mod sockets;
#[path = "sockets/system_call_faults.rs"]
mod system_call_faults;

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use sockets::*;
use system_call_faults::start_with_faults;

const DONE: &str = r#""state":"done","result":"paid""#;
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";
/// Programs that run side by side.
const PROGRAMS: usize = 4;
/// When the clock steps, counted from the program's start.
const STEP_AT: Duration = Duration::from_millis(500);
/// Longer than the program takes to the step, so that the step falls into it.
const REQUEST_TIMEOUT_MILLIS: u64 = 2_000;

/// Offsets by seconds and by an hour, forward and back; before the start and while it runs.
fn statements() -> Vec<String> {
    let offsets = ["+3s", "-3s", "+3600s", "-3600s"];
    let starts = [Duration::ZERO, STEP_AT].map(|at| at.as_secs_f64());
    starts.iter().flat_map(|at| offsets.map(|offset| format!("clock {offset} at {at}s"))).collect()
}

// Guards against a deadline that a step brings nearer or puts off, and against waits that it ends or makes endless.
#[tokio::test]
async fn deadlines_waits_and_readiness_do_not_follow_the_wall_clock() {
    stream::iter(statements()).for_each_concurrent(PROGRAMS, play_steps).await;
}

/// The next request that comes to one of two workers, and that worker's name.
async fn next_request(workers: &mut [FakeServer; 2]) -> (ReceivedRequest, &'static str) {
    let [one, two] = workers;
    tokio::select! {
        request = one.next_request() => (request, "r0"),
        request = two.next_request() => (request, "r1"),
    }
}

async fn play_steps(statement: String) {
    let mut workers = [FakeServer::start().await, FakeServer::start().await];
    let known = [workers[0].address, workers[1].address];
    let (mut scheduler, _faults) = start_with_faults(&statement, &known).await;
    let started = Instant::now();
    let (mut silent, mut client) = (scheduler.client().await, scheduler.client().await);
    // Both are on their way over the step.
    silent.send_request("once", 1, REQUEST_TIMEOUT_MILLIS).await;
    next_request(&mut workers).await.0.accept();
    client.send_request("once", 2, REQUEST_TIMEOUT_MILLIS).await;
    let (request, _) = next_request(&mut workers).await;
    tokio::time::sleep(STEP_AT + Duration::from_millis(100)).await;
    // Of the other's time much is left, so that it is repeated.
    request.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let (request, name) = next_request(&mut workers).await;
    let left = millis_left(&request);
    assert!((100..REQUEST_TIMEOUT_MILLIS).contains(&left), "{statement}: {left}");
    assert_eq!(scheduler.call_back(&request.accept(), name, DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200, "{statement}");
    assert_eq!(scheduler.client().await.exchange(READY).await.status(), 200, "{statement}");
    // The one that nobody answers ends in its time.
    assert_eq!(silent.next_response().await.expect("an answer").status(), 500, "{statement}");
    let elapsed = started.elapsed().as_millis() as u64;
    assert!(
        (REQUEST_TIMEOUT_MILLIS - 200..REQUEST_TIMEOUT_MILLIS + 1_500).contains(&elapsed),
        "{statement}: {elapsed} ms"
    );
    check_watch(&mut scheduler, &statement).await;
    scheduler.terminate().await;
    let mut last_line = String::new();
    while let Some(line) = scheduler.try_next_line().await {
        last_line = line;
    }
    check_wall_clock(&last_line, &statement);
    let ended = within("the end", scheduler.child.wait()).await.expect("it ends");
    assert!(ended.success(), "{statement}: {ended}");
}

/// How long a worker is told that the scheduler waits.
fn millis_left(request: &ReceivedRequest) -> u64 {
    request.message.headers["x-timeout"].trim_end_matches('m').parse().expect("milliseconds")
}

/// The wall clock was off in the program: its log shows it where the offset is an hour.
fn check_wall_clock(line: &str, statement: &str) {
    let Some((sign, _)) = statement.split_once("3600s") else { return };
    let offset = if sign.ends_with('+') { 3_600 } else { -3_600 };
    let time = line.split_once('T').expect("a timestamp").1;
    let parts = time[..8].split(':').map(|part| part.parse::<i64>().expect("a number"));
    let shown = parts.fold(0, |seconds, part| seconds * 60 + part);
    let now = std::time::UNIX_EPOCH.elapsed().expect("after 1970").as_secs() as i64;
    let difference = (shown - now - offset).rem_euclid(86_400);
    assert!(!(60..86_340).contains(&difference), "{statement}: {line}");
}

/// Discovery was asked again and again while it was silent, in its waits, and is watched once it answers.
async fn check_watch(scheduler: &mut Scheduler, statement: &str) {
    let since = Instant::now();
    for calls in 1.. {
        let call = scheduler.discovery.next_request().await;
        if call.message.first_line.contains("from=9") {
            // A call is given up after 0.7 s, and made again after 0.1 s or 0.2 s.
            assert!((3..=8).contains(&calls), "{statement}: {calls} calls");
            break;
        }
        call.respond("200 OK", "", &endpoint_list(9, true, &[]));
    }
    assert!(since.elapsed() < Duration::from_secs(5), "{statement}: {:?}", since.elapsed());
}
