//! The trait that the replicated rules implement.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The content of a document: rules that allow or forbid requests. This crate does not interpret the rules;
/// it only makes them stricter through these methods.
pub trait Rules: Clone + Serialize + DeserializeOwned {
    /// Returns the rules that allow only what both `self` and `other` allow. The operation must be
    /// commutative and idempotent.
    fn intersection(&self, other: &Self) -> Self;

    /// Returns the restricted rules for a member without a lease. Such a member may not know the version in
    /// force, so it must follow stricter rules than those it knows. The restricted rules allow, for example,
    /// no new reservations, only the lowest limits, and no retries.
    ///
    /// The restricted rules must not allow more than `self`, nor anything that a later version could forbid.
    /// Otherwise decisions under these rules could conflict with decisions of members that hold a lease.
    fn without_lease(&self) -> Self;
}
