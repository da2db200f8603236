//! Faults in the order of their instants.
use std::time::Duration;

use crate::LinkConditions;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// It stops, as by SIGSTOP; what is sent to it waits.
    Pause,
    /// It goes on.
    Resume,
    /// It ends and says nothing.
    Kill,
    /// It starts, with the same name and a new generation if it ran before.
    Start,
}

/// One thing that goes wrong, or right again.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing comes from these to those any more; the other direction stays.
    BlockOneWay {
        /// Who is not heard.
        from: Vec<usize>,
        /// Who does not hear.
        to: Vec<usize>,
    },
    /// Nothing comes between these and those, in both directions.
    Partition {
        /// Some members.
        one: Vec<usize>,
        /// Some others.
        other: Vec<usize>,
    },
    /// All links that are not cut are so from now on.
    SetConditions(LinkConditions),
    /// No link is cut, and all are as at the start.
    Heal,
    /// Something happens to the process of a member.
    Process(usize, ProcessAction),
}

/// Faults with their instants since the plan's start, which never go back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// The steps.
    pub steps: Vec<(Duration, Fault)>,
}

impl FaultPlan {
    /// Then this happens, so long after the start.
    ///
    /// # Panics
    /// The instant lies before that of the last step.
    #[must_use]
    pub fn at(mut self, at: Duration, fault: Fault) -> FaultPlan {
        assert!(self.steps.last().is_none_or(|last| last.0 <= at), "a plan goes forward: {fault:?}");
        self.steps.push((at, fault));
        self
    }

    /// The instant of the last step.
    pub fn duration(&self) -> Duration {
        self.steps.last().map_or(Duration::ZERO, |last| last.0)
    }
}

/// The hard cases of membership, for any number of members.
pub mod plans {
    use super::*;

    const START: Duration = Duration::ZERO;

    /// One is killed.
    pub fn kill(whom: usize) -> FaultPlan {
        FaultPlan::default().at(START, Fault::Process(whom, ProcessAction::Kill))
    }

    /// One is stopped for a span.
    pub fn pause(whom: usize, span: Duration) -> FaultPlan {
        FaultPlan::default()
            .at(START, Fault::Process(whom, ProcessAction::Pause))
            .at(span, Fault::Process(whom, ProcessAction::Resume))
    }

    /// All links lose this share of their packets, for a span.
    pub fn lose_packets(lose: f64, least: Duration, most: Duration, span: Duration) -> FaultPlan {
        let weather =
            LinkConditions { loss_rate: lose, min_delay: least, max_delay: most, ..LinkConditions::IDEAL };
        FaultPlan::default().at(START, Fault::SetConditions(weather)).at(span, Fault::Heal)
    }

    /// One does not hear another, for a span; all else passes.
    pub fn block_one_way(from: usize, to: usize, span: Duration) -> FaultPlan {
        FaultPlan::default()
            .at(START, Fault::BlockOneWay { from: vec![from], to: vec![to] })
            .at(span, Fault::Heal)
    }

    /// The members fall into two halves, for a span.
    pub fn partition_in_halves(members: usize, span: Duration) -> FaultPlan {
        let half = members / 2;
        let (one, other) = ((0..half).collect(), (half..members).collect());
        FaultPlan::default().at(START, Fault::Partition { one, other }).at(span, Fault::Heal)
    }

    /// One is killed, and starts again after a span.
    pub fn restart(whom: usize, span: Duration) -> FaultPlan {
        kill(whom).at(span, Fault::Process(whom, ProcessAction::Start))
    }

    /// All but the seeds start; the seeds, which are the first so many, do after a span.
    pub fn start_seeds_late(members: usize, seeds: usize, span: Duration) -> FaultPlan {
        let start = |plan: FaultPlan, at, whom| plan.at(at, Fault::Process(whom, ProcessAction::Start));
        let plan = (seeds..members).fold(FaultPlan::default(), |plan, whom| start(plan, START, whom));
        (0..seeds).fold(plan, |plan, whom| start(plan, span, whom))
    }
}
