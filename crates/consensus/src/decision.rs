//! What it means that two decisions contradict.
use crate::Version;

/// By what a decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Basis {
    /// By this version, within the lease.
    Agreed(Version),
    /// By what all versions from the first to the last allow, and with `heard` false also by what no later
    /// one forbids ([`crate::Rules::unheard`]).
    Safe {
        /// The one known to have been in force last.
        from: Version,
        /// The newest that was known.
        to: Version,
        /// Within the lease: no later version was in force.
        heard: bool,
    },
}

/// One decision, as far as contradiction goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<Q> {
    /// By what.
    pub basis: Basis,
    /// What was asked.
    pub asked: Q,
    /// Whether it was allowed.
    pub allowed: bool,
}

/// Whether two decisions contradict: they act by different versions, and one allowed what the other forbade.
///
/// The safe rules act by no version of their own: that they forbid what a version allows contradicts nothing;
/// that they allow what a version forbids contradicts it, whether they knew that version or not.
pub fn contradict<Q: PartialEq>(a: &Decision<Q>, b: &Decision<Q>) -> bool {
    if a.asked != b.asked || a.allowed == b.allowed {
        return false;
    }
    let (allowing, forbidding) = if a.allowed { (a, b) } else { (b, a) };
    match (allowing.basis, forbidding.basis) {
        (_, Basis::Safe { .. }) => false,
        (Basis::Agreed(v), Basis::Agreed(w)) => v != w,
        (Basis::Safe { .. }, Basis::Agreed(_)) => true,
    }
}
