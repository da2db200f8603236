//! The trait of the documents that are replicated.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The content of a document, of which this crate knows only how to restrict it.
pub trait Rules: Clone + Serialize + DeserializeOwned {
    /// What both documents allow. Commutative, idempotent, and never more than either allows.
    fn intersection(&self, other: &Self) -> Self;

    /// What may be acted on without a lease, while a newer version that this member does not know may be in force:
    /// no new reservations, the lowest limits, no retries. What it allows no later document may forbid, or decisions
    /// by it can conflict with those of members that hold a lease. Never more than `self` allows.
    fn without_lease(&self) -> Self;
}
