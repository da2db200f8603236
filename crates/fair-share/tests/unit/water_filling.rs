//! Unit tests of the private items of `water_filling`, which includes this file as its `tests`.
use proptest::prelude::*;

use super::*;

/// Reference implementation that raises the common level in steps of 1/840 until the capacity is used up.
/// Returns the parts in units of 1/840.
fn raise_level_in_small_steps(capacity: u32, claimants: &[Claimant]) -> Vec<u64> {
    let parts_at = |level: u64| -> Vec<u64> {
        let clamped = |claimant: &Claimant| {
            (level * claimant.weight)
                .clamp(840 * u64::from(claimant.minimum), 840 * u64::from(claimant.maximum))
        };
        claimants.iter().map(clamped).collect()
    };
    let fits = |level: &u64| parts_at(*level).iter().sum::<u64>() <= 840 * u64::from(capacity);
    parts_at((0..).take_while(fits).take(840 * 60).last().expect("the minimums should fit"))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    #[test]
    fn water_filling_equals_raising_one_level_in_small_steps_and_adds_up(
        capacity in 30_u32..60,
        claims in prop::collection::vec((1_u64..6, 0_u32..8, 0_u32..40), 1..5),
    ) {
        let claimant = |&(weight, minimum, span): &(u64, u32, u32)| Claimant { weight, minimum, maximum: minimum + span };
        let claimants: Vec<Claimant> = claims.iter().map(claimant).collect();
        let parts = water_fill(capacity, &claimants);
        let maximum_sum: u32 = claimants.iter().map(|claimant| claimant.maximum).sum();
        prop_assert_eq!(parts.iter().sum::<u32>(), capacity.min(maximum_sum));
        for ((part, exact), claimant) in parts.iter().zip(raise_level_in_small_steps(capacity, &claimants)).zip(&claimants) {
            prop_assert!((claimant.minimum..=claimant.maximum).contains(part));
            // The tolerance is one unit of rounding and six steps of the level.
            prop_assert!((840 * u64::from(*part)).abs_diff(exact) <= 840 + 6 * claimant.weight);
        }
    }
}
