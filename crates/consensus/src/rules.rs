//! The trait that replicated rules implement.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The content of a document: rules that allow or forbid requests. This crate does not interpret them; it
/// only narrows them through these methods.
pub trait Rules: Clone + Serialize + DeserializeOwned {
    /// The rules that allow only what both `self` and `other` allow. Must be commutative and idempotent.
    fn intersection(&self, other: &Self) -> Self;

    /// The restricted rules for a member without a lease. They are needed because a newer version that the
    /// member does not know may be in force. They allow, for example, no new reservations, only the lowest
    /// limits, and no retries.
    ///
    /// They must not allow more than `self`, nor anything that a later version may forbid; otherwise
    /// decisions under these rules can conflict with decisions of members that hold a lease.
    fn without_lease(&self) -> Self;
}
