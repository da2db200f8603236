//! Queries on the state and reports of the members.
use copperspread_consensus::{ClockDrift, DecisionBasis, Effect, Micros, Node, Version};

use super::Simulation;
use super::rules::TestRules;

/// An effect that a member reported, other than messages and writes.
pub(crate) struct Report {
    pub(crate) at: Micros,
    pub(crate) member: usize,
    pub(crate) effect: Effect,
}

/// The members that made the reports, in order.
pub(crate) fn reporting_members(reports: &[&Report]) -> Vec<usize> {
    reports.iter().map(|report| report.member).collect()
}

impl Simulation {
    pub(crate) fn member_count(&self) -> usize {
        self.processes.len()
    }

    /// Whether the member's process exists and is not paused.
    pub(crate) fn is_running(&self, member: usize) -> bool {
        self.processes[member].as_ref().is_some_and(|process| !process.is_paused)
    }

    pub(crate) fn node(&self, member: usize) -> Option<&Node<TestRules>> {
        self.processes[member].as_ref().map(|process| &process.node)
    }

    /// The version in force that a member follows; `None` while it follows the restricted rules.
    pub(crate) fn followed_version(&self, member: usize) -> Option<Version> {
        match self.node(member)?.leased_rules().basis(self.clock(member)) {
            DecisionBasis::InForce(version) => Some(version),
            DecisionBasis::Restricted { .. } => None,
        }
    }

    pub(crate) fn all_follow(&self, version: Version) -> bool {
        (0..self.member_count()).all(|member| self.followed_version(member) == Some(version))
    }

    /// Whether all members except one follow a version.
    pub(crate) fn others_follow(&self, excluded: usize, version: Version) -> bool {
        (0..self.member_count())
            .all(|member| member == excluded || self.followed_version(member) == Some(version))
    }

    /// The first running member that considers itself the leader; `None` if there is none.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.member_count())
            .find(|&member| self.is_running(member) && self.node(member).is_some_and(Node::is_leader))
    }

    /// The newest version that is in force at any member.
    pub(crate) fn newest_in_force(&self) -> Version {
        let nodes = (0..self.member_count()).filter_map(|member| self.node(member));
        nodes.map(|node| node.leased_rules().in_force()).max().unwrap_or_default()
    }

    /// See [`super::decisions::DecisionLog::longest_conflict`].
    pub(crate) fn longest_conflict(&self) -> Micros {
        self.decisions.longest_conflict()
    }

    /// The reports whose effect matches a predicate.
    pub(crate) fn reports_of(&self, predicate: impl Fn(&Effect) -> bool) -> Vec<&Report> {
        self.reports.iter().filter(|report| predicate(&report.effect)).collect()
    }

    pub(crate) fn accepted_proposals(&self) -> Vec<&Report> {
        self.reports_of(|effect| matches!(effect, Effect::ProposalAccepted { .. }))
    }

    /// The last clock drift that a member reported.
    pub(crate) fn reported_drift(&self, member: usize) -> Option<ClockDrift> {
        self.reports.iter().rev().find_map(|report| match &report.effect {
            Effect::ClockDriftDetected(drift) if report.member == member => Some(*drift),
            _ => None,
        })
    }
}
