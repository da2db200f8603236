//! Unit tests of `memory`.
use futures_util::FutureExt;

use super::*;

const MEGABYTE: usize = 1_000_000;

fn used(budget: &MemoryBudget) -> usize {
    budget.lock().shares.iter().map(|share| share.used).sum()
}

// Guards against one use that takes the memory which another one needs to end it: requests that wait for
// results and the callbacks with the results.
#[test]
fn requests_leave_the_guaranteed_shares_to_other_uses() {
    let budget = MemoryBudget::new(32.0);
    budget.set_max_connections(752, 204);
    let reserve = |memory_use| budget.try_reserve(memory_use, MAX_BODY_BYTES);
    let bodies: Vec<_> = std::iter::from_fn(|| reserve(MemoryUse::RequestBody)).collect();
    assert!(bodies.len() * MAX_BODY_BYTES > 2 * MEGABYTE, "{} bodies", bodies.len());
    let callbacks: Vec<_> = std::iter::from_fn(|| reserve(MemoryUse::Callback)).collect();
    assert!(callbacks.len() >= 16, "{} callbacks", callbacks.len());
    let connections: Vec<_> = (0..budget.max_client_connections())
        .map(|_| budget.try_reserve(MemoryUse::ClientConnection, CONNECTION_BYTES))
        .collect();
    assert!(connections.iter().all(Option::is_some));
    assert!(reserve(MemoryUse::EndpointList).is_some());
    assert!(used(&budget) <= budget.lock().total);
}

// Guards against a sum of all uses above the memory limit, at any limit and with any number of workers.
#[test]
fn all_uses_together_stay_within_the_budget() {
    for memory_limit_mb in [16, 32, 48, 64, 192] {
        for (clients, workers) in [(176, 53), (368, 106), (752, 204)] {
            for known_workers in [0, 22, 200, 3_200] {
                let budget = MemoryBudget::new(f64::from(memory_limit_mb));
                budget.set_max_connections(clients, workers);
                budget.set_known_workers(known_workers);
                let inner = budget.lock();
                let guaranteed: usize = inner.shares.iter().map(|share| share.guaranteed).sum();
                let is_within = PROGRAM_BYTES + guaranteed <= memory_limit_mb as usize * MEGABYTE;
                // The smallest limit of the platform is 32 MB.
                assert!(
                    is_within || memory_limit_mb < 32,
                    "{guaranteed} of {memory_limit_mb} MB, {known_workers}"
                );
                assert!(guaranteed <= inner.total || memory_limit_mb < 32);
            }
        }
    }
}

#[test]
fn memory_limits_the_number_of_client_connections() {
    let max_connections = |memory_limit_mb, clients, workers| {
        let budget = MemoryBudget::new(memory_limit_mb);
        budget.set_max_connections(clients, workers);
        budget.max_client_connections()
    };
    assert_eq!(max_connections(2048.0, 752, 204), 752);
    assert_eq!(max_connections(32.0, 176, 53), 176);
    let limited = max_connections(32.0, 752, 204);
    assert!((488..700).contains(&limited), "{limited}: memory is the tighter limit");
    assert_eq!(max_connections(0.0, 0, 0), MIN_CONNECTIONS, "the minimum applies");
}

#[tokio::test]
async fn memory_is_given_out_in_the_order_in_which_it_was_asked_for() {
    let budget = MemoryBudget::new(32.0);
    let reserve = || budget.try_reserve(MemoryUse::RequestBody, MAX_BODY_BYTES);
    let mut bodies: Vec<_> = std::iter::from_fn(reserve).collect();
    let mut large = Box::pin(budget.reserve(MemoryUse::RequestBody, 2 * MAX_BODY_BYTES));
    let mut small = Box::pin(budget.reserve(MemoryUse::RequestBody, 1));
    assert!((&mut large).now_or_never().is_none());
    bodies.pop();
    assert!((&mut small).now_or_never().is_none(), "the longer body was first");
    bodies.truncate(bodies.len() - 2);
    let reservation = (&mut large).now_or_never().expect("memory for the longer body");
    drop(large);
    assert!((&mut small).now_or_never().is_some());
    drop(reservation);
}

// Guards against a list of more workers than are known that waits forever for memory it can never have.
#[tokio::test]
async fn a_list_that_needs_more_than_there_is_gets_all_there_is() {
    let budget = MemoryBudget::new(32.0);
    budget.set_max_connections(752, 204);
    let body = budget.try_reserve(MemoryUse::RequestBody, 2 * MEGABYTE).expect("memory is left");
    let mut list = Box::pin(budget.reserve(MemoryUse::EndpointList, 100 * MEGABYTE));
    assert!((&mut list).now_or_never().is_none(), "the body has a part of what the list can have");
    drop(body);
    let reservation = (&mut list).now_or_never().expect("memory for the list");
    assert!(reservation.bytes >= MEGABYTE, "{} bytes", reservation.bytes);
    let claimed: usize = budget.lock().shares.iter().map(|share| share.claimed()).sum();
    assert!(claimed <= budget.lock().total);
}

#[test]
fn a_reservation_is_released_with_the_last_clone_of_its_bytes() {
    let budget = MemoryBudget::new(32.0);
    let reservation = budget.try_reserve(MemoryUse::Callback, MAX_BODY_BYTES).expect("memory is left");
    let bytes = reservation.attach_to(vec![7; 1_000]);
    let clone = bytes.clone();
    assert_eq!(used(&budget), 1_000, "the surplus is released at once");
    drop(bytes);
    assert_eq!((used(&budget), clone.len()), (1_000, 1_000));
    drop(clone);
    assert_eq!(used(&budget), 0);
}
