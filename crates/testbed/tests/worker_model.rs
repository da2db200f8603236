//! Tests of the worker model: slots, queue, slow start, faults and start order.
use copperspread_dispatcher::SECOND;
use copperspread_testbed::model::worker::{
    OfferResult, OfferedJob, ProcessState, Worker, WorkerEffect, WorkerSpec,
};
use copperspread_testbed::scenario::QueueOrder;

fn worker_spec() -> WorkerSpec {
    WorkerSpec {
        cores: 2.0,
        slots: 2.0,
        speed: 1.0,
        max_waiting: 2,
        order: QueueOrder::Fifo,
        memory: 100.0,
        slow_start_fraction: 0.25,
        slow_start_duration: 20 * SECOND,
        overload_multiple: 2.0,
        overload_window: Some(2 * SECOND),
    }
}

fn job(attempt: u64, work: f64) -> OfferedJob {
    OfferedJob { attempt, class: 0, work, slots: 1.0, memory: 0.0, weight: 1.0 }
}

#[test]
fn a_worker_fills_its_slots_then_its_queue_and_returns_unstarted_jobs() {
    let mut worker = Worker::new(worker_spec());
    let mut effects = Vec::new();
    let offers: Vec<_> = (0..5).map(|attempt| worker.offer(0, job(attempt, 1.0), &mut effects)).collect();
    assert_eq!(
        offers,
        [
            OfferResult::Accepted,
            OfferResult::Accepted,
            OfferResult::Accepted,
            OfferResult::Accepted,
            OfferResult::QueueFull
        ]
    );
    assert_eq!(effects, [WorkerEffect::Started(0), WorkerEffect::Started(1)]);
    effects.clear();
    assert_eq!(worker.next_wake(0), Some(SECOND));
    worker.drain(SECOND / 2, true, &mut effects);
    assert_eq!(effects, [WorkerEffect::ReturnedUnstarted(2), WorkerEffect::ReturnedUnstarted(3)]);
    assert_eq!(worker.offer(SECOND / 2, job(9, 1.0), &mut effects), OfferResult::QueueFull);
    effects.clear();
    worker.advance(SECOND, &mut effects);
    assert_eq!(effects, [0, 1].map(|attempt| WorkerEffect::Finished { attempt, is_reported: true }));
    assert!((worker.completed_work - 2.0).abs() < 1e-6 && worker.job_count() == 0);
}

#[test]
fn a_worker_in_slow_start_is_slower_and_fails_when_overloaded() {
    let mut worker = Worker::new(worker_spec());
    worker.restart(0);
    assert_eq!(
        (
            worker.capacity_fraction(0),
            worker.capacity_fraction(10 * SECOND),
            worker.capacity_fraction(40 * SECOND)
        ),
        (0.25, 0.625, 1.0)
    );
    let mut effects = Vec::new();
    // The limit is 2 core-seconds: a quarter of two cores, times the multiple of 2, over 2 s.
    assert_eq!(worker.offer(0, job(1, 1.9), &mut effects), OfferResult::Accepted);
    assert_eq!(worker.process, ProcessState::Up);
    effects.clear();
    worker.offer(0, job(2, 0.2), &mut effects);
    assert_eq!(
        (worker.process, &effects[..]),
        (
            ProcessState::Stopped,
            &[WorkerEffect::Overloaded, WorkerEffect::Lost(1), WorkerEffect::Lost(2)][..]
        )
    );
    assert_eq!(worker.offer(0, job(3, 0.1), &mut effects), OfferResult::ConnectionRefused);
    worker.restart(SECOND);
    // 4.8 core-seconds, more than that limit, are no overload if they are spread over 12 s.
    for step in 0..12 {
        worker.offer(SECOND + step * SECOND, job(10 + step, 0.4), &mut effects);
        worker.advance(SECOND + step * SECOND + SECOND / 2, &mut effects);
    }
    assert_eq!(worker.process, ProcessState::Up);
}

#[test]
fn stuck_silent_refusing_and_unreachable_workers_show_the_effects_of_their_faults() {
    let mut effects = Vec::new();
    let mut stuck = Worker::new(worker_spec());
    stuck.offer(0, job(1, 1.0), &mut effects);
    stuck.apply_change(0, |worker| worker.is_stuck = true);
    assert_eq!(stuck.next_wake(0), None);
    stuck.apply_change(5 * SECOND, |worker| worker.is_stuck = false);
    assert_eq!(
        stuck.next_wake(5 * SECOND),
        Some(6 * SECOND),
        "the job does not continue with its remaining work"
    );
    let mut silent = Worker::new(worker_spec());
    silent.apply_change(0, |worker| worker.silent_class = Some(0));
    silent.offer(0, job(1, 1.0), &mut effects);
    effects.clear();
    silent.advance(SECOND, &mut effects);
    assert_eq!(effects, [WorkerEffect::Finished { attempt: 1, is_reported: false }]);
    let mut refusing = Worker::new(worker_spec());
    refusing.apply_change(0, |worker| worker.is_refusing = true);
    assert_eq!(refusing.offer(0, job(1, 1.0), &mut effects), OfferResult::ConnectionRefused);
    let mut unreachable = Worker::new(worker_spec());
    unreachable.offer(0, job(1, 1.0), &mut effects);
    effects.clear();
    unreachable.stop(0, ProcessState::Unreachable, &mut effects);
    assert_eq!(
        (effects.len(), unreachable.offer(0, job(2, 1.0), &mut effects)),
        (0, OfferResult::Unreachable)
    );
}

// Two jobs run and three wait. The test checks which waiting job starts when a running one ends.
#[test]
fn order_and_memory_decide_which_job_starts_next() {
    type Waiting = [(f64, f64, f64); 3];
    let cases: &[(QueueOrder, Waiting, u64)] = &[
        // Slots, memory and weight of the waiting jobs, and the attempt that starts first (0 for none).
        (QueueOrder::Fifo, [(1.0, 0.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 10),
        (QueueOrder::Priority, [(1.0, 0.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 11),
        (QueueOrder::Priority, [(1.0, 0.0, 9.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 10),
        (QueueOrder::Backfill, [(2.0, 0.0, 9.0), (1.0, 0.0, 1.0), (1.0, 0.0, 5.0)], 11),
        // The first waiting job needs too much memory.
        (QueueOrder::Backfill, [(1.0, 80.0, 9.0), (1.0, 30.0, 1.0), (1.0, 0.0, 5.0)], 11),
        // The first job in queue order cannot start and blocks the others.
        (QueueOrder::Fifo, [(1.0, 80.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 0),
        (QueueOrder::Priority, [(1.0, 0.0, 1.0), (2.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 0),
    ];
    for (order, waiting, starts) in cases {
        let mut worker = Worker::new(WorkerSpec { max_waiting: 3, order: *order, ..worker_spec() });
        let mut effects = Vec::new();
        worker.offer(0, OfferedJob { memory: 40.0, ..job(1, 1.0) }, &mut effects);
        worker.offer(0, OfferedJob { memory: 40.0, ..job(2, 9.0) }, &mut effects);
        for (number, &(slots, memory, weight)) in waiting.iter().enumerate() {
            let job = OfferedJob { slots, memory, weight, ..job(10 + number as u64, 1.0) };
            assert_eq!(worker.offer(0, job, &mut effects), OfferResult::Accepted);
        }
        effects.clear();
        worker.advance(SECOND, &mut effects);
        let started = effects
            .iter()
            .find_map(|effect| if let WorkerEffect::Started(id) = effect { Some(*id) } else { None });
        assert_eq!(started.unwrap_or_default(), *starts, "{order:?} {waiting:?}: {effects:?}");
    }
}
