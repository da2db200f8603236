use super::{LoadQueries, MAX_LOAD_QUERY_BUDGET};
use crate::SECOND;

fn queried(queries: &mut LoadQueries, ready: &[bool]) -> Option<usize> {
    queries.take_turn(ready.len(), |worker| ready[worker]).worker
}

#[test]
fn ready_workers_are_queried_round_robin() {
    let mut queries = LoadQueries::default();
    let ready = [true, false, true, true];
    let queried_workers: Vec<_> = (0..6).filter_map(|_| queried(&mut queries, &ready)).collect();
    assert_eq!(queried_workers, [2, 3, 0, 2, 3, 0]);
}

#[test]
fn each_ready_worker_is_due_once_in_a_round() {
    let mut queries = LoadQueries::default();
    assert_eq!(queries.take_turn(4, |worker| worker > 1).next_delay, SECOND / 2);
}

#[test]
fn without_a_ready_worker_no_query_is_sent_or_deducted_from_the_budget() {
    let mut queries = LoadQueries::default();
    for _ in 0..100 {
        let turn = queries.take_turn(0, |_| true);
        assert_eq!((turn.worker, turn.next_delay), (None, SECOND));
        assert_eq!(queried(&mut queries, &[false, false]), None);
    }
    assert_eq!(queried(&mut queries, &[true]), Some(0));
}

#[test]
fn queries_spend_the_budget_and_requests_earn_it_up_to_its_maximum() {
    let mut queries = LoadQueries::default();
    let whole_budget = MAX_LOAD_QUERY_BUDGET as usize;
    let spend_all = |queries: &mut LoadQueries| (0..100).filter_map(|_| queried(queries, &[true])).count();
    assert_eq!(spend_all(&mut queries), whole_budget);
    (0..9).for_each(|_| queries.earn(0.1));
    assert_eq!(spend_all(&mut queries), 0);
    (0..2).for_each(|_| queries.earn(0.1));
    assert_eq!(spend_all(&mut queries), 1);
    (0..1_000_000).for_each(|_| queries.earn(0.1));
    assert_eq!(spend_all(&mut queries), whole_budget);
    queries.earn(0.0);
    assert_eq!(spend_all(&mut queries), whole_budget, "a cost of 0 fills the budget at once");
}

#[test]
fn the_first_query_is_due_within_a_tenth_of_a_round() {
    for seed in 0..100 {
        assert!(LoadQueries::first_delay(&mut fastrand::Rng::with_seed(seed)) <= SECOND / 10);
    }
}
