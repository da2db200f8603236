//! The program follows the endpoint list through the moments in which discovery fails: whatever went wrong,
//! a change is known within 6 s of discovery's having it, and requests are served all along.
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
        // Over two minutes of an outage.
        for _ in 0..100 {
            assert_eq!(timer_delay(Event::TimerExpired(Timer::Subscription)), None);
            wait = wait.max(timer_delay(update(EndpointUpdateKind::Failed)).expect("a further call"));
        }
    }
    let silent_watch = WATCH_HOLD_TIME + WATCH_MARGIN + RETRY_BACKOFF_INITIAL;
    let answered_late = SECOND;
    let refused_late = answered_late + REFUSED_RETRY_BACKOFF;
    let recalled = PUSHED_HEDGE_INTERVAL.max(RETRY_BACKOFF_MAX);
    let sums = [
        ("asked: a watch that is silent, and the next call", silent_watch + POLLED_LIST_TIMEOUT),
        (
            "asked: a call given up, the policy's wait, and the next call",
            POLLED_LIST_TIMEOUT + wait + POLLED_LIST_TIMEOUT,
        ),
        ("asked: the first call of a start", first + POLLED_LIST_TIMEOUT),
        ("pushed: a watch that is silent, and the next call late", silent_watch + answered_late),
        ("pushed: a call that stays silent, and the next late", recalled + answered_late),
    ];
    for (what, sum) in sums {
        assert!(sum <= MAX_CHANGE_DELAY - DELAY_MARGIN, "{what}: {sum} us");
    }
    // One refusal more, by a discovery that is crowded, or bytes that trickle: what is left covers a process that is
    // held up.
    let crowded_sums = [
        ("a watch that is silent", silent_watch + refused_late + answered_late),
        ("a call given up", POLLED_LIST_TIMEOUT + wait + refused_late + answered_late),
        ("the first call of a start", first + refused_late + answered_late),
        ("a watch that trickles without end", silent_watch + BODY_MARGIN + POLLED_LIST_TIMEOUT),
        ("a call that trickles without end", POLLED_LIST_TIMEOUT + BODY_MARGIN + wait + POLLED_LIST_TIMEOUT),
        ("a watch that is silent, and bytes that trickle", silent_watch + POLLED_LIST_TIMEOUT + BODY_MARGIN),
        ("pushed, a watch that is silent", silent_watch + recalled + answered_late),
    ];
    for (what, sum) in crowded_sums {
        assert!(sum <= MAX_CHANGE_DELAY - HOLD_UP, "crowded, {what}: {sum} us");
    }
    // What the agent has at its return counts at once, and half a second later nothing goes to what drains.
    assert!(recalled + HOLD_UP / 2 < DRAIN_GRACE);
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
