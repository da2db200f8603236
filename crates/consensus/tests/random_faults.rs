//! Runs simulations with random faults, and checks each for conflicting decisions.
mod simulation;

use copperspread_consensus::{MILLISECOND, Node, SECOND};
use simulation::Simulation;

/// Injects one random fault, or makes a proposal.
fn inject_fault(simulation: &mut Simulation, rng: &mut fastrand::Rng, voters: usize) {
    let members = simulation.member_count();
    let member = rng.usize(0..members);
    // Erases a voter's disk only while all voters vote, so that never more than a minority has lost its
    // state.
    let all_vote = (0..voters).all(|voter| simulation.node(voter).is_some_and(Node::is_voting));
    match rng.u32(0..12) {
        0..4 => simulation.propose_next(member),
        4 => simulation.pause(member, rng.u64(100 * MILLISECOND..6 * SECOND)),
        5 if simulation.is_running(member) => simulation.crash(member),
        6 => simulation.start_all(),
        7 if member < voters && all_vote => {
            simulation.crash(member);
            simulation.erase_disk(member);
            simulation.start(member);
        }
        8 => simulation.partition(&[member, rng.usize(0..members), rng.usize(0..members)]),
        9 => {
            simulation.network.cut_links.insert((member, rng.usize(0..members)));
        }
        10 => simulation.network.cut_links.clear(),
        _ => {}
    }
}

/// A run of about 40 s with random faults, followed by 15 s without any.
fn random_run(seed: u64, skips_lease_check: bool) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(seed);
    let voters = [3, 5, 7][seed as usize % 3];
    let members = voters + rng.usize(0..=9 - voters);
    // The slowest clock within the bound of 1 % has 1 / 1.01 of the true rate, which is about -9,901 ppm.
    let clocks: Vec<i64> = (0..members).map(|_| rng.i64(-9_900..=10_000)).collect();
    let mut simulation = Simulation::configured(voters, members, seed, |simulation| {
        for (member, ppm) in clocks.into_iter().enumerate() {
            simulation.set_initial_clock_ppm(member, ppm);
        }
        simulation.skips_lease_check = skips_lease_check;
    });
    simulation.network.loss_percent = rng.u32(0..30);
    simulation.network.duplicate_percent = rng.u32(0..20);
    simulation.network.max_extra_delay = rng.u64(MILLISECOND..80 * MILLISECOND);
    for _ in 0..80 {
        inject_fault(&mut simulation, &mut rng, voters);
        simulation.run_for(rng.u64(0..SECOND));
    }
    simulation.network.cut_links.clear();
    simulation.network.loss_percent = 0;
    simulation.network.duplicate_percent = 0;
    simulation.network.max_extra_delay = 5 * MILLISECOND;
    simulation.start_all();
    simulation.run_for(15 * SECOND);
    simulation
}

#[test]
fn in_200_runs_with_faults_and_clocks_within_the_bound_no_decisions_conflict_and_members_converge() {
    let (mut longest, mut versions) = (0, 0);
    for seed in 0..200 {
        let simulation = random_run(seed, false);
        let longest_in_run = simulation.longest_conflict();
        // Leases alone limit a conflict to the staleness bound; if clocks are within the bound, none occurs.
        assert_eq!(longest_in_run, 0, "run {seed}");
        let newest = simulation.newest_in_force();
        assert!(simulation.all_follow(newest), "run {seed}: all members must follow one version at its end");
        (longest, versions) = (longest.max(longest_in_run), versions + newest.number);
    }
    println!("longest conflict {longest} us; {versions} versions took effect");
    assert!(versions > 400, "only {versions} versions took effect in 200 runs");
}

#[test]
fn without_the_lease_check_the_same_checker_finds_conflicts_beyond_the_staleness_bound() {
    let beyond_bound = (0..20).filter(|seed| {
        let simulation = random_run(*seed, true);
        simulation.longest_conflict() > simulation.settings.staleness_bound()
    });
    assert!(beyond_bound.count() >= 5);
}
