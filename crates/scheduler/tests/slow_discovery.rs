//! The program follows a discovery that is slow, crowded or long away, and new configurations in a row: a change
//! is known in time, and nothing new goes to a worker that drains.
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

/// What a slow or crowded discovery's answers are late by at most.
const MAX_LATENESS: Duration = Duration::from_secs(1);
const CROWDED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// How a discovery that can be reached answers.
#[derive(Clone, Copy, Debug)]
enum Manner {
    Late,
    /// Its bytes come over 1.6 s.
    Trickling,
    /// The first call is refused at once.
    RefusingOnce,
    /// The first call is refused late, and all later ones are answered late.
    RefusingOnceAndLate,
}

const MANNERS: [Manner; 4] =
    [Manner::Late, Manner::Trickling, Manner::RefusingOnce, Manner::RefusingOnceAndLate];

/// Answers each call for the complete list with this list, and holds watches in silence; does not end.
async fn serve_list(discovery: &FakeDiscovery, manner: Manner, list: &str) {
    let is_first = Cell::new(true);
    let mut held = Vec::new();
    loop {
        let call = discovery.next_call().await;
        if call.first_line == FULL_LIST_REQUEST {
            tokio::spawn(answer(call, manner, is_first.replace(false), list.to_owned()));
        } else {
            held.push(call);
        }
    }
}

async fn answer(mut call: Call, manner: Manner, is_first: bool, list: String) {
    if matches!(manner, Manner::Late | Manner::RefusingOnceAndLate) {
        sleep(MAX_LATENESS).await;
    }
    match manner {
        Manner::RefusingOnce | Manner::RefusingOnceAndLate if is_first => call.write(CROWDED).await,
        Manner::Trickling => {
            call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len())).await;
            for piece in list.as_bytes().chunks(list.len().div_ceil(4)) {
                sleep(Duration::from_millis(400)).await;
                call.write(std::str::from_utf8(piece).expect("ASCII")).await;
            }
        }
        _ => call.respond_with_list(&list).await,
    }
}

/// Serves the list of a drain in some manner; how long after `since` the drain is known.
async fn drain_delay(
    fixture: &mut Fixture,
    discovery: &FakeDiscovery,
    manner: Manner,
    since: Instant,
) -> Option<Duration> {
    let list = endpoint_list(7, true, &fixture.r0("DRAINING"));
    tokio::select! {
        () = serve_list(discovery, manner, &list) => unreachable!("it does not end"),
        known_at = fixture.drain_known_at(since + Duration::from_secs(9)) => known_at.map(|at| at - since),
    }
}

fn assert_in_time(what: &str, delay: Option<Duration>) {
    let is_in_time = delay.is_some_and(|delay| delay < Duration::from_micros(MAX_CHANGE_DELAY));
    assert!(is_in_time, "{what}: {delay:?}");
}

fn cases() -> impl Iterator<Item = (&'static str, Manner)> {
    DISCOVERY_KINDS.into_iter().flat_map(|kind| MANNERS.map(|manner| (kind, manner)))
}

#[tokio::test]
async fn an_unavailable_discovery_and_its_return_are_logged_with_its_address() {
    let mut discovery = FakeDiscovery::unavailable("refuses").await;
    let mut fixture = Fixture::start("pushed", &discovery).await;
    let address = discovery.address.to_string();
    let event: serde_json::Value =
        serde_json::from_str(&fixture.scheduler.next_line().await).expect("a JSON line");
    assert_eq!(event["message"], "no answer of discovery, the list stays");
    assert_eq!(event["peer"], address.as_str());
    discovery.recover().await;
    let _watch = discovery.publish(7, &fixture.r0("SERVING")).await;
    let mut event = serde_json::Value::Null;
    while event["message"] != "discovery answers again" {
        event = serde_json::from_str(&fixture.scheduler.next_line().await).expect("a JSON line");
    }
    assert_eq!((&event["peer"], &event["revision"]), (&address.as_str().into(), &7.into()));
}

// Guards against a time-out that a slow answer never meets, and against waits that add up.
#[tokio::test]
async fn a_slow_or_crowded_discovery_is_followed_in_time_after_a_silent_watch() {
    join_all(cases().map(|(kind, manner)| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let _silent = discovery.publish(6, &fixture.r0("SERVING")).await;
        let delay = drain_delay(&mut fixture, &discovery, manner, Instant::now()).await;
        assert_in_time(&format!("{kind}, {manner:?}"), delay);
    }))
    .await;
}

#[tokio::test]
async fn a_slow_or_crowded_discovery_is_followed_in_time_after_an_outage() {
    join_all(cases().map(|(kind, manner)| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.wait_for_failures(2).await;
        // It is back right after a call that it does not answer.
        let _unanswered = discovery.next_call().await;
        let delay = drain_delay(&mut fixture, &discovery, manner, Instant::now()).await;
        assert_in_time(&format!("{kind}, {manner:?}"), delay);
    }))
    .await;
}

// What the agent has at its return counts at once, and its grace is half a second.
#[tokio::test]
async fn a_pushed_list_is_asked_for_within_the_grace_of_a_drain_when_its_agent_returns() {
    let discovery = FakeDiscovery::available().await;
    let mut fixture = Fixture::start("pushed", &discovery).await;
    for _ in 0..8 {
        let _unanswered = discovery.next_call().await;
        let back_at = Instant::now();
        let _unanswered_either = discovery.next_call().await;
        assert!(back_at.elapsed() < Duration::from_micros(DRAIN_GRACE), "{:?}", back_at.elapsed());
    }
    let back_at = Instant::now();
    let delay = drain_delay(&mut fixture, &discovery, Manner::Trickling, back_at).await;
    assert_in_time("a return", delay);
}

// Guards against what adds up over a long outage: waits, open calls, descriptors.
#[tokio::test]
async fn a_drain_is_known_in_time_after_an_outage_of_over_a_minute() {
    let one = |kind: &'static str, away: &'static str| async move {
        let mut discovery = FakeDiscovery::unavailable(away).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        sleep(Duration::from_secs(61)).await;
        fixture.client = fixture.scheduler.client().await;
        fixture.serve_request().await;
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {away}"), &mut fixture, &discovery, 6).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}

// After SIGHUP a list counts 4 s later, however many there were before.
#[tokio::test]
async fn the_last_of_many_new_configurations_is_followed_within_4_s() {
    let one = |kind: &'static str, away: &'static str| async move {
        let first = FakeDiscovery::available().await;
        let between = [FakeDiscovery::unavailable(away).await, FakeDiscovery::unavailable(away).await];
        let last = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &first).await;
        let _watch = first.publish(99, &fixture.r0("SERVING")).await;
        let mut from = first.address;
        for to in [&between[0], &between[1], &first, &between[1], &last] {
            fixture.move_discovery(from, to.address).await;
            from = to.address;
        }
        let delay = drain_delay(&mut fixture, &last, Manner::RefusingOnceAndLate, Instant::now()).await;
        assert!(delay.is_some_and(|delay| delay < Duration::from_secs(4)), "{kind}, {away}: {delay:?}");
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}

/// A client that sends one request after the other, for good; each fails.
async fn send_without_pause(mut client: Client, number: u64) {
    for id in 0.. {
        client.send_request("once", number << 32 | id, 9000).await;
        client.next_response().await.expect("an answer");
    }
}

// A process may stand still between its decision and the write.
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
            let rounds = async {
                sleep(Duration::from_millis(100)).await;
                // The process stops a little before, in or after the step that reads the list.
                let stop = async {
                    sleep(Duration::from_millis(2 * round)).await;
                    fixture.scheduler.signal("STOP").await;
                    sleep(Duration::from_micros(HOLD_UP)).await;
                    fixture.scheduler.signal("CONT").await;
                };
                let drain = async {
                    sleep(Duration::from_millis(8)).await;
                    let told_at = Instant::now();
                    watch.respond_with_list(&endpoint_list(revision, true, &draining)).await;
                    told_at
                };
                let ((), told_at) = tokio::join!(stop, drain);
                sleep(Duration::from_micros(2 * DRAIN_GRACE)).await;
                told_at
            };
            tokio::pin!(rounds);
            let mut written_at = Vec::new();
            let told_at = loop {
                tokio::select! {
                    _ = worker.next_request() => written_at.push(Instant::now()),
                    told_at = &mut rounds => break told_at,
                }
            };
            assert!(written_at.iter().any(|at| *at < told_at), "{kind}: the worker was in use");
            let last = written_at.last().expect("some");
            let late = last.saturating_duration_since(told_at);
            assert!(late < Duration::from_micros(DRAIN_GRACE), "{kind}: {late:?}");
            let next = discovery.next_call().await;
            next.respond_with_list(&endpoint_list(revision + 1, true, &serving)).await;
            watch = discovery.next_call().await;
        }
    }))
    .await;
}

// Guards against a start that a crowd keeps from answering, while discovery is away.
#[tokio::test]
async fn a_restarted_scheduler_is_ready_in_time_for_a_crowd() {
    const MAX_TIME_TO_READY: Duration = Duration::from_secs(6);
    let first_ready_answer = |address| async move {
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
    let one = |kind: &'static str, away: &'static str| async move {
        let discovery = FakeDiscovery::unavailable(away).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let address = fixture.scheduler.address;
        fixture.scheduler.end("KILL").await;
        let ended_at = Instant::now();
        let crowd = join_all((0..200).map(|_| first_ready_answer(address)));
        let (answers, ()) = tokio::join!(crowd, fixture.scheduler.start_again());
        let slowest = answers.into_iter().max().expect("a crowd") - ended_at;
        assert!(slowest < MAX_TIME_TO_READY, "{kind}, {away}: {slowest:?}");
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}
