//! The program follows the endpoint list through the moments in which discovery fails: whatever went wrong,
//! a change is known within 6 s of discovery's having it, and requests are served all along.
#[path = "sockets/fake_discovery.rs"]
mod fake_discovery;
mod sockets;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use copperspread_dispatcher::{
    Action, Dispatcher, EndpointUpdate, EndpointUpdateKind, Event, Micros, RequestClass, SECOND, Settings,
    Timer,
};
use copperspread_proxy::discovery::platform::{
    POLLED_LIST_TIMEOUT, PUSHED_LIST_TIMEOUT, PUSHED_WATCH_MARGIN, RETRY_BACKOFF_INITIAL, RETRY_BACKOFF_MAX,
    WATCH_HOLD_TIME,
};
use fake_discovery::{Call, FakeDiscovery, UNAVAILABLE, WATCH_FAULTS, inject};
use futures_util::FutureExt;
use futures_util::future::join_all;
use sockets::*;

/// The longest time until a change counts as known, and the part of it that is left for the way and a busy machine.
const MAX_CHANGE_DELAY: Micros = 6 * SECOND;
const DELAY_MARGIN: Micros = SECOND / 2;
const FULL_LIST_REQUEST: &str = "GET /api/targets HTTP/1.1";
const DONE: &str = r#""state":"done","result":"well""#;
const DISCOVERY_KINDS: [&str; 2] = ["pushed", "on_request"];
const OUTAGES: [&str; 3] = ["refuses", "silent", "no connection comes up"];

/// The program, a worker r0 of its cached list, a client, and the id of its last request.
struct Fixture {
    scheduler: Scheduler,
    worker: FakeServer,
    client: Client,
    last_id: u64,
}

impl Fixture {
    async fn start(kind: &str, discovery: &FakeDiscovery) -> Fixture {
        Fixture::start_with(kind, discovery, 1024, "").await
    }
    /// With so many descriptors, and its configuration changed by a further command of `sed`.
    async fn start_with(kind: &str, discovery: &FakeDiscovery, sockets: u32, further: &str) -> Fixture {
        let worker = FakeServer::start().await;
        let place = format!(r#"s/"discovery":"127[^"]*"/"discovery":"{}"/"#, discovery.address);
        let kind = format!(r#"s/"discovery":"pushed"/"discovery":"{kind}"/"#);
        let edit = format!("sed -i -e '{place}' -e '{kind}' -e '{further}' \"$EDGE_CONFIG\"");
        let command = format!("{edit} && ulimit -n {sockets} && exec \"$PROGRAM\"");
        let scheduler = Scheduler::start_by_command(&command, sockets, &[worker.address]).await;
        let mut client = scheduler.client().await;
        // One that says nothing at first is not kept for long.
        assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
        Fixture { scheduler, worker, client, last_id: 1 }
    }
    fn r0(&self, phase: &str) -> [String; 1] {
        [endpoint("r0", self.worker.address, phase)]
    }
    async fn serve_request(&mut self) {
        self.last_id += 1;
        self.scheduler.serve_request(&mut self.client, &mut self.worker, self.last_id, DONE).await;
    }
    /// The next request does not reach the worker that drains.
    async fn assert_draining_worker_gets_nothing(&mut self) {
        self.last_id += 1;
        let request = request_text("once", self.last_id, 9000);
        assert_eq!(self.client.exchange(&request).await.status(), 503);
        assert!(self.worker.is_idle());
    }
    /// Points it to another discovery.
    async fn move_discovery(&mut self, from: SocketAddr, to: SocketAddr) {
        let content = std::fs::read_to_string(&self.scheduler.path).expect("a configuration");
        let from = format!(r#""discovery":"{from}""#);
        assert!(content.contains(&from));
        let content = content.replace(&from, &format!(r#""discovery":"{to}""#));
        let lines = self.scheduler.reload(&content).await;
        assert!(lines.iter().any(|line| line.contains(r#""discovery_changed":true"#)), "{lines:?}");
    }
    /// Waits for the log's line of so many failed calls in all.
    async fn wait_for_failures(&mut self, count: u32) {
        let count = format!("\"count\":{count}");
        loop {
            let line = self.scheduler.next_line().await;
            if line.contains("no answer of discovery") && line.contains(&count) {
                return;
            }
        }
    }
}

/// Discovery announces a drain from now on: it is known in time and kept; then serving goes on.
async fn assert_drain_is_known_in_time(
    what: &str,
    fixture: &mut Fixture,
    discovery: &FakeDiscovery,
    revision: u64,
) -> Call {
    let since = Instant::now();
    let watch = discovery.publish(revision, &fixture.r0("DRAINING")).await;
    let took = since.elapsed();
    assert!(took < Duration::from_micros(MAX_CHANGE_DELAY - DELAY_MARGIN), "{what}: {took:?}");
    fixture.assert_draining_worker_gets_nothing().await;
    watch.respond_with_list(&endpoint_list(revision + 1, true, &fixture.r0("SERVING"))).await;
    let watch = discovery.next_call().await;
    assert!(watch.first_line.contains(&format!("from={}&", revision + 1)), "{what}: {}", watch.first_line);
    fixture.serve_request().await;
    watch
}

#[test]
fn all_waits_for_a_change_added_up_stay_within_the_limit() {
    // The policy's longest waits where lists are asked for, in a fleet that spreads as far as any.
    let (mut first, mut wait) = (0, 0);
    for seed in 0..500 {
        let settings = Settings {
            discovery: copperspread_dispatcher::Discovery::Polled,
            fleet_size: 300,
            classes: vec![RequestClass::default()],
            ..Settings::default()
        };
        let mut policy = Dispatcher::new(settings, seed).expect("settings are good");
        let mut timer_delay = |event| {
            let mut actions = Vec::new();
            policy.handle(SECOND, event, &mut actions);
            actions.into_iter().find_map(|action| match action {
                Action::StartTimer { after, timer: Timer::Subscription } => Some(after),
                _ => None,
            })
        };
        let update = |kind| Event::Endpoints(EndpointUpdate { kind, version: 1, endpoints: &[] });
        first = first.max(timer_delay(update(EndpointUpdateKind::Cached)).expect("a first call"));
        for _ in 0..12 {
            assert_eq!(timer_delay(Event::TimerExpired(Timer::Subscription)), None);
            wait = wait.max(timer_delay(update(EndpointUpdateKind::Failed)).expect("a further call"));
        }
    }
    let sums = [
        (
            "asked: a watch that is silent, and the next call",
            WATCH_HOLD_TIME + POLLED_LIST_TIMEOUT + RETRY_BACKOFF_INITIAL + POLLED_LIST_TIMEOUT,
        ),
        (
            "asked: a call given up, the module's wait, and the next call",
            POLLED_LIST_TIMEOUT + wait + POLLED_LIST_TIMEOUT,
        ),
        ("asked: the first call of a start", first + POLLED_LIST_TIMEOUT),
        (
            "pushed: a watch that is silent, and the next call",
            WATCH_HOLD_TIME + PUSHED_WATCH_MARGIN + RETRY_BACKOFF_INITIAL + PUSHED_LIST_TIMEOUT,
        ),
        (
            "pushed: a call given up, and the next",
            PUSHED_LIST_TIMEOUT + RETRY_BACKOFF_MAX + PUSHED_LIST_TIMEOUT,
        ),
    ];
    for (what, sum) in sums {
        assert!(sum <= MAX_CHANGE_DELAY - DELAY_MARGIN, "{what}: {sum} us");
    }
}

#[tokio::test]
async fn a_drain_is_known_in_time_whatever_fault_a_watch_meets() {
    let one = |kind: &'static str, fault: &'static str| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let serving = fixture.r0("SERVING");
        let watch = discovery.publish(6, &serving).await;
        let _open = inject(fault, watch, &serving).await;
        fixture.serve_request().await;
        assert_drain_is_known_in_time(&format!("{kind}, {fault}"), &mut fixture, &discovery, 7).await;
    };
    join_all(DISCOVERY_KINDS.iter().flat_map(|kind| WATCH_FAULTS.iter().map(move |fault| one(kind, fault))))
        .await;
}

// Guards against a second held call after one that fell silent: the two would take longer than the terms.
#[tokio::test]
async fn after_a_silent_watch_the_complete_list_is_requested_until_it_comes() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let _silent = discovery.publish(6, &fixture.r0("SERVING")).await;
        let since = Instant::now();
        let also_silent = discovery.next_call().await;
        assert_eq!(also_silent.first_line, FULL_LIST_REQUEST, "{kind}");
        assert!(
            since.elapsed() < Duration::from_micros(WATCH_HOLD_TIME + 2 * SECOND),
            "{kind}: {:?}",
            since.elapsed()
        );
        fixture.serve_request().await;
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 7).await;
    }))
    .await;
}

#[tokio::test]
async fn a_discovery_that_is_unavailable_at_the_start_is_followed_once_it_is_available() {
    let one = |kind: &'static str, away: &'static str| async move {
        let mut discovery = FakeDiscovery::unavailable(away).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.serve_request().await;
        fixture.wait_for_failures(1).await;
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {away}"), &mut fixture, &discovery, 6).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}

// Guards against a wait that grows with the outage beyond what the terms leave for it.
#[tokio::test]
async fn a_drain_is_known_in_time_after_many_failed_calls() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let mut call = discovery.publish(6, &fixture.r0("SERVING")).await;
        for _ in 0..4 {
            call.write(UNAVAILABLE).await;
            drop(call);
            call = discovery.next_call().await;
        }
        // The last one finds discovery gone silent; it could be reached right after.
        let since = Instant::now();
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 7).await;
        assert!(
            since.elapsed() < Duration::from_micros(MAX_CHANGE_DELAY - DELAY_MARGIN),
            "{kind}: {:?}",
            since.elapsed()
        );
    }))
    .await;
}

#[tokio::test]
async fn an_older_list_changes_nothing_and_a_newer_one_after_it_is_applied() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let watch = discovery.publish(7, &fixture.r0("DRAINING")).await;
        fixture.assert_draining_worker_gets_nothing().await;
        watch.respond_with_list(&endpoint_list(6, true, &fixture.r0("SERVING"))).await;
        let next = discovery.next_call().await;
        fixture.assert_draining_worker_gets_nothing().await;
        next.respond_with_list(&endpoint_list(7, false, &fixture.r0("DRAINING"))).await;
        let next = discovery.next_call().await;
        assert!(next.first_line.contains("from=7&"), "{kind}: {}", next.first_line);
        fixture.assert_draining_worker_gets_nothing().await;
        next.respond_with_list(&endpoint_list(8, false, &fixture.r0("SERVING"))).await;
        discovery.next_call().await;
        fixture.serve_request().await;
    }))
    .await;
}

// Guards against a discovery asked without a pause: by one that holds no watch, and by one that answers
// whole lists and breaks each watch.
#[tokio::test]
async fn a_discovery_that_holds_no_watch_is_not_polled_without_a_pause() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let fixture = Fixture::start(kind, &discovery).await;
        let mut call = discovery.publish(6, &fixture.r0("SERVING")).await;
        let since = Instant::now();
        for _ in 0..5 {
            call.respond_with_list(&endpoint_list(6, false, &[])).await;
            call = discovery.next_call().await;
        }
        assert!(
            since.elapsed() >= Duration::from_micros(5 * RETRY_BACKOFF_INITIAL),
            "{kind}: {:?}",
            since.elapsed()
        );
        let since = Instant::now();
        for _ in 0..5 {
            drop(call);
            call = discovery.publish(6, &fixture.r0("SERVING")).await;
        }
        assert!(
            since.elapsed() >= Duration::from_micros(5 * RETRY_BACKOFF_INITIAL),
            "{kind}: {:?}",
            since.elapsed()
        );
    }))
    .await;
}

#[tokio::test]
async fn a_new_discovery_is_followed_whatever_the_old_one_still_answers() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let (old, new) = (FakeDiscovery::available().await, FakeDiscovery::available().await);
        let mut fixture = Fixture::start(kind, &old).await;
        let (serving, draining) = (fixture.r0("SERVING"), fixture.r0("DRAINING"));
        let watch = old.publish(99, &serving).await;
        fixture.move_discovery(old.address, new.address).await;
        // The old one answers the call that was out; the new one counts lower.
        watch.respond_with_list(&endpoint_list(100, true, &serving)).await;
        let whole = new.next_call().await;
        assert_eq!(whole.first_line, FULL_LIST_REQUEST, "{kind}");
        whole.respond_with_list(&endpoint_list(2, true, &draining)).await;
        let watch = new.next_call().await;
        assert!(watch.first_line.contains("from=2&"), "{kind}: {}", watch.first_line);
        fixture.assert_draining_worker_gets_nothing().await;
        // Back, with a call out that was not answered once.
        fixture.move_discovery(new.address, old.address).await;
        drop(watch);
        old.publish(1, &serving).await;
        fixture.serve_request().await;
    }))
    .await;
}

#[tokio::test]
async fn a_new_discovery_that_is_unavailable_is_followed_once_it_is_available() {
    let one = |kind: &'static str, away: &'static str| async move {
        let old = FakeDiscovery::available().await;
        let mut new = FakeDiscovery::unavailable(away).await;
        let mut fixture = Fixture::start(kind, &old).await;
        let _watch = old.publish(99, &fixture.r0("SERVING")).await;
        fixture.move_discovery(old.address, new.address).await;
        fixture.wait_for_failures(1).await;
        fixture.serve_request().await;
        new.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {away}"), &mut fixture, &new, 2).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|away| one(kind, away)))).await;
}

// Guards against the wait of the first call, which is spread, for a discovery that has moved meanwhile.
#[tokio::test]
async fn a_move_before_the_first_call_is_followed_at_once() {
    let (old, new) = (FakeDiscovery::available().await, FakeDiscovery::available().await);
    let large = r#"s/"fleet_size":1/"fleet_size":300/"#;
    let mut fixture = Fixture::start_with("on_request", &old, 1024, large).await;
    let since = Instant::now();
    fixture.move_discovery(old.address, new.address).await;
    let whole = new.next_call().await;
    // The policy would ask some 1.8 s after the start, by the seed of the configuration.
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    assert!(old.listener.as_ref().expect("it is up").accept().now_or_never().is_none());
    whole.respond_with_list(&endpoint_list(2, true, &fixture.r0("DRAINING"))).await;
    let mut watch = new.next_call().await;
    fixture.assert_draining_worker_gets_nothing().await;
    // The policy's own word, when it comes, is no second call.
    for revision in 3..5 {
        assert!(watch.first_line.contains(&format!("from={}&", revision - 1)), "{}", watch.first_line);
        watch.respond_with_list(&endpoint_list(revision, false, &[])).await;
        watch = new.next_call().await;
    }
}

// Guards against calls that multiply: each move in the policy's wait after a failure makes a call at once,
// and the policy asks for one of its own later.
#[tokio::test]
async fn moves_during_an_outage_do_not_multiply_the_calls() {
    let (one, two) = (FakeDiscovery::available().await, FakeDiscovery::available().await);
    let mut fixture = Fixture::start("on_request", &one).await;
    let (mut here, mut there) = (&one, &two);
    here.next_call().await.write(UNAVAILABLE).await;
    for _ in 0..6 {
        fixture.move_discovery(here.address, there.address).await;
        there.next_call().await.write(UNAVAILABLE).await;
        (here, there) = (there, here);
    }
    // What was asked for before the last move may still come.
    here.next_call().await.write(UNAVAILABLE).await;
    here.next_call().await.write(UNAVAILABLE).await;
    let since = Instant::now();
    for _ in 0..3 {
        here.next_call().await.write(UNAVAILABLE).await;
    }
    // The policy waits for a second at least from its second failure on.
    assert!(since.elapsed() >= Duration::from_secs(2), "{:?}", since.elapsed());
}

#[tokio::test]
async fn a_start_without_a_list_requests_one_before_any_client_request() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start_with(kind, &discovery, 1024, r#"s/"known":/"earlier":/"#).await;
        let serving = fixture.r0("SERVING");
        let told = tokio::time::timeout(Duration::from_secs(5), discovery.publish(1, &serving)).await;
        assert!(told.is_ok(), "{kind}: no call came");
        fixture.serve_request().await;
    }))
    .await;
}

// What readiness waits for: the configuration is read, the policy made and the listener open. Discovery
// is not waited for.
#[tokio::test]
async fn a_restart_while_discovery_is_unavailable_serves_from_the_cached_list() {
    let one = |kind: &'static str, signal: &'static str, away: &'static str| async move {
        let mut discovery = FakeDiscovery::unavailable(if away == "slow" { "silent" } else { away }).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.serve_request().await;
        let since = Instant::now();
        let work = async {
            fixture.scheduler.restart(signal).await;
            fixture.client = fixture.scheduler.client().await;
            assert_eq!(fixture.client.exchange(READINESS_REQUEST).await.status(), 200);
            fixture.serve_request().await;
        };
        let slow = async {
            if away != "slow" {
                return std::future::pending().await;
            }
            loop {
                let begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                discovery.next_call().await.repeat_forever(
                    begin,
                    "1\r\n \r\n".into(),
                    Duration::from_millis(50),
                );
            }
        };
        tokio::select! {
            () = work => {}
            () = slow => {}
        }
        assert!(since.elapsed() < Duration::from_secs(8), "{kind}, {signal}, {away}: {:?}", since.elapsed());
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {signal}, {away}"), &mut fixture, &discovery, 6)
            .await;
    };
    let each = |kind| {
        ["KILL", "TERM"].map(|signal| ["refuses", "silent", "slow"].map(|away| one(kind, signal, away)))
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(each).flatten()).await;
}

// Guards against clients that leave no descriptor for the call that finds discovery back.
#[tokio::test]
async fn idle_clients_that_fill_the_descriptors_do_not_keep_discovery_from_being_followed() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let mut discovery = FakeDiscovery::refusing();
        let mut fixture = Fixture::start_with(kind, &discovery, 64, "").await;
        let mut crowd = Vec::new();
        for number in 0..120 {
            let mut client = fixture.scheduler.client().await;
            if number % 2 == 0 {
                client.send(READINESS_REQUEST).await;
            }
            crowd.push(client);
        }
        fixture.wait_for_failures(4).await;
        let open = format!("/proc/{}/fd", fixture.scheduler.child.id().expect("it runs"));
        let open = std::fs::read_dir(open).expect("its descriptors").count();
        assert!((32..64).contains(&open), "{kind}: {open} descriptors are open");
        fixture.client = fixture.scheduler.client().await;
        fixture.serve_request().await;
        discovery.listen().await;
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 6).await;
        drop(crowd);
    }))
    .await;
}
