//! Events, which report the changes of claims, allocations and pools, and the rejection of commands.
//!
//! The removal of a claim after its retention is not reported.
use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::claim_state::ClaimState;
use crate::command_id::{ClaimId, CommandId};
use crate::interval::{Allocation, Interval};
use crate::rejection::Rejection;
use crate::time::UnixMillis;

/// A change of the calendar, with its instant and cause. Every member of the fleet gets the same events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The calendar's time when the log entry was applied. A change that time alone causes may have been due
    /// earlier, because the calendar's time advances only with log entries.
    pub at: UnixMillis,
    /// The command that caused the change; `None` if the change became due by time.
    pub command: Option<CommandId>,
    /// The content of the event: what happened to a claim, its allocations or a pool, or why a command was
    /// rejected.
    pub change: Change,
}

/// The kinds of events that the calendar reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Change {
    /// The command was rejected because of one of its fields, its id or the claim's state; see [`Rejection`].
    Rejected(Rejection),
    /// A claim was proposed or changed its state, or stays proposed because it fits only by displacement.
    #[serde(rename = "Moved")]
    StateChanged(StateChange),
    /// The allocations of one occurrence of a reservation were granted partially, or changed afterwards. A
    /// reservation that is granted completely has no such event.
    #[serde(rename = "Granted")]
    AllocationsChanged(AllocationChange),
    /// A pool's slots and zone were set.
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
    /// The id of the claim.
    pub claim: ClaimId,
    /// The state of the claim before the change; `None` for a new claim.
    pub from: Option<ClaimState>,
    /// The state of the claim after the change.
    pub to: ClaimState,
    /// The reason why the state changed, or why the claim stays proposed.
    #[serde(rename = "why")]
    pub reason: Reason,
}

/// The allocations of one occurrence of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct variant Change::Granted")]
pub struct AllocationChange {
    /// The id of the claim.
    pub claim: ClaimId,
    /// The whole interval of the occurrence, which identifies the occurrence within its claim.
    pub occurrence: Interval,
    /// The allocations that the occurrence has now, in order of time.
    #[serde(rename = "pieces")]
    pub allocations: Vec<Allocation>,
    /// The reason why the allocations are partial or have changed.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// The nearest interval of the same length that fits and starts at most 30 days from the requested start,
    /// if one was found. The search takes place only if a displacement leaves the occurrence without
    /// allocations from now on; `None` in a partial grant.
    #[serde(rename = "offer")]
    pub alternative: Option<Interval>,
}

/// The new size and zone of a pool.
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

/// The reason for a change of a claim's state or allocations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// The change was requested by a command.
    #[error("asked for")]
    #[serde(rename = "Asked")]
    Requested,
    /// The claim fits as requested.
    #[error("fits as requested")]
    Fits,
    /// The claim fits only partially, and its request accepts a partial grant.
    #[error("fits partially, as the request accepts")]
    #[serde(rename = "LessFits")]
    FitsPartially,
    /// The claim fits only if the claims listed here are displaced, which happens when the claim is
    /// confirmed.
    #[error("fits only by displacement (claims to displace: {})", .0.len())]
    #[serde(rename = "NeedsRoom")]
    RequiresDisplacement(Vec<ClaimId>),
    /// The claim does not fit, even if all occurrences that it may displace are displaced.
    #[error("infeasible: blocked from {} to {}", .blocked.start, .blocked.end)]
    Infeasible {
        /// The first segment in which the claim does not fit.
        blocked: Interval,
        /// The nearest interval of the same length that fits and starts at most 30 days from the requested
        /// start, if one was found.
        #[serde(rename = "offer")]
        alternative: Option<Interval>,
    },
    /// The last interval of the claim ended before the claim was confirmed.
    #[error("in the past")]
    #[serde(rename = "Past")]
    InThePast,
    /// The hold of the claim ended before the claim was confirmed.
    #[error("not confirmed before its hold ended")]
    #[serde(rename = "HoldEnded")]
    HoldExpired,
    /// The first interval of the claim started, or the last interval of the claim ended.
    #[error("start or end reached")]
    #[serde(rename = "TimeCame")]
    TimeReached,
    /// Allocations of the claim were displaced by a reservation of higher precedence.
    #[error("displaced by claim {0}")]
    #[serde(rename = "RoomFor")]
    DisplacedBy(ClaimId),
    /// Allocations of the claim were displaced by a blackout.
    #[error("displaced by blackout {0}")]
    #[serde(rename = "Blackout")]
    DisplacedByBlackout(ClaimId),
    /// The slots or zone of the claim's pool changed.
    #[error("the pool's slots or zone changed")]
    PoolChanged,
}

/// Collects the events of one log entry, and adds the instant and the command to each.
pub(crate) struct EventBuffer<'a> {
    pub(crate) at: UnixMillis,
    pub(crate) command: Option<&'a CommandId>,
    pub(crate) events: Vec<Event>,
}

impl EventBuffer<'_> {
    /// Adds an event for a change.
    pub(crate) fn push(&mut self, change: Change) {
        self.events.push(Event { at: self.at, command: self.command.cloned(), change });
    }

    /// Adds an event for a claim that is new (`from` is `None`) or changes its state.
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
