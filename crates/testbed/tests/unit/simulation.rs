//! Unit tests of the `simulation` module, which includes this file as its `tests` module.
use std::sync::Mutex;

use copperspread_dispatcher::{DispatchPolicy, Outcome as AttemptResult, Timer, WorkerId};

use super::*;
use crate::policy::Policy;

/// Results of load queries at a scheduler: the outcome, the reported free slots and the elapsed time.
type QueryResults = Arc<Mutex<Vec<(AttemptResult, Option<f64>, Micros)>>>;

/// A policy that queries one worker's load at 5 s, and records every result.
struct LoadQuerier {
    worker: WorkerId,
    results: QueryResults,
}

impl Policy for LoadQuerier {}

impl DispatchPolicy for LoadQuerier {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(_) if now == CLOCK_OFFSET => {
                actions.push(Action::StartTimer { after: 5 * SECOND, timer: Timer::LoadQuery });
            }
            Event::TimerExpired(Timer::LoadQuery) => {
                actions.push(Action::QueryLoad { worker: self.worker });
            }
            Event::LoadQueryCompleted { outcome, report, .. } => {
                let free_slots = report.and_then(|report| report.free_slots);
                let elapsed = now - CLOCK_OFFSET - 5 * SECOND;
                self.results.lock().expect("the lock is not poisoned").push((outcome, free_slots, elapsed));
            }
            // Every job goes to worker 0.
            Event::Request(job) => {
                let (request, worker) = (job.request, WorkerId(0));
                actions.push(Action::Send { request, worker, estimate: 0 });
            }
            _ => {}
        }
    }
}

/// Simulates one worker and a load query to `worker`, and returns the results that the scheduler got.
fn load_query_results(
    reports: &str,
    job: &str,
    fault: &str,
    worker: u32,
) -> Vec<(AttemptResult, Option<f64>, Micros)> {
    let text = format!(
        "name = 'one'\nabout = 'one worker'\nseconds = 9.0\nschedulers = 1\n[clients]\nrate = 1e-9\n{job}\n\
         [network]\nnear = 0.001\n[reports]\nnoise = 0.0\n{reports}\n[[workers]]\nkind = 'w'\ncount = 1\n\
         cores = 1.0\nslots = 1.0\nspeed = [1.0, 1.0]\n[[classes]]\nname = 'c'\nshare = 1.0\nwork = 1.0\n\
         aim = 30.0\ndeadline = 30.0\nworth = 1.0\nrepeat = 'safe'\n{fault}"
    );
    let scenario = Scenario::parse(&text).expect("valid scenario");
    let mut simulation = Simulation::new(&scenario, PolicyKind::Random, 1).expect("valid settings");
    let results = QueryResults::default();
    let querier = LoadQuerier { worker: WorkerId(worker), results: Arc::clone(&results) };
    simulation.schedulers[0].policy = Box::new(querier);
    while simulation.handle_next_event() {}
    assert!(simulation.load_queries.is_empty());
    let results = results.lock().expect("the lock is not poisoned");
    results.clone()
}

// A load query has exactly one result with every fault. A queued one waits behind the running job.
#[test]
fn a_load_query_has_exactly_one_result_whatever_fails() {
    let reports = |deep| format!("probe = {{ work = 0.004, deep = {deep}, timeout = 0.5, late = 0.0 }}");
    let fault =
        |what: &str, at: f64| format!("[[faults]]\nat = {at:?}\nlasts = 90.0\nshare = 1.0\nwhat = {what}\n");
    let job = |at: f64, work: f64| format!("trace = [{{ at = {at:?}, class = 0, work = {work:?} }}]");
    let cases = [
        // Load query settings, running job and fault; expected outcome, free slots, and the shortest and
        // longest time until the result, in milliseconds.
        (reports(false), job(0.5, 0.1), String::new(), AttemptResult::Served, Some(1.0), [5, 9]),
        (reports(true), job(0.5, 0.1), String::new(), AttemptResult::Served, Some(1.0), [5, 9]),
        (reports(false), job(1.0, 8.0), String::new(), AttemptResult::Served, Some(0.0), [5, 9]),
        (reports(true), job(4.5, 0.8), String::new(), AttemptResult::Served, Some(0.0), [290, 330]),
        (reports(true), job(1.0, 8.0), String::new(), AttemptResult::TimedOut, None, [500, 500]),
        (reports(true), job(4.5, 4.0), fault("'crash'", 5.1), AttemptResult::Reset, None, [100, 110]),
        (reports(true), job(4.5, 4.0), fault("'drain'", 5.1), AttemptResult::Rejected, None, [100, 110]),
        (reports(true), job(4.5, 4.0), fault("'vanish'", 5.1), AttemptResult::TimedOut, None, [500, 500]),
        (reports(false), job(0.5, 0.1), fault("'crash'", 1.0), AttemptResult::ConnectFailed, None, [1, 5]),
        (reports(false), job(0.5, 0.1), fault("'refusing'", 1.0), AttemptResult::ConnectFailed, None, [1, 5]),
        (reports(false), job(0.5, 0.1), fault("'vanish'", 1.0), AttemptResult::TimedOut, None, [500, 500]),
        (reports(true), job(0.5, 0.1), fault("{ failing = 1.0 }", 1.0), AttemptResult::Error, None, [1, 5]),
        (reports(true), job(0.5, 0.1), fault("{ garbled = 1.0 }", 1.0), AttemptResult::Reset, None, [1, 5]),
        // Load queries are disabled.
        (String::new(), job(0.5, 0.1), String::new(), AttemptResult::Superseded, None, [0, 0]),
    ];
    for (reports, job, fault, outcome, free_slots, [min_ms, max_ms]) in cases {
        let results = load_query_results(&reports, &job, &fault, 0);
        let case = format!("{reports} {job} {fault}: {results:?}");
        assert_eq!(results.len(), 1, "{case}");
        assert_eq!((results[0].0, results[0].1), (outcome, free_slots), "{case}");
        assert!((min_ms * 1_000..=max_ms * 1_000).contains(&results[0].2), "{case}");
    }
    // The queried worker does not exist.
    assert_eq!(load_query_results(&reports(true), "", "", 7), [(AttemptResult::Superseded, None, 0)]);
}
