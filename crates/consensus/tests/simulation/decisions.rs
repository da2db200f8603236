//! Records the decisions of all members, and finds conflicts between them.
use std::collections::BTreeMap;

use copperspread_consensus::{Decision, DecisionBasis, Micros, Version, decisions_conflict};

use super::rules::Request;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DecisionKind {
    basis: DecisionBasis,
    request: Request,
    is_allowed: bool,
}

impl DecisionKind {
    fn decision(self) -> Decision<Request> {
        Decision { basis: self.basis, request: self.request, is_allowed: self.is_allowed }
    }

    /// False if the two are different decisions on the same request and basis.
    fn is_consistent_with(self, other: DecisionKind) -> bool {
        self.is_allowed == other.is_allowed || self.request != other.request || self.basis != other.basis
    }
}

/// The times of the first and the last decision of a kind.
#[derive(Clone, Copy)]
struct Interval {
    first: Micros,
    last: Micros,
}

/// All decisions of a run, by their kind.
#[derive(Default)]
pub(crate) struct DecisionLog(BTreeMap<DecisionKind, Interval>);

impl DecisionLog {
    pub(crate) fn record(&mut self, now: Micros, basis: DecisionBasis, request: Request, is_allowed: bool) {
        let kind = DecisionKind { basis, request, is_allowed };
        self.0.entry(kind).or_insert(Interval { first: now, last: now }).last = now;
    }

    /// The duration of the longest conflict between two decisions, in microseconds: from the first decision
    /// by the newer version to the last decision by the older one, plus 1 us so that a conflict within one
    /// instant counts; 0 if there is no conflict.
    ///
    /// # Panics
    /// Panics if two decisions on the same request by the same version in force differ.
    pub(crate) fn longest_conflict(&self) -> Micros {
        let mut longest = 0;
        for (left, left_interval) in &self.0 {
            for (right, right_interval) in &self.0 {
                let is_consistent = left.is_consistent_with(*right);
                let is_restricted = !matches!(left.basis, DecisionBasis::InForce(_));
                assert!(is_consistent || is_restricted, "{left:?} and {right:?}");
                if decisions_conflict(&left.decision(), &right.decision()) {
                    longest = longest.max(conflict_span(left, left_interval, right, right_interval));
                }
            }
        }
        longest
    }
}

fn conflict_span(
    left: &DecisionKind,
    left_interval: &Interval,
    right: &DecisionKind,
    right_interval: &Interval,
) -> Micros {
    let Some((left_version, right_version)) = versions(left.basis, right.basis) else { return 0 };
    let span = if left_version < right_version {
        left_interval.last.checked_sub(right_interval.first)
    } else {
        right_interval.last.checked_sub(left_interval.first)
    };
    span.map_or(0, |span| span + 1)
}

/// The versions on which two decisions are based. For restricted rules, this is the end of their version
/// range that is nearer to the other version.
fn versions(left: DecisionBasis, right: DecisionBasis) -> Option<(Version, Version)> {
    let nearer_end = |in_force: Version, newest: Version, other: Version| {
        if other > newest { newest } else { in_force }
    };
    match (left, right) {
        (DecisionBasis::InForce(left), DecisionBasis::InForce(right)) => Some((left, right)),
        (DecisionBasis::Restricted { in_force, newest, .. }, DecisionBasis::InForce(right)) => {
            Some((nearer_end(in_force, newest, right), right))
        }
        (DecisionBasis::InForce(left), DecisionBasis::Restricted { in_force, newest, .. }) => {
            Some((left, nearer_end(in_force, newest, left)))
        }
        (DecisionBasis::Restricted { .. }, DecisionBasis::Restricted { .. }) => None,
    }
}
