//! The fleet's calendar of reservations and blackouts, with no I/O and no clock: commands come in from the agreed
//! log, events and allowances go out, alike on every member.
//!
//! ```text
//!  command ──► Seen (acts once) ──► checks ──► Calendar::apply ──► events, each with its reason
//!                                                 │  place.rs (what fits, who makes room), life.rs
//!                                                 ▼
//!                         index.rs (levels, intervals, edges) ──► allowances(at), next_change(after)
//! ```
//!
//! 1. A claim is proposed, then held or refused, confirmed, active, done; or displaced, withdrawn, lapsed
//!    (`life.rs`). Repeats by local time become instants when they are proposed (`local.rs`).
//! 2. Overlaps: a blackout goes over all; what has begun is not displaced by a claim; then precedence; then what
//!    was confirmed earlier; then the id.
//! 3. The state is serde and ordered, so that the same log gives the same bytes.
//!
//! Who may propose what is for those who write the log. Its rules in full: `docs/design/0004-fleet.md`.
#![forbid(unsafe_code)]

mod allowances;
mod calendar;
mod claim_state;
mod command;
mod command_id;
mod deduplication;
mod event;
mod index;
mod planner;
mod recurrence;

pub use allowances::{
    ActiveReservation, Allowances, BLACKOUT_LOOKAHEAD, BlackoutStatus, PoolAllowance, UpcomingBlackout,
    lendable_slots,
};
pub use calendar::{Calendar, Settings, SettingsError};
pub use claim_state::{ClaimState, InvalidTransition, Transition};
pub use command::{
    Amount, BlackoutEffect, BlackoutRequest, BlackoutTarget, Command, CommandBody, FieldError, Flexibility,
    Interval, Owner, Rejection, ReservationRequest, Schedule,
};
pub use command_id::{ClaimId, CommandId};
pub use copperspread_identifiers::{Name, NameError};
pub use event::{Allocation, Change, Event, Reason};
pub use recurrence::{Recurrence, RecurrenceDays};

/// An instant in milliseconds of Unix time, or a span in milliseconds.
pub type Millis = i64;

/// A minute.
pub const MINUTE: Millis = 60_000;
/// An hour.
pub const HOUR: Millis = 60 * MINUTE;
/// A day of 24 hours.
pub const DAY: Millis = 24 * HOUR;
/// All of a share: parts in a million.
pub const PARTS_PER_MILLION: u32 = 1_000_000;

/// No claim reaches further ahead of the instant at which it is proposed.
pub const PLANNING_HORIZON: Millis = 400 * DAY;
/// No single interval is longer.
pub const MAX_INTERVAL_LENGTH: Millis = 62 * DAY;
/// No hold is longer.
pub const MAX_HOLD_LENGTH: Millis = 7 * DAY;
/// The first instant of the year 2200: no command comes later.
pub const MAX_INSTANT: Millis = 7_258_118_400_000;
/// Claims in the calendar, with those that are over and not yet forgotten.
pub const MAX_CLAIMS: usize = 200_000;
/// Occurrences of all claims.
pub const MAX_TOTAL_OCCURRENCES: usize = 1_000_000;
/// Pools.
pub const MAX_POOLS: usize = 1_024;
/// A claim that is over is forgotten after so long.
pub const CLAIM_RETENTION: Millis = DAY;
/// Occurrences of one repeat.
pub const MAX_OCCURRENCES_PER_RECURRENCE: usize = 512;
