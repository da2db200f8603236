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
        let both = a.narrower(&b);
        prop_assert_eq!(&both, &b.narrower(&a));
        prop_assert_eq!(&a.narrower(&a), &a);
        prop_assert!(within(&both, &a) && within(&both, &b));
        prop_assert!(within(&a.unheard(), &a) && within(&a.unheard(), &b), "no later one forbids it");
        Ok(())
    };
    runner(256).run(&(doc(), doc()), check).expect("holds");
}

#[test]
fn two_decisions_contradict_only_where_one_allows_by_one_version_what_another_forbids() {
    let at = |number| Version { epoch: 1, number };
    let agreed = |number| Basis::Agreed(at(number));
    let safe = Basis::Safe { from: at(1), to: at(2), heard: true };
    let cases = [
        (agreed(1), true, agreed(2), false, true),
        (agreed(1), true, agreed(2), true, false),
        (agreed(1), true, safe, false, false),
        (safe, true, agreed(2), false, true),
        (safe, true, safe, false, false),
    ];
    for (a, allowed, b, also, expected) in cases {
        let of = |basis, allowed, asked| Decision { basis, allowed, asked };
        let (a, b, other) = (of(a, allowed, 'x'), of(b, also, 'x'), of(b, also, 'y'));
        assert_eq!((contradict(&a, &b), contradict(&b, &a)), (expected, expected), "{a:?} {b:?}");
        assert!(!contradict(&a, &other));
    }
}

#[test]
fn a_clock_is_never_proved_off_within_the_bound_whatever_the_delays_and_always_when_20_percent_off() {
    let settings = Settings::default();
    let delays = proptest::collection::vec((0u64..2_000 * MS, 0u64..2_000 * MS, 0u64..500 * MS), 2..120);
    let check = |(rate, other, delays): (i64, i64, Vec<(u64, u64, u64)>)| {
        let shown = |at: u64, rate: i64| (at as i128 * i128::from(1_000_000 + rate) / 1_000_000) as u64;
        let (mut clock, mut now) = (Clock::default(), SECOND);
        for (gap, there, back) in delays {
            let (sent, there) = (now + gap, now + gap + there);
            now = there + back;
            let proof = clock.sample(&settings, shown(sent, rate), shown(now, rate), shown(there, other));
            prop_assert_eq!(proof, None);
        }
        Ok(())
    };
    let within = -9_900i64..=10_000;
    runner(64).run(&(within.clone(), within, delays), check).expect("holds");
    for (rate, fast) in [(200_000, true), (-200_000, false)] {
        let mut clock = Clock::default();
        let shown = |at: u64| (at as i64 + at as i64 * rate / 1_000_000) as u64;
        let found = (0..10).find_map(|second| {
            let at = SECOND + second * SECOND / 2;
            clock.sample(&settings, shown(at), shown(at + 60 * MS), at + 30 * MS)
        });
        assert_eq!(found.expect("proved in 5 s").fast, fast);
    }
}

#[test]
fn what_is_stored_follows_snapshot_and_truncation_and_a_gap_is_not_sound() {
    let entry = |term, index| Entry { term, index, data: vec![index as u8] };
    let mut saved = Saved::default();
    let entries = (1..=5).map(|index| entry(1, index)).collect();
    saved.take(Change { entries, vote: Some(Vote { term: 2, vote: 1 }), snapshot: None });
    saved.take(Change { entries: vec![entry(2, 4)], ..Change::default() });
    assert_eq!(saved.entries.iter().map(|of| (of.term, of.index)).next_back(), Some((2, 4)));
    let snapshot = |index, whole| Some(Snapshot { index, term: 1, state: Vec::new(), whole });
    saved.take(Change { snapshot: snapshot(2, false), ..Change::default() });
    assert_eq!(saved.entries.len(), 2);
    assert!(saved.sound());
    saved.entries.remove(0);
    assert!(!saved.sound());
    let own = Own { name: name(0), generation: 1 };
    let settings = Net::new(3, 3, 0).settings;
    let error = Node::new(own, settings, Start::Saved(saved.clone()), Doc::new(1, &[]), 1).err();
    assert!(error.expect("refused").0.starts_with("store"));
    saved.take(Change { snapshot: snapshot(9, true), ..Change::default() });
    assert!(saved.entries.is_empty() && saved.sound());
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
    let all =
        [(1, vec![1]), (1, vec![2]), (2, vec![1])].map(|(number, bytes)| Document::new(at(number), bytes));
    assert_eq!(all.iter().map(|of| of.digest.to_string()).collect::<BTreeSet<_>>().len(), 3);
    let mut changed = all[0].clone();
    assert!(changed.whole());
    changed.bytes[0] = 9;
    assert!(!changed.whole());
}
