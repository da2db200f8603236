//! The fleet's calendar of reservations and blackouts. It has no I/O and no clock: commands come in from the
//! replicated log, events and allowances go out, and every member that applies the same log gets the same
//! bytes.
//!
//! ```text
//!  command ──► Calendar::apply ──► deduplication ──► proposal, confirmation, capacity ──► events
//!
//!  proposal, confirmation ──► claim_planning   what of a claim fits, and whom it would displace
//!  confirmation, capacity ──► reallocation     who is displaced, and what the displaced get instead
//!  both ──► availability, planner, displacement_search, alternative ──► store (claims, pools, index)
//!
//!  store ──► allowance_query ──► allowances(at), next_change_after(at)
//! ```
//!
//! 1. A claim is proposed, then held or rejected, confirmed, active, done; or displaced, withdrawn, lapsed
//!    (`claim_state`). A recurrence by local time is expanded to instants when it is proposed (`recurrence`).
//! 2. Conflicts: a blackout overrides every reservation; an occurrence that has started is not displaced by a
//!    claim; then the higher precedence wins; then the earlier ranked claim; then the lower id.
//! 3. The stored state is ordered, so that the same log gives the same bytes.
//!
//! It does not check who may propose what; that is up to those who write the log. Its rules in full:
//! `docs/design/0004-fleet.md`.
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
