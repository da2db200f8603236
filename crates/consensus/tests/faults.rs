//! Members that crash, pause, lose their disks or are cut off: see `docs/design/0004-fleet.md`.
mod simulation;

use copperspread_consensus::{Effect, Node, SECOND};
use simulation::queries::members_of;
use simulation::{Simulation, TestRules, next_version};

#[test]
fn three_five_and_seven_voters_put_a_version_in_force_everywhere_within_half_a_second() {
    for (voters, members) in [(3, 3), (3, 5), (5, 9), (7, 9)] {
        let mut simulation = Simulation::settled(voters, members, 1);
        let next = next_version(simulation.newest_in_force());
        simulation.propose_next(members - 1);
        let elapsed = simulation.run_until(5 * SECOND, |simulation| simulation.all_follow(next));
        let elapsed = elapsed.expect("a new version in 5 s");
        assert!(elapsed < SECOND / 2, "{voters} of {members}: {elapsed} us");
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn all_of_120_members_follow_a_new_version_within_a_second() {
    let mut simulation = Simulation::settled(5, 120, 2);
    let next = next_version(simulation.newest_in_force());
    simulation.propose_next(100);
    let elapsed = simulation.run_until(5 * SECOND, |simulation| simulation.all_follow(next));
    let elapsed = elapsed.expect("a new version in 5 s");
    assert!(elapsed < SECOND, "{elapsed} us");
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn a_leader_that_crashes_between_commit_and_answer_leaves_one_committed_version_that_takes_effect() {
    for seed in 0..10 {
        let mut simulation = Simulation::settled(5, 7, seed);
        let leader = simulation.leader().expect("a leader");
        let first = simulation.newest_in_force();
        let proposer = (leader + 1) % 5;
        // What the leader sends reaches only the other voters, so that it commits and cannot answer.
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
            .expect("the committed version takes effect");
        assert_eq!(simulation.accepted_proposals().len(), 1, "reported by the next leader, once");
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn a_minority_follows_the_old_version_until_its_lease_expires_and_then_the_restricted_rules() {
    let mut simulation = Simulation::settled(5, 9, 3);
    let first = simulation.newest_in_force();
    let leader = simulation.leader().expect("a leader");
    let minority = [leader, (leader + 1) % 5, 7];
    simulation.partition(&minority);
    let partitioned_at = simulation.now;
    simulation.run_for(simulation.settings.lease_duration / 2);
    let follows_first = |&member: &usize| simulation.followed_version(member) == Some(first);
    assert!(minority.iter().all(follows_first), "their leases hold");
    simulation.run_for(simulation.settings.lease_duration);
    let is_restricted = |&member: &usize| simulation.followed_version(member).is_none();
    assert!(minority.iter().all(is_restricted), "their leases have expired");
    let expired = simulation.reports_of(|effect| *effect == Effect::LeaseExpired);
    let bound = simulation.settings.staleness_bound();
    let expired_members = members_of(&expired);
    let is_any_late = expired.iter().any(|report| report.at - partitioned_at > bound);
    assert!(minority.iter().all(|member| expired_members.contains(member)) && !is_any_late);
    let outside = (0..5).find(|member| !minority.contains(member)).expect("a voter outside");
    simulation.propose_next(outside);
    let next = next_version(first);
    let majority_follows = |simulation: &Simulation| {
        let mut majority = (0..9).filter(|member| !minority.contains(member));
        majority.all(|member| simulation.followed_version(member) == Some(next))
    };
    simulation.run_until(10 * SECOND, majority_follows).expect("the majority goes on");
    simulation.network.cut_links.clear();
    simulation
        .run_until(10 * SECOND, |simulation| simulation.all_follow(next))
        .expect("all are together again");
    assert!(simulation.reports_of(|effect| *effect == Effect::LeaseRestored).len() >= 3);
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn without_a_quorum_no_version_changes_and_members_report_it_and_go_on_with_restricted_rules() {
    let mut simulation = Simulation::settled(3, 6, 4);
    let first = simulation.newest_in_force();
    simulation.crash(0);
    simulation.crash(1);
    simulation.propose_next(4);
    simulation.run_for(10 * SECOND);
    assert_eq!(simulation.newest_in_force(), first);
    let expired = members_of(&simulation.reports_of(|effect| *effect == Effect::LeaseExpired));
    for member in 2..6 {
        assert!(expired.contains(&member), "m{member}");
        let clock = simulation.clock(member);
        let node = simulation.node(member).expect("it runs");
        let restricted = TestRules::new(1, &[0, 1, 2, 3, 4, 5, 6, 7]);
        assert_eq!(*node.effective_rules(clock).rules(), restricted, "the restricted rules");
    }
    simulation.start(0);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.others_follow(1, next_version(first)))
        .expect("a voter back with its disk makes a quorum, and the proposal goes on");
}

#[test]
fn a_member_paused_past_its_lease_resumes_with_a_burst_and_follows_no_old_version() {
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
            assert!(longest > simulation.settings.staleness_bound(), "the checker finds it: {longest} us");
        } else {
            assert_eq!(longest, 0);
        }
    }
}

#[test]
fn at_30_percent_loss_with_a_proposal_every_second_versions_take_effect_without_conflict() {
    let mut simulation = Simulation::settled(5, 9, 6);
    (simulation.network.loss_percent, simulation.network.duplicate_percent) = (30, 10);
    let first = simulation.newest_in_force();
    for second in 0..60 {
        simulation.propose_next(second % 9);
        simulation.run_for(SECOND);
    }
    simulation.network.loss_percent = 0;
    simulation.run_for(5 * SECOND);
    let in_force = simulation.newest_in_force().number - first.number;
    assert!(in_force >= 30, "of 60 proposals {in_force} took effect");
    assert_eq!(simulation.accepted_proposals().len() as u64, in_force, "each acted once");
    assert!(simulation.all_follow(simulation.newest_in_force()));
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn a_one_way_cut_between_leader_and_followers_leaves_one_leader_that_is_heard() {
    for cuts_towards_leader in [false, true] {
        let mut simulation = Simulation::settled(5, 7, 7);
        let leader = simulation.leader().expect("a leader");
        let next = next_version(simulation.newest_in_force());
        for member in (0..7).filter(|member| *member != leader) {
            let link = if cuts_towards_leader { (member, leader) } else { (leader, member) };
            simulation.network.cut_links.insert(link);
        }
        simulation.run_for(3 * SECOND);
        let other = simulation.leader().expect("another leads");
        assert_ne!(other, leader);
        simulation.propose_next(other);
        simulation
            .run_until(10 * SECOND, |simulation| simulation.others_follow(leader, next))
            .expect("the others go on");
        assert_eq!(simulation.followed_version(leader), None);
        simulation.network.cut_links.clear();
        simulation
            .run_until(10 * SECOND, |simulation| simulation.all_follow(next))
            .expect("all are together again");
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn a_voter_back_with_an_empty_disk_does_not_vote_before_it_has_a_commit_from_after_its_start() {
    let mut simulation = Simulation::settled(3, 4, 8);
    let first = simulation.newest_in_force();
    let second = next_version(first);
    let third = next_version(second);
    simulation.crash(1);
    simulation.run_for(SECOND);
    // The only other running voter cannot make a quorum of a voter that remembers nothing.
    simulation.crash(0);
    simulation.erase_disk(1);
    simulation.start(1);
    simulation.run_for(10 * SECOND);
    assert!(!simulation.node(1).expect("it runs").is_voting(), "it has caught up with nobody");
    assert_eq!(simulation.leader(), None);
    simulation.start(0);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.node(1).is_some_and(Node::is_voting))
        .expect("it has caught up");
    simulation
        .run_until(10 * SECOND, |simulation| simulation.followed_version(1) == Some(first))
        .expect("it has a lease");
    simulation.propose_next(1);
    simulation.run_until(10 * SECOND, |simulation| simulation.all_follow(second)).expect("it takes part");
    // Now its vote is needed, and counts.
    simulation.crash(0);
    simulation.propose_next(2);
    simulation
        .run_until(10 * SECOND, |simulation| simulation.others_follow(0, third))
        .expect("a quorum with it");
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn when_all_voters_lost_their_disks_a_later_epoch_begins_once_no_old_lease_can_hold() {
    let mut simulation = Simulation::settled(3, 5, 9);
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
        .expect("a new epoch");
    assert_eq!(simulation.longest_conflict(), 0);
}
