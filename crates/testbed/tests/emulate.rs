//! Tests of short emulation runs, with the testbed's `node` command as the scheduler processes.
use std::net::SocketAddr;

use copperspread_settings::platform::read_startup_config;
use copperspread_testbed::cost::{CostSettings, format_table, measure_costs};
use copperspread_testbed::emulation::scheduler_config::SchedulerConfig;
use copperspread_testbed::emulation::scheduler_process::SchedulerProgram;
use copperspread_testbed::emulation::{SchedulerInstances, emulate};
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::model::scheduler_id::SchedulerId;
use copperspread_testbed::outcome::RunOutcome;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::rule_checker::Rule;
use copperspread_testbed::scenario::Scenario;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A scenario with 3 schedulers, 9 workers, `rate` jobs per second for `seconds`, and the given faults.
fn small_scenario(seconds: f64, rate: f64, faults: &str) -> Scenario {
    let class = |name: &str, repeat: &str| {
        format!(
            "[[classes]]\nname = '{name}'\nshare = 1.0\nwork = 0.1\naim = 0.6\nstretch = 2.0\ndeadline = 2.0\n\
             worth = 1.0\nrepeat = '{repeat}'\nwindow = 12.0\n"
        )
    };
    let text = format!(
        "name = 'small'\nabout = 'some seconds'\nseconds = {seconds:?}\nzones = 3\nschedulers = 3\n\
         [clients]\nrate = {rate:?}\nretries = 1\ngrace = 1.0\nhint_error = 0.3\n[discovery]\ndelay = 0.3\n\
         [[workers]]\nkind = 'w'\ncount = 9\ncores = 2.0\nslots = 3.0\nspeed = [0.8, 1.2]\nqueue = 20\n{}{}{}{faults}",
        class("safe", "safe"),
        class("keyed", "keyed"),
        class("once", "never"),
    );
    Scenario::parse(&text).expect("the scenario is valid")
}

fn fault_toml(at: f64, lasts: f64, share: f64, what: &str) -> String {
    format!("[[faults]]\nat = {at:?}\nlasts = {lasts:?}\nshare = {share:?}\nwhat = {what}\n")
}

/// Schedulers that run the testbed's `node` command with a policy.
fn policy_node(policy: &str) -> SchedulerInstances {
    let arguments = ["node", "--policy", policy].map(str::to_owned).to_vec();
    SchedulerInstances::Spawned(SchedulerProgram {
        file: env!("CARGO_BIN_EXE_copperspread-testbed").into(),
        arguments,
    })
}

/// Asserts that each job has exactly one outcome.
fn assert_all_accounted(outcome: &RunOutcome, jobs: usize) {
    let weight = outcome.weight;
    let parts = weight.in_time + weight.late + weight.rejected + weight.failed + weight.unanswered;
    assert!((parts - weight.requested).abs() < 1e-6 * weight.requested, "{weight:?}");
    assert_eq!(outcome.jobs, jobs as u64);
}

// Guards against differences between simulation and emulation: the settings that a scheduler reads from its
// configuration file must be those that the simulation passes to the dispatch policy.
#[test]
fn simulation_and_emulation_give_schedulers_the_same_settings() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    for file in std::fs::read_dir(folder).expect("the scenario directory can be read").flatten() {
        let text = std::fs::read_to_string(file.path()).expect("the scenario file can be read");
        let scenario = Scenario::parse(&text).expect("the scenario is valid");
        for scheduler in SchedulerId::first(scenario.schedulers) {
            let config = SchedulerConfig {
                scenario: &scenario,
                scheduler,
                seed: 7,
                listen: address,
                discovery: address,
                cached_list: None,
            };
            let start = read_startup_config(&config.to_platform_json().to_string())
                .expect("the generated configuration is valid");
            assert_eq!(start.settings.dispatch, scenario.settings(scheduler), "{}", scenario.name);
        }
    }
}

#[test]
fn the_dispatch_policy_keeps_all_rules_under_many_faults_on_sockets() {
    let faults = [
        fault_toml(0.5, 5.0, 0.3, "{ resetting = 0.3 }"),
        fault_toml(0.5, 5.0, 0.3, "{ garbled = 0.3 }"),
        fault_toml(0.5, 5.0, 0.3, "{ late_news = 0.4 }"),
        fault_toml(0.5, 5.0, 0.5, "'doubled_news'"),
        fault_toml(1.0, 1.0, 0.2, "'crash'"),
        fault_toml(1.5, 1.5, 0.2, "'vanish'"),
        fault_toml(2.0, 2.0, 0.3, "'drain'"),
        fault_toml(2.5, 1.0, 0.2, "'refusing'"),
        fault_toml(3.0, 1.0, 0.2, "'scheduler_crash'"),
        fault_toml(2.0, 3.7, 0.2, "'scheduler_restart'"),
        fault_toml(1.0, 1.5, 0.2, "'discovery_down'"),
        fault_toml(3.5, 2.0, 0.2, "'discovery_contradicts'"),
    ];
    let scenario = small_scenario(6.0, 60.0, &faults.concat());
    let outcome =
        emulate(&scenario, &policy_node("copperspread"), "copperspread", 3).expect("the run completes");
    assert_all_accounted(&outcome, Arrivals::new(&scenario, 3).count());
    assert!(outcome.violations.is_empty(), "{:?} {:?}", outcome.violations, outcome.violation_examples);
    assert!(outcome.weight.in_time_share() > 0.5, "{:?}", outcome.weight);
    assert!(
        outcome.weight.failed > 0.0,
        "requests of the crashed scheduler should fail: {:?}",
        outcome.weight
    );
    assert!(outcome.machine_usage.is_some_and(|usage| usage.cpu_us_per_job > 0.0));
}

#[test]
fn a_fleet_without_faults_serves_its_jobs_under_random_and_two_choices() {
    let scenario = small_scenario(2.0, 30.0, "");
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let runs = [PolicyKind::Random, PolicyKind::TwoChoices].map(|kind| {
            let scenario = &scenario;
            scope.spawn(move || {
                emulate(scenario, &policy_node(&kind.name()), &kind.name(), 5).expect("the run completes")
            })
        });
        runs.map(|run| run.join().expect("the run does not panic")).into()
    });
    for outcome in &outcomes {
        assert_all_accounted(outcome, Arrivals::new(&scenario, 5).count());
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violation_examples);
        assert!(outcome.weight.in_time_share() > 0.8, "{}: {:?}", outcome.policy, outcome.weight);
    }
}

#[test]
fn rule_checker_detects_faulty_policies_on_sockets() {
    let drain_fault = fault_toml(0.5, 9.0, 0.7, "'drain'");
    // With `max_attempts = 1`, the dispatch policy does not retry in the same zone or in another one, so that
    // every further attempt comes from the faulty policy.
    let reset_fault = fault_toml(0.2, 9.0, 1.0, "{ resetting = 0.6 }") + "[settings]\nmax_attempts = 1\n";
    std::thread::scope(|scope| {
        for (policy, faults, rules) in [
            ("ignores_drains", &drain_fault, &[Rule::NoDispatchWhileDraining][..]),
            ("resends", &reset_fault, &[Rule::NonIdempotentOnce, Rule::KeyedWithinScope]),
        ] {
            scope.spawn(move || {
                let outcome = emulate(&small_scenario(4.0, 60.0, faults), &policy_node(policy), policy, 3)
                    .expect("the run completes");
                let found: Vec<_> = outcome.violations.keys().copied().collect();
                assert_eq!(found, rules, "{policy}: {:?}", outcome.violation_examples);
            });
        }
    });
}

// Measures a scheduler and a relay, which makes no dispatch decision: both must serve all requests and use
// processor time.
#[test]
fn the_cost_of_both_programs_is_measured_and_printed() {
    let program = |arguments: &[&str]| SchedulerProgram {
        file: env!("CARGO_BIN_EXE_copperspread-testbed").into(),
        arguments: arguments.iter().map(|&argument| argument.to_owned()).collect(),
    };
    let programs = [
        ("node".to_owned(), program(&["node", "--policy", "copperspread"])),
        ("relay".to_owned(), program(&["relay"])),
    ];
    let costs = measure_costs(&programs, CostSettings { rounds: 2, seconds: 0.5, clients: 8, workers: 3 })
        .expect("the measurement completes");
    for (name, rounds) in &costs {
        assert_eq!(rounds.len(), 2, "{name}");
        for sample in rounds {
            assert!(
                sample.rate > 10.0 && sample.cpu_us > 0.0 && sample.resident_mb > 0.5,
                "{name}: {sample:?}"
            );
            assert_eq!(sample.not_served, 0, "{name}");
        }
    }
    let text = format_table(&costs);
    assert!(text.contains("node against relay: CPU a request") && text.contains("over 2 rounds"), "{text}");
}

/// Starts a server that answers every request with `response`, or never responds. Its thread ends with the
/// test process.
fn start_server(response: Option<&'static str>) -> SocketAddr {
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime is created");
        runtime.block_on(async {
            let listener =
                tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is available");
            sender
                .send(listener.local_addr().expect("the listener has an address"))
                .expect("the test waits for the address");
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    while stream.read(&mut request).await.is_ok_and(|bytes| bytes > 0) {
                        if let Some(response) = response {
                            let _ = stream.write_all(response.as_bytes()).await;
                        }
                    }
                });
            }
        });
    });
    address.recv().expect("the server listens")
}

#[test]
fn rule_checker_detects_forged_results_and_missing_responses() {
    let cases = [
        (Some("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"), vec![Rule::GenuineResult]),
        (Some("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), vec![]),
        (Some("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), vec![]),
        (None, vec![Rule::ResponseBeforeDeadline]),
    ];
    for (response, rules) in cases {
        let scenario = small_scenario(0.5, 30.0, "");
        let running = SchedulerInstances::External(vec![start_server(response)]);
        let outcome = emulate(&scenario, &running, "a text", 3).expect("the run completes");
        assert_eq!(outcome.violations.keys().copied().collect::<Vec<_>>(), rules, "{response:?}");
        let count: u64 = outcome.violations.values().sum();
        assert!(rules.is_empty() || count == outcome.jobs, "{count} of {}", outcome.jobs);
    }
}

#[test]
fn a_scenario_that_cannot_be_emulated_is_an_error() {
    let missing = SchedulerInstances::Spawned(SchedulerProgram {
        file: "no/such/program".into(),
        arguments: Vec::new(),
    });
    let error = emulate(&small_scenario(1.0, 9.0, ""), &missing, "x", 1)
        .expect_err("the program does not exist")
        .to_string();
    assert!(error.contains("no/such/program"), "{error}");
    let ends_at_once =
        SchedulerInstances::Spawned(SchedulerProgram { file: "false".into(), arguments: Vec::new() });
    let error = emulate(&small_scenario(1.0, 9.0, ""), &ends_at_once, "x", 1)
        .expect_err("the program exits at once")
        .to_string();
    assert!(error.contains("exited before it was ready, with exit status: 1"), "{error}");
    let mut large = small_scenario(1.0, 9.0, "");
    large.workers[0].count = 500;
    let error =
        emulate(&large, &policy_node("random"), "x", 1).expect_err("the fleet is too large").to_string();
    assert!(error.contains("500 workers and 3 schedulers; emulate supports at most 200 and 16"), "{error}");
}
