//! Membership among real processes on loopback, under the faults that it must tolerate.
//! `crates/testbed/tests/membership_plans.rs` runs the same plans with 300 members in virtual time.
#![cfg(feature = "standalone")]
use std::net::UdpSocket;
use std::time::Duration;

use copperspread_test_harness::{
    Fault, FaultPlan, Fleet, FleetConfig, LinkConditions, MembershipView, ObservedView, ProcessAction, plans,
};

/// The longest time until every member sees a change of the membership, such as a death, a restart or a
/// rejoin. The configured suspicion time is one second.
const MEMBERSHIP_CHANGE_BOUND: Duration = Duration::from_secs(15);

fn fleet_config(members: usize) -> FleetConfig {
    FleetConfig::new(env!("CARGO_BIN_EXE_copperspread-scheduler"), members)
}

fn member_names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(Fleet::member_name).collect()
}

/// Whether no member was ever declared dead. A member that is declared dead rejoins, and its number of
/// rejoins never decreases.
fn no_member_rejoined(views: &[ObservedView]) -> bool {
    views.iter().all(|observed| observed.view.local_member.rejoins == 0)
}

/// Waits until the members see each other, and asserts that none was declared dead since its start.
fn assert_all_stayed(fleet: &mut Fleet, when: &str) {
    fleet.wait_for_full_membership(MEMBERSHIP_CHANGE_BOUND, when);
    fleet.wait_until(
        Duration::ZERO,
        &format!("{when}, no member has been declared dead"),
        no_member_rejoined,
    );
}

#[test]
fn a_killed_member_is_declared_dead_everywhere_and_no_other_is() {
    let mut fleet = Fleet::start_joined(fleet_config(7));
    fleet.execute_plan(&plans::kill(4));
    fleet.wait_for_full_membership(MEMBERSHIP_CHANGE_BOUND, "after a kill");
    assert_all_stayed(&mut fleet, "after a kill");
}

#[test]
fn a_member_paused_for_5_s_rejoins() {
    let mut fleet = Fleet::start_joined(fleet_config(7));
    fleet.execute_plan(&FaultPlan::default().process_at(Duration::ZERO, 3, ProcessAction::Pause));
    fleet.wait_for_full_membership(
        Duration::from_secs(5),
        "while a member is paused for longer than the suspicion time",
    );
    fleet.execute_plan(&FaultPlan::default().process_at(Duration::from_secs(5), 3, ProcessAction::Resume));
    fleet.wait_for_full_membership(MEMBERSHIP_CHANGE_BOUND, "after the pause");
    fleet.wait_until(
        MEMBERSHIP_CHANGE_BOUND,
        "n3 detected its pause and rejoined; the others did not",
        |views| {
            views.iter().all(|ObservedView { member, view }| match member {
                3 => view.detected_pauses >= 1 && view.local_member.rejoins >= 1,
                _ => view.local_member.rejoins == 0,
            })
        },
    );
}

#[test]
fn at_30_percent_loss_no_member_is_declared_dead_in_20_s() {
    let mut fleet = Fleet::start_joined(fleet_config(9));
    fleet.execute_plan(&plans::lose_packets(
        0.3,
        Duration::from_millis(1),
        Duration::from_millis(15),
        Duration::from_secs(20),
    ));
    assert_all_stayed(&mut fleet, "after 20 s at 30 % loss");
}

/// Packets that arrive twice, late or out of order do not change the membership.
#[test]
fn duplicated_delayed_and_reordered_packets_remove_no_member() {
    let mut fleet = Fleet::start_joined(fleet_config(5));
    let (min, max) = (Duration::from_millis(1), Duration::from_millis(20));
    let conditions = LinkConditions {
        loss_rate: 0.05,
        duplication_rate: 0.3,
        extra_delay_rate: 0.1,
        extra_delay: Duration::from_secs(1),
        min_delay: min,
        max_delay: max,
    };
    fleet.execute_plan(
        &FaultPlan::default()
            .at(Duration::ZERO, Fault::SetConditions(conditions))
            .at(Duration::from_secs(10), Fault::Heal),
    );
    assert_all_stayed(&mut fleet, "after 10 s of duplicated, delayed and reordered packets");
}

#[test]
fn a_one_way_partition_between_two_members_removes_neither() {
    let mut fleet = Fleet::start_joined(fleet_config(7));
    fleet.execute_plan(&plans::block_one_way(0, 1, Duration::from_secs(15)));
    assert_all_stayed(&mut fleet, "after 15 s without packets from n0 to n1");
}

/// The member receives packets from all others and its own are lost. The others must declare it dead without
/// disagreeing about each other.
#[test]
fn a_member_that_reaches_no_other_is_removed_and_returns_when_the_partition_heals() {
    let mut fleet = Fleet::start_joined(fleet_config(6));
    let to = (0..6).filter(|&to| to != 2).collect();
    fleet.apply_fault(&Fault::BlockOneWay { from: vec![2], to });
    fleet.wait_until(MEMBERSHIP_CHANGE_BOUND, "the others declare n2 dead, and no other", |views| {
        views
            .iter()
            .filter(|observed| observed.member != 2)
            .all(|observed| !observed.view.contains("n2") && observed.view.members.len() == 4)
    });
    fleet.apply_fault(&Fault::Heal);
    fleet.wait_for_full_membership(Duration::from_secs(30), "after the heal");
}

#[test]
fn two_halves_of_a_partition_merge_after_it_heals() {
    let mut fleet = Fleet::start_joined(fleet_config(8));
    fleet.apply_fault(&plans::partition_in_halves(8, Duration::ZERO).steps[0].fault);
    let (first_half, second_half) = (member_names(0..4), member_names(4..8));
    fleet.wait_until(MEMBERSHIP_CHANGE_BOUND, "each half sees only its own members", |views| {
        views.iter().all(|ObservedView { member, view }| {
            let half = if *member < 4 { &first_half } else { &second_half };
            view.members.len() == 3 && view.members.iter().all(|member| half.contains(&member.name))
        })
    });
    fleet.apply_fault(&Fault::Heal);
    let merge_time = fleet.wait_for_full_membership(Duration::from_secs(30), "after the heal");
    println!("the halves merged {merge_time:?} after the heal");
}

#[test]
fn a_restart_under_the_same_name_replaces_the_old_process() {
    let mut fleet = Fleet::start_joined(fleet_config(5));
    let before = fleet.view(2).expect("the view of a running member").local_member.generation;
    fleet.execute_plan(&plans::restart(2, Duration::from_millis(300)));
    fleet.wait_until(MEMBERSHIP_CHANGE_BOUND, "all see n2 with a later generation", |views| {
        let seen = |view: &MembershipView| {
            view.members.iter().any(|observed| observed.name == "n2" && observed.generation > before)
        };
        views.iter().all(|observed| observed.member == 2 || seen(&observed.view))
    });
    fleet.wait_for_full_membership(MEMBERSHIP_CHANGE_BOUND, "after a restart");
}

#[test]
fn a_flood_of_invalid_packets_changes_no_membership_and_is_counted() {
    let mut fleet = Fleet::start_joined(fleet_config(5));
    let rejected = fleet.view(0).expect("the view of a running member").rejected;
    let (non_member, to) = (UdpSocket::bind("127.0.0.1:0").expect("a socket"), fleet.membership_address(0));
    // A packet of the current version with an invalid tag, one of 60,000 bytes, and an empty one.
    let (forged, large) = (vec![1; 200], vec![1; 60_000]);
    for _ in 0..2_000 {
        for packet in [&forged[..], &large[..], &[]] {
            // The kernel drops some packets when its buffers are full; enough of them arrive.
            let _ = non_member.send_to(packet, to);
        }
    }
    fleet.wait_until(MEMBERSHIP_CHANGE_BOUND, "n0 has counted hundreds of each kind", |views| {
        let now = views[0].view.rejected;
        [now.forged - rejected.forged, now.too_large - rejected.too_large, now.malformed - rejected.malformed]
            .iter()
            .all(|&count| count >= 100)
    });
    std::thread::sleep(Duration::from_secs(3));
    assert_all_stayed(&mut fleet, "3 s after the flood");
}

#[test]
fn seeds_that_are_all_down_at_the_start_are_retried_until_one_answers() {
    let mut fleet = Fleet::new(FleetConfig { seed_members: vec![0, 1], ..fleet_config(6) });
    let plan = plans::start_seeds_late(6, 2, Duration::from_secs(3));
    let seeds = plan
        .steps
        .iter()
        .position(|step| step.at > Duration::ZERO)
        .expect("steps that start the seeds later");
    fleet.execute_plan(&FaultPlan { steps: plan.steps[..seeds].to_vec() });
    fleet.wait_until(MEMBERSHIP_CHANGE_BOUND, "the four members serve and see no other", |views| {
        views.len() == 4 && views.iter().all(|observed| observed.view.members.is_empty())
    });
    fleet.execute_plan(&FaultPlan { steps: plan.steps[seeds..].to_vec() });
    fleet.wait_for_full_membership(MEMBERSHIP_CHANGE_BOUND, "after the seeds' start");
}
