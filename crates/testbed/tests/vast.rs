//! Large fleets, 100 schedulers and 60 workers, in the simulation. The endpoint list has live sizes, a second late
//! and published every 0.9 s.
use copperspread_testbed::emulation::scheduler_process::SchedulerProgram;
use copperspread_testbed::emulation::{SchedulerInstances, emulate};
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::rule_checker::Rule;
use copperspread_testbed::scenario::Scenario;
use copperspread_testbed::simulation::simulate;

/// The mean share of the weight that is served in time, over some seeds; no run may violate a rule.
fn mean_share(text: &str, seeds: std::ops::Range<u64>) -> f64 {
    let scenario = Scenario::parse(text).expect("a scenario");
    let count = (seeds.end - seeds.start) as f64;
    let mut sum = 0.0;
    for seed in seeds {
        let outcome = simulate(&scenario, PolicyKind::Copperspread, seed).expect("valid settings");
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {:?} {:?}",
            outcome.violations,
            outcome.violation_examples
        );
        assert_eq!(outcome.overloads, 0, "seed {seed}: workers were overloaded");
        sum += outcome.weight.in_time_share();
    }
    sum / count
}

/// Six in ten workers replaced within 7 s: the ones in slow start are used. A zone returns in slow start: none is
/// overloaded. A release kills most schedulers: no rule is violated. Measured: 0.681, 0.860 and 0.608. With a slow-
/// start share that fades out: 0.661, 0.859 and 0.607; also without affinity: 0.650, 0.822 and 0.612;
/// the first without the list's sizes: 0.589.
#[test]
fn large_fleets_violate_no_rule_and_keep_their_share() {
    for (name, text, seeds, min_share) in [
        ("replaced", include_str!("../scenarios/vast-replaced.toml"), 1..7, 0.67),
        ("zone", include_str!("../scenarios/vast-zone.toml"), 1..4, 0.84),
        ("release", include_str!("../scenarios/vast-release.toml"), 1..4, 0.58),
    ] {
        let share = mean_share(text, seeds);
        assert!(share > min_share, "{name}: {share}");
    }
}

/// The emulation's list would show every worker idle.
#[test]
fn emulation_rejects_scenarios_with_live_sizes() {
    let text = include_str!("../scenarios/vast-zone.toml").replace("schedulers = 100", "schedulers = 3");
    let text = text.replace("count = 21", "count = 1").replace("count = 13", "count = 1");
    let scenario = Scenario::parse(&text.replace("count = 26", "count = 1")).expect("a scenario");
    let (file, arguments) = ("none".into(), Vec::new());
    let none = SchedulerInstances::Spawned(SchedulerProgram { file, arguments });
    let error = emulate(&scenario, &none, "none", 1).expect_err("no sizes there");
    assert!(error.to_string().contains("discovery.sizes"), "{error}");
}

#[test]
fn too_frequent_size_updates_are_invalid() {
    let text = include_str!("../scenarios/vast-zone.toml").replace("sizes = 0.9", "sizes = 0.0001");
    assert!(Scenario::parse(&text).expect_err("too often").to_string().contains("discovery.sizes"));
}

/// The same fleets three times as large: 300 schedulers and 180 workers, each scheduler with the same few jobs a
/// second. Measured on seeds 1 to 3: 0.591 (release: seven in ten schedulers killed within a second and back a second
/// later), 0.878 (roll: a tenth of them restarted at a time, discovery moves, fifteen get five times as many
/// clients), 0.695 (replaced) and 0.859 (zone), none over the slow-start budget; with a slow-start share that fades
/// out 0.584, 0.874, 0.677 and 0.863. On the release of seed 1 two choices at random gave 0.475 with 108 overloaded
/// workers: the check below keeps this test from passing on a scenario in which no budget is ever at risk.
#[test]
fn three_hundred_schedulers_violate_no_rule_and_keep_their_share() {
    let larger = |text: &str| {
        let text =
            text.replace("schedulers = 100", "schedulers = 300").replace("rate = 290.0", "rate = 870.0");
        let text = text.replace("count = 21\n", "count = 63\n").replace("count = 13\n", "count = 39\n");
        let text = text.replace("crowded = { schedulers = 5,", "crowded = { schedulers = 15,");
        text.replace("count = 26\n", "count = 78\n")
    };
    for (name, text, min_share) in [
        ("release", include_str!("../scenarios/vast-release.toml"), 0.56),
        ("roll", include_str!("../scenarios/vast-roll.toml"), 0.86),
        ("replaced", include_str!("../scenarios/vast-replaced.toml"), 0.685),
        ("zone", include_str!("../scenarios/vast-zone.toml"), 0.83),
    ] {
        let text = larger(text);
        assert!(text.contains("schedulers = 300") && text.contains("count = 78"), "{name}: not scaled");
        let share = mean_share(&text, 1..4);
        assert!(share > min_share, "{name}: {share}");
        if name == "release" {
            let scenario = Scenario::parse(&text).expect("a scenario");
            let plain = simulate(&scenario, PolicyKind::TwoChoices, 1).expect("valid settings");
            assert!(
                plain.overloads > 0 || plain.weight.in_time_share() <= min_share,
                "release: two choices pass it"
            );
        }
    }
}

/// A restart in the model must not hide requests that a scheduler leaves without a response.
#[test]
fn a_scheduler_that_stops_without_responding_violates_a_rule() {
    let text = include_str!("../scenarios/vast-roll.toml").replace("lasts = 8.0", "lasts = 0.2");
    let scenario = Scenario::parse(&text).expect("a scenario");
    let outcome = simulate(&scenario, PolicyKind::Copperspread, 1).expect("valid settings");
    let unanswered = outcome.violations.get(&Rule::ResponseBeforeDeadline).copied().unwrap_or_default();
    assert!(unanswered > 10 && outcome.weight.unanswered > 0.0, "{unanswered}, {:?}", outcome.weight);
}

#[test]
fn crowded_schedulers_get_more_clients_and_invalid_crowds_are_rejected() {
    let text = include_str!("../scenarios/vast-roll.toml");
    let scenario = Scenario::parse(text).expect("a scenario");
    let mut arrivals = [0.0; 100];
    Arrivals::new(&scenario, 1).for_each(|job| arrivals[job.scheduler.index()] += 1.0);
    let (crowded, others) =
        (arrivals[..5].iter().sum::<f64>() / 5.0, arrivals[5..].iter().sum::<f64>() / 95.0);
    assert!((4.5..5.5).contains(&(crowded / others)), "{crowded} against {others}");
    for invalid in
        ["schedulers = 0, times = 5.0", "schedulers = 100, times = 5.0", "schedulers = 5, times = -1.0"]
    {
        let text = text.replace("schedulers = 5, times = 5.0", invalid);
        assert!(Scenario::parse(&text).expect_err(invalid).to_string().contains("clients.crowded"));
    }
}
