//! Tests of debts: their decay and their exactness.
use std::collections::BTreeMap;

use copperspread_fair_share::{ClosedWindow, Debts, FULL_SHARE_PPM, Name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn name(text: &str) -> Name {
    Name::new(text).expect("the name should be valid")
}

/// Creates a closed window with the given work of `t0`.
fn closed_window(index: i64, work: u64) -> ClosedWindow {
    ClosedWindow { index, work: BTreeMap::from([(name("t0"), work)]), ..ClosedWindow::default() }
}

#[test]
fn a_debt_decays_by_half_in_each_half_life_and_adjustments_count_as_work() {
    let entitlements = BTreeMap::from([(name("t0"), 1_000)]);
    let mut debts = Debts::new(10);
    debts.add_window(&closed_window(-5, 1_000 + 4_096), &entitlements);
    let mut balances = vec![debts.balance("t0")];
    for window in -4..=25 {
        debts.add_window(&closed_window(window, 1_000), &entitlements);
        balances.push(debts.balance("t0"));
    }
    assert_eq!(
        [balances[0], balances[5], balances[10], balances[20], balances[30]],
        [4_096, 3_072, 2_048, 1_024, 512]
    );
    assert!(balances.is_sorted_by(|a, b| a > b));
    // Windows without usage are omitted; they only let the debt decay.
    debts.add_window(&closed_window(125, 1_000), &entitlements);
    assert_eq!(debts.balance("t0"), 0);
    let adjusted =
        ClosedWindow { adjustments: BTreeMap::from([(name("t0"), -700)]), ..closed_window(126, 2_000) };
    debts.add_window(&adjusted, &entitlements);
    assert_eq!((debts.balance("t0"), debts.relative_debts(&entitlements)[&name("t0")]), (300, 30_000));
    debts.add_window(&adjusted, &entitlements);
    assert_eq!(debts.balance("t0"), 300, "a window should count only once");
    debts.add_window(&closed_window(127, 1_000_000), &entitlements);
    assert_eq!(debts.relative_debts(&entitlements)[&name("t0")], FULL_SHARE_PPM);
    debts.add_window(&ClosedWindow { index: 128, ..ClosedWindow::default() }, &BTreeMap::new());
    assert_eq!(debts.balance("t0"), 0, "the debt of a tenant without entitlement should be removed");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_debt_is_the_sum_of_its_contributions_each_decayed_alone_and_rounded_once(
        works in prop::collection::vec(0_u64..1_000_000, 1..80), half_life in 1_u32..12,
    ) {
        let entitlements = BTreeMap::from([(name("t0"), 300_000)]);
        let mut debts = Debts::new(half_life);
        // Sum of exact fractions over the common denominator 2 * half_life * 2^32. Contributions that were
        // halved more than 32 times are left out.
        let (mut sum, half_life_windows) = (0_i128, i128::from(half_life));
        for (window, &work) in works.iter().enumerate() {
            debts.add_window(&closed_window(window as i64, work), &entitlements);
            let age = (works.len() - 1 - window) as i128;
            let (halvings, age_in_half_life) = (age / half_life_windows, age % half_life_windows);
            if halvings <= 32 {
                sum += ((i128::from(work) - 300_000) << (32 - halvings)) * (2 * half_life_windows - age_in_half_life);
            }
        }
        let exact = sum / (2 * half_life_windows) / (1 << 32);
        // Of each contribution that is left out less than a slot-millisecond remains in the debt. The
        // tolerance is one slot-millisecond per 32 half-lives.
        let tolerance = works.len() as i128 / (32 * half_life_windows);
        prop_assert!((debts.balance("t0") - exact).abs() <= tolerance, "{} {exact}", debts.balance("t0"));
    }
}
