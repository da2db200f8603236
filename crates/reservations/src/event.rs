//! What the calendar says of every change, and why.
use serde::{Deserialize, Serialize};

use crate::{ClaimId, ClaimState, CommandId, Interval, Millis, Name, Rejection};

/// One change, alike on every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The instant of the log's entry.
    pub at: Millis,
    /// The command that caused it; none where time did.
    pub command: Option<CommandId>,
    /// What changed.
    pub change: Change,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The command was refused by its form, its id or the claim's life, and changed nothing.
    Rejected(Rejection),
    /// A claim took a step.
    #[serde(rename = "Moved")]
    StateChanged {
        /// The claim.
        claim: ClaimId,
        /// Where it stood; none if it was not there.
        from: Option<ClaimState>,
        /// Where it stands.
        to: ClaimState,
        /// Why.
        #[serde(rename = "why")]
        reason: Reason,
    },
    /// What one occurrence of a reservation has now, which is not what it had.
    Granted {
        /// The claim.
        claim: ClaimId,
        /// The occurrence as it was wanted.
        occurrence: Interval,
        /// What it has, in order; empty if nothing.
        #[serde(rename = "pieces")]
        allocations: Vec<Allocation>,
        /// Why.
        #[serde(rename = "why")]
        reason: Reason,
        /// Where it has nothing: the nearest interval of its length that fits, if one is near.
        #[serde(rename = "offer")]
        alternative: Option<Interval>,
    },
    /// A pool's slots or zone.
    #[serde(rename = "Capacity")]
    CapacityChanged {
        /// The pool.
        pool: Name,
        /// Its zone.
        zone: Name,
        /// Its slots.
        slots: u32,
    },
}

/// Slots over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Piece")]
pub struct Allocation {
    /// When.
    pub interval: Interval,
    /// How many.
    pub slots: u32,
}

impl Allocation {
    /// Slots times milliseconds.
    pub fn slot_millis(self) -> u64 {
        self.interval.length().unsigned_abs().saturating_mul(self.slots.into())
    }
}

/// Why something changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Reason {
    /// The command asked for it.
    #[error("asked for")]
    #[serde(rename = "Asked")]
    Requested,
    /// It fits as it was asked for.
    #[error("it fits")]
    Fits,
    /// Only less of it fits, which it accepts.
    #[error("less of it fits, which it accepts")]
    #[serde(rename = "LessFits")]
    FitsPartially,
    /// It would fit if these made room, which they do when it is confirmed.
    #[error("it fits only if {} make room", .0.len())]
    #[serde(rename = "NeedsRoom")]
    RequiresDisplacement(Vec<ClaimId>),
    /// It does not fit, whoever makes room.
    #[error("infeasible: blocked from {} to {}", .blocked.start, .blocked.end)]
    Infeasible {
        /// The first stretch in which it does not fit.
        blocked: Interval,
        /// The nearest interval of its length that fits, if one is near.
        #[serde(rename = "offer")]
        alternative: Option<Interval>,
    },
    /// Its last interval ended before it was confirmed.
    #[error("past")]
    #[serde(rename = "Past")]
    InThePast,
    /// Its hold ended before it was confirmed.
    #[error("not confirmed before its hold ended")]
    #[serde(rename = "HoldEnded")]
    HoldExpired,
    /// Its time came.
    #[error("its time came")]
    #[serde(rename = "TimeCame")]
    TimeReached,
    /// A claim of higher precedence takes its place.
    #[error("makes room for {0}")]
    #[serde(rename = "RoomFor")]
    DisplacedBy(ClaimId),
    /// A blackout goes over it.
    #[error("under the blackout {0}")]
    #[serde(rename = "Blackout")]
    UnderBlackout(ClaimId),
    /// The pool's slots or zone changed.
    #[error("the pool changed")]
    PoolChanged,
}
