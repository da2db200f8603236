//! Hedged requests: a second attempt where the first has not started in time, as its worker's queue is longer
//! than any report showed, it hangs, or it has slowed down.
use crate::Micros;
use crate::time::from_seconds;

/// A request that has not started after this part of the time it could wait is hedged.
const HEDGE_DELAY_FRACTION: f64 = 0.6;
/// Shortest wait before that, so that start notes under way arrive first.
const MIN_HEDGE_DELAY: Micros = 20_000;
/// Hedges earned by each request: bounds what they add to the load where a canceled attempt still runs, or
/// still waits and then runs. Each is one request more for workers that were late already.
const HEDGE_BUDGET_PER_REQUEST: f64 = 0.03;
/// Most hedges that can be saved up.
const MAX_HEDGE_BUDGET: f64 = 3.0;
/// Hedges that a dispatcher may send before any request has earned one.
const INITIAL_HEDGE_BUDGET: f64 = 1.0;

/// How long after a request was sent it is checked, if it could wait this many seconds.
pub(super) fn hedge_delay(slack_seconds: f64) -> Micros {
    from_seconds(slack_seconds * HEDGE_DELAY_FRACTION).max(MIN_HEDGE_DELAY)
}

/// Hedges that earlier requests have earned.
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
    /// Adds what one offered request earns.
    pub(super) fn earn(&mut self) {
        self.hedges = (self.hedges + HEDGE_BUDGET_PER_REQUEST).min(MAX_HEDGE_BUDGET);
    }

    /// Whether a whole hedge is there to be spent.
    pub(super) fn has_hedge(&self) -> bool {
        self.hedges >= 1.0
    }

    /// Takes one hedge away.
    pub(super) fn spend(&mut self) {
        self.hedges -= 1.0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedging.rs"]
mod tests;
