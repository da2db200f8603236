//! Faults, and plans that put them in order of time.
use std::time::Duration;

use crate::link_conditions::LinkConditions;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// It is stopped, as by SIGSTOP; what is sent to it waits.
    Pause,
    /// It continues.
    Resume,
    /// It ends without notice.
    Kill,
    /// It starts, with the same name and a new generation if it ran before.
    Start,
}

/// One fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing arrives from some members at others; the opposite direction stays as it is.
    BlockOneWay {
        /// The members that are not heard.
        from: Vec<usize>,
        /// The members that do not hear them.
        to: Vec<usize>,
    },
    /// Nothing passes between two groups, in either direction.
    Partition {
        /// One group.
        one: Vec<usize>,
        /// The other group.
        other: Vec<usize>,
    },
    /// All links that are not blocked have these conditions from now on.
    SetConditions(LinkConditions),
    /// No link is blocked, and all have the conditions that they started with.
    Heal,
    /// Something happens to a member's process.
    Process {
        /// The member.
        member: usize,
        /// What happens to its process.
        action: ProcessAction,
    },
}

/// A fault at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultStep {
    /// Time since the plan's start.
    pub at: Duration,
    /// What happens then.
    pub fault: Fault,
}

/// Faults in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// The steps, none of which lies before the one that precedes it.
    pub steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Appends a fault, so long after the plan's start.
    ///
    /// # Panics
    /// The time lies before that of the last step.
    #[must_use]
    pub fn at(mut self, at: Duration, fault: Fault) -> FaultPlan {
        assert!(self.steps.last().is_none_or(|last| last.at <= at), "a plan goes forward: {fault:?}");
        self.steps.push(FaultStep { at, fault });
        self
    }

    /// Appends what happens to a process, so long after the plan's start.
    ///
    /// # Panics
    /// The time lies before that of the last step.
    #[must_use]
    pub fn process_at(self, at: Duration, member: usize, action: ProcessAction) -> FaultPlan {
        self.at(at, Fault::Process { member, action })
    }

    /// The time of the last step.
    pub fn duration(&self) -> Duration {
        self.steps.last().map_or(Duration::ZERO, |last| last.at)
    }
}
