//! Errors for which a command is rejected.
use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::claim_state::InvalidTransition;
use crate::time::UnixMillis;

/// The error of a rejected command, with the field that caused it.
///
/// A rejected command changes nothing, but its id is recorded like that of an applied command, so that a
/// repeated command counts as a duplicate. The id is not recorded if the rejected field is the instant `at`
/// or a part of the id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {error}")]
#[serde(rename = "Refusal", expecting = "struct Refusal")]
pub struct Rejection {
    /// The field, named as in the serialized command, such as `when.end`; `at` for the instant of the log
    /// entry; `confirm` or `withdraw` for the claim that such a command names; `claim` for the new claim
    /// itself.
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

/// What can be wrong with a field of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename = "Fault", expecting = "struct variant Fault::Range")]
#[non_exhaustive]
pub enum FieldError {
    /// The value is below its minimum or above its maximum.
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
    /// The interval ends at or before its start, a set has no elements, or a recurrence has no occurrence.
    #[error("empty")]
    #[serde(rename = "empty")]
    Empty,
    /// The interval ended before the command was applied.
    #[error("in the past")]
    #[serde(rename = "past")]
    InThePast,
    /// The number of claims, occurrences, pools or members would exceed the limit.
    #[error("exceeds the limit of {0}")]
    #[serde(rename = "too_many")]
    LimitExceeded(u64),
    /// There is no claim, pool or time zone of this id or name.
    #[error("unknown")]
    #[serde(rename = "unknown")]
    Unknown,
    /// The amount is less than one slot at the current size of the pool.
    #[error("less than one slot")]
    #[serde(rename = "less_than_a_slot")]
    BelowOneSlot,
    /// The amount exceeds the current size of the pool, which is given in slots.
    #[error("more than the pool's {0} slots")]
    #[serde(rename = "more_than_the_pool")]
    ExceedsPool(u32),
    /// The state of the claim does not allow the transition.
    #[error(transparent)]
    #[serde(rename = "life")]
    InvalidTransition(#[from] InvalidTransition),
    /// The command is older than the deduplication window of its member, or from an earlier incarnation.
    #[error("too old for duplicate detection")]
    #[serde(rename = "too_old")]
    TooOld,
}

/// Checks that a value lies in the range `min` to `max`, both included.
pub(crate) fn check_range(field: &'static str, value: i64, min: i64, max: i64) -> Result<(), Rejection> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(Rejection::new(field, FieldError::OutOfRange { min, max }))
    }
}

/// Checks that an instant lies in the range `min` to `max`, both included.
pub(crate) fn check_instant(
    field: &'static str,
    instant: UnixMillis,
    min: UnixMillis,
    max: UnixMillis,
) -> Result<(), Rejection> {
    check_range(field, instant.0, min.0, max.0)
}
