//! Tests of the simulation: agreement with queueing theory, reproducibility, and the detection of broken
//! policies.
use copperspread_dispatcher::{RequestId, SECOND};
use copperspread_testbed::compare::{PairedDifference, ScenarioResults, compare_policies, comparison_table};
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::outcome::RunOutcome;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::report::render_html;
use copperspread_testbed::rule_checker::{ClientResponse, Rule, RuleChecker};
use copperspread_testbed::scenario::{RecordedJob, Scenario, ZoneLink};
use copperspread_testbed::simulation::simulate;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Simulates one queue: Poisson arrivals, one worker, no network delay, and clients without a practical
/// deadline.
fn simulate_queue(rate: f64, cores: u32, slots: u32, spread: &str) -> RunOutcome {
    let text = format!(
        "name = 'queue'\nabout = 'one queue'\nseconds = 100000.0\nschedulers = 1\n\
         [clients]\nrate = {rate:?}\n[network]\nnear = 0.0\nfar = 0.0\n[cold]\nfall_seconds = 0.0\n\
         [[workers]]\nkind = 'w'\ncount = 1\ncores = {cores}.0\nslots = {slots}.0\nspeed = [1.0, 1.0]\nqueue = 1000000\n\
         [[classes]]\nname = 'c'\nshare = 1.0\nwork = 1.0\nspread = {spread}\naim = 50000.0\ndeadline = 50000.0\n\
         worth = 1.0\nrepeat = 'never'\n"
    );
    simulate(&Scenario::parse(&text).expect("valid scenario"), PolicyKind::RoundRobin, 3)
        .expect("valid settings")
}

/// Returns the mean wait in an M/M/c queue, in mean service times, by the Erlang C formula.
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
fn mean_times_match_queueing_theory() {
    let exponential = "'exponential'";
    // Load, cores, slots, work distribution, and the mean time in the system by theory.
    let cases = [
        (0.5, 1, 1, exponential, 1.0 / (1.0 - 0.5)),
        (0.7, 1, 1, exponential, 1.0 / (1.0 - 0.7)),
        // Pollaczek-Khinchine formula for constant work.
        (0.7, 1, 1, "'constant'", 1.0 + 0.7 / (2.0 * (1.0 - 0.7))),
        (2.8, 4, 4, exponential, 1.0 + erlang_wait(2.8, 4)),
        // Processor sharing: the mean does not depend on the distribution of the work.
        (0.6, 1, 100_000, exponential, 1.0 / (1.0 - 0.6)),
        (0.6, 1, 100_000, "'constant'", 1.0 / (1.0 - 0.6)),
        (0.6, 1, 100_000, "{ lognormal = 0.8 }", 1.0 / (1.0 - 0.6)),
    ];
    for (load, cores, slots, spread, theory) in cases {
        let outcome = simulate_queue(load, cores, slots, spread);
        let mean = outcome.classes[0].mean_latency_ms / 1e3;
        let error = (mean / theory - 1.0).abs();
        assert!(
            error < 0.05,
            "load {load} on {cores} cores, {slots} slots, {spread}: mean {mean:.3} s, expected {theory:.3} s"
        );
        // Little's law: the mean number of jobs is the arrival rate times the mean time in the system.
        let rate = outcome.jobs as f64 / 100_000.0;
        assert!(
            (outcome.mean_jobs_in_workers / (rate * mean) - 1.0).abs() < 0.02,
            "mean jobs in workers {}, expected {rate} x {mean}",
            outcome.mean_jobs_in_workers
        );
        // Work conservation: all requested work was completed.
        assert!((outcome.done_core_s / outcome.weight.requested - 1.0).abs() < 1e-3);
    }
}

/// Returns a scenario with a small fleet and the given faults.
fn faulty_fleet(rate: f64, faults: &str) -> Scenario {
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
    Scenario::parse(&text).expect("valid scenario")
}

/// Faults of one run: resets, a crash, drains, a lost zone, a burst, a discovery outage and a silent class.
const MIXED_FAULTS: &str = "[[faults]]\nat = 5.0\nlasts = 40.0\nshare = 0.4\nwhat = { resetting = 0.2 }\n\
     [[faults]]\nat = 8.0\nlasts = 4.0\nshare = 0.2\nwhat = 'crash'\n\
     [[faults]]\nat = 12.0\nlasts = 6.0\nshare = 0.9\nspread_over = 30.0\nwhat = 'drain'\n\
     [[faults]]\nat = 40.0\nlasts = 5.0\nshare = 1.0\nzone = 1\nwhat = 'vanish'\n\
     [[faults]]\nat = 20.0\nlasts = 10.0\nwhat = { burst = 1.6 }\n\
     [[faults]]\nat = 30.0\nlasts = 5.0\nwhat = 'discovery_down'\n\
     [[faults]]\nat = 25.0\nlasts = 9.0\nshare = 0.2\nwhat = { silent = 2 }\n";

#[test]
fn each_broken_policy_violates_its_rule_and_no_other() {
    let scenario = faulty_fleet(40.0, MIXED_FAULTS);
    let cases: &[(PolicyKind, &[Rule])] = &[
        (PolicyKind::Copperspread, &[]),
        (PolicyKind::AnswersTwice, &[Rule::SingleResponse]),
        (PolicyKind::NeverAnswers, &[Rule::ResponseBeforeDeadline]),
        (PolicyKind::Resends, &[Rule::NonIdempotentOnce, Rule::KeyedWithinScope]),
        (PolicyKind::IgnoresDrains, &[Rule::NoDispatchWhileDraining]),
        (PolicyKind::NewestWorker, &[Rule::WithinSlowStartBudget]),
    ];
    for (kind, rules) in cases {
        let outcome = simulate(&scenario, *kind, 1).expect("valid settings");
        for rule in *rules {
            assert!(
                outcome.violations.contains_key(rule),
                "{kind:?}: expected a violation of {rule:?}, found {:?}",
                outcome.violations
            );
        }
        // No other rule is violated, so that a violation identifies its cause. The exception is
        // `IgnoresDrains`: it keeps sending to a draining worker, which restarts in slow start and can then
        // get more than its slow-start budget.
        let is_consequence =
            |rule: &Rule| *kind == PolicyKind::IgnoresDrains && *rule == Rule::WithinSlowStartBudget;
        let others =
            outcome.violations.keys().filter(|rule| !rules.contains(rule) && !is_consequence(rule)).count();
        assert_eq!(others, 0, "{kind:?}: {:?} {:?}", outcome.violations, outcome.violation_examples);
    }
}

#[test]
fn one_seed_gives_identical_outcomes_and_another_seed_different_ones() {
    let scenario = faulty_fleet(40.0, MIXED_FAULTS);
    let bytes = |kind, seed| {
        serde_json::to_string(&simulate(&scenario, kind, seed).expect("valid settings"))
            .expect("the outcome serializes to JSON")
    };
    for kind in [PolicyKind::Copperspread, PolicyKind::Random, PolicyKind::Oracle] {
        assert_eq!(bytes(kind, 7), bytes(kind, 7), "{kind:?}");
        assert_ne!(bytes(kind, 7), bytes(kind, 8), "{kind:?}");
    }
}

// Policies can be compared only if the arrivals do not depend on the policy.
#[test]
fn all_policies_get_the_same_arrivals() {
    let scenario = faulty_fleet(40.0, MIXED_FAULTS);
    let arrivals: Vec<_> = Arrivals::new(&scenario, 9).collect();
    for kind in PolicyKind::COMPARED {
        let outcome = simulate(&scenario, kind, 9).expect("valid settings");
        let arrived_work: f64 = arrivals.iter().map(|job| job.work * job.slots).sum();
        assert_eq!(outcome.jobs, arrivals.len() as u64, "{kind:?}");
        assert!((outcome.weight.requested / arrived_work - 1.0).abs() < 1e-9, "{kind:?}");
    }
}

#[test]
fn faults_cost_every_policy_and_the_dispatcher_beats_random() {
    let calm_scenario = faulty_fleet(40.0, "");
    let seeds = [1, 2, 3, 4];
    let faulty = compare_policies(&faulty_fleet(40.0, MIXED_FAULTS), &PolicyKind::COMPARED, &seeds)
        .expect("valid settings");
    let calm = compare_policies(&calm_scenario, &PolicyKind::COMPARED, &seeds).expect("valid settings");
    for (faulty, calm) in faulty.iter().zip(&calm) {
        assert!(
            faulty.in_time_share < calm.in_time_share - 0.01,
            "{}: share with faults {}, without faults {}",
            faulty.policy,
            faulty.in_time_share,
            calm.in_time_share
        );
    }
    let share = |name: &str| {
        faulty.iter().find(|row| row.policy == name).expect("a row for the policy").in_time_share
    };
    assert!(share("copperspread") > share("random") + 0.05);
    assert!(
        faulty[0].deficit.is_none()
            && faulty[1]
                .deficit
                .is_some_and(|difference| difference.excludes_zero() && difference.mean > 0.05)
    );
    assert!(comparison_table(&faulty_fleet(40.0, MIXED_FAULTS), &faulty).contains("least_outstanding"));
}

#[test]
fn an_interval_excludes_zero_only_with_enough_agreeing_pairs() {
    let cases: &[(&[f64], bool)] = &[
        (&[0.1, 0.1, 0.1], true),
        (&[-0.2, -0.1, -0.15, -0.12], true),
        (&[0.1, -0.1, 0.05, -0.06], false),
        (&[0.0; 5], false),
        // Two pairs are too few for an interval, even if they are equal.
        (&[0.1, 0.1], false),
    ];
    for (pairs, excludes_zero) in cases {
        let difference = PairedDifference::from_pairs(pairs).expect("a difference of at least one pair");
        assert_eq!(difference.excludes_zero(), *excludes_zero, "{pairs:?}: {difference:?}");
        let [low, high] = difference.interval;
        assert!(low <= difference.mean && difference.mean <= high);
    }
    assert_eq!(PairedDifference::from_pairs(&[]), None);
}

#[test]
fn built_in_scenarios_are_valid_and_invalid_ones_are_explained() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut names = Vec::new();
    for file in std::fs::read_dir(folder).expect("readable scenarios directory").flatten() {
        let text = std::fs::read_to_string(file.path()).expect("readable scenario file");
        let scenario = Scenario::parse(&text).expect("valid scenario");
        assert_eq!(format!("{}.toml", scenario.name), file.file_name().to_string_lossy());
        assert!(
            scenario.clients.rate_per_s < scenario.capacity(),
            "{}: the arrival rate exceeds the fleet's capacity",
            scenario.name
        );
        names.push(scenario.name);
    }
    assert_eq!(names.len(), 16);
    let good = std::fs::read_to_string(format!("{folder}/zone-lost.toml")).expect("readable scenario file");
    for (from, to, text) in [
        ("seconds = 90.0", "seconds = 0.0", "seconds: 0 is not above 0"),
        ("zones = 3", "zoness = 3", "unknown field `zoness`"),
        ("cores = 4.0", "cores = -4.0", "workers of kind \"snel\": cores"),
        ("speed = [1.1, 1.5]", "speed = [1.5, 1.1]", "is not a range"),
        ("zone = 1", "zone = 7", "faults[0]: unknown class or zone"),
        ("lasts = 30.0", "lasts = nan", "faults[0].lasts: NaN is not 0 or more"),
        ("share = 1.0", "share = 1.5", "faults[0]: the share 1.5 is not between 0 and 1"),
        ("\"vanish\"", "{ slow = 0.0 }", "faults[0].what: 0 is not above 0"),
        ("\"vanish\"", "\"explode\"", "unknown variant `explode`"),
        ("deadline = 5.0", "deadline = nan", "class \"status\": deadline"),
    ] {
        assert!(good.contains(from), "{from}");
        let error = Scenario::parse(&good.replacen(from, to, 1)).expect_err(to);
        assert!(error.to_string().contains(text), "{to}: {error}");
    }
}

#[test]
fn delays_connections_progress_and_traces_are_simulated() {
    let base = faulty_fleet(20.0, "");
    let mean = |scenario: &Scenario| {
        let outcome = simulate(scenario, PolicyKind::RoundRobin, 3).expect("valid settings");
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violation_examples);
        outcome.classes.iter().map(|class| class.mean_latency_ms).sum::<f64>() / outcome.classes.len() as f64
    };
    let usual = mean(&base);
    let mut distant = base.clone();
    distant.network.zone_links = vec![ZoneLink { zones: [0, 1], delay_s: 0.2, loss: 0.0 }];
    // The slow link affects two of the nine pairs of a scheduler's and a worker's zone, where it delays the
    // attempt and its result by 0.2 s each: 89 ms in the mean over all jobs.
    let slower = mean(&distant) - usual;
    assert!((60.0..130.0).contains(&slower), "{slower} ms");
    let mut connecting = base.clone();
    connecting.network.connect_delay_s = 0.1;
    let slower = mean(&connecting) - usual;
    // Each scheduler sends 0.74 jobs per second to each worker, so that for one job in 40 the connection has
    // been idle for over 5 s and a new one is opened, which takes 100 ms.
    assert!((1.5..4.0).contains(&slower), "{slower} ms");
    let mut reporting = base.clone();
    reporting.load_reports.progress_interval_s = 0.1;
    let outcome = simulate(&reporting, PolicyKind::Copperspread, 3).expect("valid settings");
    let without_progress = simulate(&base, PolicyKind::Copperspread, 3).expect("valid settings");
    assert!(outcome.events > without_progress.events + 1_000 && outcome.violations.is_empty());
    let mut recorded = base.clone();
    let job = |at: f64, class, work| RecordedJob { arrives_at_s: at, class, work, slots: 1.0, hint: None };
    recorded.clients.trace = vec![job(0.5, 0, 0.2), job(0.6, 2, 0.4), job(900.0, 0, 1.0)];
    let arrivals: Vec<_> =
        Arrivals::new(&recorded, 3).map(|arrival| (arrival.at, arrival.class, arrival.work)).collect();
    assert_eq!(
        arrivals,
        [(500_000, 0, 0.2), (600_000, 2, 0.4)],
        "expected only the jobs within the scenario's duration"
    );
    assert_eq!(simulate(&recorded, PolicyKind::Copperspread, 3).expect("valid settings").jobs, 2);
    recorded.clients.trace.reverse();
    assert_eq!(
        recorded.check().expect_err("an error for an unordered trace").to_string(),
        "clients.trace: the jobs are not sorted by arrival time (`at`)"
    );
}

// One of nine workers crashes while two lists contradict each other, and stays down. A scheduler that is left
// with the stale list sends every ninth job to that worker until the end of the run.
#[test]
fn a_contradicting_endpoint_list_ends_with_the_true_one() {
    let faults = "[[faults]]\nat = 10.0\nlasts = 8.0\nwhat = 'discovery_contradicts'\n\
        [[faults]]\nat = 11.0\nlasts = 200.0\nshare = 0.1\nwhat = 'crash'\n";
    let outcome = simulate(&faulty_fleet(20.0, faults), PolicyKind::RoundRobin, 3).expect("valid settings");
    assert!(
        outcome.attempts_per_job > 1.0 && outcome.attempts_per_job < 1.04,
        "{} attempts per job",
        outcome.attempts_per_job
    );
}

#[test]
fn a_ramp_raises_the_arrival_rate_steadily() {
    let ramp = "[[faults]]\nat = 0.0\nlasts = 60.0\nwhat = { ramp = 3.0 }\n";
    let mut thirds = [0.0_f64; 3];
    for arrival in Arrivals::new(&faulty_fleet(50.0, ramp), 3) {
        thirds[(arrival.at / (20 * SECOND)) as usize] += 1.0;
    }
    // The rate factor rises from 1 to 3, with means of 4/3, 2 and 8/3 in the thirds. Without the ramp, each
    // third has 1,000 jobs.
    for (arrivals, factor) in thirds.iter().zip([4.0 / 3.0, 2.0, 8.0 / 3.0]) {
        assert!((arrivals / 1_000.0 / factor - 1.0).abs() < 0.1, "{thirds:?}");
    }
}

#[test]
fn a_report_is_self_contained_and_matches_the_table() {
    let scenario = faulty_fleet(40.0, MIXED_FAULTS);
    let rows = compare_policies(&scenario, &PolicyKind::COMPARED, &[1, 2, 3]).expect("valid settings");
    let share = format!("<td>{:.3}", rows[0].in_time_share);
    let page = render_html(&[ScenarioResults { scenario, variants: rows }]).expect("rendered report");
    assert!(page.contains(&share) && page.contains("least_outstanding") && page.contains("Resetting(0.2)"));
    // Four charts: differences, shares over time, outcomes by weight, and load against capacity.
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("clients of<th>safe<th>keyed<th>once") && page.contains("zone 2"));
    assert_eq!(page.matches("could have done").count(), 2, "the legend and the caption");
    // The page loads no external resource: its only URL is the SVG namespace.
    let addresses = page.matches("http").count();
    assert_eq!(addresses, page.matches("http://www.w3.org/2000/svg").count());
    assert!(!page.contains("<script") && !page.contains("NaN"));
    // A name from a scenario file is escaped.
    let mut named = faulty_fleet(5.0, "");
    named.name = "<b>x".into();
    let rows = compare_policies(&named, &[PolicyKind::Random], &[1]).expect("valid settings");
    assert!(
        !render_html(&[ScenarioResults { scenario: named, variants: rows }])
            .expect("rendered report")
            .contains("<b>x")
    );
}

// The rule checker is called directly, as no policy can forge a response in the simulation: only a proxy
// could.
#[test]
fn a_response_that_no_worker_made_violates_a_rule() {
    for (is_result_made, response, violations) in [
        (true, ClientResponse::Served, 0),
        (false, ClientResponse::Served, 1),
        (false, ClientResponse::Unserved, 0),
        (false, ClientResponse::ConnectionBroken, 0),
    ] {
        let mut rule_checker = RuleChecker::new(None);
        rule_checker.request_sent(RequestId(1), SECOND);
        if is_result_made {
            rule_checker.result_made(RequestId(1));
        }
        rule_checker.response_received(5, RequestId(1), response);
        let counts = rule_checker.into_violations().counts;
        assert_eq!(
            counts.get(&Rule::GenuineResult).copied().unwrap_or_default(),
            violations,
            "result made: {is_result_made}, {response:?}"
        );
    }
}

#[test]
fn a_crashed_scheduler_fails_its_requests_and_others_take_over() {
    let crash = "[[faults]]\nat = 20.0\nlasts = 10.0\nshare = 0.1\nwhat = 'scheduler_crash'\n";
    let outcome = simulate(&faulty_fleet(30.0, crash), PolicyKind::Copperspread, 3).expect("valid settings");
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violation_examples);
    let failed: Vec<f64> = outcome.seconds.iter().map(|second| second.failed).collect();
    assert!(
        failed[19..21].iter().sum::<f64>() > 0.0,
        "no request of the crashed scheduler failed: {failed:?}"
    );
    assert!(failed[22..].iter().sum::<f64>() == 0.0, "later requests failed: {failed:?}");
    let all = "[[faults]]\nat = 20.0\nlasts = 10.0\nshare = 1.0\nwhat = 'scheduler_crash'\n";
    let outcome = simulate(&faulty_fleet(30.0, all), PolicyKind::Copperspread, 3).expect("valid settings");
    assert!(
        outcome.seconds[21..29].iter().all(|second| second.in_time == 0.0),
        "jobs were served while no scheduler was up"
    );
    let after = &outcome.seconds[35..];
    assert!(
        after.iter().map(|second| second.in_time).sum::<f64>() > 0.0,
        "nothing is served after the schedulers are back"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // With any of these faults and policies, each job has exactly one outcome, and the dispatcher violates no
    // rule.
    #[test]
    fn weights_add_up_and_the_dispatcher_violates_no_rule(
        seed in 0_u64..1_000,
        rate in 5.0..70.0_f64,
        at in 1.0..30.0_f64,
        share in 0.1..1.0_f64,
        fault_index in 0_usize..14,
        policy_index in 0_usize..7,
    ) {
        let kind = ["'crash'", "'vanish'", "'drain'", "'stuck'", "'refusing'", "{ slow = 6.0 }", "{ silent = 1 }",
            "{ resetting = 0.5 }", "{ garbled = 0.5 }", "{ late_news = 1.5 }", "'doubled_news'", "'scheduler_crash'",
            "'discovery_contradicts'", "{ failing = 0.5 }"][fault_index];
        let fault = format!("[[faults]]\nat = {at:?}\nlasts = 6.0\nshare = {share:?}\nwhat = {kind}\n");
        let scenario = faulty_fleet(rate, &fault);
        let outcome = simulate(&scenario, PolicyKind::COMPARED[policy_index], seed).expect("valid settings");
        let weight = outcome.weight;
        let parts = weight.in_time + weight.late + weight.rejected + weight.failed + weight.unanswered;
        prop_assert!((parts - weight.requested).abs() < 1e-6 * weight.requested.max(1.0));
        prop_assert_eq!(outcome.jobs, Arrivals::new(&scenario, seed).count() as u64);
        let dispatcher = simulate(&scenario, PolicyKind::Copperspread, seed).expect("valid settings");
        prop_assert!(dispatcher.violations.is_empty(), "{:?} {:?}", dispatcher.violations, dispatcher.violation_examples);
    }
}
