//! The hard cases as plans at 300 members, in virtual time; `crates/scheduler/tests/cluster_faults.rs` plays the
//! same ones on real processes.
use std::time::Duration;

use copperspread_fault_injection::{FaultPlan, plans};
use copperspread_membership::*;
use copperspread_testbed::membership_simulation::*;

const MEMBERS: usize = 300;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// All have played the plan, and see so many others within a bound after its end.
fn played(seed: u64, plan: &FaultPlan, others: usize, bound: Micros) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::joined(MEMBERS, seed);
    net.run_plan(plan);
    assert!(net.run_until(bound, SECOND, |net| net.all_see(others)).is_some(), "not within {bound} us");
    net
}

#[test]
fn one_killed_of_300_is_down_everywhere_and_nobody_else_is() {
    let net = played(1, &plans::kill(7), MEMBERS - 2, 30 * SECOND);
    assert_eq!(net.reported_failures().len(), MEMBERS - 1);
    assert!(net.reported_failures().iter().all(|down| down.2 == "n7"));
}

#[test]
fn one_of_300_paused_for_5_s_stays() {
    let mut net = played(2, &plans::pause(7, s(5)), MEMBERS - 1, 0);
    net.run(30 * SECOND);
    assert!(
        net.all_see(MEMBERS - 1) && net.reported_failures().is_empty(),
        "5 s are less than the 12 s of suspicion among 300: {:?}",
        net.reported_failures()
    );
    assert_eq!(net.membership(7).detected_pauses(), 1);
}

/// Longer than the suspicion: all give it up, and it returns.
#[test]
fn one_of_300_paused_for_40_s_returns_as_itself_returned() {
    let net = played(3, &plans::pause(7, s(40)), MEMBERS - 1, 60 * SECOND);
    assert!(net.reported_failures().iter().all(|down| down.2 == "n7") && !net.reported_failures().is_empty());
    assert!(net.membership(7).local_member().rejoins > 0);
}

#[test]
fn at_30_percent_loss_nobody_of_300_is_declared_dead_in_20_s() {
    let usual = Duration::from_micros(500)..Duration::from_micros(20_500);
    let net = played(4, &plans::lose_packets(0.3, usual.start, usual.end, s(20)), MEMBERS - 1, 0);
    assert!(net.reported_failures().is_empty(), "{:?}", net.reported_failures());
    assert!((0..MEMBERS).all(|at| net.membership(at).local_member().rejoins == 0), "nor told so in error");
}

#[test]
fn a_one_sided_cut_between_two_of_300_evicts_neither() {
    let net = played(5, &plans::block_one_way(0, 1, s(30)), MEMBERS - 1, 0);
    assert!(net.reported_failures().is_empty(), "{:?}", net.reported_failures());
}

#[test]
fn two_halves_of_300_part_and_are_one_view_again() {
    let mut net = SimulatedNetwork::joined(MEMBERS, 6);
    let plan = plans::partition_in_halves(MEMBERS, s(60));
    let (until_healed, heal) = (FaultPlan { steps: plan.steps[..1].to_vec() }, &plan.steps[1].fault);
    net.run_plan(&until_healed);
    net.run(60 * SECOND);
    assert!(
        (0..MEMBERS).all(|at| net.visible_members(at).len() == MEMBERS / 2 - 1),
        "each half has given up the other"
    );
    net.apply_fault(heal);
    assert!(
        net.run_until(120 * SECOND, SECOND, |net| net.all_see(MEMBERS - 1)).is_some(),
        "120 s after the heal"
    );
}

#[test]
fn one_of_300_that_restarts_takes_its_place_with_a_new_generation() {
    let net = played(7, &plans::restart(7, s(1)), MEMBERS - 1, 30 * SECOND);
    let of_7 =
        |by| net.visible_members(by).into_iter().find(|member| member.name == "n7").expect("seen").generation;
    assert!((0..MEMBERS).filter(|&by| by != 7).all(|by| of_7(by) == 2));
}

#[test]
fn a_seed_that_starts_20_s_late_brings_299_together() {
    let mut net = SimulatedNetwork::new(MEMBERS, 8);
    net.run_plan(&plans::start_seeds_late(MEMBERS, 1, s(20)));
    assert!(net.all_see(0), "nobody has found another");
    assert!(
        net.run_until(60 * SECOND, SECOND, |net| net.all_see(MEMBERS - 1)).is_some(),
        "60 s after the seed"
    );
}
