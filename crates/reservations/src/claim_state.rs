//! The states of a claim and the transitions between them.
//!
//! ```text
//!  Proposed ──► Held ──► Confirmed ──► Active ──► Done
//!     │ └──────────────────►┘  │          │
//!     ▼          │             ▼          ▼
//!  Rejected    Lapsed      Displaced, Withdrawn
//! ```
use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "State")]
pub enum ClaimState {
    /// Known, but without capacity: it fits only if others are displaced, which its confirmation does.
    Proposed,
    /// Has its capacity until its hold ends.
    Held,
    /// Confirmed, and its first interval has not started.
    Confirmed,
    /// Started; a recurring claim is active from its first start to its last end.
    Active,
    /// Its last interval ended.
    Done,
    /// Did not fit, or had passed when it was confirmed.
    #[serde(rename = "Refused")]
    Rejected,
    /// Lost its capacity to a claim of higher precedence, to a blackout or to a smaller pool.
    Displaced,
    /// Taken back by a command.
    Withdrawn,
    /// Not confirmed before its hold ended.
    Lapsed,
}

/// A change of a claim's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Step")]
pub enum Transition {
    /// It fits, and its capacity is held.
    Hold,
    /// It is confirmed.
    Confirm,
    /// Its first interval begins.
    Begin,
    /// Its last interval ends.
    End,
    /// It cannot be granted.
    #[serde(rename = "Refuse")]
    Reject,
    /// It loses all its capacity.
    Displace,
    /// It is taken back.
    Withdraw,
    /// Its hold ends.
    Lapse,
}

/// A transition that does not exist from a claim's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("a claim that is {from} has no step {transition}")]
#[serde(rename = "Illegal", expecting = "struct Illegal")]
pub struct InvalidTransition {
    /// The claim's state.
    pub from: ClaimState,
    /// The transition that was requested.
    #[serde(rename = "step")]
    pub transition: Transition,
}

impl ClaimState {
    /// The state after a transition.
    ///
    /// # Errors
    /// The transition does not exist from this state.
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

    /// Whether no transition leads out of this state.
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

    /// Whether the claim's allocations are kept from other claims.
    pub fn occupies_capacity(self) -> bool {
        matches!(self, ClaimState::Held | ClaimState::Confirmed | ClaimState::Active)
    }

    /// Whether the claim's intervals count in [`Allowances`](crate::Allowances).
    pub fn is_in_effect(self) -> bool {
        matches!(self, ClaimState::Confirmed | ClaimState::Active)
    }
}

impl fmt::Display for ClaimState {
    /// The name in the stored form.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimState::Rejected => f.write_str("Refused"),
            other => fmt::Debug::fmt(other, f),
        }
    }
}

impl fmt::Display for Transition {
    /// The name in the stored form.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Transition::Reject => f.write_str("Refuse"),
            other => fmt::Debug::fmt(other, f),
        }
    }
}
