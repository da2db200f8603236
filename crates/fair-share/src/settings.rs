//! The settings of a usage ledger, and their valid ranges.
use serde::{Deserialize, Serialize};

/// The maximum length of an accounting window, and of the interval that one usage report covers, in
/// milliseconds.
const MAX_WINDOW_OR_INTERVAL_MS: u32 = 600_000;
/// The maximum value of the settings for the horizon, the close delay and the clock skew, in milliseconds:
/// one day.
const ONE_DAY_MS: u32 = 86_400_000;
/// The maximum value of the setting `max_tracked_sequences`. That setting limits how many sequence numbers of
/// usage reports are tracked for each incarnation, which is one run of a reporter.
const MAX_TRACKED_SEQUENCES: u32 = 1 << 20;
const MAX_INCARNATIONS: u8 = 8;

/// The settings of a usage ledger. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// The length of an accounting window in milliseconds, from 1 to 600 000.
    #[serde(rename = "window")]
    pub window_ms: u32,
    /// The maximum close delay: how long after its end an accounting window waits for the usage reports of
    /// live reporters. At most one day.
    #[serde(rename = "lateness")]
    pub max_close_delay_ms: u32,
    /// The horizon, a length of time: a usage report is accepted only if its interval starts at most this
    /// long before the first accounting window that is open. From one window to one day.
    ///
    /// Reports and corrections within the horizon may change windows that have already closed. These changes
    /// are returned as adjustments of the next window that closes (see [`crate::ClosedWindow::adjustments`]).
    ///
    /// The horizon is enforced in steps. A step is a sixteenth of the horizon, but at least one window.
    /// Therefore a report may still be accepted if its interval starts up to one step before the horizon.
    #[serde(rename = "horizon")]
    pub horizon_ms: u32,
    /// The maximum clock skew. A usage report is rejected if its interval ends further in the future than
    /// this. At most one day.
    #[serde(rename = "skew")]
    pub max_clock_skew_ms: u32,
    /// The maximum length of the interval that one usage report covers, in milliseconds; from 1 to 600 000.
    #[serde(rename = "span")]
    pub max_interval_ms: u32,
    /// How far the sequence number of a usage report may exceed the highest number that was received from the
    /// same incarnation, which is one run of the reporter. Reports received since the last call of
    /// [`crate::UsageLedger::advance`] do not raise that highest number. Greater than 0.
    #[serde(rename = "ahead")]
    pub max_sequences_ahead: u32,
    /// The maximum number of sequence numbers that the ledger tracks for one incarnation, which is one run of
    /// a reporter. From `max_sequences_ahead` to 2^20.
    #[serde(rename = "kept")]
    pub max_tracked_sequences: u32,
    /// The maximum number of incarnations per reporter that remain after a call of
    /// [`crate::UsageLedger::advance`]. Until the next call, the same number of new incarnations may be
    /// added. From 1 to 8.
    #[serde(rename = "starts")]
    pub max_incarnations: u8,
}

impl Default for LedgerSettings {
    /// Returns settings with windows of 10 s, a close delay of at most 30 s, a horizon of one hour, a clock
    /// skew of at most 2 s, and report intervals of at most 60 s. `max_sequences_ahead` is 16 384,
    /// `max_tracked_sequences` is 262 144, and `max_incarnations` is 3. The fields of [`LedgerSettings`]
    /// explain each setting.
    fn default() -> LedgerSettings {
        LedgerSettings {
            window_ms: 10_000,
            max_close_delay_ms: 30_000,
            horizon_ms: 3_600_000,
            max_clock_skew_ms: 2_000,
            max_interval_ms: 60_000,
            max_sequences_ahead: 1 << 14,
            max_tracked_sequences: 1 << 18,
            max_incarnations: 3,
        }
    }
}

/// The error for a ledger setting that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The configured length of an accounting window is out of range.
    #[error("window: must be from 1 to 600000 ms")]
    WindowLength,
    /// The configured horizon, which is how far back usage reports are accepted, is shorter than an
    /// accounting window.
    #[error("horizon: must be at least one window")]
    HorizonTooShort,
    /// The configured horizon, which is how far back usage reports are accepted, is longer than one day.
    #[error("horizon: must be at most one day")]
    HorizonTooLong,
    /// The configured maximum close delay of accounting windows is longer than one day.
    #[error("lateness: must be at most one day")]
    CloseDelayTooLong,
    /// The configured maximum clock skew is longer than one day.
    #[error("skew: must be at most one day")]
    ClockSkewTooLong,
    /// The configured maximum length of the interval that a usage report covers is out of range.
    #[error("span: must be from 1 to 600000 ms")]
    IntervalLength,
    /// The setting `max_sequences_ahead` is 0, so that no usage report could be accepted.
    #[error("ahead: must be greater than 0")]
    NoSequencesAhead,
    /// The setting `max_tracked_sequences` is less than the setting `max_sequences_ahead`.
    #[error("kept: must be at least the value of ahead")]
    TooFewTrackedSequences,
    /// The setting `max_tracked_sequences` exceeds 2^20.
    #[error("kept: must be at most 1048576")]
    TooManyTrackedSequences,
    /// The configured maximum number of incarnations per reporter is out of range.
    #[error("starts: must be from 1 to 8")]
    IncarnationCount,
}

impl LedgerSettings {
    /// Checks all settings. Returns the first error, in the order of the variants of [`SettingsError`].
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let checks = [
            ((1..=MAX_WINDOW_OR_INTERVAL_MS).contains(&self.window_ms), SettingsError::WindowLength),
            (self.horizon_ms >= self.window_ms, SettingsError::HorizonTooShort),
            (self.horizon_ms <= ONE_DAY_MS, SettingsError::HorizonTooLong),
            (self.max_close_delay_ms <= ONE_DAY_MS, SettingsError::CloseDelayTooLong),
            (self.max_clock_skew_ms <= ONE_DAY_MS, SettingsError::ClockSkewTooLong),
            ((1..=MAX_WINDOW_OR_INTERVAL_MS).contains(&self.max_interval_ms), SettingsError::IntervalLength),
            (self.max_sequences_ahead > 0, SettingsError::NoSequencesAhead),
            (self.max_tracked_sequences >= self.max_sequences_ahead, SettingsError::TooFewTrackedSequences),
            (self.max_tracked_sequences <= MAX_TRACKED_SEQUENCES, SettingsError::TooManyTrackedSequences),
            ((1..=MAX_INCARNATIONS).contains(&self.max_incarnations), SettingsError::IncarnationCount),
        ];
        checks.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, error)| Err(error))
    }
}
