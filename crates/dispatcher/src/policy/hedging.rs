//! Hedged requests: a second attempt is sent if the first has not started in time, because the worker's queue
//! is longer than its reports showed, or because the worker hangs or has slowed down.
use crate::Micros;
use crate::time::from_seconds;

/// Fraction of a request's slack after which the request is hedged if it has not started. The slack is the
/// time that the request can wait and still meet its latency objective.
const HEDGE_DELAY_FRACTION: f64 = 0.6;
/// Shortest delay before a hedge, so that a start notification in transit arrives first.
const MIN_HEDGE_DELAY: Micros = 20_000;
/// Fraction of a hedge that each offered request adds to the hedge budget. The budget limits the extra load
/// on workers that are already late: a cancelled attempt may still run or stay queued, so each hedge can cost
/// a whole request.
const HEDGE_BUDGET_PER_REQUEST: f64 = 0.03;
/// Largest hedge budget, in hedges that are not spent yet.
const MAX_HEDGE_BUDGET: f64 = 3.0;
/// Hedges that a dispatcher may send before its requests have earned any.
const INITIAL_HEDGE_BUDGET: f64 = 1.0;

/// Returns the time from sending a request to its hedge check. `slack_seconds` is how long the request can
/// wait and still meet its latency objective.
pub(super) fn hedge_delay(slack_seconds: f64) -> Micros {
    from_seconds(slack_seconds * HEDGE_DELAY_FRACTION).max(MIN_HEDGE_DELAY)
}

/// The number of hedges that may be sent, earned by earlier requests.
#[derive(Clone, Debug)]
pub(super) struct HedgeBudget {
    hedges: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget { hedges: INITIAL_HEDGE_BUDGET }
    }
}

impl HedgeBudget {
    /// Adds the fraction of a hedge that one offered request earns.
    pub(super) fn earn(&mut self) {
        self.hedges = (self.hedges + HEDGE_BUDGET_PER_REQUEST).min(MAX_HEDGE_BUDGET);
    }

    /// Returns whether the budget covers one hedge.
    pub(super) fn has_hedge(&self) -> bool {
        self.hedges >= 1.0
    }

    /// Deducts one hedge from the budget.
    pub(super) fn spend(&mut self) {
        self.hedges -= 1.0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedging.rs"]
mod tests;
