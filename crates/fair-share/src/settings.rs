//! The settings of a ledger.
use serde::{Deserialize, Serialize};

/// Longest window, and longest interval of one report.
const MAX_INTERVAL_MS: u32 = 600_000;
/// Longest horizon, delay and clock skew: a day.
const MAX_HORIZON_MS: u32 = 86_400_000;
/// Most reports of one incarnation that are kept.
const MAX_TRACKED_SEQUENCES: u32 = 1 << 20;
const MAX_INCARNATIONS: u8 = 8;

/// The settings of a ledger; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Length of an accounting window; from 1 to 600 000.
    #[serde(rename = "window")]
    pub window_ms: u32,
    /// How long after its end a window waits at most for reporters that are alive; at most a day.
    #[serde(rename = "lateness")]
    pub max_close_delay_ms: u32,
    /// How far before the first open window reports still count, as adjustments, and may be corrected; at least the
    /// window, at most a day. Entries older by a sixteenth more are discarded.
    #[serde(rename = "horizon")]
    pub horizon_ms: u32,
    /// How far clocks may differ: an interval that ends later than this is rejected. At most a day.
    #[serde(rename = "skew")]
    pub max_clock_skew_ms: u32,
    /// Longest interval of one report; from 1 to 600 000.
    #[serde(rename = "span")]
    pub max_interval_ms: u32,
    /// How far an incarnation's sequence numbers may advance between two calls of
    /// [`crate::UsageLedger::advance`]. Over 0.
    #[serde(rename = "ahead")]
    pub max_sequences_ahead: u32,
    /// How many sequence numbers of an incarnation are tracked; at least `max_sequences_ahead`, at most 2^20.
    #[serde(rename = "kept")]
    pub max_tracked_sequences: u32,
    /// How many incarnations of a reporter are kept, and as many that are new since the last advance. From 1 to 8.
    #[serde(rename = "starts")]
    pub max_incarnations: u8,
}

impl Default for LedgerSettings {
    /// Windows of 10 s that wait 30 s at most, a horizon of one hour, clocks within 2 s, 16 384 reports of a reporter
    /// between two advances and 262 144 kept, 3 incarnations.
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

/// A setting that is out of its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The length of a window is out of its bounds.
    #[error("window: not from 1 to 600000 ms")]
    WindowLength,
    /// The horizon is shorter than a window.
    #[error("horizon: shorter than a window")]
    HorizonTooShort,
    /// The horizon is longer than a day.
    #[error("horizon: longer than a day")]
    HorizonTooLong,
    /// A window waits longer than a day.
    #[error("lateness: longer than a day")]
    CloseDelayTooLong,
    /// Clocks may differ by more than a day.
    #[error("skew: longer than a day")]
    ClockSkewTooLong,
    /// The longest interval of a report is out of its bounds.
    #[error("span: not from 1 to 600000 ms")]
    IntervalLength,
    /// No sequence number can be accepted.
    #[error("ahead: 0")]
    NoSequencesAhead,
    /// Fewer sequence numbers are tracked than may be accepted.
    #[error("kept: under ahead")]
    TooFewTrackedSequences,
    /// More than 2^20 sequence numbers are tracked.
    #[error("kept: over 1048576")]
    TooManyTrackedSequences,
    /// The number of incarnations is out of its bounds.
    #[error("starts: not from 1 to 8")]
    IncarnationCount,
}

impl LedgerSettings {
    /// The first error, in the order of [`SettingsError`].
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let checks = [
            ((1..=MAX_INTERVAL_MS).contains(&self.window_ms), SettingsError::WindowLength),
            (self.horizon_ms >= self.window_ms, SettingsError::HorizonTooShort),
            (self.horizon_ms <= MAX_HORIZON_MS, SettingsError::HorizonTooLong),
            (self.max_close_delay_ms <= MAX_HORIZON_MS, SettingsError::CloseDelayTooLong),
            (self.max_clock_skew_ms <= MAX_HORIZON_MS, SettingsError::ClockSkewTooLong),
            ((1..=MAX_INTERVAL_MS).contains(&self.max_interval_ms), SettingsError::IntervalLength),
            (self.max_sequences_ahead > 0, SettingsError::NoSequencesAhead),
            (self.max_tracked_sequences >= self.max_sequences_ahead, SettingsError::TooFewTrackedSequences),
            (self.max_tracked_sequences <= MAX_TRACKED_SEQUENCES, SettingsError::TooManyTrackedSequences),
            ((1..=MAX_INCARNATIONS).contains(&self.max_incarnations), SettingsError::IncarnationCount),
        ];
        checks.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, error)| Err(error))
    }
}
