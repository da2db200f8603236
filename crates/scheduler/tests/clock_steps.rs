//! Wall clocks that are wrong or step. Deadlines, delays and readiness of the real program do not depend on
//! them.
mod sockets;
#[path = "sockets/system_call_faults.rs"]
mod system_call_faults;

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use sockets::*;
use system_call_faults::start_with_faults;

const DONE: &str = r#""state":"done","result":"paid""#;
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";
/// The number of schedulers that run concurrently, one per statement.
const CONCURRENT_SCHEDULERS: usize = 4;
/// The time from the start of the program to the step of the clock.
const STEP_AT: Duration = Duration::from_millis(500);
/// Longer than [`STEP_AT`], so that the step happens while the request is in flight.
const REQUEST_TIMEOUT_MILLIS: u64 = 2_000;

/// Statements of fault plans: offsets of seconds and of an hour, forward and back, from the start and while
/// the program runs.
fn statements() -> Vec<String> {
    let offsets = ["+3s", "-3s", "+3600s", "-3600s"];
    let step_times = [Duration::ZERO, STEP_AT].map(|at| at.as_secs_f64());
    step_times.iter().flat_map(|at| offsets.map(|offset| format!("clock {offset} at {at}s"))).collect()
}

// Guards against a deadline that a clock step moves, and against a delay that it ends early or makes endless.
#[tokio::test]
async fn deadlines_delays_and_readiness_do_not_follow_the_wall_clock() {
    stream::iter(statements()).for_each_concurrent(CONCURRENT_SCHEDULERS, test_clock_offset).await;
}

/// Returns the next request that either worker receives, and the worker's name.
async fn next_request(workers: &mut [FakeServer; 2]) -> (ReceivedRequest, &'static str) {
    let [first, second] = workers;
    tokio::select! {
        request = first.next_request() => (request, "r0"),
        request = second.next_request() => (request, "r1"),
    }
}

async fn test_clock_offset(statement: String) {
    let mut workers = [FakeServer::start().await, FakeServer::start().await];
    let known = [workers[0].address, workers[1].address];
    let (mut scheduler, _faults) = start_with_faults(&statement, &known).await;
    let started = Instant::now();
    let (mut unanswered, mut client) = (scheduler.client().await, scheduler.client().await);
    // Both requests are in flight during the step.
    unanswered.send_request("once", 1, REQUEST_TIMEOUT_MILLIS).await;
    next_request(&mut workers).await.0.accept();
    client.send_request("once", 2, REQUEST_TIMEOUT_MILLIS).await;
    let (request, _) = next_request(&mut workers).await;
    tokio::time::sleep(STEP_AT + Duration::from_millis(100)).await;
    // The second request has time left before its deadline, so it is retried.
    request.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
    let (request, name) = next_request(&mut workers).await;
    let left = millis_left(&request);
    assert!((100..REQUEST_TIMEOUT_MILLIS).contains(&left), "{statement}: {left}");
    assert_eq!(scheduler.call_back(&request.accept(), name, DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200, "{statement}");
    assert_eq!(scheduler.client().await.exchange(READY).await.status(), 200, "{statement}");
    // The request without a response from its worker fails at its deadline.
    assert_eq!(unanswered.next_response().await.expect("a response").status(), 500, "{statement}");
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
    let exit_status =
        within("the exit of the scheduler", scheduler.child.wait()).await.expect("the scheduler exits");
    assert!(exit_status.success(), "{statement}: {exit_status}");
}

/// The time in milliseconds until the deadline that a dispatched request states.
fn millis_left(request: &ReceivedRequest) -> u64 {
    request.message.headers["x-timeout"].trim_end_matches('m').parse().expect("milliseconds")
}

/// Checks by a timestamp in the log that the wall clock of the program was wrong, where the offset is an
/// hour.
fn check_wall_clock(line: &str, statement: &str) {
    let Some((sign, _)) = statement.split_once("3600s") else { return };
    let offset = if sign.ends_with('+') { 3_600 } else { -3_600 };
    let time = line.split_once('T').expect("a timestamp").1;
    let parts = time[..8].split(':').map(|part| part.parse::<i64>().expect("a number"));
    let shown = parts.fold(0, |seconds, part| seconds * 60 + part);
    let now = std::time::UNIX_EPOCH.elapsed().expect("a time after 1970").as_secs() as i64;
    let difference = (shown - now - offset).rem_euclid(86_400);
    assert!(!(60..86_340).contains(&difference), "{statement}: {line}");
}

/// Checks by the number of calls that discovery was called with the expected delays while it was silent, and
/// that it is watched once it responds.
async fn check_watch(scheduler: &mut Scheduler, statement: &str) {
    let started_at = Instant::now();
    for calls in 1.. {
        let call = scheduler.discovery.next_request().await;
        if call.message.first_line.contains("from=9") {
            // A call times out after 0.7 s and is retried after 0.1 s or 0.2 s.
            assert!((3..=8).contains(&calls), "{statement}: {calls} calls");
            break;
        }
        call.respond("200 OK", "", &endpoint_list(9, true, &[]));
    }
    assert!(started_at.elapsed() < Duration::from_secs(5), "{statement}: {:?}", started_at.elapsed());
}
