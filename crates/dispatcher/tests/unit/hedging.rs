use super::{HedgeBudget, MIN_HEDGE_DELAY, hedge_delay};
use crate::SECOND;

#[test]
fn the_hedge_delay_is_a_fraction_of_the_slack_and_at_least_its_minimum() {
    assert_eq!(hedge_delay(1.0), 6 * SECOND / 10);
    assert_eq!(hedge_delay(0.0), MIN_HEDGE_DELAY);
    assert_eq!(hedge_delay(-5.0), MIN_HEDGE_DELAY);
    assert_eq!(hedge_delay(f64::NAN), MIN_HEDGE_DELAY);
}

#[test]
fn one_hedge_is_available_initially_and_the_next_after_34_requests() {
    let mut budget = HedgeBudget::default();
    assert!(budget.has_hedge());
    budget.spend();
    for _ in 0..33 {
        budget.earn();
        assert!(!budget.has_hedge());
    }
    budget.earn();
    assert!(budget.has_hedge());
}

#[test]
fn the_budget_holds_at_most_three_hedges() {
    let mut budget = HedgeBudget::default();
    for _ in 0..100_000 {
        budget.earn();
    }
    for _ in 0..3 {
        assert!(budget.has_hedge());
        budget.spend();
    }
    assert!(!budget.has_hedge());
}
