//! What can be observed of simulated members: whom they see and what they report.
use copperspread_membership::{Effect, Member, Membership, Micros};

use super::SimulatedNetwork;
use super::identities::address;

/// An effect of a member's membership, other than a packet.
pub struct RecordedEffect {
    /// When.
    pub at: Micros,
    /// The index of the member whose effect it is.
    pub member: usize,
    /// The effect.
    pub effect: Effect,
}

/// A member's report that another one is down.
#[derive(Debug)]
pub struct ReportedFailure<'a> {
    /// When.
    pub at: Micros,
    /// The index of the member that reports it.
    pub reporter: usize,
    /// The name of the member that is reported down.
    pub name: &'a str,
}

impl SimulatedNetwork {
    /// The members that a member sees; none if it does not run.
    pub fn visible_members(&self, member: usize) -> Vec<&Member> {
        let process = self.processes[member].as_ref();
        process.map(|process| process.membership.members().collect()).unwrap_or_default()
    }

    /// The membership of a member that runs.
    ///
    /// # Panics
    /// It does not run.
    pub fn membership(&self, member: usize) -> &Membership {
        &self.processes[member].as_ref().expect("it runs").membership
    }

    /// Whether one member sees another.
    pub fn can_see(&self, member: usize, other: usize) -> bool {
        self.visible_members(member).iter().any(|visible| visible.address == address(other))
    }

    /// Whether each member that runs sees this number of others.
    pub fn all_see(&self, others: usize) -> bool {
        let mut running = (0..self.processes.len()).filter(|&member| self.processes[member].is_some());
        running.all(|member| self.visible_members(member).len() == others)
    }

    /// The members that were reported down.
    pub fn reported_failures(&self) -> Vec<ReportedFailure<'_>> {
        let failures = self.effects.iter().filter_map(|recorded| match &recorded.effect {
            Effect::MemberDown(down) => {
                Some(ReportedFailure { at: recorded.at, reporter: recorded.member, name: &down.name })
            }
            _ => None,
        });
        failures.collect()
    }
}
