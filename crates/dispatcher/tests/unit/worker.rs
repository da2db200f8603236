use super::{AppliedEndpoint, MAX_KIND_OR_ZONE, MAX_WORKER_ID_GAP, TableSize, WorkerTable};
use crate::{Endpoint, WorkerId, WorkerState};

fn endpoint(worker: usize) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker as u32),
        zone: 1,
        kind: 2,
        cell: 3,
        state: WorkerState::Ready,
        started_at: None,
        hash_key: 0,
        size: None,
    }
}

#[test]
fn the_table_grows_to_the_highest_worker_kind_and_zone_seen() {
    let mut table = WorkerTable::default();
    assert_eq!(table.apply(&endpoint(4)), Some(AppliedEndpoint { index: 4, has_grown: true }));
    assert_eq!(table.size(), TableSize { workers: 5, kinds: 3, zones: 2 });
    assert_eq!(table.apply(&endpoint(0)), Some(AppliedEndpoint { index: 0, has_grown: false }));
    let other_zone = Endpoint { zone: 7, ..endpoint(0) };
    assert_eq!(table.apply(&other_zone), Some(AppliedEndpoint { index: 0, has_grown: true }));
    assert_eq!(table.size(), TableSize { workers: 5, kinds: 3, zones: 8 });
    assert_eq!((table.len(), table.ready_count()), (5, 2), "the workers between the two ids are not ready");
}

#[test]
fn endpoints_with_implausibly_large_numbers_are_ignored() {
    let mut table = WorkerTable::default();
    table.apply(&endpoint(0));
    let implausible = [
        endpoint(1 + MAX_WORKER_ID_GAP + 1),
        Endpoint { kind: MAX_KIND_OR_ZONE as u32 + 1, ..endpoint(0) },
        Endpoint { zone: MAX_KIND_OR_ZONE as u32 + 1, ..endpoint(0) },
        Endpoint { worker: WorkerId(u32::MAX), ..endpoint(0) },
    ];
    for endpoint in implausible {
        assert_eq!(table.apply(&endpoint), None);
    }
    assert_eq!(table.size(), TableSize { workers: 1, kinds: 3, zones: 2 });
    assert!(table.apply(&endpoint(1 + MAX_WORKER_ID_GAP)).is_some());
}

#[test]
fn only_listed_workers_that_accept_requests_are_ready() {
    let mut table = WorkerTable::default();
    table.apply(&endpoint(0));
    table.apply(&Endpoint { state: WorkerState::Draining, ..endpoint(1) });
    assert!(table.is_ready(0) && !table.is_ready(1));
    table.remove_all();
    assert_eq!(table.ready_count(), 0);
    assert_eq!(table[1].state, WorkerState::Removed);
    table.apply(&endpoint(1));
    assert!(table.is_ready(1));
}
