//! The failures that membership is for, each caused on a faulty network in virtual time.
use copperspread_fault_injection::Fault;
use copperspread_membership::*;
use copperspread_testbed::membership_simulation::*;

#[test]
fn a_killed_member_is_down_everywhere_and_nobody_else_is() {
    let mut net = SimulatedNetwork::joined(9, 1);
    net.kill(4);
    net.run(20 * SECOND);
    assert!(net.all_see(7));
    assert_eq!(net.reported_failures().len(), 8);
    assert!(net.reported_failures().iter().all(|down| down.2 == "n4"), "{:?}", net.reported_failures());
}

#[test]
fn a_member_paused_for_5_s_is_there_afterwards_and_declares_nobody_dead() {
    for seed in 0..10 {
        let mut net = SimulatedNetwork::joined(9, seed);
        net.pause(3, 5 * SECOND);
        net.run(30 * SECOND);
        assert!(net.all_see(8), "seed {seed}");
        assert!(
            net.reported_failures().iter().all(|down| down.2 == "n3"),
            "seed {seed}: {:?}",
            net.reported_failures()
        );
        assert_eq!(net.membership(3).detected_pauses(), 1, "seed {seed}");
    }
}

/// Longer than any suspicion: it is given up, and comes back by itself.
#[test]
fn a_member_paused_for_30_s_refutes_its_death() {
    let mut net = SimulatedNetwork::joined(9, 2);
    net.pause(3, 30 * SECOND);
    net.run(29 * SECOND);
    assert!((0..9).filter(|&by| by != 3).all(|by| !net.can_see(by, 3)), "given up");
    net.run(31 * SECOND);
    assert!(net.all_see(8));
    assert!(net.reported_failures().iter().all(|down| down.2 == "n3"), "{:?}", net.reported_failures());
    assert!(net.effects.iter().any(|said| said.1 == 3 && matches!(said.2, Effect::SelfRefuted(_))));
    assert!(net.membership(3).local_member().rejoins > 0);
}

#[test]
fn at_30_percent_loss_nobody_is_declared_dead_within_60_s() {
    for seed in 0..30 {
        let mut net = SimulatedNetwork::joined(9, seed);
        net.links.conditions.loss_rate = 0.3;
        net.run(60 * SECOND);
        assert!(net.reported_failures().is_empty(), "seed {seed}: {:?}", net.reported_failures());
        // Nor was it told so in error, after it had refuted.
        assert!((0..9).all(|at| net.membership(at).local_member().rejoins == 0), "seed {seed}");
    }
}

/// B does not hear A; A hears B, and both hear the others.
#[test]
fn a_one_sided_cut_between_two_evicts_neither() {
    for seed in 0..5 {
        let mut net = SimulatedNetwork::joined(7, seed);
        net.links.blocked.insert((0, 1));
        net.run(60 * SECOND);
        assert!(
            net.reported_failures().is_empty() && net.all_see(6),
            "seed {seed}: {:?}",
            net.reported_failures()
        );
    }
}

/// It hears all and nobody hears it: to the others it is dead, and it must not take their side apart.
#[test]
fn a_member_that_nobody_hears_goes_and_returns_when_the_cut_heals() {
    let mut net = SimulatedNetwork::joined(7, 3);
    net.links.blocked.extend((0..7).filter(|&to| to != 2).map(|to| (2, to)));
    net.run(30 * SECOND);
    assert!((0..7).filter(|&by| by != 2).all(|by| !net.can_see(by, 2) && net.visible_members(by).len() == 5));
    net.links.blocked.clear();
    net.run(30 * SECOND);
    assert!(net.all_see(6));
}

#[test]
fn two_halves_part_and_become_one_view_again() {
    let mut net = SimulatedNetwork::joined(9, 4);
    net.apply_fault(&Fault::Partition { one: (0..4).collect(), other: (4..9).collect() });
    net.run(30 * SECOND);
    assert!(
        (0..4).all(|at| net.visible_members(at).len() == 3)
            && (4..9).all(|at| net.visible_members(at).len() == 4)
    );
    net.links.blocked.clear();
    net.run(30 * SECOND);
    assert!(net.all_see(8), "30 s after the cut healed");
}

#[test]
fn a_restart_under_the_same_name_takes_the_place_of_the_old_process() {
    let mut net = SimulatedNetwork::joined(5, 5);
    net.kill(2);
    net.run(SECOND);
    net.start(2, 2, &[0]);
    net.run(10 * SECOND);
    assert!(net.all_see(4));
    for by in [0, 1, 3, 4] {
        let found =
            net.visible_members(by).into_iter().find(|member| member.name == "n2").expect("it is there");
        assert_eq!(found.generation, 2, "seen by {by}");
    }
}

#[test]
fn seeds_that_are_all_down_at_the_start_are_asked_until_one_is_there() {
    let mut net = SimulatedNetwork::new(4, 6);
    (1..4).for_each(|number| net.start(number, 1, &[0]));
    net.run(60 * SECOND);
    assert!(net.all_see(0));
    net.start(0, 1, &[]);
    net.run(15 * SECOND);
    assert!(net.all_see(3));
}

#[test]
fn one_that_leaves_is_gone_at_once() {
    let mut net = SimulatedNetwork::joined(5, 7);
    net.leave(1);
    net.run(2 * SECOND);
    assert!(net.all_see(3));
}

/// Forged, cut, changed, oversized and foreign packets change nothing, however many come.
#[test]
fn a_flood_of_bad_packets_evicts_nobody_and_lets_nobody_in() {
    let mut net = SimulatedNetwork::joined(5, 8);
    let mut real = Vec::new();
    let mut stranger = Membership::new(
        member_info(9, 1),
        Settings { seeds: vec![address(0)], ..Settings::default() },
        key(),
        1,
    )
    .expect("settings");
    let mut effects = Vec::new();
    stranger.handle(0, Input::TimerDue, &mut effects).expect("time goes on");
    for effect in effects {
        if let Effect::SendPacket { packet, .. } = effect {
            real = packet;
        }
    }
    assert!(!real.is_empty(), "it asks its seed");
    let mut forged = vec![(vec![], PacketError::Malformed), (vec![1; 5_000], PacketError::TooLarge)];
    for cut in 0..real.len() {
        forged.push((
            real[..cut].to_vec(),
            if cut <= 32 { PacketError::Malformed } else { PacketError::Forged },
        ));
        let mut changed = real.clone();
        changed[cut] ^= 0x40;
        forged.push((changed, PacketError::Forged));
    }
    for (packet, why) in &forged {
        for _ in 0..20 {
            assert_eq!(net.handle_input(0, Input::Packet(packet)), Some(*why), "{} bytes", packet.len());
        }
    }
    net.run(30 * SECOND);
    assert!(net.all_see(4) && net.reported_failures().is_empty());
    // The same packet with the key is an introduction.
    assert_eq!(net.handle_input(0, Input::Packet(&real)), None);
    assert!(net.can_see(0, 9));
}

#[test]
fn settings_and_keys_that_cannot_work_are_named() {
    let with = |settings| Membership::new(member_info(0, 1), settings, key(), 1).err().map(|e| e.to_string());
    let usual = Settings::default;
    for (settings, word) in [
        (Settings { probe_timeout: 0, ..usual() }, "time-out"),
        (Settings { probe_timeout: SECOND, ..usual() }, "time-out"),
        (Settings { indirect_probes: 0, ..usual() }, "indirect"),
        (Settings { suspicion_multiplier: f64::NAN, ..usual() }, "suspicion"),
    ] {
        assert!(with(settings).expect("refused").contains(word));
    }
    assert!(Key::new(b"short").expect_err("refused").to_string().contains("16"));
    assert_eq!(format!("{:?}", key()), "Key", "a key is not told");
}

/// Three hundred, as on the standing test: a tenth killed at once, found by all, and nobody else.
#[test]
fn three_hundred_members_find_thirty_deaths_and_no_other() {
    let mut net = SimulatedNetwork::joined(300, 9);
    (0..300).step_by(10).for_each(|at| net.kill(at));
    net.run(60 * SECOND);
    assert!(net.all_see(269));
    assert!(net.reported_failures().iter().all(|down| down.2.ends_with('0')));
}
