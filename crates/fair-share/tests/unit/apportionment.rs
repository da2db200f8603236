//! Unit tests of `apportionment`, which includes this file as its `tests`.
use super::*;

#[test]
fn remaining_units_go_to_the_largest_remainders_and_ties_to_the_lowest_index() {
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
