//! What it means that two decisions contradict.
use crate::Version;

/// By what a decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DecisionBasis {
    /// By this version, within the lease.
    InForce(Version),
    /// By what all versions from the first to the last allow, and with `heard` false also by what no later
    /// one forbids ([`crate::Rules::unheard`]).
    Restricted {
        /// The one known to have been in force last.
        in_force: Version,
        /// The newest that was known.
        newest: Version,
        /// Within the lease: no later version was in force.
        has_lease: bool,
    },
}

/// One decision, as far as contradiction goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<Q> {
    /// By what.
    pub basis: DecisionBasis,
    /// What was asked.
    pub request: Q,
    /// Whether it was allowed.
    pub is_allowed: bool,
}

/// Whether two decisions contradict: they act by different versions, and one allowed what the other forbade.
///
/// The safe rules act by no version of their own: that they forbid what a version allows contradicts nothing;
/// that they allow what a version forbids contradicts it, whether they knew that version or not.
pub fn decisions_conflict<Q: PartialEq>(a: &Decision<Q>, b: &Decision<Q>) -> bool {
    if a.request != b.request || a.is_allowed == b.is_allowed {
        return false;
    }
    let (allowing, forbidding) = if a.is_allowed { (a, b) } else { (b, a) };
    match (allowing.basis, forbidding.basis) {
        (_, DecisionBasis::Restricted { .. }) => false,
        (DecisionBasis::InForce(v), DecisionBasis::InForce(w)) => v != w,
        (DecisionBasis::Restricted { .. }, DecisionBasis::InForce(_)) => true,
    }
}
