//! Benchmarks of the dispatcher: a request with its outcome, a periodic refresh and a change of the endpoint
//! list.
//!
//! Run with `cargo bench -p copperspread-testbed --bench decisions`.
use copperspread_dispatcher::{
    AttemptOutcome, Dispatcher, Endpoint, EndpointUpdate, EndpointUpdateKind, Event, Idempotency,
    IncomingRequest, Outcome, RequestClass, RequestId, SECOND, Settings, Timer, WorkerId, WorkerState,
};
use divan::Bencher;

/// Numbers of workers with which each benchmark runs.
const FLEET_SIZES: [u32; 5] = [10, 100, 1_000, 10_000, 100_000];

fn main() {
    divan::main();
}

fn endpoint(worker: u32) -> Endpoint {
    let (zone, state) = (worker % 3, WorkerState::Ready);
    Endpoint {
        worker: WorkerId(worker),
        zone,
        kind: worker % 3,
        cell: zone,
        state,
        started_at: None,
        size: None,
        hash_key: worker.into(),
    }
}

fn dispatcher(workers: u32) -> Dispatcher {
    let class = RequestClass {
        latency_objective: SECOND,
        latency_stretch: 2.0,
        idempotency: Idempotency::Idempotent,
        ..RequestClass::default()
    };
    let settings =
        Settings { classes: vec![class], max_attempts: 4, cancellation_allowed: true, ..Settings::default() };
    let mut dispatcher = Dispatcher::new(settings, 7).expect("the settings are valid");
    let endpoints: Vec<_> = (0..workers).map(endpoint).collect();
    let update = EndpointUpdate { kind: EndpointUpdateKind::Full, version: 1, endpoints: &endpoints };
    dispatcher.handle(SECOND, Event::Endpoints(update), &mut Vec::new());
    dispatcher
}

#[divan::bench(args = FLEET_SIZES)]
fn request_and_outcome(bencher: Bencher<'_, '_>, workers: u32) {
    let (mut dispatcher, mut actions) = (dispatcher(workers), Vec::new());
    let (mut now, mut request) = (2 * SECOND, RequestId(0));
    bencher.bench_local(|| {
        (now, request.0) = (now + 1_000, request.0 + 1);
        let job = IncomingRequest {
            request,
            cost_hint: Some(0.1),
            time_left: 5 * SECOND,
            ..IncomingRequest::default()
        };
        dispatcher.handle(now, Event::Request(job), &mut actions);
        let (outcome, elapsed) = (Outcome::Served, 100_000);
        let completion =
            AttemptOutcome { request, attempt: 0, outcome, request_finished: true, elapsed, report: None };
        dispatcher.handle(now + elapsed, Event::AttemptCompleted(completion), &mut actions);
        actions.clear();
    });
}

#[divan::bench(args = FLEET_SIZES)]
fn periodic_refresh(bencher: Bencher<'_, '_>, workers: u32) {
    let (mut dispatcher, mut actions) = (dispatcher(workers), Vec::new());
    let mut now = 2 * SECOND;
    bencher.bench_local(|| {
        now += SECOND;
        dispatcher.handle(now, Event::TimerExpired(Timer::PeriodicRefresh), &mut actions);
        actions.clear();
    });
}

#[divan::bench(args = FLEET_SIZES)]
fn endpoint_change(bencher: Bencher<'_, '_>, workers: u32) {
    let (mut dispatcher, mut actions) = (dispatcher(workers), Vec::new());
    let (mut now, mut version) = (2 * SECOND, 1);
    bencher.bench_local(|| {
        (now, version) = (now + 1_000, version + 1);
        let state = if version % 2 == 0 { WorkerState::Draining } else { WorkerState::Ready };
        let changed = [Endpoint { state, ..endpoint(workers / 2) }];
        let update = EndpointUpdate { kind: EndpointUpdateKind::Changes, version, endpoints: &changed };
        dispatcher.handle(now, Event::Endpoints(update), &mut actions);
        actions.clear();
    });
}
