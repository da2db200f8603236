//! Ready-made fault plans, for any number of members. They test the membership, by which the members of a
//! cluster detect which other members run.
use std::time::Duration;

use crate::fault::{Fault, FaultPlan, ProcessAction};
use crate::link_conditions::LinkConditions;

const START: Duration = Duration::ZERO;

/// Returns a plan that kills a member at the start of the plan.
pub fn kill(member: usize) -> FaultPlan {
    FaultPlan::default().process_at(START, member, ProcessAction::Kill)
}

/// Returns a plan that pauses a member at the start of the plan and resumes the member after `duration`.
pub fn pause(member: usize, duration: Duration) -> FaultPlan {
    FaultPlan::default().process_at(START, member, ProcessAction::Pause).process_at(
        duration,
        member,
        ProcessAction::Resume,
    )
}

/// Returns a plan that makes all links lossy and slow for `duration`. During this time, each link loses the
/// fraction `loss_rate` of its packets and delays the remaining packets by a random time between `min_delay`
/// and `max_delay`.
pub fn lose_packets(
    loss_rate: f64,
    min_delay: Duration,
    max_delay: Duration,
    duration: Duration,
) -> FaultPlan {
    let conditions = LinkConditions { loss_rate, min_delay, max_delay, ..LinkConditions::IDEAL };
    FaultPlan::default().at(START, Fault::SetConditions(conditions)).at(duration, Fault::Heal)
}

/// Returns a plan that blocks all packets from one member to another for `duration`. All other links work.
pub fn block_one_way(from: usize, to: usize, duration: Duration) -> FaultPlan {
    let block = Fault::BlockOneWay { from: vec![from], to: vec![to] };
    FaultPlan::default().at(START, block).at(duration, Fault::Heal)
}

/// Returns a plan that partitions the members into two halves for `duration`.
pub fn partition_in_halves(members: usize, duration: Duration) -> FaultPlan {
    let half = members / 2;
    let partition = Fault::Partition { one: (0..half).collect(), other: (half..members).collect() };
    FaultPlan::default().at(START, partition).at(duration, Fault::Heal)
}

/// Returns a plan that kills a member at the start of the plan and starts the member again after `downtime`.
pub fn restart(member: usize, downtime: Duration) -> FaultPlan {
    kill(member).process_at(downtime, member, ProcessAction::Start)
}

/// Returns a plan that starts the seeds later than the other members. Seeds are the members to which a
/// starting member announces itself. The other members are started at the start of the plan, and the seeds
/// after `delay`.
///
/// The seeds are the members with the lowest numbers, from 0 to `seeds - 1`.
pub fn start_seeds_late(members: usize, seeds: usize, delay: Duration) -> FaultPlan {
    let start = |plan: FaultPlan, at, member| plan.process_at(at, member, ProcessAction::Start);
    let others_started =
        (seeds..members).fold(FaultPlan::default(), |plan, member| start(plan, START, member));
    (0..seeds).fold(others_started, |plan, member| start(plan, delay, member))
}
