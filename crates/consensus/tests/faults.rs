//! Members under faults, each caused on purpose: see `docs/design/0004-fleet.md`.
mod simulation;

use copperspread_consensus::{
    Effect, MILLISECOND, Node, RejectionReason, SECOND, Settings, SettingsError, Version,
};
use simulation::{Report, Simulation, TestRules, name, next_version};

/// A group whose leader has led for longer than any lease.
fn settled(voters: usize, members: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::with_first_version(voters, members, seed);
    simulation.run_for(3 * SECOND);
    simulation
}

fn members_of(reports: &[&Report]) -> Vec<usize> {
    reports.iter().map(|report| report.member).collect()
}

#[test]
fn three_five_and_seven_voters_put_a_version_in_force_everywhere_within_half_a_second() {
    for (voters, members) in [(3, 3), (3, 5), (5, 9), (7, 9)] {
        let mut simulation = settled(voters, members, 1);
        let next = next_version(simulation.newest_in_force());
        simulation.propose_next(members - 1);
        let took = simulation.run_until(5 * SECOND, |simulation| simulation.all_follow(next));
        let took = took.expect("a new version in 5 s");
        assert!(took < SECOND / 2, "{voters} of {members}: {took} us");
        assert_eq!(simulation.longest_conflict(), 0);
    }
}

#[test]
fn all_of_120_members_follow_a_new_version_within_a_second() {
    let mut simulation = settled(5, 120, 2);
    let next = next_version(simulation.newest_in_force());
    simulation.propose_next(100);
    let took = simulation.run_until(5 * SECOND, |simulation| simulation.all_follow(next));
    let took = took.expect("a new version in 5 s");
    assert!(took < SECOND, "{took} us");
    assert_eq!(simulation.longest_conflict(), 0);
}

#[test]
fn a_leader_that_crashes_between_commit_and_answer_leaves_one_committed_version_that_takes_effect() {
    for seed in 0..10 {
        let mut simulation = settled(5, 7, seed);
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
    let mut simulation = settled(5, 9, 3);
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
    let mut simulation = settled(3, 6, 4);
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
    let mut simulation = settled(5, 9, 6);
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
        let mut simulation = settled(5, 7, 7);
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
    let mut simulation = settled(3, 4, 8);
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
    let mut simulation = settled(3, 5, 9);
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

#[test]
fn of_two_proposals_on_two_sides_of_a_partition_one_is_accepted_and_the_other_rejected() {
    let mut simulation = settled(5, 9, 10);
    let first = simulation.newest_in_force();
    let next = next_version(first);
    simulation.partition(&[0, 1, 7]);
    simulation.propose(7, first, TestRules::new(7, &[1]));
    simulation.propose(8, first, TestRules::new(8, &[2]));
    simulation.run_for(8 * SECOND);
    simulation.network.cut_links.clear();
    simulation.run_until(10 * SECOND, |simulation| simulation.all_follow(next)).expect("one of them");
    simulation.run_for(2 * SECOND);
    assert!(simulation.all_follow(next), "nothing of the other");
    let rejected = simulation.reports_of(|effect| matches!(effect, Effect::ProposalRejected { .. }));
    assert_eq!(members_of(&simulation.accepted_proposals()), [8]);
    assert_eq!(members_of(&rejected), [7]);
    let names_version_in_force =
        |effect: &Effect| matches!(effect, Effect::ProposalRejected { in_force, .. } if *in_force == next);
    assert_eq!(simulation.reports_of(names_version_in_force).len(), 1);
    assert_eq!(simulation.longest_conflict(), 0);
}

/// The reason of the last report, if it is a rejection of this member's proposal, and the version that it names.
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
fn a_proposal_that_is_too_large_one_too_many_or_on_an_old_base_is_rejected_at_once_and_changes_nothing() {
    let mut simulation = settled(3, 4, 11);
    let first = simulation.newest_in_force();
    simulation.propose(3, Version::default(), TestRules::new(2, &[]));
    assert_eq!(last_rejection(&simulation, 3), Some((RejectionReason::StaleBase, first)));
    simulation.partition(&[3]);
    (0..9).for_each(|limit| simulation.propose(3, first, TestRules::new(limit + 1, &[])));
    assert_eq!(last_rejection(&simulation, 3), Some((RejectionReason::PendingLimitReached, first)));
    simulation.network.cut_links.clear();
    simulation.run_for(5 * SECOND);
    assert_eq!(simulation.newest_in_force(), next_version(first), "one of the eight");
    assert_eq!(simulation.accepted_proposals().len(), 1);

    let configure = |simulation: &mut Simulation| simulation.settings.max_document_bytes = 4;
    let mut simulation = Simulation::configured(3, 3, 11, configure);
    let first = simulation.newest_in_force();
    simulation.propose(0, first, TestRules::new(1, &[1, 2, 3, 4]));
    assert!(matches!(last_rejection(&simulation, 0), Some((RejectionReason::TooLarge, _))));
}

#[test]
fn a_clock_1_percent_fast_or_slow_is_within_the_bound_and_no_drift_is_reported() {
    for ppm in [10_000, -9_900] {
        for member in [0, 1, 4] {
            let configure = |simulation: &mut Simulation| simulation.set_initial_clock_ppm(member, ppm);
            let mut simulation = Simulation::configured(3, 5, 12, configure);
            for second in 0..40 {
                simulation.propose_next(second % 5);
                simulation.run_for(SECOND);
            }
            let drifts = simulation.reports_of(|effect| matches!(effect, Effect::ClockDriftDetected(_)));
            assert!(drifts.is_empty());
            assert_eq!(simulation.longest_conflict(), 0);
        }
    }
}

#[test]
fn a_clock_20_percent_off_is_detected_within_3_s_and_its_member_follows_the_restricted_rules() {
    for ppm in [200_000, -200_000] {
        let mut simulation = settled(3, 5, 13);
        simulation.set_clock_ppm(4, ppm);
        simulation
            .run_until(3 * SECOND, |simulation| simulation.reported_drift(4).is_some())
            .expect("reported");
        let drift = simulation.reported_drift(4).expect("reported");
        assert_eq!(drift.is_fast, ppm > 0);
        assert!((20_000..=250_000).contains(&drift.min_ppm), "{drift:?}");
        for second in 0..20 {
            simulation.propose_next(second % 4);
            simulation.run_for(SECOND);
            assert_eq!(simulation.followed_version(4), None);
        }
        assert!((0..4).all(|member| simulation.reported_drift(member).is_none()), "only it drifts");
        simulation.set_clock_ppm(4, 0);
        simulation
            .run_until(120 * SECOND, |simulation| simulation.followed_version(4).is_some())
            .expect("cleared again");
        assert_eq!(simulation.reports_of(|effect| *effect == Effect::ClockDriftCleared).len(), 1);
        assert!(simulation.longest_conflict() <= simulation.settings.staleness_bound());
    }
}

#[test]
fn a_leader_whose_clock_is_20_percent_off_reports_it_and_transfers_the_leadership() {
    for ppm in [200_000, -200_000] {
        let mut simulation = settled(5, 9, 14);
        let leader = simulation.leader().expect("a leader");
        simulation.set_clock_ppm(leader, ppm);
        simulation
            .run_until(6 * SECOND, |simulation| simulation.leader().is_some_and(|other| other != leader))
            .expect("it transfers the leadership");
        assert_eq!(simulation.reported_drift(leader).expect("reported").is_fast, ppm > 0);
        let others_have_leases = |simulation: &Simulation| {
            (0..9).all(|member| member == leader || simulation.followed_version(member).is_some())
        };
        simulation.run_until(20 * SECOND, others_have_leases).expect("the others have leases again");
        simulation.propose_next((leader + 1) % 5);
        simulation.run_for(5 * SECOND);
        assert!(others_have_leases(&simulation) && simulation.followed_version(leader).is_none());
        assert!(simulation.longest_conflict() <= simulation.settings.staleness_bound());
    }
}

#[test]
fn a_duplicated_proposal_whose_results_are_lost_acts_once() {
    for seed in 0..10 {
        let mut simulation = settled(3, 4, seed);
        let next = next_version(simulation.newest_in_force());
        simulation.network.duplicate_percent = 100;
        simulation.network.max_extra_delay = 300 * MILLISECOND;
        let leader = simulation.leader().expect("a leader");
        let proposer = (0..4).find(|member| *member != leader).expect("another");
        simulation.network.cut_links.insert((leader, proposer));
        simulation.propose_next(proposer);
        simulation.run_for(2 * SECOND);
        simulation.network.cut_links.clear();
        simulation.run_for(8 * SECOND);
        assert_eq!(simulation.newest_in_force(), next, "{} proposed once", name(proposer));
        assert_eq!(simulation.accepted_proposals().len(), 1);
    }
}

/// One random fault or proposal.
fn inject_fault(simulation: &mut Simulation, rng: &mut fastrand::Rng, voters: usize) {
    let members = simulation.member_count();
    let member = rng.usize(0..members);
    // Of the voters' disks at most a minority is lost at once: one at a time, and only when all vote.
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

/// A run of 40 s with random faults, and then 15 s without any.
fn random_run(seed: u64, skips_lease_check: bool) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(seed);
    let voters = [3, 5, 7][seed as usize % 3];
    let members = voters + rng.usize(0..=9 - voters);
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
fn in_200_runs_with_faults_and_clocks_within_the_bound_no_decisions_conflict_and_all_end_on_one_version() {
    let (mut longest, mut versions) = (0, 0);
    for seed in 0..200 {
        let simulation = random_run(seed, false);
        let longest_in_run = simulation.longest_conflict();
        // The leases alone limit it to the staleness bound; with clocks within their bound there is none at all.
        assert_eq!(longest_in_run, 0, "run {seed}");
        let newest = simulation.newest_in_force();
        assert!(simulation.all_follow(newest), "run {seed}: different versions at its end");
        (longest, versions) = (longest.max(longest_in_run), versions + newest.number);
    }
    println!("longest conflict {longest} us; {versions} versions took effect");
    assert!(versions > 400, "{versions} in 200 runs");
}

#[test]
fn without_the_lease_check_in_decisions_the_same_checker_finds_conflicts_beyond_the_bound() {
    let beyond_bound = (0..20).filter(|seed| {
        let simulation = random_run(*seed, true);
        simulation.longest_conflict() > simulation.settings.staleness_bound()
    });
    assert!(beyond_bound.count() >= 5);
}

#[test]
fn the_defaults_give_a_bound_within_2_s_and_invalid_settings_are_named_in_the_error() {
    let valid = Simulation::new(3, 3, 0).settings;
    assert_eq!(
        (valid.staleness_bound(), valid.lease_expiry_wait(), valid.validate()),
        (1_998_000, 1_836_180, Ok(()))
    );
    type Invalidate = fn(&mut Settings);
    let cases: [(&str, SettingsError, Invalidate); 6] = [
        ("voters", SettingsError::VoterCount, |settings| settings.voters.truncate(2)),
        ("voters", SettingsError::DuplicateVoter, |settings| {
            settings.voters[0] = settings.voters[1].clone();
        }),
        ("lease", SettingsError::LeaseTooShort, |settings| {
            settings.lease_duration = settings.max_round_trip;
        }),
        ("way", SettingsError::RoundTripTooShort, |settings| {
            settings.max_round_trip = settings.tick_interval;
        }),
        ("drift", SettingsError::DriftTooLarge, |settings| settings.max_drift_ppm = 100_001),
        ("most_waiting", SettingsError::PendingVersionsLimit, |settings| settings.max_pending_versions = 0),
    ];
    for (field, expected, invalidate) in cases {
        let mut settings = valid.clone();
        invalidate(&mut settings);
        let error = settings.validate().expect_err(field);
        assert_eq!(error, expected);
        assert!(error.to_string().starts_with(field), "{field}");
    }
}
