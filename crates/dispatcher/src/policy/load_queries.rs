//! Load queries: where workers report their load only when they are asked, and each question has its price.
use crate::Micros;
use crate::SECOND;

/// All ready workers are queried once in this time, about as often as they renew their reports.
const LOAD_QUERY_ROUND: Micros = SECOND;
/// The first query comes within this part of a round, at a random moment.
const FIRST_LOAD_QUERY_PARTS: Micros = 10;
/// What a request's load queries may cost of its weight.
const LOAD_QUERY_COST_FRACTION: f64 = 0.01;
/// Most queries that can be saved up, and how many there are at the start.
const MAX_LOAD_QUERY_BUDGET: f64 = 20.0;

/// What to do when a load query is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadQueryTurn {
    /// The worker to be queried, if one is ready and the budget allows it.
    pub(super) worker: Option<usize>,
    /// The delay of the next turn.
    pub(super) next_after: Micros,
}

/// Whose turn it is, and the queries that requests have earned: a large fleet would be queried without end.
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
    /// The delay of the first turn.
    pub(super) fn first_delay(rng: &mut fastrand::Rng) -> Micros {
        rng.u64(0..=LOAD_QUERY_ROUND / FIRST_LOAD_QUERY_PARTS)
    }

    /// Adds what one offered request earns, where a query costs this part of a request's weight.
    pub(super) fn earn(&mut self, cost: f64) {
        self.budget = (self.budget + LOAD_QUERY_COST_FRACTION / cost).min(MAX_LOAD_QUERY_BUDGET);
    }

    /// Takes the next turn: the ready workers are queried in the order of their numbers.
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
        LoadQueryTurn { worker, next_after: LOAD_QUERY_ROUND / ready_count as Micros }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_queries.rs"]
mod tests;
