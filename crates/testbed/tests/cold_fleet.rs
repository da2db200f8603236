//! Cold workers in fleets of all sizes: while workers restart in turn, seven in ten schedulers are killed
//! amid the ramp, and all hear late of the starts just before.
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::scenario::Scenario;
use copperspread_testbed::simulation::simulate;

/// The release of 100 schedulers with another number of them, so many workers of each kind, and clients for
/// these; discovery is down for 3 s before the kill.
fn release(schedulers: u32, workers: [u32; 3]) -> Scenario {
    let text = include_str!("../scenarios/vast-release.toml");
    let mut text = text.replace("schedulers = 100", &format!("schedulers = {schedulers}"));
    for (was, now) in [21, 13, 26].iter().zip(workers) {
        text = text.replace(&format!("count = {was}\n"), &format!("count = {now}\n"));
    }
    let rate = 290.0 / 60.0 * f64::from(workers.iter().sum::<u32>());
    text = text.replace("rate = 290.0", &format!("rate = {rate:.1}"));
    text += "\n[[faults]]\nat = 10.5\nlasts = 3.0\nwhat = \"discovery_down\"\n";
    let scenario = Scenario::parse(&text).expect("a scenario");
    let workers: u32 = workers.iter().sum();
    assert_eq!(scenario.workers.iter().map(|of| of.count).sum::<u32>(), workers);
    scenario
}

/// The share of the worth served in 0.5 and more: 3, 20, 30 and 300 schedulers.
#[test]
fn fleets_of_all_sizes_that_restart_amid_the_ramp_keep_every_rule_and_push_no_cold_worker_over() {
    let mut two_choices_fell = 0;
    for (schedulers, workers, seeds) in
        [(3, [2, 2, 2], 1..7), (20, [7, 4, 9], 1..7), (30, [7, 4, 9], 1..7), (300, [63, 39, 78], 1..3)]
    {
        let scenario = release(schedulers, workers);
        let (mut sum, count) = (0.0, seeds.end - seeds.start);
        for seed in seeds {
            let outcome = simulate(&scenario, PolicyKind::Copperspread, seed).expect("it plays");
            let seen = (&outcome.violations, &outcome.violation_examples);
            assert!(outcome.violations.is_empty(), "{schedulers} schedulers, seed {seed}: {seen:?}");
            assert_eq!(outcome.overloads, 0, "{schedulers} schedulers, seed {seed}: workers fell over");
            sum += outcome.weight.in_time_share() / count as f64;
            if schedulers < 300 {
                two_choices_fell +=
                    simulate(&scenario, PolicyKind::TwoChoices, seed).expect("it plays").overloads;
            }
        }
        println!("{schedulers} schedulers: {sum:.3} of the worth");
        assert!(sum > 0.5, "{schedulers} schedulers: {sum}");
    }
    assert!(two_choices_fell > 0, "no budget is ever at stake");
}
