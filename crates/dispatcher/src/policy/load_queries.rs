//! Load queries: asks workers for their load, if they report it only on request and each query has a cost.
use crate::Micros;
use crate::SECOND;

/// Time in which all ready workers are queried once; workers update their load reports about as often.
const LOAD_QUERY_ROUND: Micros = SECOND;
/// The first query has a random delay of at most [`LOAD_QUERY_ROUND`] divided by this.
const FIRST_LOAD_QUERY_DIVISOR: Micros = 10;
/// Cost of load queries that is allowed for each offered request, as a fraction of a request's weight.
const LOAD_QUERY_COST_FRACTION: f64 = 0.01;
/// Largest load-query budget, in load queries that are not spent yet; also the initial budget.
const MAX_LOAD_QUERY_BUDGET: f64 = 20.0;

/// The worker to query now, if any, and when the next query is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadQueryTurn {
    /// Index of the worker to query; `None` if no worker is ready or the budget is spent.
    pub(super) worker: Option<usize>,
    /// Time until the next load query is due.
    pub(super) next_delay: Micros,
}

/// Queries the ready workers in turn within a budget that requests earn. Without the budget, the number of
/// queries would grow with the fleet regardless of their cost.
#[derive(Clone, Debug)]
pub(super) struct LoadQueries {
    last_queried: usize,
    budget: f64,
}

impl Default for LoadQueries {
    fn default() -> Self {
        LoadQueries { last_queried: 0, budget: MAX_LOAD_QUERY_BUDGET }
    }
}

impl LoadQueries {
    /// Returns the random delay before the first load query.
    pub(super) fn first_delay(rng: &mut fastrand::Rng) -> Micros {
        rng.u64(0..=LOAD_QUERY_ROUND / FIRST_LOAD_QUERY_DIVISOR)
    }

    /// Adds to the budget the load queries, possibly a fraction of one, that one offered request earns.
    /// `cost` is the cost of one query as a fraction of a request's weight; a cost of 0 fills the budget.
    pub(super) fn earn(&mut self, cost: f64) {
        self.budget = (self.budget + LOAD_QUERY_COST_FRACTION / cost).min(MAX_LOAD_QUERY_BUDGET);
    }

    /// Chooses the next worker to query, round robin over the ready workers, and spends one query on it.
    pub(super) fn take_turn(
        &mut self,
        worker_count: usize,
        is_ready: impl Fn(usize) -> bool,
    ) -> LoadQueryTurn {
        let is_ready = |&worker: &usize| is_ready(worker);
        let mut in_turn = (1..=worker_count).map(|step| (self.last_queried + step) % worker_count);
        let next = in_turn.find(is_ready);
        let ready_count = (0..worker_count).filter(is_ready).count().max(1);
        let worker = next.filter(|_| self.budget >= 1.0);
        if let Some(worker) = worker {
            self.budget -= 1.0;
            self.last_queried = worker;
        }
        LoadQueryTurn { worker, next_delay: LOAD_QUERY_ROUND / ready_count as Micros }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_queries.rs"]
mod tests;
