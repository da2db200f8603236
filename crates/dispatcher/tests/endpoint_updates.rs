//! Polls of discovery: when a dispatcher sends the first, how it repeats failed ones and how a fleet spreads
//! them.
mod common;
use common::{Harness, endpoint, settings};
use copperspread_dispatcher::{
    Action, DiscoveryMode, EndpointUpdateKind, Event, Idempotency, Micros, SECOND, Settings, Timer,
};

fn polling_dispatcher(fleet_size: u32, seed: u64) -> Harness {
    let settings =
        Settings { discovery: DiscoveryMode::Polled, fleet_size, ..settings(Idempotency::Idempotent) };
    Harness::seeded(settings, &[endpoint(0)], seed)
}

/// The delay of the poll timer among the last actions, if it is started.
fn poll_delay(harness: &Harness) -> Option<Micros> {
    harness.actions.iter().find_map(|action| match action {
        Action::StartTimer { after, timer: Timer::DiscoveryPoll } => Some(*after),
        _ => None,
    })
}

#[test]
fn pushed_endpoint_lists_are_not_polled() {
    let harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0)]);
    assert_eq!(poll_delay(&harness), None);
}

#[test]
fn all_dispatchers_poll_early_and_a_large_fleet_spreads_its_polls() {
    // A dispatcher counts as notified of a change 6 s after the change. The delay of the first poll and a
    // call of a few seconds must fit in that time.
    let limit = 3 * SECOND;
    let delays: Vec<_> = (0..200)
        .map(|seed| poll_delay(&polling_dispatcher(200, seed)).expect("the poll timer is started"))
        .collect();
    assert!(delays.iter().all(|&delay| delay <= limit));
    for quarter in 0..4 {
        let within = limit * quarter / 4..limit * (quarter + 1) / 4;
        let count = delays.iter().filter(|delay| within.contains(delay)).count();
        assert!((25..=80).contains(&count), "{count} in quarter {quarter}");
    }
    assert!(poll_delay(&polling_dispatcher(2, 1)).expect("the poll timer is started") < SECOND);
    // The limit is half of `max_poll_interval` if that is less than 3 s.
    for seed in 0..200 {
        let max_poll_interval = 2 * SECOND;
        let discovery = DiscoveryMode::Polled;
        let settings =
            Settings { discovery, max_poll_interval, fleet_size: 200, ..settings(Idempotency::Idempotent) };
        assert!(
            poll_delay(&Harness::seeded(settings, &[endpoint(0)], seed)).expect("the poll timer is started")
                <= max_poll_interval / 2
        );
    }
}

#[test]
fn the_poll_timer_subscribes_and_an_endpoint_update_ends_polling() {
    let mut harness = polling_dispatcher(5, 1);
    harness.handle(Event::TimerExpired(Timer::DiscoveryPoll));
    assert_eq!(harness.actions, [Action::Subscribe]);
    harness.update_endpoints(EndpointUpdateKind::Changes, &[]);
    assert_eq!(poll_delay(&harness), None);
    harness.handle(Event::TimerExpired(Timer::DiscoveryPoll));
    assert!(harness.actions.is_empty(), "a subscribed dispatcher does not subscribe again");
}

// A dispatcher counts as notified of a change 6 s after discovery could be reached, whatever failed before.
// The delay must therefore leave room for a call that timed out and for the next one.
#[test]
fn failed_polls_back_off_but_stay_within_the_limit() {
    let limit = 2 * SECOND;
    let mut last_delays = Vec::new();
    for seed in 0..200 {
        let mut harness = polling_dispatcher(300, seed);
        for failure in 0..12 {
            harness.handle(Event::TimerExpired(Timer::DiscoveryPoll));
            assert_eq!(harness.actions, [Action::Subscribe], "failure {failure}");
            harness.update_endpoints(EndpointUpdateKind::Failed, &[]);
            let retry_delay = poll_delay(&harness).expect("a failed poll is retried");
            let min_delay = if failure == 0 { SECOND / 2 } else { SECOND };
            assert!(retry_delay >= min_delay && retry_delay <= limit, "failure {failure}: {retry_delay}");
            if failure == 11 {
                last_delays.push(retry_delay);
            }
        }
        // The last endpoint list stays in use.
        harness.offer(1, 0.1);
        assert_eq!(harness.sent_worker(), Some(0));
    }
    // The polls are spread evenly over one second, so that they do not overload a discovery service that
    // recovers.
    for quarter in 0..4 {
        let within = SECOND + SECOND * quarter / 4..=SECOND + SECOND * (quarter + 1) / 4;
        let count = last_delays.iter().filter(|last_delay| within.contains(last_delay)).count();
        assert!((25..=80).contains(&count), "{count} in quarter {quarter}");
    }
}

#[test]
fn a_lost_subscription_is_renewed() {
    let mut harness = polling_dispatcher(5, 1);
    harness.handle(Event::TimerExpired(Timer::DiscoveryPoll));
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0)]);
    harness.update_endpoints(EndpointUpdateKind::Failed, &[]);
    assert!(poll_delay(&harness).is_some());
    harness.handle(Event::TimerExpired(Timer::DiscoveryPoll));
    assert_eq!(harness.actions, [Action::Subscribe]);
}
