//! Faults in the order of their instants.
use std::time::Duration;

use crate::Weather;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
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
    Cut {
        /// Who is not heard.
        from: Vec<usize>,
        /// Who does not hear.
        to: Vec<usize>,
    },
    /// Nothing comes between these and those, in both directions.
    Part {
        /// Some members.
        one: Vec<usize>,
        /// Some others.
        other: Vec<usize>,
    },
    /// All links that are not cut are so from now on.
    Weather(Weather),
    /// No link is cut, and all are as at the start.
    Heal,
    /// Something happens to the process of a member.
    Process(usize, Act),
}

/// Faults with their instants since the plan's start, which never go back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The steps.
    pub steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Then this happens, so long after the start.
    ///
    /// # Panics
    /// The instant lies before that of the last step.
    #[must_use]
    pub fn at(mut self, at: Duration, fault: Fault) -> Plan {
        assert!(self.steps.last().is_none_or(|last| last.0 <= at), "a plan goes forward: {fault:?}");
        self.steps.push((at, fault));
        self
    }

    /// The instant of the last step.
    pub fn lasts(&self) -> Duration {
        self.steps.last().map_or(Duration::ZERO, |last| last.0)
    }
}

/// The hard cases of membership, for any number of members.
pub mod plans {
    use super::*;

    const START: Duration = Duration::ZERO;

    /// One is killed.
    pub fn killed(whom: usize) -> Plan {
        Plan::default().at(START, Fault::Process(whom, Act::Kill))
    }

    /// One is stopped for a span.
    pub fn paused(whom: usize, span: Duration) -> Plan {
        Plan::default()
            .at(START, Fault::Process(whom, Act::Pause))
            .at(span, Fault::Process(whom, Act::Resume))
    }

    /// All links lose this share of their packets, for a span.
    pub fn lossy(lose: f64, least: Duration, most: Duration, span: Duration) -> Plan {
        let weather = Weather { lose, least, most, ..Weather::FAIR };
        Plan::default().at(START, Fault::Weather(weather)).at(span, Fault::Heal)
    }

    /// One does not hear another, for a span; all else passes.
    pub fn one_sided(from: usize, to: usize, span: Duration) -> Plan {
        Plan::default().at(START, Fault::Cut { from: vec![from], to: vec![to] }).at(span, Fault::Heal)
    }

    /// The members fall into two halves, for a span.
    pub fn halves(members: usize, span: Duration) -> Plan {
        let half = members / 2;
        let (one, other) = ((0..half).collect(), (half..members).collect());
        Plan::default().at(START, Fault::Part { one, other }).at(span, Fault::Heal)
    }

    /// One is killed, and starts again after a span.
    pub fn restarted(whom: usize, span: Duration) -> Plan {
        killed(whom).at(span, Fault::Process(whom, Act::Start))
    }

    /// All but the seeds start; the seeds, which are the first so many, do after a span.
    pub fn seeds_late(members: usize, seeds: usize, span: Duration) -> Plan {
        let start = |plan: Plan, at, whom| plan.at(at, Fault::Process(whom, Act::Start));
        let plan = (seeds..members).fold(Plan::default(), |plan, whom| start(plan, START, whom));
        (0..seeds).fold(plan, |plan, whom| start(plan, span, whom))
    }
}
