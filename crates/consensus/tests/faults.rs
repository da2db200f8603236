//! Tests the group while members crash, pause, lose their disks or are partitioned; see
//! `docs/design/0004-fleet.md`.
mod simulation;

use copperspread_consensus::{Effect, Node, SECOND};
use simulation::queries::reporting_members;
use simulation::{Simulation, TestRules, next_version};

#[test]
fn with_3_5_or_7_voters_all_members_follow_a_new_version_within_half_a_second() {
    for (voters, members) in [(3, 3), (3, 5), (5, 9), (7, 9)] {
        let mut simulation = Simulation::with_stable_leader(voters, members, 1);
        let next = next_version(simulation.newest_in_force());
        simulation.propose_next(members - 1);
        let elapsed = simulation.run_until(5 * SECOND, |simulation| simulation.all_follow(next));
        let elapsed = elapsed.expect("all members follow the new version within 5 s");
        assert!(
            elapsed < SECOND / 2,
            "with {voters} voters and {members} members the new version took {elapsed} us"
        );
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn all_of_120_members_follow_a_new_version_within_a_second() {
    let mut simulation = Simulation::with_stable_leader(5, 120, 2);
    let next = next_version(simulation.newest_in_force());
    simulation.propose_next(100);
    let elapsed = simulation.run_until(5 * SECOND, |simulation| simulation.all_follow(next));
    let elapsed = elapsed.expect("all members follow the new version within 5 s");
    assert!(elapsed < SECOND, "the new version took {elapsed} us");
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn a_version_committed_by_a_leader_that_crashes_before_its_response_takes_effect_and_is_reported_once() {
    for seed in 0..10 {
        let mut simulation = Simulation::with_stable_leader(5, 7, seed);
        let leader = simulation.leader().expect("a leader was elected");
        let first = simulation.newest_in_force();
        let proposer = (leader + 1) % 5;
        // The leader reaches only the other three voters, so that it can commit but cannot respond to the
        // proposer.
        for member in (0..7).filter(|member| *member >= 5 || *member == proposer) {
            simulation.network.cut_links.insert((leader, member));
        }
        simulation.propose_next(proposer);
        simulation.run_until(SECOND, |simulation| {
            simulation.node(leader).is_some_and(|node| node.leased_rules().newest() > first)
        });
        simulation.crash(leader);
        simulation.network.cut_links.clear();
        let next = next_version(first);
        simulation
            .run_until(10 * SECOND, |simulation| simulation.others_follow(leader, next))
            .expect("the committed version takes effect within 10 s");
        assert_eq!(simulation.accepted_proposals().len(), 1, "the next leader must report the result once");
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn a_minority_follows_the_old_version_until_its_lease_expires_and_then_the_restricted_rules() {
    let mut simulation = Simulation::with_stable_leader(5, 9, 3);
    let first = simulation.newest_in_force();
    let leader = simulation.leader().expect("a leader was elected");
    let minority = [leader, (leader + 1) % 5, 7];
    simulation.partition(&minority);
    let partitioned_at = simulation.now;
    simulation.run_for(simulation.settings.lease_duration / 2);
    let follows_first = |&member: &usize| simulation.followed_version(member) == Some(first);
    assert!(minority.iter().all(follows_first), "the minority's leases must still hold");
    simulation.run_for(simulation.settings.lease_duration);
    let is_restricted = |&member: &usize| simulation.followed_version(member).is_none();
    assert!(minority.iter().all(is_restricted), "the minority's leases must have expired");
    let expired = simulation.reports_of(|effect| *effect == Effect::LeaseExpired);
    let bound = simulation.settings.staleness_bound();
    let expired_members = reporting_members(&expired);
    let is_any_late = expired.iter().any(|report| report.at - partitioned_at > bound);
    assert!(minority.iter().all(|member| expired_members.contains(member)) && !is_any_late);
    let majority_voter =
        (0..5).find(|member| !minority.contains(member)).expect("a voter of the majority exists");
    simulation.propose_next(majority_voter);
    let next = next_version(first);
    let majority_follows = |simulation: &Simulation| {
        let mut majority = (0..9).filter(|member| !minority.contains(member));
        majority.all(|member| simulation.followed_version(member) == Some(next))
    };
    simulation
        .run_until(10 * SECOND, majority_follows)
        .expect("the majority follows the new version within 10 s");
    simulation.network.cut_links.clear();
    simulation
        .run_until(10 * SECOND, |simulation| simulation.all_follow(next))
        .expect("all members follow the new version within 10 s of healing the partition");
    assert!(simulation.reports_of(|effect| *effect == Effect::LeaseRestored).len() >= 3);
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn without_a_quorum_no_version_changes_and_members_report_it_and_follow_the_restricted_rules() {
    let mut simulation = Simulation::with_stable_leader(3, 6, 4);
    let first = simulation.newest_in_force();
    simulation.crash(0);
    simulation.crash(1);
    simulation.propose_next(4);
    simulation.run_for(10 * SECOND);
    assert_eq!(simulation.newest_in_force(), first);
    let expired = reporting_members(&simulation.reports_of(|effect| *effect == Effect::LeaseExpired));
    for member in 2..6 {
        assert!(expired.contains(&member), "m{member} must report that its lease expired");
        let clock = simulation.clock(member);
        let node = simulation.node(member).expect("the member is running");
        let restricted = TestRules::new(1, &[0, 1, 2, 3, 4, 5, 6, 7]);
        assert_eq!(
            *node.effective_rules(clock).rules(),
            restricted,
            "m{member} must follow the restricted rules"
        );
    }
    simulation.start(0);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.others_follow(1, next_version(first)))
        .expect("the restarted voter restores the quorum, and the pending proposal takes effect within 10 s");
}

#[test]
fn a_member_that_resumes_after_its_lease_has_expired_does_not_decide_by_the_old_version() {
    for skips_lease_check in [false, true] {
        let configure = |simulation: &mut Simulation| simulation.skips_lease_check = skips_lease_check;
        let mut simulation = Simulation::configured(3, 5, 5, configure);
        simulation.run_for(3 * SECOND);
        simulation.pause(4, 10 * SECOND);
        simulation.run_for(SECOND);
        simulation.propose_next(1);
        simulation.run_for(12 * SECOND);
        let longest = simulation.longest_conflict();
        if skips_lease_check {
            assert!(
                longest > simulation.settings.staleness_bound(),
                "the checker must find a conflict beyond the bound: {longest} us"
            );
        } else {
            assert_eq!(longest, 0);
        }
    }
}

#[test]
fn with_30_percent_loss_and_a_proposal_every_second_versions_take_effect_without_conflict() {
    let mut simulation = Simulation::with_stable_leader(5, 9, 6);
    (simulation.network.loss_percent, simulation.network.duplicate_percent) = (30, 10);
    let first = simulation.newest_in_force();
    for second in 0..60 {
        simulation.propose_next(second % 9);
        simulation.run_for(SECOND);
    }
    simulation.network.loss_percent = 0;
    simulation.run_for(5 * SECOND);
    let in_force = simulation.newest_in_force().number - first.number;
    assert!(in_force >= 30, "only {in_force} of 60 proposals took effect");
    assert_eq!(
        simulation.accepted_proposals().len() as u64,
        in_force,
        "each accepted proposal must take effect once"
    );
    assert!(simulation.all_follow(simulation.newest_in_force()));
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn after_a_one_way_partition_of_the_leader_a_leader_with_a_quorum_replaces_it() {
    for cuts_towards_leader in [false, true] {
        let mut simulation = Simulation::with_stable_leader(5, 7, 7);
        let leader = simulation.leader().expect("a leader was elected");
        let next = next_version(simulation.newest_in_force());
        for member in (0..7).filter(|member| *member != leader) {
            let link = if cuts_towards_leader { (member, leader) } else { (leader, member) };
            simulation.network.cut_links.insert(link);
        }
        simulation.run_for(3 * SECOND);
        let other = simulation.leader().expect("a leader exists after 3 s");
        assert_ne!(other, leader);
        simulation.propose_next(other);
        simulation
            .run_until(10 * SECOND, |simulation| simulation.others_follow(leader, next))
            .expect("the other members follow the new version within 10 s");
        assert_eq!(simulation.followed_version(leader), None);
        simulation.network.cut_links.clear();
        simulation
            .run_until(10 * SECOND, |simulation| simulation.all_follow(next))
            .expect("all members follow the new version within 10 s of healing the partition");
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn a_voter_restarted_with_an_empty_disk_votes_only_after_it_has_a_commit_from_after_its_start() {
    let mut simulation = Simulation::with_stable_leader(3, 4, 8);
    let first = simulation.newest_in_force();
    let second = next_version(first);
    let third = next_version(second);
    simulation.crash(1);
    simulation.run_for(SECOND);
    // Only one other voter runs; a voter that has lost its state must not form a quorum with it.
    simulation.crash(0);
    simulation.erase_disk(1);
    simulation.start(1);
    simulation.run_for(10 * SECOND);
    assert!(
        !simulation.node(1).expect("the restarted voter is running").is_voting(),
        "the restarted voter must not vote before it has caught up"
    );
    assert_eq!(simulation.leader(), None);
    simulation.start(0);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.node(1).is_some_and(Node::is_voting))
        .expect("the restarted voter catches up within 10 s");
    simulation
        .run_until(10 * SECOND, |simulation| simulation.followed_version(1) == Some(first))
        .expect("the restarted voter has a lease within 10 s");
    simulation.propose_next(1);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.all_follow(second))
        .expect("its proposal takes effect within 10 s");
    // The quorum now needs the vote of the restarted voter.
    simulation.crash(0);
    simulation.propose_next(2);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.others_follow(0, third))
        .expect("the restarted voter completes the quorum within 10 s");
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn when_all_voters_lose_their_disks_a_later_epoch_begins_once_all_old_leases_have_expired() {
    let mut simulation = Simulation::with_stable_leader(3, 5, 9);
    let first = simulation.newest_in_force();
    simulation.propose_next(0);
    simulation.run_for(SECOND);
    (0..3).for_each(|voter| simulation.crash(voter));
    (0..3).for_each(|voter| simulation.erase_disk(voter));
    (0..3).for_each(|voter| simulation.start(voter));
    simulation
        .run_until(20 * SECOND, |simulation| {
            (0..5).all(|member| {
                simulation.followed_version(member).is_some_and(|version| version.epoch > first.epoch)
            })
        })
        .expect("all members follow a version of a later epoch within 20 s");
    assert_eq!(simulation.longest_conflict(), 0);
}
