//! The parts by themselves: what narrows, what proves a clock off, what is stored, what comes in broken.
mod net;

use std::collections::BTreeSet;

use copperspread_consensus::*;
use net::{Doc, Net, name};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn doc() -> impl Strategy<Value = Doc> {
    (1u32..9, proptest::collection::btree_set(0u8..8, 0..8)).prop_map(|(limit, closed)| Doc { limit, closed })
}

#[test]
fn the_narrower_of_the_stand_in_is_commutative_idempotent_and_never_allows_more_than_either() {
    let within = |of: &Doc, by: &Doc| of.limit <= by.limit && of.closed.is_superset(&by.closed);
    let check = |(a, b): (Doc, Doc)| {
        let both = a.intersection(&b);
        prop_assert_eq!(&both, &b.intersection(&a));
        prop_assert_eq!(&a.intersection(&a), &a);
        prop_assert!(within(&both, &a) && within(&both, &b));
        prop_assert!(
            within(&a.without_lease(), &a) && within(&a.without_lease(), &b),
            "no later one forbids it"
        );
        Ok(())
    };
    runner(256).run(&(doc(), doc()), check).expect("holds");
}

#[test]
fn two_decisions_contradict_only_where_one_allows_by_one_version_what_another_forbids() {
    let at = |number| Version { epoch: 1, number };
    let agreed = |number| DecisionBasis::InForce(at(number));
    let safe = DecisionBasis::Restricted { in_force: at(1), newest: at(2), has_lease: true };
    let cases = [
        (agreed(1), true, agreed(2), false, true),
        (agreed(1), true, agreed(2), true, false),
        (agreed(1), true, safe, false, false),
        (safe, true, agreed(2), false, true),
        (safe, true, safe, false, false),
    ];
    for (a, allowed, b, also, expected) in cases {
        let of = |basis, allowed, asked| Decision { basis, is_allowed: allowed, request: asked };
        let (a, b, other) = (of(a, allowed, 'x'), of(b, also, 'x'), of(b, also, 'y'));
        assert_eq!(
            (decisions_conflict(&a, &b), decisions_conflict(&b, &a)),
            (expected, expected),
            "{a:?} {b:?}"
        );
        assert!(!decisions_conflict(&a, &other));
    }
}

#[test]
fn a_clock_is_never_proved_off_within_the_bound_whatever_the_delays_and_always_when_20_percent_off() {
    let settings = Settings::default();
    let delays = proptest::collection::vec(
        (0u64..2_000 * MILLISECOND, 0u64..2_000 * MILLISECOND, 0u64..500 * MILLISECOND),
        2..120,
    );
    let check = |(rate, other, delays): (i64, i64, Vec<(u64, u64, u64)>)| {
        let shown = |at: u64, rate: i64| (at as i128 * i128::from(1_000_000 + rate) / 1_000_000) as u64;
        let (mut clock, mut now) = (ClockComparison::default(), SECOND);
        for (gap, there, back) in delays {
            let (sent, there) = (now + gap, now + gap + there);
            now = there + back;
            let proof =
                clock.record_sample(&settings, shown(sent, rate), shown(now, rate), shown(there, other));
            prop_assert_eq!(proof, None);
        }
        Ok(())
    };
    let within = -9_900i64..=10_000;
    runner(64).run(&(within.clone(), within, delays), check).expect("holds");
    for (rate, fast) in [(200_000, true), (-200_000, false)] {
        let mut clock = ClockComparison::default();
        let shown = |at: u64| (at as i64 + at as i64 * rate / 1_000_000) as u64;
        let found = (0..10).find_map(|second| {
            let at = SECOND + second * SECOND / 2;
            clock.record_sample(&settings, shown(at), shown(at + 60 * MILLISECOND), at + 30 * MILLISECOND)
        });
        assert_eq!(found.expect("proved in 5 s").is_fast, fast);
    }
}

#[test]
fn what_is_stored_follows_snapshot_and_truncation_and_a_gap_is_not_sound() {
    let entry = |term, index| LogEntry { term, index, data: vec![index as u8] };
    let mut saved = StoredState::default();
    let entries = (1..=5).map(|index| entry(1, index)).collect();
    saved.apply(StorageWrite { entries, vote: Some(TermVote { term: 2, voted_for: 1 }), snapshot: None });
    saved.apply(StorageWrite { entries: vec![entry(2, 4)], ..StorageWrite::default() });
    assert_eq!(saved.entries.iter().map(|of| (of.term, of.index)).next_back(), Some((2, 4)));
    let snapshot = |index, whole| Some(Snapshot { index, term: 1, state: Vec::new(), replaces_log: whole });
    saved.apply(StorageWrite { snapshot: snapshot(2, false), ..StorageWrite::default() });
    assert_eq!(saved.entries.len(), 2);
    assert!(saved.is_consistent());
    saved.entries.remove(0);
    assert!(!saved.is_consistent());
    let own = MemberIdentity { name: name(0), generation: 1 };
    let settings = Net::new(3, 3, 0).settings;
    let error = Node::new(own, settings, StartState::Stored(saved.clone()), Doc::new(1, &[]), 1).err();
    assert!(error.expect("refused").to_string().starts_with("store"));
    saved.apply(StorageWrite { snapshot: snapshot(9, true), ..StorageWrite::default() });
    assert!(saved.entries.is_empty() && saved.is_consistent());
}

#[test]
fn packets_that_are_cut_changed_or_noise_move_no_member_and_none_panics() {
    let mut net = Net::agreed(3, 4, 20);
    net.garble = true;
    net.run(20 * SECOND);
    net.garble = false;
    let first = net.newest();
    net.until(20 * SECOND, |net| net.all_act_by(first)).expect("all go on");
    net.change(3);
    net.run(5 * SECOND);
    assert!(net.all_act_by(Version { number: first.number + 1, ..first }));
    assert_eq!(net.longest(), 0);
}

#[test]
fn documents_of_other_bytes_or_versions_have_other_digests_and_a_changed_one_is_not_whole() {
    let at = |number| Version { epoch: 1, number };
    let all = [(1, vec![1]), (1, vec![2]), (2, vec![1])]
        .map(|(number, bytes)| VersionedDocument::new(at(number), bytes));
    assert_eq!(all.iter().map(|of| of.digest.to_string()).collect::<BTreeSet<_>>().len(), 3);
    let mut changed = all[0].clone();
    assert!(changed.has_valid_digest());
    changed.bytes[0] = 9;
    assert!(!changed.has_valid_digest());
}
