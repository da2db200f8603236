//! The definition of a conflict between two decisions, which tests check after every run.
use crate::versioned_document::Version;

/// The rules on which a decision is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DecisionBasis {
    /// The version in force. The member held a lease when it decided.
    InForce(Version),
    /// The restricted rules, which allow only what every version from `in_force` to `newest` allows. If the
    /// member had no lease, the restricted rules also forbid whatever a later version may forbid
    /// ([`crate::Rules::without_lease`]).
    Restricted {
        /// The version that the member last knew to be in force.
        in_force: Version,
        /// The newest committed version that the member knew.
        newest: Version,
        /// Whether the member held a lease when it decided; if so, no version later than `newest` was in
        /// force.
        has_lease: bool,
    },
}

/// The parts of a decision that determine whether it conflicts with another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<Q> {
    /// The rules on which the decision is based.
    pub basis: DecisionBasis,
    /// The request that the decision allowed or forbade.
    pub request: Q,
    /// Whether the decision allowed the request; otherwise the decision forbade it.
    pub is_allowed: bool,
}

/// Whether two decisions conflict. Only decisions on the same request can conflict, and only if one allowed
/// the request and the other forbade it.
///
/// Two such decisions under versions in force conflict if the versions differ. A decision under restricted
/// rules may forbid what any other rules allow, but conflicts if it allows what a version in force forbids,
/// whether or not the member knew that version.
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
