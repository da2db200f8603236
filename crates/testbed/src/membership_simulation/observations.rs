//! Queries of a simulated network: which members each member sees, and which failures the members report.
use copperspread_membership::{Effect, Member, Membership, Micros};

use super::SimulatedNetwork;
use super::identities::address;

/// An effect that a member's membership protocol emitted, such as the report that another member is down.
/// Sent packets are not recorded.
pub struct RecordedEffect {
    /// The simulated time at which the member's protocol emitted `effect`, in microseconds.
    pub at: Micros,
    /// The index of the member whose protocol emitted `effect`.
    pub member: usize,
    /// What the member's protocol emitted, such as the report that another member is down.
    pub effect: Effect,
}

/// A report by one member that another member is down.
#[derive(Debug)]
pub struct ReportedFailure<'a> {
    /// The simulated time of the report, in microseconds.
    pub at: Micros,
    /// The index of the member that reports the failure.
    pub reporter: usize,
    /// The name of the member that is reported down.
    pub name: &'a str,
}

impl SimulatedNetwork {
    /// Returns the other members that a member's protocol state lists; an empty list if the member does not
    /// run.
    pub fn visible_members(&self, member: usize) -> Vec<&Member> {
        let process = self.processes[member].as_ref();
        process.map(|process| process.membership.members().collect()).unwrap_or_default()
    }

    /// Returns the state of a running member's membership protocol.
    ///
    /// # Panics
    /// Panics if the member does not run.
    pub fn membership(&self, member: usize) -> &Membership {
        &self.processes[member].as_ref().expect("the member runs").membership
    }

    /// Returns whether the protocol state of one member lists another member.
    pub fn can_see(&self, member: usize, other: usize) -> bool {
        self.visible_members(member).iter().any(|visible| visible.address == address(other))
    }

    /// Returns whether the protocol state of each running member lists exactly this number of other members.
    pub fn all_see(&self, others: usize) -> bool {
        let mut running = (0..self.processes.len()).filter(|&member| self.processes[member].is_some());
        running.all(|member| self.visible_members(member).len() == others)
    }

    /// Returns all reports that a member is down, in the order in which the reports were made.
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
