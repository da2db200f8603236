//! Tests single components: rule intersections, decision conflicts, clock comparison, stored state, corrupted
//! messages and document digests.
mod simulation;

use std::collections::BTreeSet;

use copperspread_consensus::{
    ClockComparison, Decision, DecisionBasis, LogEntry, MILLISECOND, MemberIdentity, Node, Rules, SECOND,
    Settings, Snapshot, StartState, StorageWrite, StoredState, TermVote, Version, VersionedDocument,
    decisions_conflict,
};
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{Simulation, TestRules, member_name, next_version};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn any_rules() -> impl Strategy<Value = TestRules> {
    (1u32..9, proptest::collection::btree_set(0u8..8, 0..8))
        .prop_map(|(limit, closed_classes)| TestRules { limit, closed_classes })
}

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

#[test]
fn the_intersection_of_test_rules_is_commutative_and_idempotent_and_allows_no_more_than_either() {
    let allows_no_more = |narrow: &TestRules, wide: &TestRules| {
        narrow.limit <= wide.limit && narrow.closed_classes.is_superset(&wide.closed_classes)
    };
    let check = |(first, second): (TestRules, TestRules)| {
        let both = first.intersection(&second);
        prop_assert_eq!(&both, &second.intersection(&first));
        prop_assert_eq!(&first.intersection(&first), &first);
        prop_assert!(allows_no_more(&both, &first) && allows_no_more(&both, &second));
        let without_lease = first.without_lease();
        let is_safe = allows_no_more(&without_lease, &first) && allows_no_more(&without_lease, &second);
        prop_assert!(is_safe, "rules without a lease must not allow what a later version forbids");
        Ok(())
    };
    runner(256).run(&(any_rules(), any_rules()), check).expect("the property holds in all cases");
}

#[test]
fn decisions_conflict_only_if_one_allows_what_the_other_forbids_by_a_different_version() {
    let in_force = |number| DecisionBasis::InForce(version(number));
    let restricted = DecisionBasis::Restricted { in_force: version(1), newest: version(2), has_lease: true };
    let cases = [
        (in_force(1), true, in_force(2), false, true),
        (in_force(1), true, in_force(2), true, false),
        (in_force(1), true, restricted, false, false),
        (restricted, true, in_force(2), false, true),
        (restricted, true, restricted, false, false),
    ];
    for (first_basis, first_allows, second_basis, second_allows, expected) in cases {
        let decision = |basis, is_allowed, request| Decision { basis, is_allowed, request };
        let first = decision(first_basis, first_allows, 'x');
        let second = decision(second_basis, second_allows, 'x');
        let other_request = decision(second_basis, second_allows, 'y');
        let conflicts = (decisions_conflict(&first, &second), decisions_conflict(&second, &first));
        assert_eq!(conflicts, (expected, expected), "{first:?} {second:?}");
        assert!(!decisions_conflict(&first, &other_request));
    }
}

#[test]
fn clocks_within_the_bound_never_prove_a_drift_and_a_drift_of_20_percent_is_always_proven() {
    let settings = Settings::default();
    let span = 0u64..2_000 * MILLISECOND;
    let delays = proptest::collection::vec((span.clone(), span, 0u64..500 * MILLISECOND), 2..120);
    let check = |(local_ppm, remote_ppm, delays): (i64, i64, Vec<(u64, u64, u64)>)| {
        let clock_reading = |at: u64, ppm: i64| (at as i128 * i128::from(1_000_000 + ppm) / 1_000_000) as u64;
        let (mut clock, mut now) = (ClockComparison::default(), SECOND);
        for (pause, request_delay, response_delay) in delays {
            let sent_at = now + pause;
            let answered_at = sent_at + request_delay;
            now = answered_at + response_delay;
            let (local_sent, local_received) =
                (clock_reading(sent_at, local_ppm), clock_reading(now, local_ppm));
            let remote_time = clock_reading(answered_at, remote_ppm);
            let drift = clock.record_sample(&settings, local_sent, local_received, remote_time);
            prop_assert_eq!(drift, None);
        }
        Ok(())
    };
    // The slowest clock within the bound of 1 % has 1 / 1.01 of the true rate, which is about -9,901 ppm.
    let within_bound = -9_900i64..=10_000;
    runner(64)
        .run(&(within_bound.clone(), within_bound, delays), check)
        .expect("the property holds in all cases");
    for (ppm, is_fast) in [(200_000, true), (-200_000, false)] {
        let mut clock = ClockComparison::default();
        let clock_reading = |at: u64| (at as i64 + at as i64 * ppm / 1_000_000) as u64;
        let drift = (0..10).find_map(|half_second| {
            let sent_at = SECOND + half_second * SECOND / 2;
            let (answered_at, received_at) = (sent_at + 30 * MILLISECOND, sent_at + 60 * MILLISECOND);
            clock.record_sample(&settings, clock_reading(sent_at), clock_reading(received_at), answered_at)
        });
        assert_eq!(drift.expect("the drift is proven within 5 s").is_fast, is_fast);
    }
}

#[test]
fn stored_state_applies_snapshots_and_truncations_and_a_gap_makes_it_inconsistent() {
    let entry = |term, index| LogEntry { term, index, data: vec![index as u8] };
    let snapshot = |index, replaces_log| Some(Snapshot { index, term: 1, state: Vec::new(), replaces_log });
    let mut stored = StoredState::default();
    let entries = (1..=5).map(|index| entry(1, index)).collect();
    let vote = Some(TermVote { term: 2, voted_for: 1 });
    stored.apply(StorageWrite { entries, vote, snapshot: None });
    stored.apply(StorageWrite { entries: vec![entry(2, 4)], ..StorageWrite::default() });
    let last = stored.entries.last().map(|entry| (entry.term, entry.index));
    assert_eq!(last, Some((2, 4)));
    stored.apply(StorageWrite { snapshot: snapshot(2, false), ..StorageWrite::default() });
    assert_eq!(stored.entries.len(), 2);
    assert!(stored.is_consistent());
    stored.entries.remove(0);
    assert!(!stored.is_consistent());
    let identity = MemberIdentity { name: member_name(0), generation: 1 };
    let settings = Simulation::new(3, 3, 0).settings;
    let start = StartState::Stored(stored.clone());
    let error = Node::new(identity, settings, start, TestRules::new(1, &[]), 1).err();
    assert!(error.expect("a stored log with a gap is rejected").to_string().starts_with("storage"));
    stored.apply(StorageWrite { snapshot: snapshot(9, true), ..StorageWrite::default() });
    assert!(stored.entries.is_empty() && stored.is_consistent());
}

#[test]
fn members_ignore_truncated_and_corrupted_messages_without_a_panic() {
    let mut simulation = Simulation::with_first_version(3, 4, 20);
    simulation.network.corrupts = true;
    simulation.run_for(20 * SECOND);
    simulation.network.corrupts = false;
    let first = simulation.newest_in_force();
    simulation
        .run_until(20 * SECOND, |simulation| simulation.all_follow(first))
        .expect("all members follow the first version within 20 s");
    simulation.propose_next(3);
    simulation.run_for(5 * SECOND);
    assert!(simulation.all_follow(next_version(first)));
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn digests_differ_for_different_bytes_or_versions_and_a_modified_document_fails_its_check() {
    let documents = [(1, vec![1]), (1, vec![2]), (2, vec![1])]
        .map(|(number, bytes)| VersionedDocument::new(version(number), bytes));
    let digests: BTreeSet<String> = documents.iter().map(|document| document.digest.to_string()).collect();
    assert_eq!(digests.len(), 3);
    let mut changed = documents[0].clone();
    assert!(changed.has_valid_digest());
    changed.bytes[0] = 9;
    assert!(!changed.has_valid_digest());
}
