//! Tests of what `shares`'s `fill` keeps to itself; it takes this file in as its `tests`.
use proptest::prelude::*;

use super::*;

/// Raises one level for all by steps of 1/840 until the capacity is out: what each has, in parts of 840.
fn raised(capacity: u32, parties: &[Party]) -> Vec<u64> {
    let at = |level: u64| -> Vec<u64> {
        let clamped = |party: &Party| {
            (level * party.weight).clamp(840 * u64::from(party.least), 840 * u64::from(party.most))
        };
        parties.iter().map(clamped).collect()
    };
    let fits = |level: &u64| at(*level).iter().sum::<u64>() <= 840 * u64::from(capacity);
    at((0..).take_while(fits).take(840 * 60).last().expect("the least fits"))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    #[test]
    fn fill_gives_what_raising_one_level_in_small_steps_gives_and_adds_up(
        capacity in 30_u32..60,
        terms in prop::collection::vec((1_u64..6, 0_u32..8, 0_u32..40), 1..5),
    ) {
        let party = |&(weight, least, more): &(u64, u32, u32)| Party { weight, least, most: least + more };
        let parties: Vec<Party> = terms.iter().map(party).collect();
        let parts = fill(capacity, &parties);
        let most: u32 = parties.iter().map(|party| party.most).sum();
        prop_assert_eq!(parts.iter().sum::<u32>(), capacity.min(most));
        for ((part, exact), party) in parts.iter().zip(raised(capacity, &parties)).zip(&parties) {
            prop_assert!((party.least..=party.most).contains(part));
            // One part for rounding, and a step of the level.
            prop_assert!((840 * u64::from(*part)).abs_diff(exact) <= 840 + 6 * party.weight);
        }
    }
}

#[test]
fn apportion_gives_what_is_left_to_the_largest_rests_and_among_equals_to_the_first() {
    let cases: [(u64, &[u128], &[u64]); 5] = [
        (10, &[1, 1, 1], &[4, 3, 3]),
        (10, &[1, 1, 4], &[2, 2, 6]),
        (7, &[5, 3], &[4, 3]),
        (3, &[0, 0], &[0, 0]),
        (1, &[1, 2], &[0, 1]),
    ];
    for (total, weights, parts) in cases {
        assert_eq!(apportion(total, weights), parts, "{total} by {weights:?}");
    }
}

#[test]
fn jain_is_one_for_equal_rates_and_a_part_in_n_for_one_who_has_all() {
    let cases: [(&[(u64, u32)], u32); 6] = [
        (&[(10, 1), (20, 2), (30, 3)], 1_000_000),
        (&[(10, 1), (0, 1), (0, 1), (0, 1)], 250_000),
        (&[(u64::MAX, 1), (u64::MAX, 1)], 1_000_000),
        (&[(1, 1), (3, 1)], 800_000),
        (&[(0, 1), (0, 7)], 1_000_000),
        (&[(5, 0), (3, 1)], 1_000_000),
    ];
    for (got, index) in cases {
        assert!(jain_fairness_index(got).abs_diff(index) <= 1, "{got:?} gives {}", jain_fairness_index(got));
    }
}
