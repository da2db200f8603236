//! Why a command is rejected.
use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::claim_state::InvalidTransition;
use crate::time::UnixMillis;

/// A rejected command: the field and what is wrong with it. The command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {error}")]
#[serde(rename = "Refusal", expecting = "struct Refusal")]
pub struct Rejection {
    /// The path of the field in the command's stored form, such as `when.end`.
    pub field: Cow<'static, str>,
    /// What is wrong with it.
    #[serde(rename = "fault")]
    pub error: FieldError,
}

impl Rejection {
    pub(crate) fn new(field: &'static str, error: FieldError) -> Rejection {
        Rejection { field: field.into(), error }
    }
}

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename = "Fault", expecting = "struct variant Fault::Range")]
#[non_exhaustive]
pub enum FieldError {
    /// Below its minimum or above its maximum.
    #[error("not in {min} to {max}")]
    #[serde(rename = "range")]
    OutOfRange {
        /// The least valid value.
        #[serde(rename = "least")]
        min: i64,
        /// The greatest valid value.
        #[serde(rename = "most")]
        max: i64,
    },
    /// An interval that ends at or before its start, or a set without elements.
    #[error("empty")]
    #[serde(rename = "empty")]
    Empty,
    /// It ended before the command came.
    #[error("past")]
    #[serde(rename = "past")]
    InThePast,
    /// More elements than the limit.
    #[error("more than {0}")]
    #[serde(rename = "too_many")]
    LimitExceeded(u64),
    /// No claim, pool or time zone has this name.
    #[error("unknown")]
    #[serde(rename = "unknown")]
    Unknown,
    /// Less than one slot at the pool's current size.
    #[error("less than a slot")]
    #[serde(rename = "less_than_a_slot")]
    BelowOneSlot,
    /// More than all slots of the pool at its current size.
    #[error("more than the pool's {0} slots")]
    #[serde(rename = "more_than_the_pool")]
    ExceedsPool(u32),
    /// The claim's state does not allow it.
    #[error(transparent)]
    #[serde(rename = "life")]
    InvalidTransition(#[from] InvalidTransition),
    /// The command is older than what the deduplication window covers.
    #[error("too old to know whether it acted")]
    #[serde(rename = "too_old")]
    TooOld,
}

/// Checks that `value` lies in `min` to `max`, both included.
pub(crate) fn check_range(field: &'static str, value: i64, min: i64, max: i64) -> Result<(), Rejection> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(Rejection::new(field, FieldError::OutOfRange { min, max }))
    }
}

/// Checks that an instant lies in `min` to `max`, both included.
pub(crate) fn check_instant(
    field: &'static str,
    instant: UnixMillis,
    min: UnixMillis,
    max: UnixMillis,
) -> Result<(), Rejection> {
    check_range(field, instant.0, min.0, max.0)
}
