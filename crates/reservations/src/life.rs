//! A claim's life.
//!
//! ```text
//!  Proposed ──► Held ──► Confirmed ──► Active ──► Done
//!     │ └──────────────────►┘  │          │
//!     ▼          │             ▼          ▼
//!  Refused     Lapsed      Displaced, Withdrawn
//! ```
use serde::{Deserialize, Serialize};

/// Where a claim stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Known, but keeps nothing: it fits only if others are displaced, which its confirmation does.
    Proposed,
    /// Keeps its place until its hold ends.
    Held,
    /// Stands, and has not begun.
    Confirmed,
    /// Has begun; a repeat is active from its first beginning to its last end.
    Active,
    /// Came to its end.
    Done,
    /// Did not fit, or was none.
    Refused,
    /// Made room: for a claim of higher precedence, for a blackout, or because slots went.
    Displaced,
    /// Taken back by a command.
    Withdrawn,
    /// Not confirmed before its hold ended.
    Lapsed,
}

/// What may happen to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// It fits, and its place is kept.
    Hold,
    /// It is confirmed.
    Confirm,
    /// Its first interval begins.
    Begin,
    /// Its last interval ends.
    End,
    /// It cannot be.
    Refuse,
    /// It makes room.
    Displace,
    /// It is taken back.
    Withdraw,
    /// Its hold ends.
    Lapse,
}

/// A step that a claim cannot take where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("a claim that is {from:?} has no step {step:?}")]
pub struct Illegal {
    /// Where it stands.
    pub from: State,
    /// What was asked.
    pub step: Step,
}

impl State {
    /// Where a step leads.
    ///
    /// # Errors
    /// A step that it cannot take; nothing changed.
    pub fn after(self, step: Step) -> Result<State, Illegal> {
        match (self, step) {
            (State::Proposed, Step::Hold) => Ok(State::Held),
            (State::Proposed, Step::Refuse) => Ok(State::Refused),
            (State::Proposed | State::Held, Step::Confirm) => Ok(State::Confirmed),
            (State::Proposed | State::Held, Step::Lapse) => Ok(State::Lapsed),
            (State::Confirmed, Step::Begin) => Ok(State::Active),
            (State::Active, Step::End) => Ok(State::Done),
            (State::Held | State::Confirmed | State::Active, Step::Displace) => Ok(State::Displaced),
            (from, Step::Withdraw) if !from.is_over() => Ok(State::Withdrawn),
            (from, step) => Err(Illegal { from, step }),
        }
    }

    /// Nothing follows.
    pub fn is_over(self) -> bool {
        matches!(self, State::Done | State::Refused | State::Displaced | State::Withdrawn | State::Lapsed)
    }

    /// Its place is kept from others.
    pub fn keeps_place(self) -> bool {
        matches!(self, State::Held | State::Confirmed | State::Active)
    }

    /// Its intervals act on what may be taken.
    pub fn acts(self) -> bool {
        matches!(self, State::Confirmed | State::Active)
    }
}
