//! Tests of the `calc` scenario: FIFO workers with slots and memory, which report load only to load queries.
use copperspread_dispatcher::{Idempotency, KeyScope, SECOND};
use copperspread_testbed::compare::compare_policies;
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::model::fleet::Fleet;
use copperspread_testbed::model::idempotency_keys::key_group;
use copperspread_testbed::model::worker::{OfferResult, OfferedJob, Worker, WorkerEffect, WorkerSpec};
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::rule_checker::{Rule, RuleChecker};
use copperspread_testbed::scenario::{QueueOrder, RetryTiming, Scenario};
use copperspread_testbed::simulation::simulate;

const CALC: &str = include_str!("../scenarios/calc.toml");

fn calc_scenario() -> Scenario {
    Scenario::parse(CALC).expect("valid scenario")
}

fn worker() -> Worker {
    Worker::new(WorkerSpec {
        cores: 4.0,
        slots: 4.0,
        speed: 1.0,
        max_waiting: 3,
        order: QueueOrder::Fifo,
        memory: 4.0,
        slow_start_fraction: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_multiple: 3.0,
        overload_window: None,
    })
}

fn job(attempt: u64, slots: f64, memory: f64, work: f64) -> OfferedJob {
    OfferedJob { attempt, class: 0, work, slots, memory, weight: 1.0 }
}

fn started(effects: &[WorkerEffect]) -> Vec<u64> {
    effects
        .iter()
        .filter_map(|effect| if let WorkerEffect::Started(id) = effect { Some(*id) } else { None })
        .collect()
}

// Job 1 runs until 1 s and job 2 until 2 s. The test checks which waiting jobs start at these two times.
#[test]
fn the_first_waiting_job_blocks_all_others_until_slots_and_memory_suffice() {
    type Jobs = &'static [(f64, f64)];
    let cases: &[(Jobs, Jobs, [&[u64]; 2])] = &[
        // Slots and memory of the running jobs and of the waiting ones, and the attempts that start at 1 s
        // and 2 s.
        (&[(2.0, 1.0), (2.0, 1.0)], &[(2.0, 1.0), (1.0, 1.0)], [&[10], &[11]]),
        // The job of four slots waits until both have ended, and a job that would fit waits behind it.
        (&[(2.0, 1.0), (2.0, 1.0)], &[(4.0, 1.0), (1.0, 1.0)], [&[], &[10]]),
        // Slots are free, but not enough memory.
        (&[(1.0, 2.0), (1.0, 2.0)], &[(1.0, 3.0), (1.0, 0.5)], [&[], &[10, 11]]),
        (&[(1.0, 3.0), (1.0, 1.0)], &[(1.0, 3.0), (1.0, 0.5)], [&[10], &[11]]),
        // A job larger than the machine runs alone.
        (&[(1.0, 2.0), (1.0, 2.0)], &[(1.0, 9.0), (1.0, 0.5)], [&[], &[10]]),
    ];
    for (number, (running, waiting, starts)) in cases.iter().enumerate() {
        let (mut worker, mut effects) = (worker(), Vec::new());
        for (at, &(slots, memory)) in running.iter().enumerate() {
            worker.offer(0, job(1 + at as u64, slots, memory, 1.0 + at as f64), &mut effects);
        }
        assert_eq!(started(&effects), [1, 2], "case {number}");
        for (at, &(slots, memory)) in waiting.iter().enumerate() {
            assert_eq!(
                worker.offer(0, job(10 + at as u64, slots, memory, 9.0), &mut effects),
                OfferResult::Accepted
            );
        }
        for (second, starts) in starts.iter().enumerate() {
            effects.clear();
            worker.advance((second as u64 + 1) * SECOND, &mut effects);
            assert_eq!(started(&effects), *starts, "case {number} at {} s", second + 1);
        }
    }
}

#[test]
fn a_cancelled_job_stops_and_waiting_jobs_start() {
    let (mut worker, mut effects) = (worker(), Vec::new());
    for (attempt, slots) in [(1, 4.0), (2, 4.0), (3, 1.0)] {
        worker.offer(0, job(attempt, slots, 1.0, 5.0), &mut effects);
    }
    effects.clear();
    assert!(worker.cancel(SECOND, 2, &mut effects), "the waiting job was not found");
    assert_eq!(started(&effects), [] as [u64; 0]);
    assert!(worker.cancel(2 * SECOND, 1, &mut effects), "the running job was not found");
    assert_eq!((started(&effects), worker.job_count()), (vec![3], 1));
    assert!(!worker.cancel(2 * SECOND, 1, &mut effects));
    assert!(
        (worker.completed_work - 8.0).abs() < 1e-6,
        "expected two of the five seconds of the cancelled job, on four slots"
    );
}

#[test]
fn load_query_reports_have_the_configured_age() {
    let (mut worker, mut effects) = (worker(), Vec::new());
    assert_eq!(worker.answer_load_query(0, 0), None);
    worker.refresh_load_report(0, SECOND, || 0.0);
    worker.offer(SECOND / 2, job(1, 3.0, 2.5, 9.0), &mut effects);
    worker.offer(SECOND / 2, job(2, 2.0, 1.0, 9.0), &mut effects);
    worker.refresh_load_report(SECOND, SECOND, || 0.0);
    for (at, min_age, expected) in [(5, 0, [1.0, 2.0, 2.0]), (5, 3, [1.0, 2.0, 2.0])] {
        let report = worker
            .clone()
            .answer_load_query(at * SECOND, min_age * SECOND)
            .expect("a load report of the required age");
        let figures = [report.free_slots, report.in_flight, report.qps].map(Option::unwrap_or_default);
        assert_eq!(figures, expected, "at {at} s, at least {min_age} s old");
        assert!(report.queue.is_none() && report.utilization.is_none());
    }
    let early =
        worker.answer_load_query(SECOND + SECOND / 4, SECOND / 2).expect("a load report of the required age");
    assert_eq!(
        (early.free_slots, early.in_flight),
        (Some(4.0), Some(0.0)),
        "not the report of the first refresh"
    );
}

#[test]
fn a_key_reused_outside_its_group_or_window_violates_a_rule() {
    // Zone and cell of the first and of the second worker, the second at which the second attempt is sent,
    // and whether that is a violation.
    let cases = [
        (KeyScope::All, (0, 0), (1, 3), 20, false),
        (KeyScope::All, (0, 0), (0, 0), 26, true),
        (KeyScope::Zone, (0, 0), (0, 2), 20, false),
        (KeyScope::Zone, (0, 0), (1, 1), 20, true),
        (KeyScope::Cell, (0, 0), (0, 0), 20, false),
        (KeyScope::Cell, (0, 0), (0, 2), 20, true),
        (KeyScope::Cell, (0, 0), (0, 0), 26, true),
    ];
    for (scope, first, second, sent_at, is_violation) in cases {
        let mut rule_checker = RuleChecker::new(None);
        let idempotency = Idempotency::IdempotentWithKey { scope, window: 25 * SECOND };
        rule_checker.attempt_accepted(0, 1, 1, idempotency, key_group(scope, first.0, first.1), 0);
        let at = sent_at * SECOND;
        rule_checker.attempt_accepted(at, 1, 2, idempotency, key_group(scope, second.0, second.1), at);
        let found = rule_checker.into_violations().counts.contains_key(&Rule::KeyedWithinScope);
        assert_eq!(found, is_violation, "{scope:?}: {first:?}, then {second:?} after {sent_at} s");
    }
}

// The `resends` policy, which retries in another zone attempts that may have run, violates the rule on
// idempotency keys and no other one. The dispatcher violates none.
#[test]
fn retrying_in_another_group_violates_a_rule_in_a_whole_run() {
    let faults = "[[faults]]\nat = 2.0\nlasts = 55.0\nshare = 0.9\nwhat = { failing = 0.9 }\n";
    let scenario = Scenario::parse(&format!("{CALC}{faults}")).expect("valid scenario");
    for (kind, is_violation) in [(PolicyKind::Copperspread, false), (PolicyKind::Resends, true)] {
        let violations = simulate(&scenario, kind, 2).expect("valid settings").violations;
        assert_eq!(
            violations.contains_key(&Rule::KeyedWithinScope),
            is_violation,
            "{kind:?}: {violations:?}"
        );
        assert_eq!(violations.len(), usize::from(is_violation), "{kind:?}: {violations:?}");
    }
    let cells = Fleet::generate(&scenario, 2).cells;
    assert!((0..14).all(|at: u32| cells[at as usize] % 2 == at % 2), "a cell spans two zones: {cells:?}");
    assert_eq!(cells.iter().max(), Some(&3));
}

#[test]
fn job_slots_and_memory_follow_the_class() {
    let mut scenario = calc_scenario();
    (scenario.duration_s, scenario.clients.rate_per_s) = (1_000.0, 30.0);
    let jobs: Vec<_> = Arrivals::new(&scenario, 5).filter(|job| job.class == 1).collect();
    let share = |slots| jobs.iter().filter(|job| job.slots == slots).count() as f64 / jobs.len() as f64;
    for (slots, expected) in [(1.0, 0.6), (2.0, 0.25), (4.0, 0.15)] {
        assert!((share(slots) - expected).abs() < 0.02, "{slots}: {}", share(slots));
    }
    let memory = jobs.iter().map(|job| job.memory / job.slots).sum::<f64>() / jobs.len() as f64;
    assert!((memory / 0.7 - 1.0).abs() < 0.03, "{memory}");
}

#[test]
fn clients_retry_with_the_configured_timing() {
    for (retry_timing, retry_after, delay) in [
        (RetryTiming::HonorRetryAfter, 5 * SECOND, 2_210_000),
        (RetryTiming::Immediately, 5 * SECOND, 0),
        (RetryTiming::FixedDelay(0.05), 5 * SECOND, 50_000),
    ] {
        assert_eq!(retry_timing.delay(retry_after, 2.0, 0.5), delay, "{retry_timing:?}");
    }
}

// Schedulers that must subscribe get the endpoint list again after a crash and after an outage of discovery.
#[test]
fn schedulers_subscribe_again_after_a_crash_and_an_outage() {
    let faults = "[[faults]]\nat = 12.0\nlasts = 6.0\nwhat = 'discovery_down'\n\
        [[faults]]\nat = 15.0\nlasts = 6.0\nwhat = 'scheduler_crash'\nshare = 0.3\n\
        [[faults]]\nat = 25.0\nlasts = 20.0\nwhat = 'crash'\nshare = 0.5\n";
    let scenario = Scenario::parse(&format!("{CALC}{faults}")).expect("valid scenario");
    for kind in [PolicyKind::Copperspread, PolicyKind::LeastCost] {
        let outcome = simulate(&scenario, kind, 3).expect("valid settings");
        assert!(
            !outcome.violations.contains_key(&Rule::NoDispatchWhileDraining),
            "{kind:?}: {:?}",
            outcome.violation_examples
        );
        let in_time_after_faults: f64 = outcome.seconds[50..].iter().map(|second| second.in_time).sum();
        assert!(in_time_after_faults > 0.0, "{kind:?} serves nothing after the faults");
    }
}

/// Checks that random, least cost and oracle keep their order, and that the dispatcher violates no rule. The
/// mean shares over the six seeds are 0.595, 0.755 and 0.818.
#[test]
fn baselines_keep_their_order_on_calc() {
    let kinds = [PolicyKind::Copperspread, PolicyKind::Random, PolicyKind::LeastCost, PolicyKind::Oracle];
    let rows = compare_policies(&calc_scenario(), &kinds, &[1, 2, 3, 4, 5, 6]).expect("valid settings");
    let [random, least_cost, oracle] = [&rows[1], &rows[2], &rows[3]].map(|row| row.in_time_share);
    assert!(
        random + 0.1 < least_cost && least_cost < oracle && oracle < 0.9,
        "random {random}, least cost {least_cost}, oracle {oracle}"
    );
    assert!((0.4..0.7).contains(&random), "random {random}: the scenario is too easy or too hard");
    assert_eq!(
        rows[0].violations,
        0,
        "{:?}",
        rows[0].runs.iter().map(|run| &run.violation_examples).collect::<Vec<_>>()
    );
    assert!(rows[2].runs.iter().all(|run| run.weight.rejected == 0.0), "the least_cost policy rejected jobs");
}

#[test]
fn invalid_values_are_named_by_their_key() {
    for (from, to, text) in [
        ("cells = 2", "cells = 0", "cells: each zone needs at least one"),
        ("again = { after = 0.05 }", "again = { after = -1.0 }", "clients.again: -1 is not 0 or more"),
        ("again = { after = 0.05 }", "again = 'never'", "unknown variant `never`"),
        ("timeout = 0.2", "timeout = 0.0", "reports.probe.timeout: 0 is not above 0"),
        ("price = 0.002", "price = nan", "reports.probe.price: NaN is not 0 or more"),
        ("refresh = 0.9", "refresh = 0.0", "reports.refresh: 0 is not above 0"),
        ("[4.0, 0.15]", "[4.0, -0.15]", "class \"save\": slots"),
        ("memory_spread = 0.5", "memory_spread = -0.5", "class \"quote\": memory_spread: -0.5"),
        ("slots = [[1.0, 0.6]", "wide = 0.1\nslots = [[1.0, 0.6]", "wide and slots say the same"),
        ("scope = \"cell\"", "scope = \"rack\"", "unknown variant `rack`"),
        ("failing = 0.6", "failing = 1.6", "the share 1.6"),
    ] {
        assert!(CALC.contains(from), "{from}");
        let error = Scenario::parse(&CALC.replacen(from, to, 1)).expect_err(to);
        assert!(error.to_string().contains(text), "{to}: {error}");
    }
    let parsed_again = Scenario::parse(&toml::to_string(&calc_scenario()).expect("the scenario serializes"))
        .expect("valid scenario");
    assert_eq!(parsed_again, calc_scenario(), "the scenario changes in a TOML round trip");
}
