//! Plans for the hard cases of membership, for any number of members.
use std::time::Duration;

use crate::fault::{Fault, FaultPlan, ProcessAction};
use crate::link_conditions::LinkConditions;

const START: Duration = Duration::ZERO;

/// A member is killed.
pub fn kill(member: usize) -> FaultPlan {
    FaultPlan::default().process_at(START, member, ProcessAction::Kill)
}

/// A member is paused for a time.
pub fn pause(member: usize, duration: Duration) -> FaultPlan {
    FaultPlan::default().process_at(START, member, ProcessAction::Pause).process_at(
        duration,
        member,
        ProcessAction::Resume,
    )
}

/// All links lose this share of their packets and delay the others, for a time.
pub fn lose_packets(
    loss_rate: f64,
    min_delay: Duration,
    max_delay: Duration,
    duration: Duration,
) -> FaultPlan {
    let conditions = LinkConditions { loss_rate, min_delay, max_delay, ..LinkConditions::IDEAL };
    FaultPlan::default().at(START, Fault::SetConditions(conditions)).at(duration, Fault::Heal)
}

/// One member does not hear another, for a time; all other links work.
pub fn block_one_way(from: usize, to: usize, duration: Duration) -> FaultPlan {
    let block = Fault::BlockOneWay { from: vec![from], to: vec![to] };
    FaultPlan::default().at(START, block).at(duration, Fault::Heal)
}

/// The members are partitioned into two halves, for a time.
pub fn partition_in_halves(members: usize, duration: Duration) -> FaultPlan {
    let half = members / 2;
    let partition = Fault::Partition { one: (0..half).collect(), other: (half..members).collect() };
    FaultPlan::default().at(START, partition).at(duration, Fault::Heal)
}

/// A member is killed, and starts again after a time.
pub fn restart(member: usize, downtime: Duration) -> FaultPlan {
    kill(member).process_at(downtime, member, ProcessAction::Start)
}

/// All members but the seeds start; the seeds, which are the first so many, start after a time.
pub fn start_seeds_late(members: usize, seeds: usize, delay: Duration) -> FaultPlan {
    let start = |plan: FaultPlan, at, member| plan.process_at(at, member, ProcessAction::Start);
    let others_started =
        (seeds..members).fold(FaultPlan::default(), |plan, member| start(plan, START, member));
    (0..seeds).fold(others_started, |plan, member| start(plan, delay, member))
}
