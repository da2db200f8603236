//! The failures that membership must handle, each caused on a simulated network.
use copperspread_fault_injection::Fault;
use copperspread_membership::{Effect, Input, Key, Member, Membership, PacketError, SECOND, Settings};
use copperspread_testbed::membership_simulation::{SimulatedNetwork, address, key, member_info};

#[test]
fn a_killed_member_is_down_everywhere_and_nobody_else_is() {
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
fn a_member_paused_for_5_s_stays_and_reports_nobody_down() {
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

/// Longer than any suspicion: it is removed, and rejoins by itself.
#[test]
fn a_member_paused_for_30_s_refutes_its_failure() {
    let mut network = SimulatedNetwork::joined(9, 2);
    network.pause(3, 30 * SECOND);
    network.run(29 * SECOND);
    assert!((0..9).filter(|&by| by != 3).all(|by| !network.can_see(by, 3)), "removed");
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
            .any(|recorded| recorded.member == 3 && matches!(recorded.effect, Effect::SelfRefuted(_)))
    );
    assert!(network.membership(3).local_member().rejoins > 0);
}

#[test]
fn at_30_percent_loss_nobody_is_reported_down_within_60_s() {
    for seed in 0..30 {
        let mut network = SimulatedNetwork::joined(9, seed);
        network.links.conditions.loss_rate = 0.3;
        network.run(60 * SECOND);
        assert!(network.reported_failures().is_empty(), "seed {seed}: {:?}", network.reported_failures());
        // Nor had any member to refute a false report.
        assert!((0..9).all(|at| network.membership(at).local_member().rejoins == 0), "seed {seed}");
    }
}

/// One member does not receive from the other; all other links work.
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

/// It receives from all and nobody receives from it: the others remove it, and it must not disturb them.
#[test]
fn a_member_that_nobody_hears_is_removed_and_returns_when_the_block_ends() {
    let mut network = SimulatedNetwork::joined(7, 3);
    network.links.blocked.extend((0..7).filter(|&to| to != 2).map(|to| (2, to)));
    network.run(30 * SECOND);
    assert!(
        (0..7)
            .filter(|&by| by != 2)
            .all(|by| !network.can_see(by, 2) && network.visible_members(by).len() == 5)
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
        (0..4).all(|at| network.visible_members(at).len() == 3)
            && (4..9).all(|at| network.visible_members(at).len() == 4)
    );
    network.links.blocked.clear();
    network.run(30 * SECOND);
    assert!(network.all_see(8), "30 s after the partition");
}

#[test]
fn a_restart_under_the_same_name_replaces_the_old_process() {
    let mut network = SimulatedNetwork::joined(5, 5);
    network.kill(2);
    network.run(SECOND);
    network.start(2, 2, &[0]);
    network.run(10 * SECOND);
    assert!(network.all_see(4));
    for by in [0, 1, 3, 4] {
        let found = network
            .visible_members(by)
            .into_iter()
            .find(|member| member.name == "n2")
            .expect("a visible member");
        assert_eq!(found.generation, 2, "seen by {by}");
    }
}

#[test]
fn seeds_that_are_down_at_the_start_are_contacted_until_one_is_up() {
    let mut network = SimulatedNetwork::new(4, 6);
    (1..4).for_each(|number| network.start(number, 1, &[0]));
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

/// Forged, truncated, changed and oversized packets change nothing, however many arrive.
#[test]
fn a_flood_of_invalid_packets_removes_nobody_and_admits_nobody() {
    let mut network = SimulatedNetwork::joined(5, 8);
    let mut valid = Vec::new();
    let mut stranger = Membership::new(
        member_info(9, 1),
        Settings { seeds: vec![address(0)], ..Settings::default() },
        key(),
        1,
    )
    .expect("settings");
    let mut effects = Vec::new();
    stranger.handle(0, Input::TimerDue, &mut effects).expect("a timer");
    for effect in effects {
        if let Effect::SendPacket { packet, .. } = effect {
            valid = packet;
        }
    }
    assert!(!valid.is_empty(), "a packet to its seed");
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
    // The unchanged packet introduces its sender.
    assert_eq!(network.handle_input(0, Input::Packet(&valid)), None);
    assert!(network.can_see(0, 9));
}

#[test]
fn invalid_settings_and_keys_are_named() {
    let with = |settings| Membership::new(member_info(0, 1), settings, key(), 1).err().map(|e| e.to_string());
    let usual = Settings::default;
    for (settings, expected) in [
        (Settings { probe_timeout: 0, ..usual() }, "time-out"),
        (Settings { probe_timeout: SECOND, ..usual() }, "time-out"),
        (Settings { indirect_probes: 0, ..usual() }, "indirect"),
        (Settings { suspicion_multiplier: f64::NAN, ..usual() }, "suspicion"),
    ] {
        assert!(with(settings).expect("rejected").contains(expected));
    }
    assert!(Key::new(b"short").expect_err("rejected").to_string().contains("16"));
    assert_eq!(format!("{:?}", key()), "Key", "a key is not printed");
}

/// A tenth of the members is killed at once: all others report these and nobody else.
#[test]
fn three_hundred_members_detect_thirty_failures_and_no_other() {
    let mut network = SimulatedNetwork::joined(300, 9);
    (0..300).step_by(10).for_each(|at| network.kill(at));
    network.run(60 * SECOND);
    assert!(network.all_see(269));
    assert!(network.reported_failures().iter().all(|failure| failure.name.ends_with('0')));
}

/// Unix time in milliseconds, as a process's generation.
const GENERATION: u64 = 1_700_000_000_000;
const HOUR_MS: u64 = 3_600_000;

/// Members whose processes started at one Unix time, and know each other.
fn joined_at_generation(members: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(members, seed);
    (0..members).for_each(|member| network.start(member, GENERATION, &[0]));
    network.run(30 * SECOND);
    assert!(network.all_see(members - 1));
    network
}

/// Whether a member sees the present identity of each other one, and no more.
fn sees_current_processes(network: &SimulatedNetwork, by: usize, members: usize) -> bool {
    let visible = network.visible_members(by);
    let mut others = (0..members).filter(|&other| other != by);
    visible.len() == members - 1
        && others.all(|other| visible.contains(&network.membership(other).local_member()))
}

/// Carries out the exchanges of states that members ask for: the simulated network has no streams.
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

/// A process that starts again after its machine's clock was set back has a lower generation than the one before,
/// whom the others hold for alive or for down, or remember as one that left.
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
                    (0..members).all(|by| sees_current_processes(network, by, members))
                });
                assert!(accepted.is_some(), "{context}");
                let local = network.membership(restarted).local_member();
                assert_eq!(local.generation, GENERATION + 1, "{context}: one above the earlier process");
                network.run(30 * SECOND);
                assert!((0..members).all(|by| sees_current_processes(&network, by, members)), "{context}");
            }
        }
    }
}

/// Of three starts the second and the third are each after a further step back.
#[test]
fn a_member_that_restarts_again_and_again_after_steps_back_is_accepted_each_time() {
    let mut network = joined_at_generation(5, 12);
    for restart in 1..=3 {
        network.kill(2);
        network.run(SECOND);
        network.start(2, GENERATION - restart * HOUR_MS, &[0]);
        let accepted = network.run_until_with(10 * SECOND, SECOND / 10, exchange_states, |network| {
            (0..5).all(|by| sees_current_processes(network, by, 5))
        });
        assert!(accepted.is_some(), "restart {restart}");
    }
}

/// A member with a wrong configuration must not drive the generation of the one whose address it has.
#[test]
fn a_generation_is_raised_over_that_of_an_earlier_process_of_the_same_member_only() {
    let mut network = joined_at_generation(3, 13);
    network.kill(2);
    network.run(SECOND);
    let other = Member { name: "other".into(), ..member_info(2, GENERATION - HOUR_MS) };
    network.start_as(2, other, &[0]);
    network.run(10 * SECOND);
    assert_eq!(network.membership(2).local_member().generation, GENERATION - HOUR_MS);
}
