//! Replicated calendar of a fleet's reservations and blackouts. It decides which claims get which slots of
//! which pools, and when. A claim is a request for a reservation or a blackout.
//!
//! The crate does no I/O and reads no clock. Commands come from the replicated log, each with the instant at
//! which it applies. Applying a command returns events. Every member that applies the same log gets the same
//! events and the same serialized state.
//!
//! ```text
//!  command ──► Calendar::apply ──► deduplication ──► proposal, confirmation, capacity ──► events
//!
//!  proposal, confirmation ──► claim_planning   which part of a claim fits, and which claims it displaces
//!  confirmation, capacity ──► reallocation     which claims are displaced, and what they get instead
//!  claim_planning, reallocation ──► availability, planner, displacement_search, alternative
//!                               ──► store (claims, pools, index)
//!
//!  store ──► allowance_query ──► allowances(at), next_change_after(at)
//! ```
//!
//! The lower-case names in this diagram are modules. The modules `proposal`, `confirmation` and `capacity`
//! execute three kinds of commands: those that propose a claim, confirm a claim, or set a pool's slots and
//! zone.
//!
//! 1. A proposed claim is held if it fits, stays proposed if it fits only by displacing other claims, and
//!    is rejected otherwise. A claim that stays proposed displaces the others when it is confirmed. A held
//!    claim becomes confirmed, then active, then done, unless it is displaced, withdrawn, or lapses
//!    (`claim_state`). A recurrence by local time is expanded to instants when it is proposed (`recurrence`).
//! 2. Conflicts are resolved by these rules, in this order. A blackout overrides every reservation to which
//!    it applies. A reservation never displaces an interval of another reservation if that interval has
//!    started, or starts within a configured time from now, the displacement notice
//!    ([`Settings::displacement_notice`]). The higher precedence wins. The claim that became held earlier
//!    wins; for a claim that was never held, the instant of its confirmation counts. The lower claim id wins.
//! 3. The stored state uses ordered maps only, so that its serialized form is deterministic.
//!
//! Some serialized names differ from the Rust names. The serialized names are part of the stored form and
//! must not change. The errors of serde for malformed data show the Rust name of a type by default. The serde
//! attribute `expecting` on the types makes these errors show the serialized name instead.
//!
//! The crate does not check who may propose which claims. The program that appends commands to the log must
//! do so. The complete rules of the calendar are in `docs/design/0004-fleet.md`.
#![forbid(unsafe_code)]

mod allowance_query;
mod allowances;
mod alternative;
mod availability;
mod calendar;
mod capacity;
mod claim;
mod claim_planning;
mod claim_state;
mod command;
mod command_id;
mod confirmation;
mod deduplication;
mod displacement_search;
mod event;
mod index;
mod interval;
mod limits;
mod planner;
mod proposal;
mod reallocation;
mod recurrence;
mod rejection;
mod schedule;
mod settings;
mod store;
mod time;

pub use allowances::{
    ActiveReservation, Allowances, BlackoutStatus, PoolAllowance, UpcomingBlackout, lendable_slots,
};
pub use calendar::Calendar;
pub use claim_state::{ClaimState, InvalidTransition, Transition};
pub use command::{
    Amount, BlackoutEffect, BlackoutRequest, BlackoutTarget, Command, CommandBody, Flexibility, Owner,
    ReservationRequest,
};
pub use command_id::{ClaimId, CommandId};
pub use copperspread_identifiers::{Name, NameError};
pub use event::{AllocationChange, CapacityChange, Change, Event, Reason, StateChange};
pub use interval::{Allocation, Interval};
pub use limits::{
    BLACKOUT_LOOKAHEAD, CLAIM_RETENTION, MAX_CLAIMS, MAX_HOLD_LENGTH, MAX_INSTANT, MAX_INTERVAL_LENGTH,
    MAX_OCCURRENCES_PER_RECURRENCE, MAX_POOLS, MAX_TOTAL_OCCURRENCES, PARTS_PER_MILLION, PLANNING_HORIZON,
};
pub use recurrence::{Recurrence, RecurrenceDays};
pub use rejection::{FieldError, Rejection};
pub use schedule::Schedule;
pub use settings::{Settings, SettingsError};
pub use time::{DAY, HOUR, MILLISECOND, MINUTE, SpanMillis, UnixMillis};
