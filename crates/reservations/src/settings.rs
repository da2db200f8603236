//! The calendar's settings and their valid ranges.
use serde::{Deserialize, Serialize};

use crate::limits::MAX_DISPLACEMENT_NOTICE;
use crate::time::{HOUR, SpanMillis};

/// Settings of the calendar. They must be the same for every member of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// The displacement notice: how long before its start an interval of a reservation is safe from
    /// displacement by other reservations. From 0 to 30 days.
    #[serde(rename = "notice")]
    pub displacement_notice: SpanMillis,
}

impl Default for Settings {
    /// Settings with a displacement notice of one hour. It is how long before its start an interval of a
    /// reservation is safe from displacement by other reservations.
    fn default() -> Settings {
        Settings { displacement_notice: HOUR }
    }
}

impl Settings {
    /// Checks that every setting is within its bounds.
    ///
    /// # Errors
    /// The first setting that is out of its bounds.
    pub(crate) fn validate(self) -> Result<(), SettingsError> {
        if (SpanMillis::ZERO..=MAX_DISPLACEMENT_NOTICE).contains(&self.displacement_notice) {
            Ok(())
        } else {
            Err(SettingsError::NoticeOutOfRange)
        }
    }
}

/// The error for a setting that is out of its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The displacement notice ([`Settings::displacement_notice`]) is negative or longer than 30 days.
    #[error("notice: not in the range 0 to 30 days")]
    NoticeOutOfRange,
}
