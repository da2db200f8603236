//! Discovery on request: early, spread out, and again after a failure.
mod common;
use common::*;
use copperspread_dispatcher::*;

fn on_request(fleet_size: u32, seed: u64) -> Node {
    let settings = Settings { discovery: Discovery::Polled, fleet_size, ..settings(Idempotency::Idempotent) };
    Node::seeded(settings, &[entry(0)], seed)
}

/// The wait of the discovery timer among the last actions.
fn wait(node: &Node) -> Option<Micros> {
    node.actions.iter().find_map(|action| match action {
        Action::StartTimer { after, timer: Timer::Subscription } => Some(*after),
        _ => None,
    })
}

#[test]
fn pushed_rosters_are_not_asked_for() {
    let node = Node::new(settings(Idempotency::Idempotent), &[entry(0)]);
    assert_eq!(wait(&node), None);
}

#[test]
fn all_subscribe_early_and_a_large_fleet_spreads_out() {
    // With a call of some seconds it has to fit in the 6 s in which a change counts as told.
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
        let ask_within = 2 * SECOND;
        let discovery = Discovery::Polled;
        let settings = Settings {
            discovery,
            poll_within: ask_within,
            fleet_size: 200,
            ..settings(Idempotency::Idempotent)
        };
        assert!(wait(&Node::seeded(settings, &[entry(0)], seed)).expect("a timer") <= ask_within / 2);
    }
}

#[test]
fn the_timer_subscribes_and_the_answer_settles_it() {
    let mut node = on_request(5, 1);
    node.handle(Event::TimerExpired(Timer::Subscription));
    assert_eq!(node.actions, [Action::Subscribe]);
    node.roster(EndpointUpdateKind::Changes, &[]);
    assert_eq!(wait(&node), None);
    node.handle(Event::TimerExpired(Timer::Subscription));
    assert!(node.actions.is_empty(), "subscribed: asking again would be one more call");
}

// The limit: a change counts as told 6 s after discovery could be reached, whatever failed before, so that
// the wait has to leave room for a call that was given up and for the next.
#[test]
fn failed_calls_are_repeated_later_each_time_but_within_the_terms() {
    let limit = 2 * SECOND;
    let mut lasts = Vec::new();
    for seed in 0..200 {
        let mut node = on_request(300, seed);
        for failure in 0..12 {
            node.handle(Event::TimerExpired(Timer::Subscription));
            assert_eq!(node.actions, [Action::Subscribe], "failure {failure}");
            node.roster(EndpointUpdateKind::Failed, &[]);
            let after = wait(&node).expect("another try");
            let least = if failure == 0 { SECOND / 2 } else { SECOND };
            assert!(after >= least && after <= limit, "failure {failure}: {after}");
            if failure == 11 {
                lasts.push(after);
            }
        }
        // The old list still holds.
        node.job(1, 0.1);
        assert_eq!(node.sent(), Some(0));
    }
    // Guards against a recovering discovery that is stampeded: the calls come evenly over a second.
    for quarter in 0..4 {
        let within = SECOND + SECOND * quarter / 4..=SECOND + SECOND * (quarter + 1) / 4;
        let count = lasts.iter().filter(|wait| within.contains(wait)).count();
        assert!((25..=80).contains(&count), "{count} in quarter {quarter}");
    }
}

#[test]
fn a_dropped_subscription_is_renewed() {
    let mut node = on_request(5, 1);
    node.handle(Event::TimerExpired(Timer::Subscription));
    node.roster(EndpointUpdateKind::Full, &[entry(0)]);
    node.roster(EndpointUpdateKind::Failed, &[]);
    assert!(wait(&node).is_some());
    node.handle(Event::TimerExpired(Timer::Subscription));
    assert_eq!(node.actions, [Action::Subscribe]);
}
