//! Whole runs in real time, scaled down to some seconds: the laboratory's own node as processes.
use std::net::SocketAddr;

use copperspread_settings::platform::read_startup_config;
use copperspread_testbed::cost::{Terms, measure, table};
use copperspread_testbed::emulate::program::{Program, configuration};
use copperspread_testbed::emulate::{Schedulers, emulate};
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::outcome::Outcome;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::referee::Rule;
use copperspread_testbed::scenario::Scenario;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A small fleet for so many seconds.
fn small(seconds: f64, rate: f64, faults: &str) -> Scenario {
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
    Scenario::read(&text).expect("a scenario")
}

fn fault(at: f64, lasts: f64, share: f64, what: &str) -> String {
    format!("[[faults]]\nat = {at:?}\nlasts = {lasts:?}\nshare = {share:?}\nwhat = {what}\n")
}

/// The laboratory's node with a policy in it.
fn node(policy: &str) -> Schedulers {
    let arguments = ["node", "--policy", policy].map(str::to_owned).to_vec();
    Schedulers::Started(Program { file: env!("CARGO_BIN_EXE_copperspread-testbed").into(), arguments })
}

fn kept(outcome: &Outcome, jobs: usize) {
    let worth = outcome.worth;
    let parts = worth.in_time + worth.late + worth.refused + worth.failed + worth.lost;
    assert!((parts - worth.asked).abs() < 1e-6 * worth.asked, "{worth:?}");
    assert_eq!(outcome.jobs, jobs as u64);
}

// What a scheduler reads from the configuration is what the module is given in virtual time.
#[test]
fn both_drives_give_schedulers_the_same_settings() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    for file in std::fs::read_dir(folder).expect("a folder").flatten() {
        let text = std::fs::read_to_string(file.path()).expect("a file");
        let scenario = Scenario::read(&text).expect("a scenario");
        for scheduler in 0..scenario.schedulers {
            let laid = configuration(&scenario, scheduler, 7, address, address, None).to_string();
            let start = read_startup_config(&laid).expect("a configuration");
            assert_eq!(start.settings.dispatch, scenario.settings(scheduler), "{}", scenario.name);
        }
    }
}

#[test]
fn the_module_keeps_all_rules_while_everything_goes_wrong_on_sockets() {
    let faults = [
        fault(0.5, 5.0, 0.3, "{ resetting = 0.3 }"),
        fault(0.5, 5.0, 0.3, "{ garbled = 0.3 }"),
        fault(0.5, 5.0, 0.3, "{ late_news = 0.4 }"),
        fault(0.5, 5.0, 0.5, "'doubled_news'"),
        fault(1.0, 1.0, 0.2, "'crash'"),
        fault(1.5, 1.5, 0.2, "'vanish'"),
        fault(2.0, 2.0, 0.3, "'drain'"),
        fault(2.5, 1.0, 0.2, "'refusing'"),
        fault(3.0, 1.0, 0.2, "'scheduler_crash'"),
        fault(2.0, 3.7, 0.2, "'scheduler_restart'"),
        fault(1.0, 1.5, 0.2, "'discovery_down'"),
        fault(3.5, 2.0, 0.2, "'discovery_contradicts'"),
    ];
    let scenario = small(6.0, 60.0, &faults.concat());
    let outcome = emulate(&scenario, &node("copperspread"), "copperspread", 3).expect("it plays");
    kept(&outcome, Arrivals::new(&scenario, 3).count());
    assert!(outcome.breaches.is_empty(), "{:?} {:?}", outcome.breaches, outcome.examples);
    assert!(outcome.worth.share() > 0.5, "{:?}", outcome.worth);
    assert!(outcome.worth.failed > 0.0, "what a dead scheduler had taken: {:?}", outcome.worth);
    assert!(outcome.measured.is_some_and(|of| of.cpu_us_a_job > 0.0));
}

#[test]
fn a_quiet_fleet_serves_all_and_all_policies_play() {
    let scenario = small(2.0, 30.0, "");
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let runs = [PolicyKind::Random, PolicyKind::TwoChoices].map(|kind| {
            let scenario = &scenario;
            scope.spawn(move || emulate(scenario, &node(&kind.name()), &kind.name(), 5).expect("it plays"))
        });
        runs.map(|run| run.join().expect("a run")).into()
    });
    for outcome in &outcomes {
        kept(outcome, Arrivals::new(&scenario, 5).count());
        assert!(outcome.breaches.is_empty(), "{:?}", outcome.examples);
        assert!(outcome.worth.share() > 0.8, "{}: {:?}", outcome.policy, outcome.worth);
    }
}

#[test]
fn schedulers_that_are_broken_on_purpose_are_caught_on_sockets() {
    let drains = fault(0.5, 9.0, 0.7, "'drain'");
    // One attempt: the module itself sends none again, within a zone or not.
    let resets = fault(0.2, 9.0, 1.0, "{ resetting = 0.6 }") + "[settings]\nmax_attempts = 1\n";
    std::thread::scope(|scope| {
        for (policy, faults, rules) in [
            ("ignores_drains", &drains, &[Rule::Drained][..]),
            ("resends", &resets, &[Rule::UnsafeTwice, Rule::KeyedTwice]),
        ] {
            scope.spawn(move || {
                let outcome = emulate(&small(4.0, 60.0, faults), &node(policy), policy, 3).expect("it plays");
                let found: Vec<_> = outcome.breaches.keys().copied().collect();
                assert_eq!(found, rules, "{policy}: {:?}", outcome.examples);
            });
        }
    });
}

// The same exchange, decided and not: both serve, and neither is free.
#[test]
fn the_cost_of_both_sides_is_measured_and_told() {
    let program = |arguments: &[&str]| Program {
        file: env!("CARGO_BIN_EXE_copperspread-testbed").into(),
        arguments: arguments.iter().map(|&of| of.to_owned()).collect(),
    };
    let sides = [
        ("node".to_owned(), program(&["node", "--policy", "copperspread"])),
        ("relay".to_owned(), program(&["relay"])),
    ];
    let shown =
        measure(&sides, Terms { rounds: 2, seconds: 0.5, clients: 8, workers: 3 }).expect("it measures");
    for (name, rounds) in &shown {
        assert_eq!(rounds.len(), 2, "{name}");
        for of in rounds {
            assert!(of.rate > 10.0 && of.cpu_us > 0.0 && of.resident_mb > 0.5, "{name}: {of:?}");
            assert_eq!(of.not_served, 0, "{name}");
        }
    }
    let told = table(&shown);
    assert!(told.contains("node against relay: CPU a request") && told.contains("over 2 rounds"), "{told}");
}

/// A server that answers every request with a text, or never.
fn server(answer: Option<&'static str>) -> SocketAddr {
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            sender.send(listener.local_addr().expect("an address")).expect("the test waits");
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut heard = [0; 4096];
                    while stream.read(&mut heard).await.is_ok_and(|bytes| bytes > 0) {
                        if let Some(answer) = answer {
                            let _ = stream.write_all(answer.as_bytes()).await;
                        }
                    }
                });
            }
        });
    });
    address.recv().expect("it listens")
}

#[test]
fn what_no_worker_made_and_what_never_comes_is_caught() {
    let cases = [
        (Some("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"), vec![Rule::Forged]),
        (Some("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), vec![]),
        (Some("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), vec![]),
        (None, vec![Rule::AnswerInTime]),
    ];
    for (answer, rules) in cases {
        let scenario = small(0.5, 30.0, "");
        let running = Schedulers::Running(vec![server(answer)]);
        let outcome = emulate(&scenario, &running, "a text", 3).expect("it plays");
        assert_eq!(outcome.breaches.keys().copied().collect::<Vec<_>>(), rules, "{answer:?}");
        let count: u64 = outcome.breaches.values().sum();
        assert!(rules.is_empty() || count == outcome.jobs, "{count} of {}", outcome.jobs);
    }
}

#[test]
fn what_cannot_be_played_is_said() {
    let gone = Schedulers::Started(Program { file: "no/such/program".into(), arguments: Vec::new() });
    let error = emulate(&small(1.0, 9.0, ""), &gone, "x", 1).expect_err("no program");
    assert!(error.contains("no/such/program"), "{error}");
    let ends = Schedulers::Started(Program { file: "false".into(), arguments: Vec::new() });
    let error = emulate(&small(1.0, 9.0, ""), &ends, "x", 1).expect_err("it ends");
    assert!(error.contains("ended with exit status: 1"), "{error}");
    let mut large = small(1.0, 9.0, "");
    large.workers[0].count = 500;
    let error = emulate(&large, &node("random"), "x", 1).expect_err("too large");
    assert!(error.contains("500 workers and 3 schedulers; emulate plays 200 and 16 at most"), "{error}");
}
