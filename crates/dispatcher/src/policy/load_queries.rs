//! Load queries, which ask workers for their load in fleets whose workers report their load only on request.
//! Each query has a cost, so a budget limits the number of queries. In a large fleet, a dispatcher queries
//! only the workers that it prefers: it sends most requests to them, and each queried worker takes a
//! connection.
use crate::Micros;
use crate::SECOND;

/// Time in which each ready worker is queried once. This is about the interval at which workers update their
/// load reports.
const LOAD_QUERY_ROUND: Micros = SECOND;
/// Largest number of workers that a dispatcher of a large fleet queries. A dispatcher sends some tens of
/// requests per second, so more workers than this rarely have one of its requests.
pub(super) const MAX_QUERIED_WORKERS: usize = 32;
/// Divisor for the random delay of the first load query that this dispatcher sends. The delay is at most
/// [`LOAD_QUERY_ROUND`] divided by this constant.
const FIRST_LOAD_QUERY_DIVISOR: Micros = 10;
/// Cost that the load queries may have for each offered request, as a fraction of the cost of losing one
/// request. At 0.01, the load queries for 100 offered requests cost at most as much as one lost request.
/// [`Settings::load_query_cost`](crate::Settings::load_query_cost) gives the cost of one query in the same
/// unit.
const LOAD_QUERY_COST_FRACTION: f64 = 0.01;
/// Largest number of load queries that the load-query budget can hold. A dispatcher starts with this number.
const MAX_LOAD_QUERY_BUDGET: f64 = 20.0;

/// The result of one turn of load queries: the worker to query now, if any, and when the next query is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadQueryTurn {
    /// Index of the worker to query. `None` if no worker is ready, or if no further load query may be sent
    /// yet.
    pub(super) worker: Option<usize>,
    /// Time until the next load query is due.
    pub(super) next_delay: Micros,
}

/// Queries the ready workers in turn. A budget that grows with each offered request limits the number of
/// queries. Without the budget, that number would grow with the number of workers, regardless of what the
/// queries cost.
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

    /// Increases the number of load queries that may be sent, because a request has arrived. The number grows
    /// by [`LOAD_QUERY_COST_FRACTION`] divided by `cost`, up to [`MAX_LOAD_QUERY_BUDGET`]. `cost` is the cost
    /// of one query, as a fraction of the cost of losing one request. A `cost` of 0 raises the number to the
    /// maximum.
    pub(super) fn earn(&mut self, cost: f64) {
        self.budget = (self.budget + LOAD_QUERY_COST_FRACTION / cost).min(MAX_LOAD_QUERY_BUDGET);
    }

    /// Chooses the next worker to query, round robin over the ready workers, and reduces the number of load
    /// queries that may be sent by 1. If that number is below 1, no worker is chosen.
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
