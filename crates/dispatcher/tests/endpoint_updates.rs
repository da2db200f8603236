//! Discovery on request: early, spread out, and again after a failure.
mod common;
use common::{Harness, endpoint, settings};
use copperspread_dispatcher::{
    Action, Discovery, EndpointUpdateKind, Event, Idempotency, Micros, SECOND, Settings, Timer,
};

fn on_request(fleet_size: u32, seed: u64) -> Harness {
    let settings = Settings { discovery: Discovery::Polled, fleet_size, ..settings(Idempotency::Idempotent) };
    Harness::seeded(settings, &[endpoint(0)], seed)
}

/// The wait of the discovery timer among the last actions.
fn wait(harness: &Harness) -> Option<Micros> {
    harness.actions.iter().find_map(|action| match action {
        Action::StartTimer { after, timer: Timer::Subscription } => Some(*after),
        _ => None,
    })
}

#[test]
fn pushed_endpoint_lists_are_not_polled() {
    let harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0)]);
    assert_eq!(wait(&harness), None);
}

#[test]
fn all_subscribe_early_and_a_large_fleet_spreads_its_polls() {
    // With a call of some seconds it has to fit in the 6 s in which a change counts as notified.
    let limit = 3 * SECOND;
    let waits: Vec<_> = (0..200).map(|seed| wait(&on_request(200, seed)).expect("a timer")).collect();
    assert!(waits.iter().all(|&w| w <= limit));
    for quarter in 0..4 {
        let within = limit * quarter / 4..limit * (quarter + 1) / 4;
        let count = waits.iter().filter(|w| within.contains(w)).count();
        assert!((25..=80).contains(&count), "{count} in quarter {quarter}");
    }
    assert!(wait(&on_request(2, 1)).expect("a timer") < SECOND);
    // A limit of the settings that is shorter counts.
    for seed in 0..200 {
        let poll_within = 2 * SECOND;
        let discovery = Discovery::Polled;
        let settings =
            Settings { discovery, poll_within, fleet_size: 200, ..settings(Idempotency::Idempotent) };
        assert!(wait(&Harness::seeded(settings, &[endpoint(0)], seed)).expect("a timer") <= poll_within / 2);
    }
}

#[test]
fn the_timer_subscribes_and_the_endpoint_update_ends_the_poll() {
    let mut harness = on_request(5, 1);
    harness.handle(Event::TimerExpired(Timer::Subscription));
    assert_eq!(harness.actions, [Action::Subscribe]);
    harness.update_endpoints(EndpointUpdateKind::Changes, &[]);
    assert_eq!(wait(&harness), None);
    harness.handle(Event::TimerExpired(Timer::Subscription));
    assert!(harness.actions.is_empty(), "subscribed: asking again would be one more call");
}

// The limit: a change counts as notified 6 s after discovery could be reached, whatever failed before, so that
// the wait has to leave room for a call that was given up and for the next.
#[test]
fn failed_polls_back_off_but_stay_within_the_limit() {
    let limit = 2 * SECOND;
    let mut lasts = Vec::new();
    for seed in 0..200 {
        let mut harness = on_request(300, seed);
        for failure in 0..12 {
            harness.handle(Event::TimerExpired(Timer::Subscription));
            assert_eq!(harness.actions, [Action::Subscribe], "failure {failure}");
            harness.update_endpoints(EndpointUpdateKind::Failed, &[]);
            let after = wait(&harness).expect("another try");
            let least = if failure == 0 { SECOND / 2 } else { SECOND };
            assert!(after >= least && after <= limit, "failure {failure}: {after}");
            if failure == 11 {
                lasts.push(after);
            }
        }
        // The old list still holds.
        harness.offer(1, 0.1);
        assert_eq!(harness.sent_worker(), Some(0));
    }
    // A recovering discovery must not be stampeded: the polls come evenly over a second.
    for quarter in 0..4 {
        let within = SECOND + SECOND * quarter / 4..=SECOND + SECOND * (quarter + 1) / 4;
        let count = lasts.iter().filter(|wait| within.contains(wait)).count();
        assert!((25..=80).contains(&count), "{count} in quarter {quarter}");
    }
}

#[test]
fn a_dropped_subscription_is_renewed() {
    let mut harness = on_request(5, 1);
    harness.handle(Event::TimerExpired(Timer::Subscription));
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0)]);
    harness.update_endpoints(EndpointUpdateKind::Failed, &[]);
    assert!(wait(&harness).is_some());
    harness.handle(Event::TimerExpired(Timer::Subscription));
    assert_eq!(harness.actions, [Action::Subscribe]);
}
