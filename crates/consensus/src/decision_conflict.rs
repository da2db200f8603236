//! Defines when two decisions of members conflict, so that tests can search for such conflicts.
use crate::versioned_document::Version;

/// The rules on which a member based a decision: the rules of one version, or the restricted rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DecisionBasis {
    /// The decision is based on the rules of this version, which was in force. The member held a lease when
    /// it decided.
    InForce(Version),
    /// The decision is based on the restricted rules, which allow only what every version from `in_force` to
    /// `newest` allows. If the member had no lease, the restricted rules also forbid whatever a later version
    /// may forbid ([`crate::Rules::without_lease`]).
    Restricted {
        /// The version that the deciding member last knew to be in force.
        in_force: Version,
        /// The newest committed version that the deciding member knew.
        newest: Version,
        /// Whether the member held a lease when it decided. If it did, no version later than `newest` was in
        /// force.
        has_lease: bool,
    },
}

/// A member's decision, reduced to the parts that determine whether it conflicts with another decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<Q> {
    /// The rules on which the member based the decision.
    pub basis: DecisionBasis,
    /// The request that the decision allowed or forbade.
    pub request: Q,
    /// Whether the decision allowed the request; if false, the decision forbade the request.
    pub is_allowed: bool,
}

/// Whether two decisions conflict. Only decisions on the same request can conflict, and only if one allowed
/// the request and the other forbade it.
///
/// Two such decisions that followed versions in force conflict if the versions differ. A decision that
/// followed restricted rules may forbid what other rules allow. Such a decision conflicts if it allows what a
/// version in force forbids, whether or not the member knew that version.
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
