//! Faults, and fault plans, which list them in chronological order.
use std::time::Duration;

use crate::link_conditions::LinkConditions;

/// An action on the process of a fleet member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// Stops the process, as SIGSTOP does. Packets and connections to the process are queued until it
    /// resumes.
    Pause,
    /// Resumes a paused process, as SIGCONT does.
    Resume,
    /// Ends the process without a graceful shutdown, as SIGKILL does.
    Kill,
    /// Starts the process. A restarted member keeps its name and has a new generation, the number that
    /// distinguishes it from the member's earlier process.
    Start,
}

/// A fault of the network or of a process, or an action that ends such a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Blocks all packets from some members to others. The opposite direction is not affected.
    BlockOneWay {
        /// The numbers of the members whose packets are blocked.
        from: Vec<usize>,
        /// The numbers of the members that do not receive the packets of the members in `from`.
        to: Vec<usize>,
    },
    /// Blocks all packets between two groups of members, in both directions.
    Partition {
        /// The numbers of the members on one side of the partition.
        one: Vec<usize>,
        /// The numbers of the members that cannot exchange packets with the members in `one`.
        other: Vec<usize>,
    },
    /// Sets packet loss, duplication and delay for all links that are not blocked.
    SetConditions(LinkConditions),
    /// Removes all blocks and restores the initial conditions of all links. Does not affect processes.
    Heal,
    /// Pauses, resumes, kills or starts the process of a member.
    Process {
        /// The number of the member whose process is affected, from 0.
        member: usize,
        /// Whether the member's process is paused, resumed, killed or started.
        action: ProcessAction,
    },
}

/// One step of a fault plan: a fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultStep {
    /// The time at which the fault is applied, counted from the start of the plan.
    pub at: Duration,
    /// The fault that is applied at the time `at`.
    pub fault: Fault,
}

/// A list of faults in chronological order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// The steps, in chronological order; several steps may have the same time.
    pub steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Appends a fault that is applied at the time `at`, counted from the start of the plan.
    ///
    /// # Panics
    /// Panics if `at` is before the time of the last step.
    #[must_use]
    pub fn at(mut self, at: Duration, fault: Fault) -> FaultPlan {
        assert!(
            self.steps.last().is_none_or(|last| last.at <= at),
            "fault plan is not in chronological order: {fault:?}"
        );
        self.steps.push(FaultStep { at, fault });
        self
    }

    /// Appends an action on a member's process that is applied at the time `at`, counted from the start of
    /// the plan.
    ///
    /// # Panics
    /// Panics if `at` is before the time of the last step.
    #[must_use]
    pub fn process_at(self, at: Duration, member: usize, action: ProcessAction) -> FaultPlan {
        self.at(at, Fault::Process { member, action })
    }

    /// Returns the duration of the plan: the time of the last step, or zero for an empty plan.
    pub fn duration(&self) -> Duration {
        self.steps.last().map_or(Duration::ZERO, |last| last.at)
    }
}
