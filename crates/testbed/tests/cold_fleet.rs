//! Slow start in fleets of all sizes: while workers restart in turn, seven in ten schedulers are killed, and
//! all schedulers are notified late of the worker starts just before.
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::scenario::Scenario;
use copperspread_testbed::simulation::simulate;

/// Returns the release scenario with other numbers of schedulers and of workers of each kind, and with an
/// arrival rate in proportion to the workers. Discovery is down for 3 s before the schedulers are killed.
fn release(schedulers: u32, workers: [u32; 3]) -> Scenario {
    let text = include_str!("../scenarios/vast-release.toml");
    let mut text = text.replace("schedulers = 100", &format!("schedulers = {schedulers}"));
    for (from, to) in [21, 13, 26].iter().zip(workers) {
        text = text.replace(&format!("count = {from}\n"), &format!("count = {to}\n"));
    }
    let rate = 290.0 / 60.0 * f64::from(workers.iter().sum::<u32>());
    text = text.replace("rate = 290.0", &format!("rate = {rate:.1}"));
    text += "\n[[faults]]\nat = 10.5\nlasts = 3.0\nwhat = \"discovery_down\"\n";
    let scenario = Scenario::parse(&text).expect("valid scenario");
    let workers: u32 = workers.iter().sum();
    assert_eq!(scenario.workers.iter().map(|group| group.count).sum::<u32>(), workers);
    scenario
}

/// Checks that more than half of the weight is served in time with 3, 20, 30 and 300 schedulers, without
/// violation or overload. The `two_choices` policy must overload workers, which shows that the slow-start
/// budget matters.
#[test]
fn fleets_of_all_sizes_restart_during_slow_start_without_violation_or_overload() {
    let mut two_choices_overloads = 0;
    for (schedulers, workers, seeds) in
        [(3, [2, 2, 2], 1..7), (20, [7, 4, 9], 1..7), (30, [7, 4, 9], 1..7), (300, [63, 39, 78], 1..3)]
    {
        let scenario = release(schedulers, workers);
        let (mut sum, count) = (0.0, seeds.end - seeds.start);
        for seed in seeds {
            let outcome = simulate(&scenario, PolicyKind::Copperspread, seed).expect("valid settings");
            let violations = (&outcome.violations, &outcome.violation_examples);
            assert!(outcome.violations.is_empty(), "{schedulers} schedulers, seed {seed}: {violations:?}");
            assert_eq!(
                outcome.overloads, 0,
                "{schedulers} schedulers, seed {seed}: workers failed from overload"
            );
            sum += outcome.weight.in_time_share() / count as f64;
            if schedulers < 300 {
                two_choices_overloads +=
                    simulate(&scenario, PolicyKind::TwoChoices, seed).expect("valid settings").overloads;
            }
        }
        println!("{schedulers} schedulers: {sum:.3} of the weight");
        assert!(sum > 0.5, "{schedulers} schedulers: {sum}");
    }
    assert!(
        two_choices_overloads > 0,
        "the two_choices policy overloads no worker: no slow-start budget is at risk"
    );
}
