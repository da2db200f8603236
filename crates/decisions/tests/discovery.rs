//! Discovery on request: early, spread out, and again after a failure.
mod common;
use common::*;
use copperspread_decisions::*;

fn on_request(fleet_size: u32, seed: u64) -> Node {
    let settings = Settings { discovery: Discovery::OnRequest, fleet_size, ..settings(Effect::Safe) };
    Node::seeded(settings, &[entry(0)], seed)
}

/// The wait of the discovery timer among the last actions.
fn wait(node: &Node) -> Option<Micros> {
    node.actions.iter().find_map(|action| match action {
        Action::Wake { after, timer: Timer::Discovery } => Some(*after),
        _ => None,
    })
}

#[test]
fn pushed_rosters_are_not_asked_for() {
    let node = Node::new(settings(Effect::Safe), &[entry(0)]);
    assert_eq!(wait(&node), None);
}

#[test]
fn all_subscribe_early_and_a_large_fleet_spreads_out() {
    let limit = Settings::default().ask_within / 2;
    let waits: Vec<_> = (0..200).map(|seed| wait(&on_request(200, seed)).expect("a timer")).collect();
    assert!(waits.iter().all(|&w| w <= limit));
    for quarter in 0..4 {
        let within = limit * quarter / 4..limit * (quarter + 1) / 4;
        let count = waits.iter().filter(|w| within.contains(w)).count();
        assert!((25..=80).contains(&count), "{count} in quarter {quarter}");
    }
    assert!(wait(&on_request(2, 1)).expect("a timer") < SECOND);
}

#[test]
fn the_timer_subscribes_and_the_answer_settles_it() {
    let mut node = on_request(5, 1);
    node.handle(Event::Timer(Timer::Discovery));
    assert_eq!(node.actions, [Action::Subscribe]);
    node.roster(RosterKind::Changes, &[]);
    assert_eq!(wait(&node), None);
    node.handle(Event::Timer(Timer::Discovery));
    assert!(node.actions.is_empty(), "subscribed: asking again would be one more call");
}

#[test]
fn failed_calls_are_repeated_later_each_time_but_within_the_limit() {
    let mut node = on_request(5, 1);
    let mut last = 0;
    for failure in 0..12 {
        node.handle(Event::Timer(Timer::Discovery));
        assert_eq!(node.actions, [Action::Subscribe], "failure {failure}");
        node.roster(RosterKind::Failed, &[]);
        let after = wait(&node).expect("another try");
        assert!(after >= SECOND / 2 && after <= Settings::default().ask_within);
        last = after;
    }
    assert!(last >= 5 * SECOND, "backed off: {last}");
    // The old list still holds.
    node.job(1, 0.1);
    assert_eq!(node.sent(), Some(0));
}

#[test]
fn a_dropped_subscription_is_renewed() {
    let mut node = on_request(5, 1);
    node.handle(Event::Timer(Timer::Discovery));
    node.roster(RosterKind::Full, &[entry(0)]);
    node.roster(RosterKind::Failed, &[]);
    assert!(wait(&node).is_some());
    node.handle(Event::Timer(Timer::Discovery));
    assert_eq!(node.actions, [Action::Subscribe]);
}
