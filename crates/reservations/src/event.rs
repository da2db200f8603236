//! The events that report every change of the calendar, each with its reason.
use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::claim_state::ClaimState;
use crate::command_id::{ClaimId, CommandId};
use crate::interval::{Allocation, Interval};
use crate::rejection::Rejection;
use crate::time::UnixMillis;

/// One change. Every member of the fleet gets the same events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The instant of the log's entry.
    pub at: UnixMillis,
    /// The command that caused it; none if it was due by time.
    pub command: Option<CommandId>,
    /// What changed.
    pub change: Change,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Change {
    /// The command was rejected for its form, its id or the claim's state, and changed nothing.
    Rejected(Rejection),
    /// A claim made a transition.
    #[serde(rename = "Moved")]
    StateChanged(StateChange),
    /// One occurrence of a reservation has other allocations than before.
    #[serde(rename = "Granted")]
    AllocationsChanged(AllocationChange),
    /// A pool's slots and zone were set.
    #[serde(rename = "Capacity")]
    CapacityChanged(CapacityChange),
}

/// A claim's transition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Moved")]
pub struct StateChange {
    /// The claim.
    pub claim: ClaimId,
    /// Its state before; none for a new claim.
    pub from: Option<ClaimState>,
    /// Its state now.
    pub to: ClaimState,
    /// Why.
    #[serde(rename = "why")]
    pub reason: Reason,
}

/// The allocations of one occurrence of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Granted")]
pub struct AllocationChange {
    /// The claim.
    pub claim: ClaimId,
    /// The occurrence as it was requested.
    pub occurrence: Interval,
    /// What it has now, in order; empty if nothing.
    #[serde(rename = "pieces")]
    pub allocations: Vec<Allocation>,
    /// Why.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// If it has nothing: the nearest interval of its length that fits, if one is near.
    #[serde(rename = "offer")]
    pub alternative: Option<Interval>,
}

/// A pool's slots and zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Capacity")]
pub struct CapacityChange {
    /// The pool.
    pub pool: Name,
    /// Its zone.
    pub zone: Name,
    /// Its slots.
    pub slots: u32,
}

/// Why something changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// A command requested it.
    #[error("asked for")]
    #[serde(rename = "Asked")]
    Requested,
    /// It fits as requested.
    #[error("it fits")]
    Fits,
    /// Only less of it fits, which its flexibility accepts.
    #[error("less of it fits, which it accepts")]
    #[serde(rename = "LessFits")]
    FitsPartially,
    /// It fits only if these claims are displaced, which its confirmation does.
    #[error("it fits only if {} make room", .0.len())]
    #[serde(rename = "NeedsRoom")]
    RequiresDisplacement(Vec<ClaimId>),
    /// It does not fit, whoever is displaced.
    #[error("infeasible: blocked from {} to {}", .blocked.start, .blocked.end)]
    Infeasible {
        /// The first segment in which it does not fit.
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
    /// Its start or end was reached.
    #[error("its time came")]
    #[serde(rename = "TimeCame")]
    TimeReached,
    /// A claim of higher precedence displaced it.
    #[error("makes room for {0}")]
    #[serde(rename = "RoomFor")]
    DisplacedBy(ClaimId),
    /// A blackout displaced it.
    #[error("under the blackout {0}")]
    #[serde(rename = "Blackout")]
    UnderBlackout(ClaimId),
    /// The pool's slots or zone changed.
    #[error("the pool changed")]
    PoolChanged,
}

/// Collects the events of one log entry, with the instant and the command that they have in common.
pub(crate) struct EventBuffer<'a> {
    pub(crate) at: UnixMillis,
    pub(crate) command: Option<&'a CommandId>,
    pub(crate) events: Vec<Event>,
}

impl EventBuffer<'_> {
    /// Adds an event.
    pub(crate) fn push(&mut self, change: Change) {
        self.events.push(Event { at: self.at, command: self.command.cloned(), change });
    }

    /// Adds a claim's transition.
    pub(crate) fn push_state_change(
        &mut self,
        claim: &ClaimId,
        from: Option<ClaimState>,
        to: ClaimState,
        reason: Reason,
    ) {
        self.push(Change::StateChanged(StateChange { claim: claim.clone(), from, to, reason }));
    }
}
