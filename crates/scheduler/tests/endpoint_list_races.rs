//! Tests that the scheduler follows the endpoint list across failures of discovery: a change is applied
//! within 6 s after discovery has it, and requests are served all the while. Lists that are pushed come from
//! a discovery agent near the scheduler, others are polled.
#[path = "sockets/discovery_fixture.rs"]
mod discovery_fixture;
#[path = "sockets/fake_discovery.rs"]
mod fake_discovery;
mod sockets;

use std::time::{Duration, Instant};

use copperspread_dispatcher::{
    Action, Dispatcher, EndpointUpdate, EndpointUpdateKind, Event, RequestClass, SECOND, Settings, Timer,
};
use copperspread_proxy::discovery::platform::{
    BODY_MARGIN, POLLED_LIST_TIMEOUT, PUSHED_HEDGE_INTERVAL, REFUSED_RETRY_BACKOFF, RETRY_BACKOFF_INITIAL,
    RETRY_BACKOFF_MAX, WATCH_HOLD_TIME, WATCH_MARGIN,
};
use discovery_fixture::*;
use fake_discovery::{FakeDiscovery, UNAVAILABLE, WATCH_FAULTS, inject};
use futures_util::FutureExt;
use futures_util::future::join_all;
use sockets::*;

#[test]
fn the_sums_of_all_waits_for_a_change_stay_within_the_limit() {
    // The policy's longest waits where lists are polled, in a fleet large enough for the widest spread of
    // polls.
    let (mut first_call_delay, mut retry_delay) = (0, 0);
    for seed in 0..500 {
        let settings = Settings {
            discovery: copperspread_dispatcher::DiscoveryMode::Polled,
            fleet_size: 300,
            classes: vec![RequestClass::default()],
            ..Settings::default()
        };
        let mut policy = Dispatcher::new(settings, seed).expect("valid settings");
        let mut timer_delay = |event| {
            let mut actions = Vec::new();
            policy.handle(SECOND, event, &mut actions);
            actions.into_iter().find_map(|action| match action {
                Action::StartTimer { after, timer: Timer::DiscoveryPoll } => Some(after),
                _ => None,
            })
        };
        let update = |kind| Event::Endpoints(EndpointUpdate { kind, version: 1, endpoints: &[] });
        first_call_delay = first_call_delay
            .max(timer_delay(update(EndpointUpdateKind::Cached)).expect("a first-call timer"));
        // An outage of over two minutes.
        for _ in 0..100 {
            assert_eq!(timer_delay(Event::TimerExpired(Timer::DiscoveryPoll)), None);
            retry_delay =
                retry_delay.max(timer_delay(update(EndpointUpdateKind::Failed)).expect("a next-call timer"));
        }
    }
    let silent_watch = WATCH_HOLD_TIME + WATCH_MARGIN + RETRY_BACKOFF_INITIAL;
    let late_response_delay = SECOND;
    let late_rejection_delay = late_response_delay + REFUSED_RETRY_BACKOFF;
    let pushed_retry = PUSHED_HEDGE_INTERVAL.max(RETRY_BACKOFF_MAX);
    let wait_sums = [
        ("polled: a silent watch, and the next call", silent_watch + POLLED_LIST_TIMEOUT),
        (
            "polled: a call that timed out, the policy's wait, and the next call",
            POLLED_LIST_TIMEOUT + retry_delay + POLLED_LIST_TIMEOUT,
        ),
        ("polled: the first call after the start", first_call_delay + POLLED_LIST_TIMEOUT),
        ("pushed: a silent watch, and a late response to the next call", silent_watch + late_response_delay),
        ("pushed: a silent call, and a late response to the next one", pushed_retry + late_response_delay),
    ];
    for (what, sum) in wait_sums {
        assert!(sum <= MAX_CHANGE_DELAY - DELAY_MARGIN, "{what}: {sum} us");
    }
    // An overloaded discovery adds one rejected call, or a slow response that arrives in small pieces. What
    // remains of the limit covers a process that is held up for `HOLD_UP`.
    let overloaded_sums = [
        ("a silent watch", silent_watch + late_rejection_delay + late_response_delay),
        (
            "a call that timed out",
            POLLED_LIST_TIMEOUT + retry_delay + late_rejection_delay + late_response_delay,
        ),
        ("the first call after the start", first_call_delay + late_rejection_delay + late_response_delay),
        ("an endless slow response to a watch", silent_watch + BODY_MARGIN + POLLED_LIST_TIMEOUT),
        ("an endless slow call", POLLED_LIST_TIMEOUT + BODY_MARGIN + retry_delay + POLLED_LIST_TIMEOUT),
        ("a silent watch, and a slow response", silent_watch + POLLED_LIST_TIMEOUT + BODY_MARGIN),
        ("pushed, a silent watch", silent_watch + pushed_retry + late_response_delay),
    ];
    for (what, sum) in overloaded_sums {
        assert!(sum <= MAX_CHANGE_DELAY - HOLD_UP, "overloaded, {what}: {sum} us");
    }
    // The list that the discovery agent has at its return counts as notified at that moment, so the next call
    // must come before the drain grace of 0.5 s has passed.
    assert!(pushed_retry + HOLD_UP / 2 < DRAIN_GRACE);
}

#[tokio::test]
async fn a_drain_is_applied_in_time_whatever_fault_a_watch_meets() {
    let run_case = |kind: &'static str, fault: &'static str| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let serving = fixture.r0("SERVING");
        let watch = discovery.publish(6, &serving).await;
        let _open = inject(fault, watch, &serving).await;
        fixture.serve_request().await;
        assert_drain_is_known_in_time(&format!("{kind}, {fault}"), &mut fixture, &discovery, 7).await;
    };
    join_all(
        DISCOVERY_KINDS.iter().flat_map(|kind| WATCH_FAULTS.iter().map(move |fault| run_case(kind, fault))),
    )
    .await;
}

// Guards against a second watch after a silent one: together they would exceed the limit of 6 s.
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
    let run_case = |kind: &'static str, outage: &'static str| async move {
        let mut discovery = FakeDiscovery::unavailable(outage).await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        fixture.serve_request().await;
        fixture.wait_for_failures(1).await;
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {outage}"), &mut fixture, &discovery, 6).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|outage| run_case(kind, outage)))).await;
}

// Guards against a backoff that grows during an outage until a change is applied later than the limit of 6 s.
#[tokio::test]
async fn a_drain_is_applied_in_time_after_many_failed_calls() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start(kind, &discovery).await;
        let mut call = discovery.publish(6, &fixture.r0("SERVING")).await;
        for _ in 0..4 {
            call.write(UNAVAILABLE).await;
            drop(call);
            call = discovery.next_call().await;
        }
        // Discovery does not respond to the last call, but could be reached right after it.
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

// Guards against calls without a pause, if discovery responds to a watch at once, or if it sends complete
// lists and closes each watch.
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
        // The old discovery responds to the pending call; the revisions of the new one are lower.
        watch.respond_with_list(&endpoint_list(100, true, &serving)).await;
        let full_list_call = new.next_call().await;
        assert_eq!(full_list_call.first_line, FULL_LIST_REQUEST, "{kind}");
        full_list_call.respond_with_list(&endpoint_list(2, true, &draining)).await;
        let watch = new.next_call().await;
        assert!(watch.first_line.contains("from=2&"), "{kind}: {}", watch.first_line);
        fixture.assert_draining_worker_gets_nothing().await;
        // Moves back, while a call to the new discovery is pending.
        fixture.move_discovery(new.address, old.address).await;
        drop(watch);
        old.publish(1, &serving).await;
        fixture.serve_request().await;
    }))
    .await;
}

#[tokio::test]
async fn a_new_discovery_that_is_unavailable_is_followed_once_it_is_available() {
    let run_case = |kind: &'static str, outage: &'static str| async move {
        let old = FakeDiscovery::available().await;
        let mut new = FakeDiscovery::unavailable(outage).await;
        let mut fixture = Fixture::start(kind, &old).await;
        let _watch = old.publish(99, &fixture.r0("SERVING")).await;
        fixture.move_discovery(old.address, new.address).await;
        fixture.wait_for_failures(1).await;
        fixture.serve_request().await;
        new.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {outage}"), &mut fixture, &new, 2).await;
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(|kind| OUTAGES.map(|outage| run_case(kind, outage)))).await;
}

// Guards against waiting out the random delay of the first call after discovery has moved.
#[tokio::test]
async fn a_move_before_the_first_call_is_followed_at_once() {
    let (old, new) = (FakeDiscovery::available().await, FakeDiscovery::available().await);
    let large = r#"s/"fleet_size":1/"fleet_size":300/"#;
    let mut fixture = Fixture::start_with("on_request", &old, 1024, large).await;
    let since = Instant::now();
    fixture.move_discovery(old.address, new.address).await;
    let full_list_call = new.next_call().await;
    // With the configuration's seed, the policy would subscribe some 1.8 s after the start.
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    assert!(old.listener.as_ref().expect("the old discovery listens").accept().now_or_never().is_none());
    full_list_call.respond_with_list(&endpoint_list(2, true, &fixture.r0("DRAINING"))).await;
    let mut watch = new.next_call().await;
    fixture.assert_draining_worker_gets_nothing().await;
    // The policy's own subscription, when it comes, causes no second call.
    for revision in 3..5 {
        assert!(watch.first_line.contains(&format!("from={}&", revision - 1)), "{}", watch.first_line);
        watch.respond_with_list(&endpoint_list(revision, false, &[])).await;
        watch = new.next_call().await;
    }
}

// Guards against an accumulation of calls: each move during the policy's wait after a failure causes a call
// at once, and the policy requests another one later.
#[tokio::test]
async fn moves_during_an_outage_do_not_multiply_the_calls() {
    let (discovery_a, discovery_b) = (FakeDiscovery::available().await, FakeDiscovery::available().await);
    let mut fixture = Fixture::start("on_request", &discovery_a).await;
    let (mut current, mut next_discovery) = (&discovery_a, &discovery_b);
    current.next_call().await.write(UNAVAILABLE).await;
    for _ in 0..6 {
        fixture.move_discovery(current.address, next_discovery.address).await;
        next_discovery.next_call().await.write(UNAVAILABLE).await;
        (current, next_discovery) = (next_discovery, current);
    }
    // Calls that were requested before the last move may still arrive.
    current.next_call().await.write(UNAVAILABLE).await;
    current.next_call().await.write(UNAVAILABLE).await;
    let since = Instant::now();
    for _ in 0..3 {
        current.next_call().await.write(UNAVAILABLE).await;
    }
    // The policy waits for at least a second from its second failure on.
    assert!(since.elapsed() >= Duration::from_secs(2), "{:?}", since.elapsed());
}

#[tokio::test]
async fn a_start_without_a_list_requests_one_before_any_client_request() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let discovery = FakeDiscovery::available().await;
        let mut fixture = Fixture::start_with(kind, &discovery, 1024, r#"s/"known":/"earlier":/"#).await;
        let serving = fixture.r0("SERVING");
        let published = tokio::time::timeout(Duration::from_secs(5), discovery.publish(1, &serving)).await;
        assert!(published.is_ok(), "{kind}: discovery received no call");
        fixture.serve_request().await;
    }))
    .await;
}

// Readiness requires that the configuration is read, the policy created and the listener open. It does not
// wait for discovery.
#[tokio::test]
async fn a_restart_while_discovery_is_unavailable_serves_from_the_cached_list() {
    let run_case = |kind: &'static str, signal: &'static str, outage: &'static str| async move {
        let mut discovery =
            FakeDiscovery::unavailable(if outage == "slow" { "silent" } else { outage }).await;
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
            if outage != "slow" {
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
        assert!(
            since.elapsed() < Duration::from_secs(8),
            "{kind}, {signal}, {outage}: {:?}",
            since.elapsed()
        );
        discovery.recover().await;
        assert_drain_is_known_in_time(&format!("{kind}, {signal}, {outage}"), &mut fixture, &discovery, 6)
            .await;
    };
    let each = |kind| {
        ["KILL", "TERM"]
            .map(|signal| ["refuses", "silent", "slow"].map(|outage| run_case(kind, signal, outage)))
    };
    join_all(DISCOVERY_KINDS.into_iter().flat_map(each).flatten()).await;
}

// Guards against idle clients that use all descriptors, so that none is left to call discovery once it is
// back.
#[tokio::test]
async fn idle_clients_that_fill_the_descriptors_do_not_keep_discovery_from_being_followed() {
    join_all(DISCOVERY_KINDS.map(|kind| async move {
        let mut discovery = FakeDiscovery::refusing();
        let mut fixture = Fixture::start_with(kind, &discovery, 64, "").await;
        let mut idle_clients = Vec::new();
        for number in 0..120 {
            let mut client = fixture.scheduler.client().await;
            if number % 2 == 0 {
                client.send(READINESS_REQUEST).await;
            }
            idle_clients.push(client);
        }
        fixture.wait_for_failures(4).await;
        let open = format!("/proc/{}/fd", fixture.scheduler.child.id().expect("a running process"));
        let open = std::fs::read_dir(open).expect("the list of open descriptors").count();
        assert!((32..64).contains(&open), "{kind}: {open} descriptors are open");
        fixture.client = fixture.scheduler.client().await;
        fixture.serve_request().await;
        discovery.listen().await;
        assert_drain_is_known_in_time(kind, &mut fixture, &discovery, 6).await;
        drop(idle_clients);
    }))
    .await;
}
