//! The laboratory itself: against closed forms, against itself, and against schedulers that are broken
//! on purpose.
use copperspread_dispatcher::{RequestId, SECOND};
use copperspread_testbed::compare::{PairedDifference, ScenarioResults, compare_policies, comparison_table};
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::model::worker::{Build, Effect, Life, Offer, Offered, Worker};
use copperspread_testbed::outcome::RunOutcome;
use copperspread_testbed::policy::Kind;
use copperspread_testbed::report::render_html;
use copperspread_testbed::rule_checker::{ClientResponse, Rule, RuleChecker};
use copperspread_testbed::scenario::{QueueOrder, RecordedJob, Scenario, ZoneLink};
use copperspread_testbed::sim::play;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One queue: Poisson arrivals, one worker, no latency, clients that wait for good.
fn queue(rate: f64, cores: u32, slots: u32, spread: &str) -> RunOutcome {
    let text = format!(
        "name = 'queue'\nabout = 'one queue'\nseconds = 100000.0\nschedulers = 1\n\
         [clients]\nrate = {rate:?}\n[network]\nnear = 0.0\nfar = 0.0\n[cold]\nfall_seconds = 0.0\n\
         [[workers]]\nkind = 'w'\ncount = 1\ncores = {cores}.0\nslots = {slots}.0\nspeed = [1.0, 1.0]\nqueue = 1000000\n\
         [[classes]]\nname = 'c'\nshare = 1.0\nwork = 1.0\nspread = {spread}\naim = 50000.0\ndeadline = 50000.0\n\
         worth = 1.0\nrepeat = 'never'\n"
    );
    play(&Scenario::parse(&text).expect("a scenario"), Kind::RoundRobin, 3).expect("it plays")
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
        let mean = outcome.classes[0].mean_latency_ms / 1e3;
        let off = (mean / theory - 1.0).abs();
        assert!(
            off < 0.05,
            "load {load} on {cores} cores, {slots} slots, {spread}: {mean:.3}, not {theory:.3}"
        );
        // Little's law: what is held on average is the rate times the mean time.
        let rate = outcome.jobs as f64 / 100_000.0;
        assert!(
            (outcome.mean_jobs_in_workers / (rate * mean) - 1.0).abs() < 0.02,
            "held {}, {rate} x {mean}",
            outcome.mean_jobs_in_workers
        );
        // Work is kept: what came was done.
        assert!((outcome.done_core_s / outcome.weight.requested - 1.0).abs() < 1e-3);
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
    Scenario::parse(&text).expect("a scenario")
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
    let planted: &[(Kind, &[Rule])] = &[
        (Kind::Copperspread, &[]),
        (Kind::AnswersTwice, &[Rule::SingleResponse]),
        (Kind::NeverAnswers, &[Rule::ResponseBeforeDeadline]),
        (Kind::Resends, &[Rule::NonIdempotentOnce, Rule::KeyedWithinScope]),
        (Kind::IgnoresDrains, &[Rule::NoDispatchWhileDraining]),
        (Kind::FloodsTheNew, &[Rule::SlowStartBudgetKept]),
    ];
    for (kind, rules) in planted {
        let outcome = play(&scenario, *kind, 1).expect("it plays");
        for rule in *rules {
            assert!(
                outcome.violations.contains_key(rule),
                "{kind:?}: {rule:?} not in {:?}",
                outcome.violations
            );
        }
        // Nobody else's rule, so that a verdict points at its cause; but what goes on to workers that leave
        // finds them starting anew.
        let follows = |rule: &Rule| *kind == Kind::IgnoresDrains && *rule == Rule::SlowStartBudgetKept;
        let others = outcome.violations.keys().filter(|rule| !rules.contains(rule) && !follows(rule)).count();
        assert_eq!(others, 0, "{kind:?}: {:?} {:?}", outcome.violations, outcome.violation_examples);
    }
}

#[test]
fn one_seed_gives_the_same_bytes_and_another_one_others() {
    let scenario = harsh(40.0, ALL);
    let bytes =
        |kind, seed| serde_json::to_string(&play(&scenario, kind, seed).expect("it plays")).expect("JSON");
    for kind in [Kind::Copperspread, Kind::Random, Kind::Oracle] {
        assert_eq!(bytes(kind, 7), bytes(kind, 7), "{kind:?}");
        assert_ne!(bytes(kind, 7), bytes(kind, 8), "{kind:?}");
    }
}

// What policies are compared on must not depend on them.
#[test]
fn all_policies_meet_the_same_arrivals() {
    let scenario = harsh(40.0, ALL);
    let arrivals: Vec<_> = Arrivals::new(&scenario, 9).collect();
    for kind in Kind::COMPARED {
        let outcome = play(&scenario, kind, 9).expect("it plays");
        let asked: f64 = arrivals.iter().map(|job| job.work * job.slots).sum();
        assert_eq!(outcome.jobs, arrivals.len() as u64, "{kind:?}");
        assert!((outcome.weight.requested / asked - 1.0).abs() < 1e-9, "{kind:?}");
    }
}

#[test]
fn what_hits_a_fleet_costs_and_what_sees_the_truth_loses_least() {
    let calm = harsh(40.0, "");
    let seeds = [1, 2, 3, 4];
    let hit = compare_policies(&harsh(40.0, ALL), &Kind::COMPARED, &seeds).expect("it plays");
    let calm = compare_policies(&calm, &Kind::COMPARED, &seeds).expect("it plays");
    for (hit, calm) in hit.iter().zip(&calm) {
        assert!(
            hit.in_time_share < calm.in_time_share - 0.01,
            "{}: {} and {}",
            hit.policy,
            hit.in_time_share,
            calm.in_time_share
        );
    }
    let share = |name: &str| hit.iter().find(|row| row.policy == name).expect("a row").in_time_share;
    assert!(share("copperspread") > share("random") + 0.05);
    assert!(
        hit[0].deficit.is_none() && hit[1].deficit.is_some_and(|of| of.excludes_zero() && of.mean > 0.05)
    );
    assert!(comparison_table(&harsh(40.0, ALL), &hit).contains("least_outstanding"));
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
        let of = PairedDifference::from_pairs(pairs).expect("pairs");
        assert_eq!(of.excludes_zero(), *shown, "{pairs:?}: {of:?}");
        assert!(of.interval[0] <= of.mean && of.mean <= of.interval[1]);
    }
    assert_eq!(PairedDifference::from_pairs(&[]), None);
}

#[test]
fn the_scenarios_that_come_along_are_good_and_bad_ones_are_told() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut names = Vec::new();
    for file in std::fs::read_dir(folder).expect("a folder").flatten() {
        let text = std::fs::read_to_string(file.path()).expect("a file");
        let scenario = Scenario::parse(&text).expect("a scenario");
        assert_eq!(format!("{}.toml", scenario.name), file.file_name().to_string_lossy());
        assert!(
            scenario.clients.rate_per_s < scenario.capacity(),
            "{}: more than the fleet can do",
            scenario.name
        );
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
        let error = Scenario::parse(&good.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(error.contains(said), "{to}: {error}");
    }
}

fn build() -> Build {
    Build {
        cores: 2.0,
        slots: 2.0,
        speed: 1.0,
        queue: 2,
        order: QueueOrder::Fifo,
        memory: 100.0,
        cold_from: 0.25,
        cold_for: 20 * SECOND,
        fall_multiple: 2.0,
        fall_window: Some(2 * SECOND),
    }
}

fn job(attempt: u64, work: f64) -> Offered {
    Offered { attempt, class: 0, work, slots: 1.0, memory: 0.0, worth: 1.0 }
}

#[test]
fn a_worker_fills_its_slots_then_its_queue_and_hands_back_what_has_not_started() {
    let mut worker = Worker::new(build());
    let mut effects = Vec::new();
    let offers: Vec<_> = (0..5).map(|at| worker.offer(0, job(at, 1.0), &mut effects)).collect();
    assert_eq!(offers, [Offer::Taken, Offer::Taken, Offer::Taken, Offer::Taken, Offer::Full]);
    assert_eq!(effects, [Effect::Started(0), Effect::Started(1)]);
    effects.clear();
    assert_eq!(worker.next(0), Some(SECOND));
    worker.drain(SECOND / 2, true, &mut effects);
    assert_eq!(effects, [Effect::HandedBack(2), Effect::HandedBack(3)]);
    assert_eq!(worker.offer(SECOND / 2, job(9, 1.0), &mut effects), Offer::Full);
    effects.clear();
    worker.advance(SECOND, &mut effects);
    assert_eq!(effects, [0, 1].map(|attempt| Effect::Done { attempt, told: true }));
    assert!((worker.done_work - 2.0).abs() < 1e-6 && worker.holds() == 0);
}

#[test]
fn a_cold_worker_is_slow_at_first_and_falls_over_under_a_flood() {
    let mut worker = Worker::new(build());
    worker.restart(0);
    assert_eq!(
        (worker.warmth(0), worker.warmth(10 * SECOND), worker.warmth(40 * SECOND)),
        (0.25, 0.625, 1.0)
    );
    let mut effects = Vec::new();
    // At a quarter of two cores, twice that for 2 s is 2 core-seconds.
    assert_eq!(worker.offer(0, job(1, 1.9), &mut effects), Offer::Taken);
    assert_eq!(worker.life, Life::Up);
    effects.clear();
    worker.offer(0, job(2, 0.2), &mut effects);
    assert_eq!(
        (worker.life, &effects[..]),
        (Life::Dead, &[Effect::Fell, Effect::Lost(1), Effect::Lost(2)][..])
    );
    assert_eq!(worker.offer(0, job(3, 0.1), &mut effects), Offer::Dead);
    worker.restart(SECOND);
    // The same work spread out does it no harm.
    for step in 0..12 {
        worker.offer(SECOND + step * SECOND, job(10 + step, 0.4), &mut effects);
        worker.advance(SECOND + step * SECOND + SECOND / 2, &mut effects);
    }
    assert_eq!(worker.life, Life::Up);
}

#[test]
fn a_worker_that_is_stuck_silent_refusing_or_out_of_reach_shows_it() {
    let mut effects = Vec::new();
    let mut stuck = Worker::new(build());
    stuck.offer(0, job(1, 1.0), &mut effects);
    stuck.change(0, |of| of.stuck = true);
    assert_eq!(stuck.next(0), None);
    stuck.change(5 * SECOND, |of| of.stuck = false);
    assert_eq!(stuck.next(5 * SECOND), Some(6 * SECOND), "it goes on where it stood");
    let mut silent = Worker::new(build());
    silent.change(0, |of| of.silent = Some(0));
    silent.offer(0, job(1, 1.0), &mut effects);
    effects.clear();
    silent.advance(SECOND, &mut effects);
    assert_eq!(effects, [Effect::Done { attempt: 1, told: false }]);
    let mut refusing = Worker::new(build());
    refusing.change(0, |of| of.refusing = true);
    assert_eq!(refusing.offer(0, job(1, 1.0), &mut effects), Offer::Dead);
    let mut away = Worker::new(build());
    away.offer(0, job(1, 1.0), &mut effects);
    effects.clear();
    away.die(0, Life::Vanished, &mut effects);
    assert_eq!((effects.len(), away.offer(0, job(2, 1.0), &mut effects)), (0, Offer::Vanished));
}

// Two slots that are taken, and three that wait; what starts when one ends.
#[test]
fn the_order_and_the_memory_say_what_starts_next() {
    type Waiting = [(f64, f64, f64); 3];
    let cases: &[(QueueOrder, Waiting, u64)] = &[
        // Slots, memory and worth of those that wait, and which of them starts first.
        (QueueOrder::Fifo, [(1.0, 0.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 10),
        (QueueOrder::Priority, [(1.0, 0.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 11),
        (QueueOrder::Priority, [(1.0, 0.0, 9.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 10),
        (QueueOrder::Backfill, [(2.0, 0.0, 9.0), (1.0, 0.0, 1.0), (1.0, 0.0, 5.0)], 11),
        // The first does not fit by its memory.
        (QueueOrder::Backfill, [(1.0, 80.0, 9.0), (1.0, 30.0, 1.0), (1.0, 0.0, 5.0)], 11),
        // Nothing goes past one that waits for its turn.
        (QueueOrder::Fifo, [(1.0, 80.0, 1.0), (1.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 0),
        (QueueOrder::Priority, [(1.0, 0.0, 1.0), (2.0, 0.0, 9.0), (1.0, 0.0, 5.0)], 0),
    ];
    for (order, waiting, starts) in cases {
        let mut worker = Worker::new(Build { queue: 3, order: *order, ..build() });
        let mut effects = Vec::new();
        worker.offer(0, Offered { memory: 40.0, ..job(1, 1.0) }, &mut effects);
        worker.offer(0, Offered { memory: 40.0, ..job(2, 9.0) }, &mut effects);
        for (number, &(slots, memory, worth)) in waiting.iter().enumerate() {
            let of = Offered { slots, memory, worth, ..job(10 + number as u64, 1.0) };
            assert_eq!(worker.offer(0, of, &mut effects), Offer::Taken);
        }
        effects.clear();
        worker.advance(SECOND, &mut effects);
        let started =
            effects.iter().find_map(|of| if let Effect::Started(id) = of { Some(*id) } else { None });
        assert_eq!(started.unwrap_or_default(), *starts, "{order:?} {waiting:?}: {effects:?}");
    }
}

#[test]
fn ways_connections_progress_and_traces_are_played() {
    let base = harsh(20.0, "");
    let mean = |scenario: &Scenario| {
        let outcome = play(scenario, Kind::RoundRobin, 3).expect("it plays");
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violation_examples);
        outcome.classes.iter().map(|class| class.mean_latency_ms).sum::<f64>() / outcome.classes.len() as f64
    };
    let usual = mean(&base);
    let mut far = base.clone();
    far.network.zone_links = vec![ZoneLink { zones: [0, 1], delay_s: 0.2, loss: 0.0 }];
    // Two of nine pairs of zones, there and back.
    let slower = mean(&far) - usual;
    assert!((60.0..130.0).contains(&slower), "{slower} ms");
    let mut costly = base.clone();
    costly.network.connect_delay_s = 0.1;
    let slower = mean(&costly) - usual;
    // Jobs of one scheduler come to one worker 0.74 times a second, so that a connection has been idle
    // for over 5 s in one of 40 of them, and then costs 100 ms.
    assert!((1.5..4.0).contains(&slower), "{slower} ms");
    let mut telling = base.clone();
    telling.load_reports.progress_interval_s = 0.1;
    let outcome = play(&telling, Kind::Copperspread, 3).expect("it plays");
    let silent = play(&base, Kind::Copperspread, 3).expect("it plays");
    assert!(outcome.events > silent.events + 1_000 && outcome.violations.is_empty());
    let mut traced = base.clone();
    let job = |at: f64, class, work| RecordedJob { arrives_at_s: at, class, work, slots: 1.0, hint: None };
    traced.clients.trace = vec![job(0.5, 0, 0.2), job(0.6, 2, 0.4), job(900.0, 0, 1.0)];
    let arrivals: Vec<_> = Arrivals::new(&traced, 3).map(|of| (of.at, of.class, of.work)).collect();
    assert_eq!(arrivals, [(500_000, 0, 0.2), (600_000, 2, 0.4)], "what comes after the end does not");
    assert_eq!(play(&traced, Kind::Copperspread, 3).expect("it plays").jobs, 2);
    traced.clients.trace.reverse();
    assert_eq!(
        traced.check().expect_err("an order").to_string(),
        "clients.trace: not in the order of its instants"
    );
}

// One of nine workers crashes while the list contradicts itself, and stays away. Whoever were left with
// the old list would send every ninth job there to the end.
#[test]
fn a_list_that_has_contradicted_itself_ends_with_the_truth() {
    let faults = "[[faults]]\nat = 10.0\nlasts = 8.0\nwhat = 'discovery_contradicts'\n\
        [[faults]]\nat = 11.0\nlasts = 200.0\nshare = 0.1\nwhat = 'crash'\n";
    let outcome = play(&harsh(20.0, faults), Kind::RoundRobin, 3).expect("it plays");
    assert!(
        outcome.attempts_per_job > 1.0 && outcome.attempts_per_job < 1.04,
        "{} attempts a job",
        outcome.attempts_per_job
    );
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
    let rows = compare_policies(&scenario, &Kind::COMPARED, &[1, 2, 3]).expect("it plays");
    let share = format!("<td>{:.3}", rows[0].in_time_share);
    let page = render_html(&[ScenarioResults { scenario, variants: rows }]).expect("a page");
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
    let rows = compare_policies(&named, &[Kind::Random], &[1]).expect("it plays");
    assert!(
        !render_html(&[ScenarioResults { scenario: named, variants: rows }])
            .expect("a page")
            .contains("<b>x")
    );
}

// What no policy can break in virtual time, since only a front could: told to the referee by hand.
#[test]
fn a_result_that_no_worker_made_is_caught() {
    for (made, heard, breaches) in [
        (true, ClientResponse::Served, 0),
        (false, ClientResponse::Served, 1),
        (false, ClientResponse::Unserved, 0),
        (false, ClientResponse::ConnectionBroken, 0),
    ] {
        let mut referee = RuleChecker::new(None);
        referee.request_sent(RequestId(1), SECOND);
        if made {
            referee.result_made(RequestId(1));
        }
        referee.response_received(5, RequestId(1), heard);
        let counts = referee.into_violations().counts;
        assert_eq!(
            counts.get(&Rule::GenuineResult).copied().unwrap_or_default(),
            breaches,
            "{made} {heard:?}"
        );
    }
}

#[test]
fn a_scheduler_that_dies_fails_what_it_took_and_another_serves_on() {
    let crash = "[[faults]]\nat = 20.0\nlasts = 10.0\nshare = 0.1\nwhat = 'scheduler_crash'\n";
    let outcome = play(&harsh(30.0, crash), Kind::Copperspread, 3).expect("it plays");
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violation_examples);
    let failed: Vec<f64> = outcome.seconds.iter().map(|second| second.failed).collect();
    assert!(failed[19..21].iter().sum::<f64>() > 0.0, "what it had taken: {failed:?}");
    assert!(failed[22..].iter().sum::<f64>() == 0.0, "what came later: {failed:?}");
    let all = "[[faults]]\nat = 20.0\nlasts = 10.0\nshare = 1.0\nwhat = 'scheduler_crash'\n";
    let outcome = play(&harsh(30.0, all), Kind::Copperspread, 3).expect("it plays");
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
        let outcome = play(&scenario, Kind::COMPARED[policy], seed).expect("it plays");
        let worth = outcome.weight;
        let parts = worth.in_time + worth.late + worth.rejected + worth.failed + worth.unanswered;
        prop_assert!((parts - worth.requested).abs() < 1e-6 * worth.requested.max(1.0));
        prop_assert_eq!(outcome.jobs, Arrivals::new(&scenario, seed).count() as u64);
        let module = play(&scenario, Kind::Copperspread, seed).expect("it plays");
        prop_assert!(module.violations.is_empty(), "{:?} {:?}", module.violations, module.violation_examples);
    }
}
