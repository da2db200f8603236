//! Tests of membership under fault plans, with 300 members in virtual time.
//!
//! `crates/scheduler/tests/cluster_faults.rs` runs the same fault plans on real processes.
use std::time::Duration;

use copperspread_fault_injection::{FaultPlan, plans};
use copperspread_membership::{Micros, SECOND};
use copperspread_testbed::membership_simulation::SimulatedNetwork;

const MEMBERS: usize = 300;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Runs a fault plan. Each running member must see `others` other members within `bound` after the end of the
/// plan.
fn run_plan(seed: u64, plan: &FaultPlan, others: usize, bound: Micros) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::joined(MEMBERS, seed);
    network.run_plan(plan);
    assert!(
        network.run_until(bound, SECOND, |network| network.all_see(others)).is_some(),
        "each member must see {others} others within {bound} us"
    );
    network
}

#[test]
fn one_killed_of_300_is_reported_down_by_all_others_and_no_other_is() {
    let network = run_plan(1, &plans::kill(7), MEMBERS - 2, 30 * SECOND);
    assert_eq!(network.reported_failures().len(), MEMBERS - 1);
    assert!(network.reported_failures().iter().all(|failure| failure.name == "n7"));
}

#[test]
fn one_of_300_paused_for_5_s_stays() {
    let mut network = run_plan(2, &plans::pause(7, seconds(5)), MEMBERS - 1, 0);
    network.run(30 * SECOND);
    assert!(
        network.all_see(MEMBERS - 1) && network.reported_failures().is_empty(),
        "a pause of 5 s is shorter than the suspicion among 300 members, 12 s: {:?}",
        network.reported_failures()
    );
    assert_eq!(network.membership(7).detected_pauses(), 1);
}

/// The pause is longer than the suspicion, so all others remove the member. It must rejoin.
#[test]
fn one_of_300_paused_for_40_s_is_removed_and_rejoins() {
    let network = run_plan(3, &plans::pause(7, seconds(40)), MEMBERS - 1, 60 * SECOND);
    assert!(
        network.reported_failures().iter().all(|failure| failure.name == "n7")
            && !network.reported_failures().is_empty()
    );
    assert!(network.membership(7).local_member().rejoins > 0);
}

#[test]
fn at_30_percent_packet_loss_none_of_300_is_reported_down_in_20_s() {
    let delay = Duration::from_micros(500)..Duration::from_micros(20_500);
    let network = run_plan(4, &plans::lose_packets(0.3, delay.start, delay.end, seconds(20)), MEMBERS - 1, 0);
    assert!(network.reported_failures().is_empty(), "{:?}", network.reported_failures());
    assert!(
        (0..MEMBERS).all(|member| network.membership(member).local_member().rejoins == 0),
        "no member had to refute a false report"
    );
}

#[test]
fn a_one_way_block_between_two_of_300_removes_neither() {
    let network = run_plan(5, &plans::block_one_way(0, 1, seconds(30)), MEMBERS - 1, 0);
    assert!(network.reported_failures().is_empty(), "{:?}", network.reported_failures());
}

#[test]
fn a_partition_of_300_in_halves_heals_to_one_view() {
    let mut network = SimulatedNetwork::joined(MEMBERS, 6);
    let plan = plans::partition_in_halves(MEMBERS, seconds(60));
    let (until_healed, heal) = (FaultPlan { steps: plan.steps[..1].to_vec() }, &plan.steps[1].fault);
    network.run_plan(&until_healed);
    network.run(60 * SECOND);
    assert!(
        (0..MEMBERS).all(|member| network.visible_members(member).len() == MEMBERS / 2 - 1),
        "each half has removed the other"
    );
    network.apply_fault(heal);
    assert!(
        network.run_until(120 * SECOND, SECOND, |network| network.all_see(MEMBERS - 1)).is_some(),
        "all members see each other 120 s after the partition ended"
    );
}

#[test]
fn one_of_300_that_restarts_returns_with_a_new_generation() {
    let network = run_plan(7, &plans::restart(7, seconds(1)), MEMBERS - 1, 30 * SECOND);
    let generation_seen_by = |observer| {
        network
            .visible_members(observer)
            .into_iter()
            .find(|member| member.name == "n7")
            .expect("the restarted member is visible")
            .generation
    };
    assert!((0..MEMBERS).filter(|&observer| observer != 7).all(|observer| generation_seen_by(observer) == 2));
}

#[test]
fn a_seed_that_starts_20_s_late_joins_299_members() {
    let mut network = SimulatedNetwork::new(MEMBERS, 8);
    network.run_plan(&plans::start_seeds_late(MEMBERS, 1, seconds(20)));
    assert!(network.all_see(0), "no member sees another");
    assert!(
        network.run_until(60 * SECOND, SECOND, |network| network.all_see(MEMBERS - 1)).is_some(),
        "all members see each other 60 s after the start of the seed"
    );
}
