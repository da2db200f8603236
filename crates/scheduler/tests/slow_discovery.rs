//! Tests that the scheduler follows a slow, overloaded or long unavailable discovery, and repeated reloads: a
//! change is applied in time, and a draining worker gets no new request.
#[path = "sockets/discovery_fixture.rs"]
mod discovery_fixture;
#[path = "sockets/fake_discovery.rs"]
mod fake_discovery;
mod sockets;

use std::cell::Cell;
use std::time::{Duration, Instant};

use discovery_fixture::*;
use fake_discovery::{Call, FakeDiscovery};
use futures_util::future::join_all;
use sockets::*;
use tokio::time::sleep;

/// The delay of the responses of a slow or overloaded discovery.
const LATE_RESPONSE_DELAY: Duration = Duration::from_secs(1);
const OVERLOADED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// How an available discovery responds.
#[derive(Clone, Copy, Debug)]
enum Mode {
    /// Each response is late.
    Late,
    /// The response body arrives in pieces over 1.6 s.
    SlowBody,
    /// The first call is rejected at once.
    RejectingOnce,
    /// The first call is rejected late, and all later responses are late.
    RejectingOnceAndLate,
}

const MODES: [Mode; 4] = [Mode::Late, Mode::SlowBody, Mode::RejectingOnce, Mode::RejectingOnceAndLate];

/// Responds to each call for the full list with this list, and never to watches; does not return.
async fn serve_list(discovery: &FakeDiscovery, mode: Mode, list: &str) {
    let is_first = Cell::new(true);
    let mut open_watches = Vec::new();
    loop {
        let call = discovery.next_call().await;
        if call.first_line == FULL_LIST_REQUEST {
            tokio::spawn(respond(call, mode, is_first.replace(false), list.to_owned()));
        } else {
            open_watches.push(call);
        }
    }
}

async fn respond(mut call: Call, mode: Mode, is_first: bool, list: String) {
    if matches!(mode, Mode::Late | Mode::RejectingOnceAndLate) {
        sleep(LATE_RESPONSE_DELAY).await;
    }
    match mode {
        Mode::RejectingOnce | Mode::RejectingOnceAndLate if is_first => call.write(OVERLOADED).await,
        Mode::SlowBody => {
            call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len())).await;
            for piece in list.as_bytes().chunks(list.len().div_ceil(4)) {
                sleep(Duration::from_millis(400)).await;
                call.write(std::str::from_utf8(piece).expect("ASCII")).await;
            }
        }
        _ => call.respond_with_list(&list).await,
    }
}

/// Serves a list in which r0 drains; returns the time from `since` until the scheduler applies it, or none
/// within 9 s.
async fn drain_delay(
    fixture: &mut Fixture,
    discovery: &FakeDiscovery,
    mode: Mode,
    since: Instant,
) -> Option<Duration> {
    let list = endpoint_list(7, true, &fixture.r0("DRAINING"));
    tokio::select! {
        () = serve_list(discovery, mode, &list) => unreachable!("serving does not return"),
        known_at = fixture.drain_known_at(since + Duration::from_secs(9)) => known_at.map(|at| at - since),
    }
}

fn assert_applied_in_time(what: &str, delay: Option<Duration>) {
    let is_in_time = delay.is_some_and(|delay| delay < Duration::from_micros(MAX_CHANGE_DELAY));
    assert!(is_in_time, "{what}: {delay:?}");
}

fn cases() -> impl Iterator<Item = (&'static str, Mode)> {
    DISCOVERY_KINDS.into_iter().flat_map(|kind| MODES.map(|mode| (kind, mode)))
}

#[tokio::test]
async fn an_unavailable_discovery_and_its_return_are_logged_with_its_address() {
    let mut discovery = FakeDiscovery::unavailable("refuses").await;
    let mut fixture = Fixture::start("pushed", &discovery).await;
    let address = discovery.address.to_string();
    let event: serde_json::Value =
        serde_json::from_str(&fixture.scheduler.next_line().await).expect("a log line in JSON");
    assert_eq!(event["message"], "no answer of discovery, the list stays");
    assert_eq!(event["peer"], address.as_str());
    discovery.recover().await;
    let _watch = discovery.publish(7, &fixture.r0("SERVING")).await;
    let mut event = serde_json::Value::Null;
    while event["message"] != "discovery answers again" {
        event = serde_json::from_str(&fixture.scheduler.next_line().await).expect("a log line in JSON");
    }
    assert_eq!((&event["peer"], &event["revision"]), (&address.as_str().into(), &7.into()));
}

// Guards against a timeout that is too short for slow responses, and against waits that add up beyond the
// limit.
#[tokio::test]
async fn a_slow_or_overloaded_discovery_is_followed_in_time_after_a_silent_watch() {
    join_all(cases().map(|(kind, mode)| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let _silent = discovery.publish(6, &fixture.r0("SERVING")).await;
        let delay = drain_delay(&mut fixture, &discovery, mode, Instant::now()).await;
        assert_applied_in_time(&format!("{kind}, {mode:?}"), delay);
    }))
    .await;
}

#[tokio::test]
async fn a_slow_or_overloaded_discovery_is_followed_in_time_after_an_outage() {
    join_all(cases().map(|(kind, mode)| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.wait_for_failures(2).await;
        // Discovery is back right after a call without a response.
        let _unanswered = discovery.next_call().await;
        let delay = drain_delay(&mut fixture, &discovery, mode, Instant::now()).await;
        assert_applied_in_time(&format!("{kind}, {mode:?}"), delay);
    }))
    .await;
}

// The list that the discovery agent has at its return counts as notified at that moment, so it must be
// requested before the drain grace of 0.5 s has passed.
#[tokio::test]
async fn a_pushed_list_is_requested_within_the_drain_grace_after_its_agent_returns() {
    let discovery = FakeDiscovery::available().await;
    let mut fixture = Fixture::start("pushed", &discovery).await;
    for _ in 0..8 {
        let _unanswered = discovery.next_call().await;
        let back_at = Instant::now();
        let _unanswered_either = discovery.next_call().await;
        assert!(back_at.elapsed() < Duration::from_micros(DRAIN_GRACE), "{:?}", back_at.elapsed());
    }
    let back_at = Instant::now();
    let delay = drain_delay(&mut fixture, &discovery, Mode::SlowBody, back_at).await;
    assert_applied_in_time("return of the agent", delay);
}

// Guards against waits, open calls or descriptors that accumulate over a long outage.
#[tokio::test]
async fn a_drain_is_applied_in_time_after_an_outage_of_over_a_minute() {
    let run_case = |kind: &'static str, outage: &'static str| async move {
        let mut discovery = FakeDiscovery::unavailable(outage).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        sleep(Duration::from_secs(61)).await;
        fixture.client = fixture.scheduler.client().await;
        fixture.serve_request().await;
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {outage}"), &mut fixture, &discovery, 6).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|outage| run_case(kind, outage)))).await;
}

// After SIGHUP, the list of the new discovery must be applied within 4 s, whatever reloads came before.
#[tokio::test]
async fn the_discovery_of_the_last_of_many_reloads_is_followed_within_4_s() {
    let run_case = |kind: &'static str, outage: &'static str| async move {
        let first = FakeDiscovery::available().await;
        let between = [FakeDiscovery::unavailable(outage).await, FakeDiscovery::unavailable(outage).await];
        let last = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &first).await;
        let _watch = first.publish(99, &fixture.r0("SERVING")).await;
        let mut from = first.address;
        for to in [&between[0], &between[1], &first, &between[1], &last] {
            fixture.move_discovery(from, to.address).await;
            from = to.address;
        }
        let delay = drain_delay(&mut fixture, &last, Mode::RejectingOnceAndLate, Instant::now()).await;
        assert!(delay.is_some_and(|delay| delay < Duration::from_secs(4)), "{kind}, {outage}: {delay:?}");
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|outage| run_case(kind, outage)))).await;
}

/// Sends one request after the other without end; each fails.
async fn send_without_pause(mut client: Client, number: u64) {
    for id in 0.. {
        client.send_request("once", number << 32 | id, 9000).await;
        client.next_response().await.expect("a final response");
    }
}

// A process may be held up between a dispatch decision and its write.
#[tokio::test]
async fn a_held_up_process_writes_nothing_to_a_draining_worker_after_the_grace() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let mut worker = RecordingServer::start(|_| {
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned()
        })
        .await;
        let discovery = FakeDiscovery::available().await;
        let fixture = Fixture::start(kind, &discovery).await;
        let list = |phase| [endpoint("r0", worker.address, phase)];
        let (serving, draining) = (list("SERVING"), list("DRAINING"));
        let mut watch = discovery.publish(6, &serving).await;
        for number in 1..=6 {
            tokio::spawn(send_without_pause(fixture.scheduler.client().await, number));
        }
        for round in 0..10 {
            let revision = 7 + 2 * round;
            let one_round = async {
                sleep(Duration::from_millis(100)).await;
                // The process is stopped just before, during or after the step that reads the list.
                let stop = async {
                    sleep(Duration::from_millis(2 * round)).await;
                    fixture.scheduler.signal("STOP").await;
                    sleep(Duration::from_micros(HOLD_UP)).await;
                    fixture.scheduler.signal("CONT").await;
                };
                let drain = async {
                    sleep(Duration::from_millis(8)).await;
                    let published_at = Instant::now();
                    watch.respond_with_list(&endpoint_list(revision, true, &draining)).await;
                    published_at
                };
                let ((), published_at) = tokio::join!(stop, drain);
                sleep(Duration::from_micros(2 * DRAIN_GRACE)).await;
                published_at
            };
            tokio::pin!(one_round);
            let mut written_at = Vec::new();
            let published_at = loop {
                tokio::select! {
                    _ = worker.next_request() => written_at.push(Instant::now()),
                    published_at = &mut one_round => break published_at,
                }
            };
            assert!(
                written_at.iter().any(|at| *at < published_at),
                "{kind}: the worker received requests before the drain"
            );
            let last = written_at.last().expect("at least one request");
            let late = last.saturating_duration_since(published_at);
            assert!(
                late < Duration::from_micros(DRAIN_GRACE),
                "{kind}: the last request came {late:?} after the drain"
            );
            let next = discovery.next_call().await;
            next.respond_with_list(&endpoint_list(revision + 1, true, &serving)).await;
            watch = discovery.next_call().await;
        }
    }))
    .await;
}

// Guards against a restart that many clients delay while discovery is unavailable.
#[tokio::test]
async fn a_restarted_scheduler_is_ready_in_time_for_many_clients() {
    const MAX_TIME_TO_READY: Duration = Duration::from_secs(6);
    let time_of_first_ready_response = |address| async move {
        loop {
            if let Ok(stream) = tokio::net::TcpStream::connect(address).await {
                let mut client = Client::from(stream);
                client.send(READINESS_REQUEST).await;
                if client.next_response().await.is_some_and(|response| response.status() == 200) {
                    return Instant::now();
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    let run_case = |kind: &'static str, outage: &'static str| async move {
        let discovery = FakeDiscovery::unavailable(outage).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let address = fixture.scheduler.address;
        fixture.scheduler.end("KILL").await;
        let ended_at = Instant::now();
        let clients = join_all((0..200).map(|_| time_of_first_ready_response(address)));
        let (ready_times, ()) = tokio::join!(clients, fixture.scheduler.start_again());
        let slowest = ready_times.into_iter().max().expect("at least one client") - ended_at;
        assert!(slowest < MAX_TIME_TO_READY, "{kind}, {outage}: {slowest:?}");
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|outage| run_case(kind, outage)))).await;
}
