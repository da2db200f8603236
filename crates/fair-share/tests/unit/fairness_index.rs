//! Unit tests of `fairness_index`, which includes this file as its `tests`.
use super::*;

#[test]
fn the_index_is_full_for_equal_rates_and_one_nth_if_one_has_everything() {
    let cases: [(&[(u64, u32)], u32); 6] = [
        (&[(10, 1), (20, 2), (30, 3)], 1_000_000),
        (&[(10, 1), (0, 1), (0, 1), (0, 1)], 250_000),
        (&[(u64::MAX, 1), (u64::MAX, 1)], 1_000_000),
        (&[(1, 1), (3, 1)], 800_000),
        (&[(0, 1), (0, 7)], 1_000_000),
        (&[(5, 0), (3, 1)], 1_000_000),
    ];
    for (amounts, index) in cases {
        assert!(
            jain_fairness_index(amounts).abs_diff(index) <= 1,
            "{amounts:?} gives {}",
            jain_fairness_index(amounts)
        );
    }
}
