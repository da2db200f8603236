//! Tests proposals that compete, are invalid, or are duplicated by the network.
mod simulation;

use copperspread_consensus::{Effect, MILLISECOND, RejectionReason, SECOND, Version};
use simulation::queries::reporting_members;
use simulation::{Report, Simulation, TestRules, member_name, next_version};

#[test]
fn of_two_proposals_on_opposite_sides_of_a_partition_one_is_accepted_and_the_other_rejected() {
    let mut simulation = Simulation::with_stable_leader(5, 9, 10);
    let first = simulation.newest_in_force();
    let next = next_version(first);
    simulation.partition(&[0, 1, 7]);
    simulation.propose(7, first, TestRules::new(7, &[1]));
    simulation.propose(8, first, TestRules::new(8, &[2]));
    simulation.run_for(8 * SECOND);
    simulation.network.cut_links.clear();
    simulation
        .run_until(10 * SECOND, |simulation| simulation.all_follow(next))
        .expect("one of the proposals takes effect within 10 s");
    simulation.run_for(2 * SECOND);
    assert!(simulation.all_follow(next), "the other proposal must have no effect");
    let rejected = simulation.reports_of(|effect| matches!(effect, Effect::ProposalRejected { .. }));
    assert_eq!(reporting_members(&simulation.accepted_proposals()), [8]);
    assert_eq!(reporting_members(&rejected), [7]);
    let names_version_in_force =
        |effect: &Effect| matches!(effect, Effect::ProposalRejected { in_force, .. } if *in_force == next);
    assert_eq!(simulation.reports_of(names_version_in_force).len(), 1);
    assert_eq!(simulation.longest_conflict(), 0);
}

/// The reason and the version in force of the last report; `None` unless it rejects a proposal of this
/// member.
fn last_rejection(simulation: &Simulation, member: usize) -> Option<(RejectionReason, Version)> {
    match simulation.reports.last() {
        Some(Report { member: by, effect: Effect::ProposalRejected { reason, in_force, .. }, .. })
            if *by == member =>
        {
            Some((*reason, *in_force))
        }
        _ => None,
    }
}

#[test]
fn a_proposal_on_a_stale_base_over_the_pending_limit_or_too_large_is_rejected_at_once_without_effect() {
    let mut simulation = Simulation::with_stable_leader(3, 4, 11);
    let first = simulation.newest_in_force();
    simulation.propose(3, Version::default(), TestRules::new(2, &[]));
    assert_eq!(last_rejection(&simulation, 3), Some((RejectionReason::StaleBase, first)));
    simulation.partition(&[3]);
    (0..9).for_each(|limit| simulation.propose(3, first, TestRules::new(limit + 1, &[])));
    assert_eq!(last_rejection(&simulation, 3), Some((RejectionReason::PendingLimitReached, first)));
    simulation.network.cut_links.clear();
    simulation.run_for(5 * SECOND);
    assert_eq!(
        simulation.newest_in_force(),
        next_version(first),
        "exactly one of the eight proposals must take effect"
    );
    assert_eq!(simulation.accepted_proposals().len(), 1);

    let configure = |simulation: &mut Simulation| simulation.settings.max_document_bytes = 4;
    let mut simulation = Simulation::configured(3, 3, 11, configure);
    let first = simulation.newest_in_force();
    simulation.propose(0, first, TestRules::new(1, &[1, 2, 3, 4]));
    assert!(matches!(last_rejection(&simulation, 0), Some((RejectionReason::TooLarge, _))));
}

#[test]
fn a_duplicated_proposal_whose_results_are_lost_takes_effect_once() {
    for seed in 0..10 {
        let mut simulation = Simulation::with_stable_leader(3, 4, seed);
        let next = next_version(simulation.newest_in_force());
        simulation.network.duplicate_percent = 100;
        simulation.network.max_extra_delay = 300 * MILLISECOND;
        let leader = simulation.leader().expect("a leader was elected");
        let proposer = (0..4).find(|member| *member != leader).expect("another member exists");
        simulation.network.cut_links.insert((leader, proposer));
        simulation.propose_next(proposer);
        simulation.run_for(2 * SECOND);
        simulation.network.cut_links.clear();
        simulation.run_for(8 * SECOND);
        assert_eq!(
            simulation.newest_in_force(),
            next,
            "the proposal of {} must take effect once",
            member_name(proposer)
        );
        assert_eq!(simulation.accepted_proposals().len(), 1);
    }
}
