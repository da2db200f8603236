//! The deployment with first-in-first-out workers, slots and memory, and load told to probes only.
use copperspread_dispatcher::{Idempotency as May, KeyScope, SECOND};
use copperspread_testbed::compare::compare_policies;
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::model::fleet::Fleet;
use copperspread_testbed::model::keys::group;
use copperspread_testbed::model::worker::{Build, Effect, Offer, Offered, Worker};
use copperspread_testbed::policy::Kind;
use copperspread_testbed::rule_checker::{Rule, RuleChecker};
use copperspread_testbed::scenario::{QueueOrder, RetryTiming, Scenario};
use copperspread_testbed::sim::play;

const CALC: &str = include_str!("../scenarios/calc.toml");

fn calc() -> Scenario {
    Scenario::parse(CALC).expect("a scenario")
}

fn worker() -> Worker {
    Worker::new(Build {
        cores: 4.0,
        slots: 4.0,
        speed: 1.0,
        queue: 3,
        order: QueueOrder::Fifo,
        memory: 4.0,
        cold_from: 0.2,
        cold_for: 10 * SECOND,
        fall_multiple: 3.0,
        fall_window: None,
    })
}

fn job(attempt: u64, slots: f64, memory: f64, work: f64) -> Offered {
    Offered { attempt, class: 0, work, slots, memory, worth: 1.0 }
}

fn started(effects: &[Effect]) -> Vec<u64> {
    effects.iter().filter_map(|of| if let Effect::Started(id) = of { Some(*id) } else { None }).collect()
}

// Two run: 1 until 1 s, 2 until 2 s. Which of those that wait starts at each of these instants.
#[test]
fn the_head_waits_until_it_fits_in_slots_and_memory_and_holds_back_all_behind_it() {
    type Jobs = &'static [(f64, f64)];
    let cases: &[(Jobs, Jobs, [&[u64]; 2])] = &[
        // Slots and memory of those that run, of those that wait, and who starts.
        (&[(2.0, 1.0), (2.0, 1.0)], &[(2.0, 1.0), (1.0, 1.0)], [&[10], &[11]]),
        // Four slots wait for both to end, and what would fit waits behind.
        (&[(2.0, 1.0), (2.0, 1.0)], &[(4.0, 1.0), (1.0, 1.0)], [&[], &[10]]),
        // Slots are free, memory is not.
        (&[(1.0, 2.0), (1.0, 2.0)], &[(1.0, 3.0), (1.0, 0.5)], [&[], &[10, 11]]),
        (&[(1.0, 3.0), (1.0, 1.0)], &[(1.0, 3.0), (1.0, 0.5)], [&[10], &[11]]),
        // More than there is runs alone.
        (&[(1.0, 2.0), (1.0, 2.0)], &[(1.0, 9.0), (1.0, 0.5)], [&[], &[10]]),
    ];
    for (number, (run, wait, starts)) in cases.iter().enumerate() {
        let (mut worker, mut effects) = (worker(), Vec::new());
        for (at, &(slots, memory)) in run.iter().enumerate() {
            worker.offer(0, job(1 + at as u64, slots, memory, 1.0 + at as f64), &mut effects);
        }
        assert_eq!(started(&effects), [1, 2], "case {number}");
        for (at, &(slots, memory)) in wait.iter().enumerate() {
            assert_eq!(worker.offer(0, job(10 + at as u64, slots, memory, 9.0), &mut effects), Offer::Taken);
        }
        for (second, starts) in starts.iter().enumerate() {
            effects.clear();
            worker.advance((second as u64 + 1) * SECOND, &mut effects);
            assert_eq!(started(&effects), *starts, "case {number} at {} s", second + 1);
        }
    }
}

#[test]
fn a_cancelled_job_stops_and_what_waited_for_it_starts() {
    let (mut worker, mut effects) = (worker(), Vec::new());
    for (attempt, slots) in [(1, 4.0), (2, 4.0), (3, 1.0)] {
        worker.offer(0, job(attempt, slots, 1.0, 5.0), &mut effects);
    }
    effects.clear();
    assert!(worker.cancel(SECOND, 2, &mut effects), "it waits");
    assert_eq!(started(&effects), [] as [u64; 0]);
    assert!(worker.cancel(2 * SECOND, 1, &mut effects), "it runs");
    assert_eq!((started(&effects), worker.holds()), (vec![3], 1));
    assert!(!worker.cancel(2 * SECOND, 1, &mut effects));
    assert!((worker.done_work - 8.0).abs() < 1e-6, "two of its five seconds on four slots");
}

#[test]
fn figures_for_probes_are_as_old_as_they_were_refreshed_and_late() {
    let (mut worker, mut effects) = (worker(), Vec::new());
    assert_eq!(worker.probed(0, 0), None);
    worker.refresh(0, SECOND, || 0.0);
    worker.offer(SECOND / 2, job(1, 3.0, 2.5, 9.0), &mut effects);
    worker.offer(SECOND / 2, job(2, 2.0, 1.0, 9.0), &mut effects);
    worker.refresh(SECOND, SECOND, || 0.0);
    for (at, late, free) in [(5, 0, [1.0, 2.0, 2.0]), (5, 3, [1.0, 2.0, 2.0])] {
        let of = worker.clone().probed(at * SECOND, late * SECOND).expect("a report");
        let figures = [of.free_slots, of.in_flight, of.qps].map(Option::unwrap_or_default);
        assert_eq!(figures, free, "at {at} s, {late} s late");
        assert!(of.queue.is_none() && of.utilization.is_none());
    }
    let early = worker.probed(SECOND + SECOND / 4, SECOND / 2).expect("a report");
    assert_eq!((early.free_slots, early.in_flight), (Some(4.0), Some(0.0)), "as it was at first");
}

#[test]
fn a_key_that_is_repeated_outside_its_group_or_window_is_caught() {
    // Zone and cell of the first worker and of the second one, when that is sent, and whether a rule breaks.
    let cases = [
        (KeyScope::All, (0, 0), (1, 3), 20, false),
        (KeyScope::All, (0, 0), (0, 0), 26, true),
        (KeyScope::Zone, (0, 0), (0, 2), 20, false),
        (KeyScope::Zone, (0, 0), (1, 1), 20, true),
        (KeyScope::Cell, (0, 0), (0, 0), 20, false),
        (KeyScope::Cell, (0, 0), (0, 2), 20, true),
        (KeyScope::Cell, (0, 0), (0, 0), 26, true),
    ];
    for (scope, first, second, sent, caught) in cases {
        let mut referee = RuleChecker::new(None);
        let effect = May::IdempotentWithKey { scope, window: 25 * SECOND };
        referee.attempt_accepted(0, 1, 1, effect, group(scope, first.0, first.1), 0);
        let at = sent * SECOND;
        referee.attempt_accepted(at, 1, 2, effect, group(scope, second.0, second.1), at);
        let found = referee.into_violations().counts.contains_key(&Rule::KeyedWithinScope);
        assert_eq!(found, caught, "{scope:?}: {first:?}, then {second:?} after {sent} s");
    }
}

// A scheduler that sends on what may have run is caught by its keys, and by nothing else, here too.
#[test]
fn resending_past_the_group_breaks_the_rule_in_a_whole_run() {
    let faults = "[[faults]]\nat = 2.0\nlasts = 55.0\nshare = 0.9\nwhat = { failing = 0.9 }\n";
    let scenario = Scenario::parse(&format!("{CALC}{faults}")).expect("a scenario");
    for (kind, caught) in [(Kind::Copperspread, false), (Kind::Resends, true)] {
        let breaches = play(&scenario, kind, 2).expect("it plays").violations;
        assert_eq!(breaches.contains_key(&Rule::KeyedWithinScope), caught, "{kind:?}: {breaches:?}");
        assert_eq!(breaches.len(), usize::from(caught), "{kind:?}: {breaches:?}");
    }
    let cells = Fleet::draw(&scenario, 2).cells;
    assert!((0..14).all(|at: u32| cells[at as usize] % 2 == at % 2), "no cell lies in two zones: {cells:?}");
    assert_eq!(cells.iter().max(), Some(&3));
}

#[test]
fn jobs_take_the_slots_and_the_memory_that_their_class_says() {
    let mut scenario = calc();
    (scenario.duration_s, scenario.clients.rate_per_s) = (1_000.0, 30.0);
    let jobs: Vec<_> = Arrivals::new(&scenario, 5).filter(|job| job.class == 1).collect();
    let share = |slots| jobs.iter().filter(|job| job.slots == slots).count() as f64 / jobs.len() as f64;
    for (slots, wanted) in [(1.0, 0.6), (2.0, 0.25), (4.0, 0.15)] {
        assert!((share(slots) - wanted).abs() < 0.02, "{slots}: {}", share(slots));
    }
    let memory = jobs.iter().map(|job| job.memory / job.slots).sum::<f64>() / jobs.len() as f64;
    assert!((memory / 0.7 - 1.0).abs() < 0.03, "{memory}");
}

#[test]
fn clients_try_again_as_the_scenario_says() {
    for (again, told, wait) in [
        (RetryTiming::HonorRetryAfter, 5 * SECOND, 2_210_000),
        (RetryTiming::Immediately, 5 * SECOND, 0),
        (RetryTiming::FixedDelay(0.05), 5 * SECOND, 50_000),
    ] {
        assert_eq!(again.delay(told, 2.0, 0.5), wait, "{again:?}");
    }
}

// Whoever must ask for the list gets it, again after a crash and after discovery was away.
#[test]
fn a_list_that_must_be_asked_for_is_asked_for_again() {
    let faults = "[[faults]]\nat = 12.0\nlasts = 6.0\nwhat = 'discovery_down'\n\
        [[faults]]\nat = 15.0\nlasts = 6.0\nwhat = 'scheduler_crash'\nshare = 0.3\n\
        [[faults]]\nat = 25.0\nlasts = 20.0\nwhat = 'crash'\nshare = 0.5\n";
    let scenario = Scenario::parse(&format!("{CALC}{faults}")).expect("a scenario");
    for kind in [Kind::Copperspread, Kind::LeastCost] {
        let outcome = play(&scenario, kind, 3).expect("it plays");
        assert!(
            !outcome.violations.contains_key(&Rule::NoDispatchWhileDraining),
            "{kind:?}: {:?}",
            outcome.violation_examples
        );
        let late: f64 = outcome.seconds[50..].iter().map(|second| second.in_time).sum();
        assert!(late > 0.0, "{kind:?} serves no more");
    }
}

/// The textbook's order, in the mean of six seeds: by speed and work before by chance, and what sees the
/// truth before all: 0.595, 0.755 and 0.818. And the module broke no rule.
#[test]
fn baselines_keep_their_order_on_calc() {
    let kinds = [Kind::Copperspread, Kind::Random, Kind::LeastCost, Kind::Oracle];
    let rows = compare_policies(&calc(), &kinds, &[1, 2, 3, 4, 5, 6]).expect("it plays");
    let [random, least, oracle] = [&rows[1], &rows[2], &rows[3]].map(|row| row.in_time_share);
    assert!(random + 0.1 < least && least < oracle && oracle < 0.9, "{random}, {least}, {oracle}");
    assert!((0.4..0.7).contains(&random), "{random}: a day that is too easy, or lost");
    assert_eq!(
        rows[0].violations,
        0,
        "{:?}",
        rows[0].runs.iter().map(|run| &run.violation_examples).collect::<Vec<_>>()
    );
    assert!(rows[2].runs.iter().all(|run| run.weight.rejected == 0.0), "it refuses none");
}

#[test]
fn bad_figures_are_told_by_their_key() {
    for (from, to, said) in [
        ("cells = 2", "cells = 0", "cells: at least one"),
        ("again = { after = 0.05 }", "again = { after = -1.0 }", "clients.again: -1 is not 0 or more"),
        ("again = { after = 0.05 }", "again = 'never'", "unknown variant `never`"),
        ("timeout = 0.2", "timeout = 0.0", "reports.probe.timeout: 0 is not over 0"),
        ("price = 0.002", "price = nan", "reports.probe.price: NaN is not 0 or more"),
        ("refresh = 0.9", "refresh = 0.0", "reports.refresh: 0 is not over 0"),
        ("[4.0, 0.15]", "[4.0, -0.15]", "class \"save\": slots"),
        ("memory_spread = 0.5", "memory_spread = -0.5", "class \"quote\": memory_spread: -0.5"),
        ("slots = [[1.0, 0.6]", "wide = 0.1\nslots = [[1.0, 0.6]", "wide and slots say the same"),
        ("scope = \"cell\"", "scope = \"rack\"", "unknown variant `rack`"),
        ("failing = 0.6", "failing = 1.6", "a share of 1.6"),
    ] {
        assert!(CALC.contains(from), "{from}");
        let error = Scenario::parse(&CALC.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(error.contains(said), "{to}: {error}");
    }
    let again = Scenario::parse(&toml::to_string(&calc()).expect("TOML")).expect("a scenario");
    assert_eq!(again, calc(), "written and read again");
}
