//! Errors with which a command is rejected.
use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::claim_state::InvalidTransition;
use crate::time::UnixMillis;

/// The error with which a command is rejected, and the field of the command that caused it.
///
/// A rejected command changes nothing in the calendar, but its id is recorded like that of an applied
/// command. Therefore the same command counts as a duplicate if it is repeated.
///
/// The id is not recorded in two cases. If the field is the instant `at`, the command is rejected before its
/// id is examined. If the field is a part of the id, the id is too old to be remembered, or there are too
/// many members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {error}")]
#[serde(rename = "Refusal", expecting = "struct Refusal")]
pub struct Rejection {
    /// The name of the field that was rejected, as in the serialized command, such as `when.end`. Four names
    /// are no fields of a command: `at` is the instant of the log entry. `confirm` and `withdraw` are the
    /// claims that commands of these kinds name. `claim` is the new claim that the command would add.
    pub field: Cow<'static, str>,
    /// What is wrong with the field's value.
    #[serde(rename = "fault")]
    pub error: FieldError,
}

impl Rejection {
    pub(crate) fn new(field: &'static str, error: FieldError) -> Rejection {
        Rejection { field: field.into(), error }
    }
}

/// What is wrong with a field of a rejected command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename = "Fault", expecting = "struct variant Fault::Range")]
#[non_exhaustive]
pub enum FieldError {
    /// The value of the field is below its minimum or above its maximum.
    #[error("not in the range {min} to {max}")]
    #[serde(rename = "range")]
    OutOfRange {
        /// The minimum valid value of the field.
        #[serde(rename = "least")]
        min: i64,
        /// The maximum valid value of the field.
        #[serde(rename = "most")]
        max: i64,
    },
    /// The interval or the recurrence ends at or before its start, or the recurrence names no days. Or the
    /// recurrence has no interval that lies between its first and last instant and ends after the current
    /// time.
    #[error("empty")]
    #[serde(rename = "empty")]
    Empty,
    /// The requested interval ended before the command was applied.
    #[error("in the past")]
    #[serde(rename = "past")]
    InThePast,
    /// The command would make the number of claims, of their intervals, of pools or of members exceed the
    /// limit that is given here.
    #[error("exceeds the limit of {0}")]
    #[serde(rename = "too_many")]
    LimitExceeded(u64),
    /// There is no claim with this id, or no pool or time zone with this name.
    #[error("unknown")]
    #[serde(rename = "unknown")]
    Unknown,
    /// The requested amount is less than one slot, because the pool has too few slots for the requested
    /// fraction.
    #[error("less than one slot")]
    #[serde(rename = "less_than_a_slot")]
    BelowOneSlot,
    /// The requested amount exceeds the number of slots in the pool. The value is the pool's number of slots.
    #[error("more than the pool's {0} slots")]
    #[serde(rename = "more_than_the_pool")]
    ExceedsPool(u32),
    /// The state of the named claim does not allow what the command requests.
    #[error(transparent)]
    #[serde(rename = "life")]
    InvalidTransition(#[from] InvalidTransition),
    /// It is unknown whether the command was applied before. It is older than the commands that the calendar
    /// remembers for its member, or it is from an earlier run of the member's process.
    #[error("too old for duplicate detection")]
    #[serde(rename = "too_old")]
    TooOld,
}

/// Checks that the value of a field lies in the range `min` to `max`, both included.
pub(crate) fn check_range(field: &'static str, value: i64, min: i64, max: i64) -> Result<(), Rejection> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(Rejection::new(field, FieldError::OutOfRange { min, max }))
    }
}

/// Checks that the instant in a field lies in the range `min` to `max`, both included.
pub(crate) fn check_instant(
    field: &'static str,
    instant: UnixMillis,
    min: UnixMillis,
    max: UnixMillis,
) -> Result<(), Rejection> {
    check_range(field, instant.0, min.0, max.0)
}
