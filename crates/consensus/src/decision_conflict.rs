//! When two decisions conflict: what the tests check after every run.
use crate::versioned_document::Version;

/// The rules on which a decision rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DecisionBasis {
    /// This version, in force and within the lease.
    InForce(Version),
    /// What all versions from the one in force to the newest allow; without a lease also restricted to what no
    /// later version forbids ([`crate::Rules::without_lease`]).
    Restricted {
        /// The version last known to be in force.
        in_force: Version,
        /// The newest version known.
        newest: Version,
        /// Whether the lease held: then no later version was in force.
        has_lease: bool,
    },
}

/// One decision, as far as conflicts are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<Q> {
    /// The rules on which it rests.
    pub basis: DecisionBasis,
    /// What was requested.
    pub request: Q,
    /// Whether it was allowed.
    pub is_allowed: bool,
}

/// Whether two decisions conflict: they rest on different versions, and one allowed what the other forbade.
///
/// Restricted rules are no version of their own. That they forbid what a version allows is no conflict; that they
/// allow what a version forbids is one, whether that version was known or not.
pub fn decisions_conflict<Q: PartialEq>(first: &Decision<Q>, second: &Decision<Q>) -> bool {
    if first.request != second.request || first.is_allowed == second.is_allowed {
        return false;
    }
    let (allowing, forbidding) = if first.is_allowed { (first, second) } else { (second, first) };
    match (allowing.basis, forbidding.basis) {
        (_, DecisionBasis::Restricted { .. }) => false,
        (DecisionBasis::InForce(allowing), DecisionBasis::InForce(forbidding)) => allowing != forbidding,
        (DecisionBasis::Restricted { .. }, DecisionBasis::InForce(_)) => true,
    }
}
