//! Defines when two decisions of members conflict, so that tests can search for such conflicts.
use crate::versioned_document::Version;

/// The rules on which a member based a decision: one version of the fleet's rules, or the restricted rules. A
/// member follows restricted rules while it has no lease, or while it knows several versions that may be in
/// force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DecisionBasis {
    /// The decision is based on the rules of this version. When the member decided, it held a lease from the
    /// leader and knew no other version. While a lease holds, the version in force is one that the member
    /// knows. This version was therefore in force at that time.
    InForce(Version),
    /// The decision is based on the restricted rules. These allow only what is allowed by all versions of the
    /// rules that the member knew, from the field `in_force` to the field `newest`. Without a lease, there
    /// may be later versions that the member did not know. The restricted rules then also forbid everything
    /// that a later version could forbid ([`crate::Rules::without_lease`]).
    Restricted {
        /// The version of the fleet's rules that the deciding member last knew to be in force.
        in_force: Version,
        /// The newest committed version of the fleet's rules that the deciding member knew.
        newest: Version,
        /// Whether the member held a lease when it made the decision. While a member holds a lease, the
        /// leader puts no version of the fleet's rules in force that the member does not know. With a lease,
        /// the version in force was therefore the newest version that this member knew, or an older one.
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
/// A decision follows either the version of the fleet's rules that is in force, or restricted rules. A member
/// follows restricted rules, which allow less, while it cannot tell which version is in force
/// ([`DecisionBasis`]). Whether two opposite decisions conflict depends on what they followed:
///
/// - If the forbidding decision followed restricted rules, there is no conflict. Restricted rules may forbid
///   what other rules allow.
/// - If only the allowing decision followed restricted rules, there is a conflict. Restricted rules must not
///   allow what a version in force forbids, whether or not the member knew that version.
/// - If both decisions followed a version in force, they conflict if the versions differ. Two decisions that
///   followed the same version are never counted as a conflict.
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
