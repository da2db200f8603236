//! Hedged requests: a request whose first attempt has not started in time gets a second attempt at another
//! worker. The queue of the first worker may be longer than its load reports showed, or that worker may hang
//! or have slowed down.
use crate::Micros;
use crate::time::from_seconds;

/// Fraction of a request's slack after which the request is hedged if it has not started. The slack is the
/// time that the request can wait and still meet its latency objective.
const HEDGE_DELAY_FRACTION: f64 = 0.6;
/// Shortest time from sending a request until the check that hedges the request if it has not started.
/// Without this minimum, a request could be hedged although it has started, because the start notification is
/// still in transit.
const MIN_HEDGE_DELAY: Micros = 20_000;
/// Number of hedges, a fraction of one, that each arriving request adds to the hedge budget. The hedge budget
/// is the number of hedges that may be sent now. It limits the extra load that hedges put on workers that
/// already respond late. A cancelled attempt may still run or stay queued, so each hedge can add the work of
/// a whole request.
const HEDGE_BUDGET_PER_REQUEST: f64 = 0.03;
/// Upper limit of the hedge budget, which is the number of hedges that may be sent now. A budget that is not
/// used does not grow beyond this limit.
const MAX_HEDGE_BUDGET: f64 = 3.0;
/// Hedge budget of a dispatcher that has just started: the number of hedges that it may send.
const INITIAL_HEDGE_BUDGET: f64 = 1.0;

/// Returns the time from sending a request until the check that hedges the request if it has not started.
/// `slack_seconds` is how long the request can wait and still meet its latency objective.
pub(super) fn hedge_delay(slack_seconds: f64) -> Micros {
    from_seconds(slack_seconds * HEDGE_DELAY_FRACTION).max(MIN_HEDGE_DELAY)
}

/// Hedge budget: the number of hedges that may be sent now. Each offered request increases the budget by a
/// fraction of a hedge, and each hedge reduces the budget by 1.
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
    /// Adds [`HEDGE_BUDGET_PER_REQUEST`] to the number of hedges that may be sent, because a request has
    /// arrived. The number stays at most [`MAX_HEDGE_BUDGET`].
    pub(super) fn earn(&mut self) {
        self.hedges = (self.hedges + HEDGE_BUDGET_PER_REQUEST).min(MAX_HEDGE_BUDGET);
    }

    /// Returns whether one more hedge may be sent, that is, whether the hedge budget is at least 1.
    pub(super) fn has_hedge(&self) -> bool {
        self.hedges >= 1.0
    }

    /// Reduces the hedge budget, the number of hedges that may be sent, by 1.
    pub(super) fn spend(&mut self) {
        self.hedges -= 1.0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedging.rs"]
mod tests;
