//! Events, which report changes of claims, allocations and pools, and rejected commands.
//!
//! The removal of a claim after its retention time is not reported.
use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::claim_state::ClaimState;
use crate::command_id::{ClaimId, CommandId};
use crate::interval::{Allocation, Interval};
use crate::rejection::Rejection;
use crate::time::UnixMillis;

/// An event: a change of the calendar or a rejected command, with its instant and cause. Every member of the
/// fleet gets the same events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The calendar's time when the event was created. This time advances only with log entries. Therefore a
    /// change that is caused by the passing of time alone may have been due earlier.
    pub at: UnixMillis,
    /// The id of the command that caused the event. `None` if the change was caused by the passing of time
    /// alone.
    pub command: Option<CommandId>,
    /// What the event reports: what happened to a claim, its allocations or a pool, or why a command was
    /// rejected.
    pub change: Change,
}

/// What an event reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Change {
    /// The command was rejected because of one of its fields, its id, or the state of the claim that it
    /// names; see [`Rejection`].
    Rejected(Rejection),
    /// A claim was proposed, or its state changed. If a newly proposed claim fits only by displacing other
    /// claims, a second event of this kind follows. It changes no state, but says that the claim stays
    /// proposed.
    #[serde(rename = "Moved")]
    StateChanged(StateChange),
    /// Either a reservation was granted only partially, or the allocations of one of its intervals changed
    /// after they were granted. A partial grant causes one event for each interval of the reservation, also
    /// for those that were granted in full. A complete grant causes no such event.
    #[serde(rename = "Granted")]
    AllocationsChanged(AllocationChange),
    /// A command set the slots and zone of a pool.
    #[serde(rename = "Capacity")]
    CapacityChanged(CapacityChange),
}

/// A new claim, or a change of its state.
///
/// If a claim stays proposed because it fits only by displacement, `from` and `to` are both
/// [`ClaimState::Proposed`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Moved")]
pub struct StateChange {
    /// The id of the claim that is new or whose state changed.
    pub claim: ClaimId,
    /// The state of the claim before the change; `None` for a new claim.
    pub from: Option<ClaimState>,
    /// The state of the claim after the change.
    pub to: ClaimState,
    /// The reason why the state changed, or why the claim stays proposed.
    #[serde(rename = "why")]
    pub reason: Reason,
}

/// The slots that are allocated to a reservation in one of its intervals, after a partial grant or a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Granted")]
pub struct AllocationChange {
    /// The id of the reservation's claim.
    pub claim: ClaimId,
    /// The whole interval to which the allocations belong, including its parts without allocations. It
    /// identifies the occurrence, which is one interval of the claim.
    pub occurrence: Interval,
    /// All allocations that the reservation now has in this interval, in order of time.
    #[serde(rename = "pieces")]
    pub allocations: Vec<Allocation>,
    /// The reason why the allocations are partial or have changed.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// The nearest interval in which the reservation would fit instead of in `occurrence`; `None` if the
    /// calendar found none or did not search. The interval has the same length, and starts at most 30 days
    /// before or after the start of `occurrence`. The calendar searches only after other claims or a change
    /// of the pool have taken all slots that the reservation still had in `occurrence`.
    #[serde(rename = "offer")]
    pub alternative: Option<Interval>,
}

/// The new number of slots and the new zone of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Capacity")]
pub struct CapacityChange {
    /// The name of the pool whose slots and zone were set.
    pub pool: Name,
    /// The name of the zone that the pool belongs to from now on.
    pub zone: Name,
    /// The number of slots in the pool from now on.
    pub slots: u32,
}

/// The reason why a claim's state or allocations changed, or why a claim stays proposed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// A command requested the change of the claim.
    #[error("asked for")]
    #[serde(rename = "Asked")]
    Requested,
    /// The claim is held because it fits as requested.
    #[error("fits as requested")]
    Fits,
    /// Only a part of the requested reservation fits, and the request accepts a partial grant.
    #[error("fits partially, as the request accepts")]
    #[serde(rename = "LessFits")]
    FitsPartially,
    /// The claim stays proposed because it fits only if other claims are displaced, which means that they
    /// lose slots. The list contains the ids of these claims. They are displaced when this claim is
    /// confirmed.
    #[error("fits only by displacement (claims to displace: {})", .0.len())]
    #[serde(rename = "NeedsRoom")]
    RequiresDisplacement(Vec<ClaimId>),
    /// The claim is rejected because it does not fit, even if everything that it may displace were displaced.
    #[error("infeasible: blocked from {} to {}", .blocked.start, .blocked.end)]
    Infeasible {
        /// The first part of the requested intervals in which the claim does not fit.
        blocked: Interval,
        /// The nearest interval in which the claim would fit. It has the same length, and starts at most 30
        /// days before or after the requested start. `None` if no such interval was found.
        #[serde(rename = "offer")]
        alternative: Option<Interval>,
    },
    /// The claim is rejected because its last interval had ended before a command confirmed it.
    #[error("in the past")]
    #[serde(rename = "Past")]
    InThePast,
    /// The claim lapsed because no command confirmed it before its hold ended.
    #[error("not confirmed before its hold ended")]
    #[serde(rename = "HoldEnded")]
    HoldExpired,
    /// The claim became active because its first interval started, or became done because its last interval
    /// ended.
    #[error("start or end reached")]
    #[serde(rename = "TimeCame")]
    TimeReached,
    /// Allocations of the claim were displaced by a reservation of higher precedence, whose claim id is given
    /// here.
    #[error("displaced by claim {0}")]
    #[serde(rename = "RoomFor")]
    DisplacedBy(ClaimId),
    /// Allocations of the claim were displaced by a blackout, which is an interval in which no work may start
    /// or run. A blackout is requested by a claim of its own, whose id is given here.
    #[error("displaced by blackout {0}")]
    #[serde(rename = "Blackout")]
    DisplacedByBlackout(ClaimId),
    /// Allocations of the claim changed because a command set the slots and zone of its pool.
    #[error("the pool's slots or zone changed")]
    PoolChanged,
}

/// Collects the events of one log entry. Each event gets the instant `at` and the id `command`.
pub(crate) struct EventBuffer<'a> {
    pub(crate) at: UnixMillis,
    pub(crate) command: Option<&'a CommandId>,
    pub(crate) events: Vec<Event>,
}

impl EventBuffer<'_> {
    /// Adds an event that reports `change`, with the instant and the command id of the log entry.
    pub(crate) fn push(&mut self, change: Change) {
        self.events.push(Event { at: self.at, command: self.command.cloned(), change });
    }

    /// Adds the event for a new claim (`from` is `None`), or for a claim whose state changes.
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
