//! Unit tests of `descriptors`.
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::FutureExt;
use futures_util::task::{ArcWake, noop_waker, waker};

use super::*;

/// A limit that leaves 20 descriptors for connections.
const LIMIT: usize = 40;
const MAX_CONNECTIONS: usize = 20;

fn address(port: u16) -> Authority {
    format!("127.0.0.1:{port}").parse().expect("an address")
}

/// Opens a connection to the worker at `port`, if a descriptor is left.
fn try_open(budget: &Arc<DescriptorBudget>, port: u16) -> Option<WorkerDescriptor> {
    let descriptor = budget.acquire_worker(Some(address(port))).now_or_never()?;
    descriptor.set_connected();
    Some(descriptor)
}

/// Opens a connection to the worker at `port`, which one request then uses.
fn open_idle(budget: &Arc<DescriptorBudget>, port: u16) -> WorkerDescriptor {
    let descriptor = try_open(budget, port).expect("a descriptor is left");
    drop(descriptor.handle().begin_use());
    descriptor
}

fn is_evicted(descriptor: &WorkerDescriptor) -> bool {
    descriptor.poll_evicted(&mut Context::from_waker(&noop_waker())).is_ready()
}

fn acquire_clients(budget: &Arc<DescriptorBudget>, count: usize) -> Vec<ClientDescriptor> {
    (0..count).map(|_| budget.try_acquire_client().expect("a descriptor is left")).collect()
}

#[tokio::test(start_paused = true)]
async fn the_worker_connection_that_was_idle_for_longest_is_evicted_for_a_client() {
    let budget = DescriptorBudget::new(LIMIT);
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS - 2);
    let (first, second) = (open_idle(&budget, 1), open_idle(&budget, 2));
    tokio::time::advance(Duration::from_secs(1)).await;
    drop(first.handle().begin_use());
    assert!(budget.try_acquire_client().is_none(), "the descriptor is not released yet");
    assert_eq!((is_evicted(&first), is_evicted(&second)), (false, true));
    drop(second);
    assert!(budget.try_acquire_client().is_some());
    assert_eq!(budget.usage().workers_idle, 1);
}

#[tokio::test(start_paused = true)]
async fn a_used_worker_connection_is_never_evicted() {
    let budget = DescriptorBudget::new(LIMIT);
    let used = try_open(&budget, 1).expect("a descriptor is left");
    let _first_use = used.handle().begin_use();
    drop(used.handle().begin_use());
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS);
    assert!(!is_evicted(&used));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_begins_before_the_close_keeps_an_evicted_connection_open() {
    let budget = DescriptorBudget::new(LIMIT);
    let connection = open_idle(&budget, 1);
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS - 1);
    assert!(budget.try_acquire_client().is_none());
    let _use = connection.handle().begin_use();
    assert!(!is_evicted(&connection));
    assert!(budget.try_acquire_client().is_some(), "there is nothing to wait for");
}

#[tokio::test(start_paused = true)]
async fn a_new_connection_is_evicted_only_once_it_was_unused_for_a_time() {
    let budget = DescriptorBudget::new(LIMIT);
    let unused = try_open(&budget, 1).expect("a descriptor is left");
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS - 1);
    assert!(budget.try_acquire_client().is_some(), "there is nothing to evict");
    tokio::time::advance(Duration::from_micros(UNUSED_GRACE)).await;
    assert!(budget.try_acquire_client().is_none());
    assert!(is_evicted(&unused));
}

#[tokio::test(start_paused = true)]
async fn an_eviction_wakes_the_reader_of_the_connection() {
    struct Counter(AtomicUsize);
    impl ArcWake for Counter {
        fn wake_by_ref(counter: &Arc<Self>) {
            counter.0.fetch_add(1, Ordering::Relaxed);
        }
    }
    let counter = Arc::new(Counter(AtomicUsize::new(0)));
    let budget = DescriptorBudget::new(LIMIT);
    let idle = open_idle(&budget, 1);
    assert!(idle.poll_evicted(&mut Context::from_waker(&waker(Arc::clone(&counter)))).is_pending());
    assert!(budget.evict_on_exhaustion());
    assert_eq!(counter.0.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_worker_connection_waits_until_a_descriptor_is_released() {
    let budget = DescriptorBudget::new(LIMIT);
    let used = max_used_worker_connections(LIMIT);
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS - used);
    let mut connections: Vec<_> = (0..used as u16).filter_map(|port| try_open(&budget, port)).collect();
    assert_eq!(connections.len(), used);
    let waiting = tokio::spawn({
        let budget = Arc::clone(&budget);
        async move { budget.acquire_worker(Some(address(99))).await }
    });
    tokio::time::advance(Duration::from_micros(UNUSED_GRACE / 2)).await;
    assert!(!waiting.is_finished());
    connections.pop();
    let _descriptor = waiting.await.expect("a descriptor");
}

#[tokio::test(start_paused = true)]
async fn clients_leave_the_workers_their_share() {
    let budget = DescriptorBudget::new(LIMIT);
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS);
    let connections: Vec<_> = (0..100).filter_map(|port| try_open(&budget, port)).collect();
    assert_eq!(connections.len(), max_used_worker_connections(LIMIT));
}

#[tokio::test(start_paused = true)]
async fn a_load_query_takes_no_descriptor_that_requests_may_need() {
    let budget = DescriptorBudget::new(LIMIT);
    assert!(budget.permits_load_query(&address(1)));
    let _idle = open_idle(&budget, 1);
    let _clients = acquire_clients(&budget, MAX_CONNECTIONS - 1 - max_used_worker_connections(LIMIT));
    assert!(budget.permits_load_query(&address(1)), "on an idle connection");
    assert!(!budget.permits_load_query(&address(2)), "on a new connection");
}
