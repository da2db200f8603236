//! The laboratory itself: against closed forms, against itself, and against schedulers that are broken
//! on purpose.
use copperspread_dispatcher::{RequestId, SECOND};
use copperspread_testbed::compare::{Difference, compare, table};
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::model::worker::{
    OfferResult, OfferedJob, ProcessState, Worker, WorkerEffect, WorkerSpec,
};
use copperspread_testbed::outcome::Outcome;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::referee::{Heard, Referee, Rule};
use copperspread_testbed::report::html;
use copperspread_testbed::scenario::{Order, Pair, Recorded, Scenario};
use copperspread_testbed::simulation::simulate;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One queue: Poisson arrivals, one worker, no latency, clients that wait for good.
fn queue(rate: f64, cores: u32, slots: u32, spread: &str) -> Outcome {
    let text = format!(
        "name = 'queue'\nabout = 'one queue'\nseconds = 100000.0\nschedulers = 1\n\
         [clients]\nrate = {rate:?}\n[network]\nnear = 0.0\nfar = 0.0\n[cold]\nfall_seconds = 0.0\n\
         [[workers]]\nkind = 'w'\ncount = 1\ncores = {cores}.0\nslots = {slots}.0\nspeed = [1.0, 1.0]\nqueue = 1000000\n\
         [[classes]]\nname = 'c'\nshare = 1.0\nwork = 1.0\nspread = {spread}\naim = 50000.0\ndeadline = 50000.0\n\
         worth = 1.0\nrepeat = 'never'\n"
    );
    simulate(&Scenario::read(&text).expect("a scenario"), PolicyKind::RoundRobin, 3).expect("it plays")
}

/// The mean wait in M/M/c, in service times, by Erlang's formula.
fn erlang_wait(offered: f64, servers: u32) -> f64 {
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..servers {
        term *= offered / f64::from(k);
        sum += term;
    }
    let last = term * offered / f64::from(servers);
    let free = f64::from(servers) / (f64::from(servers) - offered);
    last * free / (sum + last * free) / (f64::from(servers) - offered)
}

#[test]
fn queues_wait_as_the_closed_forms_say() {
    let exponential = "'exponential'";
    // Load, cores, slots, spread, and the mean time that theory gives.
    let cases = [
        (0.5, 1, 1, exponential, 1.0 / (1.0 - 0.5)),
        (0.7, 1, 1, exponential, 1.0 / (1.0 - 0.7)),
        // Pollaczek and Khinchin, for work that is always the same.
        (0.7, 1, 1, "'constant'", 1.0 + 0.7 / (2.0 * (1.0 - 0.7))),
        (2.8, 4, 4, exponential, 1.0 + erlang_wait(2.8, 4)),
        // Processor sharing: the mean does not depend on how the work is spread.
        (0.6, 1, 100_000, exponential, 1.0 / (1.0 - 0.6)),
        (0.6, 1, 100_000, "'constant'", 1.0 / (1.0 - 0.6)),
        (0.6, 1, 100_000, "{ lognormal = 0.8 }", 1.0 / (1.0 - 0.6)),
    ];
    for (load, cores, slots, spread, theory) in cases {
        let outcome = queue(load, cores, slots, spread);
        let mean = outcome.classes[0].mean_ms / 1e3;
        let off = (mean / theory - 1.0).abs();
        assert!(
            off < 0.05,
            "load {load} on {cores} cores, {slots} slots, {spread}: {mean:.3}, not {theory:.3}"
        );
        // Little's law: what is held on average is the rate times the mean time.
        let rate = outcome.jobs as f64 / 100_000.0;
        assert!((outcome.held / (rate * mean) - 1.0).abs() < 0.02, "held {}, {rate} x {mean}", outcome.held);
        // Work is kept: what came was done.
        assert!((outcome.work_done / outcome.worth.asked - 1.0).abs() < 1e-3);
    }
}

/// A small fleet with as much going wrong as fits: resets, a crash, drains, a lost zone.
fn harsh(rate: f64, faults: &str) -> Scenario {
    let class = |name: &str, repeat: &str| {
        format!(
            "[[classes]]\nname = '{name}'\nshare = 1.0\nwork = 0.3\naim = 0.5\nstretch = 2.0\ndeadline = 5.0\n\
             worth = 1.0\nrepeat = '{repeat}'\nwindow = 12.0\n"
        )
    };
    let text = format!(
        "name = 'harsh'\nabout = 'all at once'\nseconds = 60.0\nzones = 3\nschedulers = 3\n\
         [clients]\nrate = {rate:?}\nretries = 1\nhint_error = 0.3\n[network]\nloss = 0.01\n\
         [[workers]]\nkind = 'w'\ncount = 9\ncores = 4.0\nslots = 5.0\nspeed = [0.8, 1.2]\nqueue = 20\n{}{}{}{faults}",
        class("safe", "safe"),
        class("keyed", "keyed"),
        class("once", "never"),
    );
    Scenario::read(&text).expect("a scenario")
}

const ALL: &str = "[[faults]]\nat = 5.0\nlasts = 40.0\nshare = 0.4\nwhat = { resetting = 0.2 }\n\
     [[faults]]\nat = 8.0\nlasts = 4.0\nshare = 0.2\nwhat = 'crash'\n\
     [[faults]]\nat = 12.0\nlasts = 6.0\nshare = 0.9\nspread_over = 30.0\nwhat = 'drain'\n\
     [[faults]]\nat = 40.0\nlasts = 5.0\nshare = 1.0\nzone = 1\nwhat = 'vanish'\n\
     [[faults]]\nat = 20.0\nlasts = 10.0\nwhat = { burst = 1.6 }\n\
     [[faults]]\nat = 30.0\nlasts = 5.0\nwhat = 'discovery_down'\n\
     [[faults]]\nat = 25.0\nlasts = 9.0\nshare = 0.2\nwhat = { silent = 2 }\n";

#[test]
fn a_scheduler_that_is_broken_on_purpose_is_caught_by_its_rule() {
    let scenario = harsh(40.0, ALL);
    let planted: &[(PolicyKind, &[Rule])] = &[
        (PolicyKind::Copperspread, &[]),
        (PolicyKind::AnswersTwice, &[Rule::OneAnswer]),
        (PolicyKind::NeverAnswers, &[Rule::AnswerInTime]),
        (PolicyKind::Resends, &[Rule::UnsafeTwice, Rule::KeyedTwice]),
        (PolicyKind::IgnoresDrains, &[Rule::Drained]),
        (PolicyKind::FloodsTheNew, &[Rule::ColdBudget]),
    ];
    for (kind, rules) in planted {
        let outcome = simulate(&scenario, *kind, 1).expect("it plays");
        for rule in *rules {
            assert!(outcome.breaches.contains_key(rule), "{kind:?}: {rule:?} not in {:?}", outcome.breaches);
        }
        // Nobody else's rule, so that a verdict points at its cause; but what goes on to workers that leave
        // finds them starting anew.
        let follows = |rule: &Rule| *kind == PolicyKind::IgnoresDrains && *rule == Rule::ColdBudget;
        let others = outcome.breaches.keys().filter(|rule| !rules.contains(rule) && !follows(rule)).count();
        assert_eq!(others, 0, "{kind:?}: {:?} {:?}", outcome.breaches, outcome.examples);
    }
}

#[test]
fn one_seed_gives_the_same_bytes_and_another_one_others() {
    let scenario = harsh(40.0, ALL);
    let bytes = |kind, seed| {
        serde_json::to_string(&simulate(&scenario, kind, seed).expect("it plays")).expect("JSON")
    };
    for kind in [PolicyKind::Copperspread, PolicyKind::Random, PolicyKind::Oracle] {
        assert_eq!(bytes(kind, 7), bytes(kind, 7), "{kind:?}");
        assert_ne!(bytes(kind, 7), bytes(kind, 8), "{kind:?}");
    }
}

// What policies are compared on must not depend on them.
#[test]
fn all_policies_meet_the_same_arrivals() {
    let scenario = harsh(40.0, ALL);
    let arrivals: Vec<_> = Arrivals::new(&scenario, 9).collect();
    for kind in PolicyKind::COMPARED {
        let outcome = simulate(&scenario, kind, 9).expect("it plays");
        let asked: f64 = arrivals.iter().map(|job| job.work * job.slots).sum();
        assert_eq!(outcome.jobs, arrivals.len() as u64, "{kind:?}");
        assert!((outcome.worth.asked / asked - 1.0).abs() < 1e-9, "{kind:?}");
    }
}

#[test]
fn what_hits_a_fleet_costs_and_what_sees_the_truth_loses_least() {
    let calm = harsh(40.0, "");
    let seeds = [1, 2, 3, 4];
    let hit = compare(&harsh(40.0, ALL), &PolicyKind::COMPARED, &seeds).expect("it plays");
    let calm = compare(&calm, &PolicyKind::COMPARED, &seeds).expect("it plays");
    for (hit, calm) in hit.iter().zip(&calm) {
        assert!(hit.share < calm.share - 0.01, "{}: {} and {}", hit.policy, hit.share, calm.share);
    }
    let share = |name: &str| hit.iter().find(|row| row.policy == name).expect("a row").share;
    assert!(share("copperspread") > share("random") + 0.05);
    assert!(hit[0].behind.is_none() && hit[1].behind.is_some_and(|of| of.shown() && of.mean > 0.05));
    assert!(table(&harsh(40.0, ALL), &hit).contains("least_outstanding"));
}

#[test]
fn a_difference_is_shown_only_where_its_interval_leaves_zero_out() {
    let cases: &[(&[f64], bool)] = &[
        (&[0.1, 0.1, 0.1], true),
        (&[-0.2, -0.1, -0.15, -0.12], true),
        (&[0.1, -0.1, 0.05, -0.06], false),
        (&[0.0; 5], false),
        // Too few pairs to say anything, however alike.
        (&[0.1, 0.1], false),
    ];
    for (pairs, shown) in cases {
        let of = Difference::of(pairs).expect("pairs");
        assert_eq!(of.shown(), *shown, "{pairs:?}: {of:?}");
        assert!(of.interval[0] <= of.mean && of.mean <= of.interval[1]);
    }
    assert_eq!(Difference::of(&[]), None);
}

#[test]
fn the_scenarios_that_come_along_are_good_and_bad_ones_are_told() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut names = Vec::new();
    for file in std::fs::read_dir(folder).expect("a folder").flatten() {
        let text = std::fs::read_to_string(file.path()).expect("a file");
        let scenario = Scenario::read(&text).expect("a scenario");
        assert_eq!(format!("{}.toml", scenario.name), file.file_name().to_string_lossy());
        assert!(scenario.clients.rate < scenario.capacity(), "{}: more than the fleet can do", scenario.name);
        names.push(scenario.name);
    }
    assert_eq!(names.len(), 16);
    let good = std::fs::read_to_string(format!("{folder}/zone-lost.toml")).expect("a file");
    for (from, to, said) in [
        ("seconds = 90.0", "seconds = 0.0", "seconds: 0 is not over 0"),
        ("zones = 3", "zoness = 3", "unknown field `zoness`"),
        ("cores = 4.0", "cores = -4.0", "workers of kind \"snel\": cores"),
        ("speed = [1.1, 1.5]", "speed = [1.5, 1.1]", "is no range"),
        ("zone = 1", "zone = 7", "faults[0]: no such class or zone"),
        ("lasts = 30.0", "lasts = nan", "faults[0].lasts: NaN is not 0 or more"),
        ("share = 1.0", "share = 1.5", "faults[0]: a share of 1.5 is not between 0 and 1"),
        ("\"vanish\"", "{ slow = 0.0 }", "faults[0].what: 0 is not over 0"),
        ("\"vanish\"", "\"explode\"", "unknown variant `explode`"),
        ("deadline = 5.0", "deadline = nan", "class \"status\": deadline"),
    ] {
        assert!(good.contains(from), "{from}");
        let error = Scenario::read(&good.replacen(from, to, 1)).expect_err(to);
        assert!(error.contains(said), "{to}: {error}");
    }
}

fn build() -> WorkerSpec {
    WorkerSpec {
        cores: 2.0,
        slots: 2.0,
        speed: 1.0,
        max_waiting: 2,
        order: Order::Fifo,
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
fn a_worker_fills_its_slots_then_its_queue_and_hands_back_what_has_not_started() {
    let mut worker = Worker::new(build());
    let mut effects = Vec::new();
    let offers: Vec<_> = (0..5).map(|at| worker.offer(0, job(at, 1.0), &mut effects)).collect();
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
fn a_cold_worker_is_slow_at_first_and_falls_over_under_a_flood() {
    let mut worker = Worker::new(build());
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
    // At a quarter of two cores, twice that for 2 s is 2 core-seconds.
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
    // The same work spread out does it no harm.
    for step in 0..12 {
        worker.offer(SECOND + step * SECOND, job(10 + step, 0.4), &mut effects);
        worker.advance(SECOND + step * SECOND + SECOND / 2, &mut effects);
    }
    assert_eq!(worker.process, ProcessState::Up);
}

#[test]
fn a_worker_that_is_stuck_silent_refusing_or_out_of_reach_shows_it() {
    let mut effects = Vec::new();
    let mut stuck = Worker::new(build());
    stuck.offer(0, job(1, 1.0), &mut effects);
    stuck.apply_change(0, |of| of.is_stuck = true);
    assert_eq!(stuck.next_wake(0), None);
    stuck.apply_change(5 * SECOND, |of| of.is_stuck = false);
    assert_eq!(stuck.next_wake(5 * SECOND), Some(6 * SECOND), "it goes on where it stood");
    let mut silent = Worker::new(build());
    silent.apply_change(0, |of| of.silent_class = Some(0));
    silent.offer(0, job(1, 1.0), &mut effects);
    effects.clear();
    silent.advance(SECOND, &mut effects);
    assert_eq!(effects, [WorkerEffect::Finished { attempt: 1, is_reported: false }]);
    let mut refusing = Worker::new(build());
    refusing.apply_change(0, |of| of.is_refusing = true);
    assert_eq!(refusing.offer(0, job(1, 1.0), &mut effects), OfferResult::ConnectionRefused);
    let mut away = Worker::new(build());
    away.offer(0, job(1, 1.0), &mut effects);
    effects.clear();
    away.stop(0, ProcessState::Unreachable, &mut effects);
    assert_eq!((effects.len(), away.offer(0, job(2, 1.0), &mut effects)), (0, OfferResult::Unreachable));
}

// Two slots that are taken, and three that wait; what starts when one ends.
#[test]
fn the_order_and_the_memory_say_what_starts_next() {
    type Waiting = [(f64, f64, f64); 3];
    let cases: &[(Order, Waiting, u64)] = &[
        // Slots, memory and worth of those that wait, and which of them starts first.
        (Order::Fifo, [(1.0, 0.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 10),
        (Order::Priority, [(1.0, 0.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 11),
        (Order::Priority, [(1.0, 0.0, 9.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 10),
        (Order::Backfill, [(2.0, 0.0, 9.0), (1.0, 0.0, 1.0), (1.0, 0.0, 5.0)], 11),
        // The first does not fit by its memory.
        (Order::Backfill, [(1.0, 80.0, 9.0), (1.0, 30.0, 1.0), (1.0, 0.0, 5.0)], 11),
        // Nothing goes past one that waits for its turn.
        (Order::Fifo, [(1.0, 80.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 0),
        (Order::Priority, [(1.0, 0.0, 1.0), (2.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 0),
    ];
    for (order, waiting, starts) in cases {
        let mut worker = Worker::new(WorkerSpec { max_waiting: 3, order: *order, ..build() });
        let mut effects = Vec::new();
        worker.offer(0, OfferedJob { memory: 40.0, ..job(1, 1.0) }, &mut effects);
        worker.offer(0, OfferedJob { memory: 40.0, ..job(2, 9.0) }, &mut effects);
        for (number, &(slots, memory, worth)) in waiting.iter().enumerate() {
            let of = OfferedJob { slots, memory, weight: worth, ..job(10 + number as u64, 1.0) };
            assert_eq!(worker.offer(0, of, &mut effects), OfferResult::Accepted);
        }
        effects.clear();
        worker.advance(SECOND, &mut effects);
        let started =
            effects.iter().find_map(|of| if let WorkerEffect::Started(id) = of { Some(*id) } else { None });
        assert_eq!(started.unwrap_or_default(), *starts, "{order:?} {waiting:?}: {effects:?}");
    }
}

#[test]
fn ways_connections_progress_and_traces_are_played() {
    let base = harsh(20.0, "");
    let mean = |scenario: &Scenario| {
        let outcome = simulate(scenario, PolicyKind::RoundRobin, 3).expect("it plays");
        assert!(outcome.breaches.is_empty(), "{:?}", outcome.examples);
        outcome.classes.iter().map(|class| class.mean_ms).sum::<f64>() / outcome.classes.len() as f64
    };
    let usual = mean(&base);
    let mut far = base.clone();
    far.network.pairs = vec![Pair { zones: [0, 1], way: 0.2, loss: 0.0 }];
    // Two of nine pairs of zones, there and back.
    let slower = mean(&far) - usual;
    assert!((60.0..130.0).contains(&slower), "{slower} ms");
    let mut costly = base.clone();
    costly.network.connect = 0.1;
    let slower = mean(&costly) - usual;
    // Jobs of one scheduler come to one worker 0.74 times a second, so that a connection has been idle
    // for over 5 s in one of 40 of them, and then costs 100 ms.
    assert!((1.5..4.0).contains(&slower), "{slower} ms");
    let mut telling = base.clone();
    telling.reports.progress = 0.1;
    let outcome = simulate(&telling, PolicyKind::Copperspread, 3).expect("it plays");
    let silent = simulate(&base, PolicyKind::Copperspread, 3).expect("it plays");
    assert!(outcome.events > silent.events + 1_000 && outcome.breaches.is_empty());
    let mut traced = base.clone();
    let job = |at: f64, class, work| Recorded { at, class, work, slots: 1.0, hint: None };
    traced.clients.trace = vec![job(0.5, 0, 0.2), job(0.6, 2, 0.4), job(900.0, 0, 1.0)];
    let arrivals: Vec<_> = Arrivals::new(&traced, 3).map(|of| (of.at, of.class, of.work)).collect();
    assert_eq!(arrivals, [(500_000, 0, 0.2), (600_000, 2, 0.4)], "what comes after the end does not");
    assert_eq!(simulate(&traced, PolicyKind::Copperspread, 3).expect("it plays").jobs, 2);
    traced.clients.trace.reverse();
    assert_eq!(traced.check().expect_err("an order"), "clients.trace: not in the order of its instants");
}

// One of nine workers crashes while the list contradicts itself, and stays away. Whoever were left with
// the old list would send every ninth job there to the end.
#[test]
fn a_list_that_has_contradicted_itself_ends_with_the_truth() {
    let faults = "[[faults]]\nat = 10.0\nlasts = 8.0\nwhat = 'discovery_contradicts'\n\
        [[faults]]\nat = 11.0\nlasts = 200.0\nshare = 0.1\nwhat = 'crash'\n";
    let outcome = simulate(&harsh(20.0, faults), PolicyKind::RoundRobin, 3).expect("it plays");
    assert!(outcome.attempts > 1.0 && outcome.attempts < 1.04, "{} attempts a job", outcome.attempts);
}

#[test]
fn clients_of_a_ramp_come_ever_more_often() {
    let ramp = "[[faults]]\nat = 0.0\nlasts = 60.0\nwhat = { ramp = 3.0 }\n";
    let mut thirds = [0.0_f64; 3];
    for of in Arrivals::new(&harsh(50.0, ramp), 3) {
        thirds[(of.at / (20 * SECOND)) as usize] += 1.0;
    }
    // From once to three times as often: 4/3, 2 and 8/3 in the mean of each third, of 1,000 jobs.
    for (came, wanted) in thirds.iter().zip([4.0 / 3.0, 2.0, 8.0 / 3.0]) {
        assert!((came / 1_000.0 / wanted - 1.0).abs() < 0.1, "{thirds:?}");
    }
}

#[test]
fn a_report_stands_alone_and_shows_what_the_table_says() {
    let scenario = harsh(40.0, ALL);
    let rows = compare(&scenario, &PolicyKind::COMPARED, &[1, 2, 3]).expect("it plays");
    let share = format!("<td>{:.3}", rows[0].share);
    let page = html(&[(scenario, rows)]).expect("a page");
    assert!(page.contains(&share) && page.contains("least_outstanding") && page.contains("Resetting(0.2)"));
    // Differences, shares over time, where the worth went, and load against capacity.
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("clients of<th>safe<th>keyed<th>once") && page.contains("zone 2"));
    assert_eq!(page.matches("could have done").count(), 2, "the legend and the caption");
    // Nothing is fetched: the only address is the name of SVG's own space.
    let addresses = page.matches("http").count();
    assert_eq!(addresses, page.matches("http://www.w3.org/2000/svg").count());
    assert!(!page.contains("<script") && !page.contains("NaN"));
    // A name from a file does not become a part of the page.
    let mut named = harsh(5.0, "");
    named.name = "<b>x".into();
    let rows = compare(&named, &[PolicyKind::Random], &[1]).expect("it plays");
    assert!(!html(&[(named, rows)]).expect("a page").contains("<b>x"));
}

// What no policy can break in virtual time, since only a front could: told to the referee by hand.
#[test]
fn a_result_that_no_worker_made_is_caught() {
    for (made, heard, breaches) in [
        (true, Heard::Served, 0),
        (false, Heard::Served, 1),
        (false, Heard::Said, 0),
        (false, Heard::Broken, 0),
    ] {
        let mut referee = Referee::new(None);
        referee.asked(RequestId(1), SECOND);
        if made {
            referee.made(RequestId(1));
        }
        referee.answered(5, RequestId(1), heard);
        let counts = referee.verdict().0;
        assert_eq!(counts.get(&Rule::Forged).copied().unwrap_or_default(), breaches, "{made} {heard:?}");
    }
}

#[test]
fn a_scheduler_that_dies_fails_what_it_took_and_another_serves_on() {
    let crash = "[[faults]]\nat = 20.0\nlasts = 10.0\nshare = 0.1\nwhat = 'scheduler_crash'\n";
    let outcome = simulate(&harsh(30.0, crash), PolicyKind::Copperspread, 3).expect("it plays");
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.examples);
    let failed: Vec<f64> = outcome.seconds.iter().map(|second| second.failed).collect();
    assert!(failed[19..21].iter().sum::<f64>() > 0.0, "what it had taken: {failed:?}");
    assert!(failed[22..].iter().sum::<f64>() == 0.0, "what came later: {failed:?}");
    let all = "[[faults]]\nat = 20.0\nlasts = 10.0\nshare = 1.0\nwhat = 'scheduler_crash'\n";
    let outcome = simulate(&harsh(30.0, all), PolicyKind::Copperspread, 3).expect("it plays");
    assert!(outcome.seconds[21..29].iter().all(|second| second.in_time == 0.0), "nobody serves");
    let after = &outcome.seconds[35..];
    assert!(after.iter().map(|second| second.in_time).sum::<f64>() > 0.0, "it serves again");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Whatever goes wrong and whoever decides: each job ends in one way, and the module breaks no rule.
    #[test]
    fn worth_is_kept_and_the_module_breaks_no_rule(
        seed in 0_u64..1_000,
        rate in 5.0..70.0_f64,
        at in 1.0..30.0_f64,
        share in 0.1..1.0_f64,
        which in 0_usize..14,
        policy in 0_usize..7,
    ) {
        let what = ["'crash'", "'vanish'", "'drain'", "'stuck'", "'refusing'", "{ slow = 6.0 }", "{ silent = 1 }",
            "{ resetting = 0.5 }", "{ garbled = 0.5 }", "{ late_news = 1.5 }", "'doubled_news'", "'scheduler_crash'",
            "'discovery_contradicts'", "{ failing = 0.5 }"][which];
        let fault = format!("[[faults]]\nat = {at:?}\nlasts = 6.0\nshare = {share:?}\nwhat = {what}\n");
        let scenario = harsh(rate, &fault);
        let outcome = simulate(&scenario, PolicyKind::COMPARED[policy], seed).expect("it plays");
        let worth = outcome.worth;
        let parts = worth.in_time + worth.late + worth.refused + worth.failed + worth.lost;
        prop_assert!((parts - worth.asked).abs() < 1e-6 * worth.asked.max(1.0));
        prop_assert_eq!(outcome.jobs, Arrivals::new(&scenario, seed).count() as u64);
        let module = simulate(&scenario, PolicyKind::Copperspread, seed).expect("it plays");
        prop_assert!(module.breaches.is_empty(), "{:?} {:?}", module.breaches, module.examples);
    }
}
