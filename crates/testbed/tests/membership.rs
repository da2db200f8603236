//! Tests of membership on a simulated network: failures of members, network faults and invalid input.
use copperspread_fault_injection::Fault;
use copperspread_membership::{Effect, Input, Key, Member, Membership, PacketError, SECOND, Settings};
use copperspread_testbed::membership_simulation::{SimulatedNetwork, address, member_info, shared_key};

#[test]
fn a_killed_member_is_reported_down_by_all_others_and_no_other_is() {
    let mut network = SimulatedNetwork::joined(9, 1);
    network.kill(4);
    network.run(20 * SECOND);
    assert!(network.all_see(7));
    assert_eq!(network.reported_failures().len(), 8);
    assert!(
        network.reported_failures().iter().all(|failure| failure.name == "n4"),
        "{:?}",
        network.reported_failures()
    );
}

#[test]
fn a_member_paused_for_5_s_stays_and_reports_no_other_down() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::joined(9, seed);
        network.pause(3, 5 * SECOND);
        network.run(30 * SECOND);
        assert!(network.all_see(8), "seed {seed}");
        assert!(
            network.reported_failures().iter().all(|failure| failure.name == "n3"),
            "seed {seed}: {:?}",
            network.reported_failures()
        );
        assert_eq!(network.membership(3).detected_pauses(), 1, "seed {seed}");
    }
}

/// The pause is longer than any suspicion, so the member is removed. It must rejoin by itself.
#[test]
fn a_member_paused_for_30_s_refutes_its_failure() {
    let mut network = SimulatedNetwork::joined(9, 2);
    network.pause(3, 30 * SECOND);
    network.run(29 * SECOND);
    assert!(
        (0..9).filter(|&observer| observer != 3).all(|observer| !network.can_see(observer, 3)),
        "the paused member is removed"
    );
    network.run(31 * SECOND);
    assert!(network.all_see(8));
    assert!(
        network.reported_failures().iter().all(|failure| failure.name == "n3"),
        "{:?}",
        network.reported_failures()
    );
    assert!(
        network
            .effects
            .iter()
            .any(|recorded| recorded.member == 3 && matches!(recorded.effect, Effect::LocalMemberRejoined(_)))
    );
    assert!(network.membership(3).local_member().rejoins > 0);
}

#[test]
fn at_30_percent_packet_loss_no_member_is_reported_down_within_60_s() {
    for seed in 0..30 {
        let mut network = SimulatedNetwork::joined(9, seed);
        network.links.conditions.loss_rate = 0.3;
        network.run(60 * SECOND);
        assert!(network.reported_failures().is_empty(), "seed {seed}: {:?}", network.reported_failures());
        // A member that was falsely reported down would have rejoined to refute it.
        assert!((0..9).all(|member| network.membership(member).local_member().rejoins == 0), "seed {seed}");
    }
}

/// One member receives nothing from another, while all other links work.
#[test]
fn a_one_way_block_between_two_members_removes_neither() {
    for seed in 0..5 {
        let mut network = SimulatedNetwork::joined(7, seed);
        network.links.blocked.insert((0, 1));
        network.run(60 * SECOND);
        assert!(
            network.reported_failures().is_empty() && network.all_see(6),
            "seed {seed}: {:?}",
            network.reported_failures()
        );
    }
}

/// The member receives from all others, but none receives from it: the others remove it, and must not remove
/// each other because of its reports.
#[test]
fn a_member_whose_packets_are_all_blocked_is_removed_and_returns_when_the_block_ends() {
    let mut network = SimulatedNetwork::joined(7, 3);
    network.links.blocked.extend((0..7).filter(|&to| to != 2).map(|to| (2, to)));
    network.run(30 * SECOND);
    assert!(
        (0..7)
            .filter(|&observer| observer != 2)
            .all(|observer| !network.can_see(observer, 2) && network.visible_members(observer).len() == 5)
    );
    network.links.blocked.clear();
    network.run(30 * SECOND);
    assert!(network.all_see(6));
}

#[test]
fn a_partition_in_halves_heals_to_one_view() {
    let mut network = SimulatedNetwork::joined(9, 4);
    network.apply_fault(&Fault::Partition { one: (0..4).collect(), other: (4..9).collect() });
    network.run(30 * SECOND);
    assert!(
        (0..4).all(|member| network.visible_members(member).len() == 3)
            && (4..9).all(|member| network.visible_members(member).len() == 4)
    );
    network.links.blocked.clear();
    network.run(30 * SECOND);
    assert!(network.all_see(8), "all members see each other 30 s after the partition ended");
}

#[test]
fn a_restart_under_the_same_name_replaces_the_old_process() {
    let mut network = SimulatedNetwork::joined(5, 5);
    network.kill(2);
    network.run(SECOND);
    network.start(2, 2, &[0]);
    network.run(10 * SECOND);
    assert!(network.all_see(4));
    for observer in [0, 1, 3, 4] {
        let found = network
            .visible_members(observer)
            .into_iter()
            .find(|member| member.name == "n2")
            .expect("the restarted member is visible");
        assert_eq!(found.generation, 2, "seen by {observer}");
    }
}

#[test]
fn seeds_that_are_down_at_the_start_are_contacted_until_one_is_up() {
    let mut network = SimulatedNetwork::new(4, 6);
    (1..4).for_each(|member| network.start(member, 1, &[0]));
    network.run(60 * SECOND);
    assert!(network.all_see(0));
    network.start(0, 1, &[]);
    network.run(15 * SECOND);
    assert!(network.all_see(3));
}

#[test]
fn a_leaving_member_is_removed_at_once() {
    let mut network = SimulatedNetwork::joined(5, 7);
    network.leave(1);
    network.run(2 * SECOND);
    assert!(network.all_see(3));
}

/// Forged, truncated, changed and oversized packets must have no effect, however many arrive.
#[test]
fn a_flood_of_invalid_packets_neither_removes_nor_adds_a_member() {
    let mut network = SimulatedNetwork::joined(5, 8);
    let mut valid = Vec::new();
    let mut new_member = Membership::new(
        member_info(9, 1),
        Settings { seeds: vec![address(0)], ..Settings::default() },
        shared_key(),
        1,
    )
    .expect("the settings are valid");
    let mut effects = Vec::new();
    new_member.handle(0, Input::TimerDue, &mut effects).expect("the timer input is accepted");
    for effect in effects {
        if let Effect::SendPacket { packet, .. } = effect {
            valid = packet;
        }
    }
    assert!(!valid.is_empty(), "the new member sends a packet to its seed");
    let mut forged = vec![(vec![], PacketError::Malformed), (vec![1; 5_000], PacketError::TooLarge)];
    for cut in 0..valid.len() {
        forged.push((
            valid[..cut].to_vec(),
            if cut <= 32 { PacketError::Malformed } else { PacketError::Forged },
        ));
        let mut changed = valid.clone();
        changed[cut] ^= 0x40;
        forged.push((changed, PacketError::Forged));
    }
    for (packet, error) in &forged {
        for _ in 0..20 {
            assert_eq!(
                network.handle_input(0, Input::Packet(packet)),
                Some(*error),
                "{} bytes",
                packet.len()
            );
        }
    }
    network.run(30 * SECOND);
    assert!(network.all_see(4) && network.reported_failures().is_empty());
    // The unchanged packet is accepted, and adds its sender.
    assert_eq!(network.handle_input(0, Input::Packet(&valid)), None);
    assert!(network.can_see(0, 9));
}

#[test]
fn errors_of_invalid_settings_and_keys_say_what_is_invalid() {
    let error_for = |settings| {
        Membership::new(member_info(0, 1), settings, shared_key(), 1).err().map(|error| error.to_string())
    };
    let defaults = Settings::default;
    for (settings, expected) in [
        (Settings { probe_timeout: 0, ..defaults() }, "time-out"),
        (Settings { probe_timeout: SECOND, ..defaults() }, "time-out"),
        (Settings { indirect_probes: 0, ..defaults() }, "indirect"),
        (Settings { suspicion_multiplier: f64::NAN, ..defaults() }, "suspicion"),
    ] {
        assert!(error_for(settings).expect("the settings are rejected").contains(expected));
    }
    assert!(Key::new(b"short").expect_err("the key is rejected").to_string().contains("16"));
    assert_eq!(format!("{:?}", shared_key()), "Key", "the debug output hides the key");
}

/// A tenth of the members is killed at once. All others must remove these members, and no other member may be
/// reported down.
#[test]
fn three_hundred_members_detect_thirty_failures_and_no_other() {
    let mut network = SimulatedNetwork::joined(300, 9);
    (0..300).step_by(10).for_each(|member| network.kill(member));
    network.run(60 * SECOND);
    assert!(network.all_see(269));
    assert!(network.reported_failures().iter().all(|failure| failure.name.ends_with('0')));
}

/// The generation of the first processes: a Unix time in milliseconds.
const GENERATION: u64 = 1_700_000_000_000;
/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// Creates a network whose members all have the generation [`GENERATION`] and have found each other.
fn joined_at_generation(members: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(members, seed);
    (0..members).for_each(|member| network.start(member, GENERATION, &[0]));
    network.run(30 * SECOND);
    assert!(network.all_see(members - 1));
    network
}

/// Returns whether a member sees the current identity of each other member, and nothing else.
fn sees_current_processes(network: &SimulatedNetwork, observer: usize, members: usize) -> bool {
    let visible = network.visible_members(observer);
    let mut others = (0..members).filter(|&other| other != observer);
    visible.len() == members - 1
        && others.all(|other| visible.contains(&network.membership(other).local_member()))
}

/// Executes the state exchanges that members requested, because the simulated network has no streams.
fn exchange_states(network: &mut SimulatedNetwork) {
    for recorded in std::mem::take(&mut network.effects) {
        let Effect::ExchangeState(peer) = recorded.effect else { continue };
        let members = 0..network.member_count();
        let Some(peer) = members.into_iter().find(|&member| address(member) == peer) else { continue };
        let state = network.membership(recorded.member).state();
        network.handle_input(peer, Input::State(&state));
        let reply = network.membership(peer).state();
        network.handle_input(recorded.member, Input::State(&reply));
    }
}

/// A process that restarts after the clock of its machine was set back has a lower generation than its
/// predecessor. The other members may still see the predecessor as alive, as down or as having left.
#[test]
fn a_member_that_restarts_after_its_clock_was_set_back_is_accepted() {
    let absences = [(SECOND / 5, false), (SECOND, false), (60 * SECOND, false), (2 * SECOND, true)];
    for (absent_for, leaves) in absences {
        for set_back_ms in [1, 5_000, HOUR_MS, 24 * HOUR_MS] {
            for (members, restarted) in [(2, 1), (5, 2), (5, 0)] {
                let mut network = joined_at_generation(members, 11);
                if leaves {
                    network.leave(restarted);
                }
                network.kill(restarted);
                network.run(absent_for);
                let seed = usize::from(restarted == 0);
                network.start(restarted, GENERATION - set_back_ms, &[seed]);
                let context =
                    format!("{restarted} of {members}, absent for {absent_for}, {set_back_ms} ms back");
                let accepted = network.run_until_with(10 * SECOND, SECOND / 10, exchange_states, |network| {
                    (0..members).all(|observer| sees_current_processes(network, observer, members))
                });
                assert!(accepted.is_some(), "{context}");
                let local = network.membership(restarted).local_member();
                assert_eq!(
                    local.generation,
                    GENERATION + 1,
                    "{context}: the generation is one above that of the earlier process"
                );
                network.run(30 * SECOND);
                assert!(
                    (0..members).all(|observer| sees_current_processes(&network, observer, members)),
                    "{context}"
                );
            }
        }
    }
}

/// The clock is set back again before each of three restarts, so that each process starts with a lower
/// generation.
#[test]
fn a_member_that_restarts_repeatedly_after_its_clock_was_set_back_is_accepted_each_time() {
    let mut network = joined_at_generation(5, 12);
    for restart in 1..=3 {
        network.kill(2);
        network.run(SECOND);
        network.start(2, GENERATION - restart * HOUR_MS, &[0]);
        let accepted = network.run_until_with(10 * SECOND, SECOND / 10, exchange_states, |network| {
            (0..5).all(|observer| sees_current_processes(network, observer, 5))
        });
        assert!(accepted.is_some(), "restart {restart}");
    }
}

/// A member that is misconfigured with the address of another must keep its generation. Raising it would
/// drive up the generation of the other member.
#[test]
fn a_generation_is_raised_only_above_that_of_an_earlier_process_of_the_same_member() {
    let mut network = joined_at_generation(3, 13);
    network.kill(2);
    network.run(SECOND);
    let other = Member { name: "other".into(), ..member_info(2, GENERATION - HOUR_MS) };
    network.start_with_identity(2, other, &[0]);
    network.run(10 * SECOND);
    assert_eq!(network.membership(2).local_member().generation, GENERATION - HOUR_MS);
}
