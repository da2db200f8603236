//! States of a claim, and the transitions between them.
//!
//! ```text
//!  Proposed   ──► Held, Confirmed, Rejected, Withdrawn, Lapsed
//!  Held       ──► Confirmed, Displaced, Withdrawn, Lapsed
//!  Confirmed  ──► Active, Displaced, Withdrawn
//!  Active     ──► Done, Displaced, Withdrawn
//! ```
use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a claim between its proposal and its removal, such as held, confirmed or displaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "State")]
pub enum ClaimState {
    /// The claim has no allocations yet, because it fits only if other claims are displaced. The other claims
    /// are displaced when this claim is confirmed.
    Proposed,
    /// The claim fits, and the slots of a reservation are allocated. If no command confirms the claim before
    /// the instant `hold_end` of its request, the claim lapses and its slots become free.
    Held,
    /// The claim was confirmed by a command, and its first interval has not started.
    Confirmed,
    /// The first interval of the claim has started. A recurring claim stays active between its intervals,
    /// until the last one ends.
    Active,
    /// The last interval of the active claim has ended.
    Done,
    /// The claim did not fit when it was proposed, or a command tried to confirm it and failed. The
    /// confirmation fails if the claim no longer fits, or if its last interval has already ended.
    #[serde(rename = "Refused")]
    Rejected,
    /// The claim lost all the allocations that it had left. They went to a reservation of higher precedence,
    /// or were ended by a blackout or by a change of the claim's pool.
    Displaced,
    /// The claim was withdrawn by a command.
    Withdrawn,
    /// No command confirmed the claim before the instant `hold_end` of its request.
    Lapsed,
}

/// A transition, which changes a claim's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Step")]
pub enum Transition {
    /// The proposed claim fits, and its allocations are kept for it until it is confirmed.
    Hold,
    /// A command confirms the claim, whose state is proposed or held.
    Confirm,
    /// The first interval of the confirmed claim begins.
    Begin,
    /// The last interval of the active claim ends.
    End,
    /// The proposed claim is rejected, because it does not fit or its last interval has ended.
    #[serde(rename = "Refuse")]
    Reject,
    /// The claim loses all its remaining allocations.
    Displace,
    /// A command withdraws the claim. The state of the claim must not be terminal.
    Withdraw,
    /// The proposed or held claim lapses, because no command confirmed it before the instant `hold_end` of
    /// its request.
    Lapse,
}

/// The error for a transition that a claim's state does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("a claim in state {from} does not allow the transition {transition}")]
#[serde(rename = "Illegal", expecting = "struct Illegal")]
pub struct InvalidTransition {
    /// The state that the claim had when the transition was requested.
    pub from: ClaimState,
    /// The transition that the claim's state does not allow.
    #[serde(rename = "step")]
    pub transition: Transition,
}

impl ClaimState {
    /// The state of a claim after a transition from this state.
    ///
    /// # Errors
    /// This state does not allow the transition.
    pub fn apply(self, transition: Transition) -> Result<ClaimState, InvalidTransition> {
        match (self, transition) {
            (ClaimState::Proposed, Transition::Hold) => Ok(ClaimState::Held),
            (ClaimState::Proposed, Transition::Reject) => Ok(ClaimState::Rejected),
            (ClaimState::Proposed | ClaimState::Held, Transition::Confirm) => Ok(ClaimState::Confirmed),
            (ClaimState::Proposed | ClaimState::Held, Transition::Lapse) => Ok(ClaimState::Lapsed),
            (ClaimState::Confirmed, Transition::Begin) => Ok(ClaimState::Active),
            (ClaimState::Active, Transition::End) => Ok(ClaimState::Done),
            (ClaimState::Held | ClaimState::Confirmed | ClaimState::Active, Transition::Displace) => {
                Ok(ClaimState::Displaced)
            }
            (from, Transition::Withdraw) if !from.is_terminal() => Ok(ClaimState::Withdrawn),
            (from, transition) => Err(InvalidTransition { from, transition }),
        }
    }

    /// Whether this state is terminal: a claim in this state never changes its state again.
    pub fn is_terminal(self) -> bool {
        matches!(
            self,
            ClaimState::Done
                | ClaimState::Rejected
                | ClaimState::Displaced
                | ClaimState::Withdrawn
                | ClaimState::Lapsed
        )
    }

    /// Whether a claim in this state keeps its allocated slots from other claims. This is so for held,
    /// confirmed and active claims.
    pub fn occupies_capacity(self) -> bool {
        matches!(self, ClaimState::Held | ClaimState::Confirmed | ClaimState::Active)
    }

    /// Whether the intervals of a claim in this state appear in [`Allowances`](crate::Allowances). This is so
    /// for confirmed and active claims.
    pub fn is_in_effect(self) -> bool {
        matches!(self, ClaimState::Confirmed | ClaimState::Active)
    }
}

impl fmt::Display for ClaimState {
    /// Writes the name that the state has in the serialized form.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimState::Rejected => f.write_str("Refused"),
            other => fmt::Debug::fmt(other, f),
        }
    }
}

impl fmt::Display for Transition {
    /// Writes the name that the transition has in the serialized form.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Transition::Reject => f.write_str("Refuse"),
            other => fmt::Debug::fmt(other, f),
        }
    }
}
