//! The hard cases of a large fleet, 100 schedulers and 60 workers in virtual time: what all of them do
//! together. The list tells live sizes, a second late and renewed every 0.9 s.
use copperspread_lab::emulate::program::Program;
use copperspread_lab::emulate::{Schedulers, emulate};
use copperspread_lab::policy::Kind;
use copperspread_lab::scenario::Scenario;
use copperspread_lab::sim::play;

/// The mean share of the worth that is served in time, over some seeds; no rule may break in any.
fn served(text: &str, seeds: std::ops::Range<u64>) -> f64 {
    let scenario = Scenario::read(text).expect("a scenario");
    let count = (seeds.end - seeds.start) as f64;
    let mut sum = 0.0;
    for seed in seeds {
        let outcome = play(&scenario, Kind::Copperspread, seed).expect("it plays");
        assert!(outcome.breaches.is_empty(), "seed {seed}: {:?} {:?}", outcome.breaches, outcome.examples);
        assert_eq!(outcome.fell, 0, "seed {seed}: workers fell over");
        sum += outcome.worth.share();
    }
    sum / count
}

/// 0.651 over seeds 1 to 8 when it was written; 0.586 with the policy before, 0.589 where the list's sizes
/// are not used.
#[test]
fn six_in_ten_workers_replaced_within_7_s_are_used_while_they_are_cold() {
    let share = served(include_str!("../scenarios/vast-replaced.toml"), 1..7);
    assert!(share > 0.62, "{share}");
}

#[test]
fn a_zone_that_comes_back_cold_is_not_pushed_over() {
    let share = served(include_str!("../scenarios/vast-zone.toml"), 1..4);
    assert!(share > 0.75, "{share}");
}

#[test]
fn a_release_that_kills_most_schedulers_breaks_no_rule() {
    let share = served(include_str!("../scenarios/vast-release.toml"), 1..4);
    assert!(share > 0.5, "{share}");
}

/// Its list would show every worker idle.
#[test]
fn real_time_refuses_what_needs_live_sizes() {
    let text = include_str!("../scenarios/vast-zone.toml").replace("schedulers = 100", "schedulers = 3");
    let text = text.replace("count = 21", "count = 1").replace("count = 13", "count = 1");
    let scenario = Scenario::read(&text.replace("count = 26", "count = 1")).expect("a scenario");
    let (file, arguments) = ("none".into(), Vec::new());
    let none = Schedulers::Started(Program { file, arguments });
    let why = emulate(&scenario, &none, "none", 1).expect_err("no sizes there");
    assert!(why.contains("discovery.sizes"), "{why}");
}

#[test]
fn sizes_renewed_too_often_are_no_scenario() {
    let text = include_str!("../scenarios/vast-zone.toml").replace("sizes = 0.9", "sizes = 0.0001");
    assert!(Scenario::read(&text).expect_err("too often").contains("discovery.sizes"));
}
