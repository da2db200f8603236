//! The hard cases, each caused: see `docs/design/0004-fleet.md`.
mod net;

use copperspread_consensus::*;
use net::{Doc, Net, name};

fn after(version: Version) -> Version {
    Version { number: version.number + 1, ..version }
}

/// A fleet whose leader has led for longer than any lease.
fn steady(voters: usize, members: usize, seed: u64) -> Net {
    let mut net = Net::agreed(voters, members, seed);
    net.run(3 * SECOND);
    net
}

#[test]
fn three_five_and_seven_voters_agree_and_a_change_is_in_force_everywhere_within_half_a_second() {
    for (voters, members) in [(3, 3), (3, 5), (5, 9), (7, 9)] {
        let mut net = steady(voters, members, 1);
        let next = after(net.newest());
        net.change(members - 1);
        let took = net.until(5 * SECOND, |net| net.all_act_by(next)).expect("a change in 5 s");
        assert!(took < SECOND / 2, "{voters} of {members}: {took} us");
        assert_eq!(net.longest(), 0);
    }
}

#[test]
fn of_120_members_all_act_on_a_change_within_a_second() {
    let mut net = steady(5, 120, 2);
    let next = after(net.newest());
    net.change(100);
    let took = net.until(5 * SECOND, |net| net.all_act_by(next)).expect("a change in 5 s");
    assert!(took < SECOND, "{took} us");
    assert_eq!(net.longest(), 0);
}

#[test]
fn a_leader_killed_between_commit_and_telling_leaves_the_version_ordered_once_and_it_takes_effect() {
    for seed in 0..10 {
        let mut net = steady(5, 7, seed);
        let (leader, first) = (net.leader().expect("a leader"), net.newest());
        let proposer = (leader + 1) % 5;
        // Nothing that the leader says to members reaches any but voters, so that it commits and cannot tell.
        (0..7).filter(|at| *at >= 5 || *at == proposer).for_each(|at| {
            net.cut.insert((leader, at));
        });
        net.change(proposer);
        net.until(SECOND, |net| net.node(leader).is_some_and(|node| node.leased_rules().newest() > first));
        net.kill(leader);
        net.cut.clear();
        net.until(10 * SECOND, |net| (0..7).all(|of| of == leader || net.acts_by(of) == Some(after(first))))
            .expect("the ordered version in force");
        let accepted = net.heard(|of| matches!(of, Effect::ProposalAccepted { .. }));
        assert_eq!(accepted.len(), 1, "told of by the next leader, once");
        assert_eq!(net.longest(), 0);
    }
}

#[test]
fn a_minority_goes_on_with_the_old_version_until_its_lease_ends_and_then_on_the_safe_rules() {
    let mut net = steady(5, 9, 3);
    let first = net.newest();
    let leader = net.leader().expect("a leader");
    let cut = [leader, (leader + 1) % 5, 7];
    net.part(&cut);
    let at = net.now;
    net.run(net.settings.lease_duration / 2);
    assert!(cut.iter().all(|&of| net.acts_by(of) == Some(first)), "their leases live");
    net.run(net.settings.lease_duration);
    assert!(cut.iter().all(|&of| net.acts_by(of).is_none()), "their leases have run out");
    let frozen = net.heard(|of| *of == Effect::LeaseExpired);
    let late = |(when, _): &(Micros, usize)| *when - at > net.settings.staleness_bound();
    assert!(cut.iter().all(|of| frozen.iter().any(|(_, whom)| whom == of)) && !frozen.iter().any(late));
    let other = (0..5).find(|of| !cut.contains(of)).expect("a voter outside");
    net.change(other);
    let next = after(first);
    let rest = |net: &Net| (0..9).filter(|of| !cut.contains(of)).all(|of| net.acts_by(of) == Some(next));
    net.until(10 * SECOND, rest).expect("the majority goes on");
    net.cut.clear();
    net.until(10 * SECOND, |net| net.all_act_by(next)).expect("all are together again");
    assert!(net.heard(|of| *of == Effect::LeaseRestored).len() >= 3);
    assert_eq!(net.longest(), 0);
}

#[test]
fn without_a_majority_versions_stand_still_and_are_said_to_and_running_goes_on() {
    let mut net = steady(3, 6, 4);
    let first = net.newest();
    net.kill(0);
    net.kill(1);
    net.change(4);
    net.run(10 * SECOND);
    assert_eq!(net.newest(), first);
    for of in 2..6 {
        assert!(net.heard(|of| *of == Effect::LeaseExpired).iter().any(|(_, whom)| *whom == of), "m{of}");
        let clock = net.clock(of);
        let node = net.node(of).expect("it runs");
        assert_eq!(
            *node.effective_rules(clock).rules(),
            Doc::new(1, &[0, 1, 2, 3, 4, 5, 6, 7]),
            "the safe rules"
        );
    }
    net.start(0);
    net.until(10 * SECOND, |net| (0..6).all(|of| of == 1 || net.acts_by(of) == Some(after(first))))
        .expect("a voter back with its disk makes a majority, and the proposal goes on");
}

#[test]
fn a_member_paused_past_its_lease_wakes_in_a_burst_and_decides_by_no_old_version() {
    for blind in [false, true] {
        let mut net = Net::agreed_with(3, 5, 5, |net| net.blind = blind);
        net.run(3 * SECOND);
        net.pause(4, 10 * SECOND);
        net.run(SECOND);
        net.change(1);
        net.run(12 * SECOND);
        if blind {
            let longest = net.longest();
            assert!(longest > net.settings.staleness_bound(), "the checker sees it: {longest} us");
        } else {
            assert_eq!(net.longest(), 0);
        }
    }
}

#[test]
fn at_30_percent_loss_with_a_change_every_second_changes_go_on_and_nobody_contradicts() {
    let mut net = steady(5, 9, 6);
    (net.loss, net.twice) = (30, 10);
    let first = net.newest();
    for second in 0..60 {
        net.change(second % 9);
        net.run(SECOND);
    }
    net.loss = 0;
    net.run(5 * SECOND);
    let took = net.newest().number - first.number;
    assert!(took >= 30, "of 60 proposals {took} took effect");
    let accepted = net.heard(|of| matches!(of, Effect::ProposalAccepted { .. })).len() as u64;
    assert_eq!(accepted, took, "each acted once");
    assert!(net.all_act_by(net.newest()));
    assert_eq!(net.longest(), 0);
}

#[test]
fn a_one_sided_cut_between_leader_and_followers_leaves_one_leader_that_is_heard() {
    for towards in [false, true] {
        let mut net = steady(5, 7, 7);
        let (leader, first) = (net.leader().expect("a leader"), net.newest());
        for of in (0..7).filter(|of| *of != leader) {
            net.cut.insert(if towards { (of, leader) } else { (leader, of) });
        }
        net.run(3 * SECOND);
        let other = net.leader().expect("another leads");
        assert_ne!(other, leader);
        net.change(other);
        net.until(10 * SECOND, |net| (0..7).all(|of| of == leader || net.acts_by(of) == Some(after(first))))
            .expect("the others go on");
        assert_eq!(net.acts_by(leader), None);
        net.cut.clear();
        net.until(10 * SECOND, |net| net.all_act_by(after(first))).expect("all are together again");
        assert_eq!(net.longest(), 0);
    }
}

#[test]
fn a_voter_back_with_an_empty_disk_does_not_vote_until_a_commit_after_its_return_has_reached_it() {
    let mut net = steady(3, 4, 8);
    let first = net.newest();
    net.kill(1);
    net.run(SECOND);
    // The one that is up alone with it cannot make a majority of a voter that remembers nothing.
    net.kill(0);
    net.wipe(1);
    net.start(1);
    net.run(10 * SECOND);
    assert!(!net.node(1).expect("it runs").is_voting(), "it has caught up with nobody");
    assert_eq!(net.leader(), None);
    net.start(0);
    net.until(10 * SECOND, |net| net.node(1).is_some_and(Node::is_voting)).expect("it has caught up");
    net.until(10 * SECOND, |net| net.acts_by(1) == Some(first)).expect("it has a lease");
    net.change(1);
    net.until(10 * SECOND, |net| net.all_act_by(after(first))).expect("it takes part");
    // Now it is needed, and is worth a vote.
    net.kill(0);
    net.change(2);
    let third = after(after(first));
    net.until(10 * SECOND, |net| (1..4).all(|of| net.acts_by(of) == Some(third))).expect("a majority of it");
    assert_eq!(net.longest(), 0);
}

#[test]
fn when_all_voters_lost_their_memory_a_later_epoch_begins_once_no_old_lease_can_live() {
    let mut net = steady(3, 5, 9);
    let first = net.newest();
    net.change(0);
    net.run(SECOND);
    (0..3).for_each(|of| net.kill(of));
    (0..3).for_each(|of| net.wipe(of));
    (0..3).for_each(|of| net.start(of));
    net.until(20 * SECOND, |net| (0..5).all(|of| net.acts_by(of).is_some_and(|at| at.epoch > first.epoch)))
        .expect("a new epoch");
    assert_eq!(net.longest(), 0);
}

#[test]
fn of_two_proposals_from_two_sides_of_a_cut_one_is_ordered_and_the_other_refused_with_the_version_in_force() {
    let mut net = steady(5, 9, 10);
    let first = net.newest();
    net.part(&[0, 1, 7]);
    net.propose(7, first, Doc::new(7, &[1]));
    net.propose(8, first, Doc::new(8, &[2]));
    net.run(8 * SECOND);
    net.cut.clear();
    net.until(10 * SECOND, |net| net.all_act_by(after(first))).expect("one of them");
    net.run(2 * SECOND);
    assert!(net.all_act_by(after(first)), "nothing of the other");
    let refused = net.heard(|of| matches!(of, Effect::ProposalRejected { .. }));
    let accepted = net.heard(|of| matches!(of, Effect::ProposalAccepted { .. }));
    assert_eq!(accepted.iter().map(|(_, whom)| *whom).collect::<Vec<_>>(), [8]);
    assert_eq!(refused.iter().map(|(_, whom)| *whom).collect::<Vec<_>>(), [7]);
    let in_force =
        |of: &Effect| matches!(of, Effect::ProposalRejected { in_force, .. } if *in_force == after(first));
    assert_eq!(net.heard(in_force).len(), 1);
    assert_eq!(net.longest(), 0);
}

#[test]
fn what_is_too_large_too_many_or_made_from_an_older_version_is_refused_at_once_and_changes_nothing() {
    let mut net = steady(3, 4, 11);
    let first = net.newest();
    net.propose(3, Version::default(), Doc::new(2, &[]));
    let why = |net: &Net| match net.said.last() {
        Some((_, 3, Effect::ProposalRejected { reason: why, in_force, .. })) => Some((*why, *in_force)),
        _ => None,
    };
    assert_eq!(why(&net), Some((RejectionReason::StaleBase, first)));
    net.part(&[3]);
    (0..9).for_each(|limit| net.propose(3, first, Doc::new(limit + 1, &[])));
    assert_eq!(why(&net), Some((RejectionReason::TooManyPending, first)));
    net.cut.clear();
    net.run(5 * SECOND);
    assert_eq!(net.newest(), after(first), "one of the eight");
    assert_eq!(net.heard(|of| matches!(of, Effect::ProposalAccepted { .. })).len(), 1);
    net.settings.max_document_bytes = 4;
    let mut net = Net::agreed_with(3, 3, 11, |net| net.settings.max_document_bytes = 4);
    let first = net.newest();
    net.propose(0, first, Doc::new(1, &[1, 2, 3, 4]));
    assert!(matches!(
        net.said.last(),
        Some((_, 0, Effect::ProposalRejected { reason: RejectionReason::TooLarge, .. }))
    ));
}

#[test]
fn a_clock_1_percent_fast_or_slow_is_within_the_bound_and_nothing_is_said() {
    for fast in [10_000, -9_900] {
        for whose in [0, 1, 4] {
            let mut net = Net::agreed_with(3, 5, 12, |net| net.fast[whose] = fast);
            for second in 0..40 {
                net.change(second % 5);
                net.run(SECOND);
            }
            assert!(net.heard(|of| matches!(of, Effect::ClockDriftDetected(_))).is_empty());
            assert_eq!(net.longest(), 0);
        }
    }
}

#[test]
fn a_clock_20_percent_off_is_proved_so_within_3_s_and_its_member_acts_on_the_safe_rules() {
    for fast in [200_000, -200_000] {
        let mut net = steady(3, 5, 13);
        net.set_fast(4, fast);
        net.until(3 * SECOND, |net| net.clock_off(4).is_some()).expect("said");
        let doubt = net.clock_off(4).expect("said");
        assert_eq!(doubt.is_fast, fast > 0);
        assert!((20_000..=250_000).contains(&doubt.min_ppm), "{doubt:?}");
        for second in 0..20 {
            net.change(second % 4);
            net.run(SECOND);
            assert_eq!(net.acts_by(4), None);
        }
        assert!((0..4).all(|of| net.clock_off(of).is_none()), "only it is off");
        net.set_fast(4, 0);
        net.until(120 * SECOND, |net| net.acts_by(4).is_some()).expect("cleared again");
        assert_eq!(net.heard(|of| *of == Effect::ClockDriftCleared).len(), 1);
        assert!(net.longest() <= net.settings.staleness_bound());
    }
}

#[test]
fn a_leader_whose_clock_is_20_percent_off_says_so_of_itself_and_hands_over() {
    for fast in [200_000, -200_000] {
        let mut net = steady(5, 9, 14);
        let leader = net.leader().expect("a leader");
        net.set_fast(leader, fast);
        net.until(6 * SECOND, |net| net.leader().is_some_and(|of| of != leader)).expect("it hands over");
        assert_eq!(net.clock_off(leader).expect("said").is_fast, fast > 0);
        let sure = |net: &Net| (0..9).all(|of| of == leader || net.acts_by(of).is_some());
        net.until(20 * SECOND, sure).expect("the others are sure again");
        net.change((leader + 1) % 5);
        net.run(5 * SECOND);
        assert!(sure(&net) && net.acts_by(leader).is_none());
        assert!(net.longest() <= net.settings.staleness_bound());
    }
}

#[test]
fn a_proposal_sent_twice_and_answers_lost_act_once() {
    for seed in 0..10 {
        let mut net = steady(3, 4, seed);
        let first = net.newest();
        (net.twice, net.way) = (100, 300 * MILLISECOND);
        let leader = net.leader().expect("a leader");
        let from = (0..4).find(|of| *of != leader).expect("another");
        net.cut.insert((leader, from));
        net.change(from);
        net.run(2 * SECOND);
        net.cut.clear();
        net.run(8 * SECOND);
        assert_eq!(net.newest(), after(first), "{} is said to once", name(from));
        assert_eq!(net.heard(|of| matches!(of, Effect::ProposalAccepted { .. })).len(), 1);
    }
}

/// A play of 40 s in which everything goes wrong by chance, and then 15 s in which nothing does.
fn play(seed: u64, blind: bool) -> Net {
    let mut chance = fastrand::Rng::with_seed(seed);
    let voters = [3, 5, 7][seed as usize % 3];
    let members = voters + chance.usize(0..=9 - voters);
    let drift: Vec<i64> = (0..members).map(|_| chance.i64(-9_900..=10_000)).collect();
    let mut net = Net::agreed_with(voters, members, seed, |net| (net.fast, net.blind) = (drift, blind));
    (net.loss, net.twice) = (chance.u32(0..30), chance.u32(0..20));
    net.way = chance.u64(MILLISECOND..80 * MILLISECOND);
    for _ in 0..80 {
        let whom = chance.usize(0..members);
        // Of the voters' disks at most a minority is lost at once: one at a time, and only when all vote.
        let all_vote = (0..voters).all(|of| net.node(of).is_some_and(Node::is_voting));
        match chance.u32(0..12) {
            0..4 => net.change(whom),
            4 => net.pause(whom, chance.u64(100 * MILLISECOND..6 * SECOND)),
            5 if net.runs(whom) => net.kill(whom),
            6 => (0..members)
                .filter(|of| net.node(*of).is_none())
                .collect::<Vec<_>>()
                .iter()
                .for_each(|of| net.start(*of)),
            7 if whom < voters && all_vote => {
                net.kill(whom);
                net.wipe(whom);
                net.start(whom);
            }
            8 => net.part(&[whom, chance.usize(0..members), chance.usize(0..members)]),
            9 => {
                net.cut.insert((whom, chance.usize(0..members)));
            }
            10 => net.cut.clear(),
            _ => {}
        }
        net.run(chance.u64(0..SECOND));
    }
    net.cut.clear();
    (net.loss, net.twice, net.way) = (0, 0, 5 * MILLISECOND);
    (0..members)
        .filter(|of| net.node(*of).is_none())
        .collect::<Vec<_>>()
        .iter()
        .for_each(|of| net.start(*of));
    net.run(15 * SECOND);
    net
}

#[test]
fn in_200_plays_with_faults_and_clocks_within_the_bound_nobody_contradicts_and_all_end_on_one_version() {
    let (mut longest, mut versions) = (0, 0);
    for seed in 0..200 {
        let net = play(seed, false);
        let in_play = net.longest();
        // T bounds it by the leases alone; with clocks within the bound there is none at all.
        assert_eq!(in_play, 0, "play {seed}");
        assert!(net.all_act_by(net.newest()), "play {seed}: apart at its end");
        (longest, versions) = (longest.max(in_play), versions + net.newest().number);
    }
    println!("longest contradiction {longest} us; {versions} versions took effect");
    assert!(versions > 400, "{versions} in 200 plays");
}

#[test]
fn without_the_look_at_the_lease_in_the_decision_the_same_checker_finds_contradictions_beyond_the_bound() {
    let beyond = (0..20).filter(|seed| {
        let net = play(*seed, true);
        net.longest() > net.settings.staleness_bound()
    });
    assert!(beyond.count() >= 5);
}

#[test]
fn the_defaults_give_a_bound_within_2_s_and_settings_that_contradict_themselves_name_the_field() {
    let fit = Net::new(3, 3, 0).settings;
    assert_eq!(
        (fit.staleness_bound(), fit.lease_expiry_wait(), fit.validate()),
        (1_998_000, 1_836_180, Ok(()))
    );
    type Wrong = fn(&mut Settings);
    let cases: [(&str, Wrong); 6] = [
        ("voters", |of| of.voters.truncate(2)),
        ("voters", |of| of.voters[0] = of.voters[1].clone()),
        ("lease", |of| of.lease_duration = of.max_round_trip),
        ("way", |of| of.max_round_trip = of.tick_interval),
        ("drift", |of| of.max_drift_ppm = 100_001),
        ("most_waiting", |of| of.max_pending_versions = 0),
    ];
    for (field, wrong) in cases {
        let mut settings = fit.clone();
        wrong(&mut settings);
        assert!(settings.validate().expect_err(field).to_string().starts_with(field), "{field}");
    }
}
