//! The settings that all members share, and the time bounds derived from them.
use crate::time::{MILLISECOND, Micros};
use crate::voter_id::VoterId;

const MILLION: u64 = 1_000_000;
const MAX_LEASE_DURATION: Micros = 3_600_000 * MILLISECOND;
/// The number of Raft ticks between two heartbeats that a leader sends.
pub(crate) const HEARTBEAT_TICKS: usize = 4;
/// The minimum number of Raft ticks without a heartbeat before a voter starts an election.
pub(crate) const ELECTION_TICKS: usize = 20;

const MAX_NAME_BYTES: usize = 64;
const MAX_DRIFT_PPM: u32 = 100_000;
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
const MAX_PENDING_VERSIONS: usize = 8;
const MIN_LOG_ENTRIES: u64 = 8;

/// The settings of consensus. They must be equal on all members. All durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The names of the 3, 5 or 7 voters, in the same order on all members. Each name is 1 to 64 bytes long.
    pub voters: Vec<String>,
    /// The duration of a lease, counted from the time at which the member sent the lease request. At least 4
    /// times [`Settings::max_round_trip`], and at most an hour.
    pub lease_duration: Micros,
    /// The clock bound: the maximum drift of a member's clock, in parts per million, at most 100,000. A
    /// duration by a member's clock, divided by the true duration, is between 1 / (1 + d) and 1 + d, where d
    /// is this setting / 1,000,000.
    pub max_drift_ppm: u32,
    /// The maximum time from sending a lease request to receiving its grant, by the member's clock. The
    /// member ignores a later grant. A message without a response is sent again after this time. At least
    /// twice [`Settings::tick_interval`].
    pub max_round_trip: Micros,
    /// The interval between two Raft ticks, at which the caller passes in [`crate::Input::Tick`]. Greater
    /// than 0.
    pub tick_interval: Micros,
    /// The maximum size of one serialized version of the fleet's rules, from 1 byte to 1 MiB.
    pub max_document_bytes: usize,
    /// The maximum number of versions of the fleet's rules that are committed but not in force yet: 1 to 8.
    pub max_pending_versions: usize,
    /// The number of log entries that a voter applies after a snapshot before it compacts the log into a new
    /// snapshot. At least 8.
    pub max_log_entries: u64,
}

impl Default for Settings {
    /// Returns settings without voters. The caller must add the voters.
    ///
    /// The lease duration is 1.8 s, the maximum drift of a clock 1 % and the maximum round trip 0.18 s. They
    /// give a [`Settings::staleness_bound`] of 1.8 s * 1.01 + 0.18 s = 1.998 s. The tick interval is 20 ms,
    /// and the maximum size of a document is 256 KiB.
    fn default() -> Settings {
        Settings {
            voters: Vec::new(),
            lease_duration: 1_800 * MILLISECOND,
            max_drift_ppm: 10_000,
            max_round_trip: 180 * MILLISECOND,
            tick_interval: 20 * MILLISECOND,
            max_document_bytes: 256 << 10,
            max_pending_versions: 4,
            max_log_entries: 64,
        }
    }
}

/// The error for a setting that is outside its range. Each error message begins with the name of the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The configured number of voters is not 3, 5 or 7.
    #[error("voters: must list 3, 5 or 7 names")]
    VoterCount,
    /// The configured name of a voter is empty or longer than 64 bytes.
    #[error("voters: each name must be 1 to 64 bytes long")]
    VoterName,
    /// Two of the configured voters have the same name.
    #[error("voters: a name is listed twice")]
    DuplicateVoter,
    /// The configured interval between two Raft ticks is 0.
    #[error("tick_interval: must be greater than 0")]
    TickInterval,
    /// The configured maximum round trip is shorter than 2 tick intervals.
    #[error("max_round_trip: must be at least twice tick_interval")]
    RoundTripTooShort,
    /// The configured lease duration is shorter than 4 maximum round trips.
    #[error("lease_duration: must be at least 4 times max_round_trip")]
    LeaseTooShort,
    /// The configured lease duration is longer than an hour.
    #[error("lease_duration: must be at most one hour")]
    LeaseTooLong,
    /// The configured clock bound ([`Settings::max_drift_ppm`]) exceeds 100,000 parts per million.
    #[error("max_drift_ppm: must be at most 100,000")]
    DriftTooLarge,
    /// The configured maximum size of one serialized version of the fleet's rules is outside the range of
    /// 1 byte to 1 MiB.
    #[error("max_document_bytes: must be 1 byte to 1 MiB")]
    DocumentLimit,
    /// The configured maximum number of versions of the fleet's rules that are committed and not yet in force
    /// is not between 1 and 8.
    #[error("max_pending_versions: must be 1 to 8")]
    PendingVersionsLimit,
    /// The configured number of log entries between two snapshots is below 8, so that the log would be
    /// compacted too often.
    #[error("max_log_entries: must be at least 8")]
    LogLimit,
}

impl Settings {
    /// Checks that all settings are within their ranges.
    ///
    /// # Errors
    /// Returns the error of the first setting that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_voters()?;
        let has_valid_document_limit = (1..=MAX_DOCUMENT_BYTES).contains(&self.max_document_bytes);
        let has_valid_pending_limit = (1..=MAX_PENDING_VERSIONS).contains(&self.max_pending_versions);
        let checks = [
            (self.tick_interval > 0, SettingsError::TickInterval),
            (self.max_round_trip >= 2 * self.tick_interval, SettingsError::RoundTripTooShort),
            (self.lease_duration / 4 >= self.max_round_trip, SettingsError::LeaseTooShort),
            (self.lease_duration <= MAX_LEASE_DURATION, SettingsError::LeaseTooLong),
            (self.max_drift_ppm <= MAX_DRIFT_PPM, SettingsError::DriftTooLarge),
            (has_valid_document_limit, SettingsError::DocumentLimit),
            (has_valid_pending_limit, SettingsError::PendingVersionsLimit),
            (self.max_log_entries >= MIN_LOG_ENTRIES, SettingsError::LogLimit),
        ];
        checks.into_iter().find(|(is_valid, _)| !is_valid).map_or(Ok(()), |(_, error)| Err(error))
    }

    fn validate_voters(&self) -> Result<(), SettingsError> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(SettingsError::VoterCount);
        }
        if !self.voters.iter().all(|name| is_valid_name(name)) {
            return Err(SettingsError::VoterName);
        }
        let mut distinct = self.voters.clone();
        distinct.sort_unstable();
        distinct.dedup();
        if distinct.len() == self.voters.len() { Ok(()) } else { Err(SettingsError::DuplicateVoter) }
    }

    /// The staleness bound, in microseconds: the maximum time for which a member may still act on an older
    /// version of the fleet's rules after a newer version took effect.
    ///
    /// The staleness bound is `lease_duration * (1 + drift) + max_round_trip`, where `drift` is
    /// `max_drift_ppm` / 1,000,000. The member's own clock, by which its lease ends, must not drift by more
    /// than [`Settings::max_drift_ppm`]. The leader's clock may drift by more.
    pub fn staleness_bound(&self) -> Micros {
        self.stretch_by_drift(self.lease_duration).saturating_add(self.max_round_trip)
    }

    /// The lease expiry wait, in microseconds. When this time has passed on the leader's clock since the
    /// grant of a lease, the lease has expired by every member's clock. This holds if no clock drifts by more
    /// than [`Settings::max_drift_ppm`].
    ///
    /// The wait is `lease_duration * (1 + drift)^2`, where `drift` is `max_drift_ppm` / 1,000,000.
    pub fn lease_expiry_wait(&self) -> Micros {
        self.stretch_by_drift(self.stretch_by_drift(self.lease_duration))
    }

    /// The largest relative difference, in parts per million, between the durations that two clocks measure
    /// for the same interval, if both clocks drift by at most [`Settings::max_drift_ppm`].
    pub(crate) fn max_relative_drift_ppm(&self) -> u64 {
        let drift = u64::from(self.max_drift_ppm);
        2 * drift + (drift * drift).div_ceil(MILLION)
    }

    fn stretch_by_drift(&self, span: Micros) -> Micros {
        let extra = (u128::from(span) * u128::from(self.max_drift_ppm)).div_ceil(u128::from(MILLION));
        span.saturating_add(extra as u64)
    }

    /// The interval at which a member renews its lease, in microseconds.
    pub(crate) fn renewal_interval(&self) -> Micros {
        self.lease_duration / 4
    }

    /// The time for which a member waits for a response before it sends a message again, in microseconds.
    pub(crate) fn retry_interval(&self) -> Micros {
        self.max_round_trip
    }

    /// The number of voters, which is also the highest voter ID.
    pub(crate) fn voter_count(&self) -> u64 {
        self.voters.len() as u64
    }

    /// The ID of the voter with this name; `None` if no voter has the name.
    pub(crate) fn voter_id(&self, name: &str) -> Option<VoterId> {
        let position = self.voters.iter().position(|voter| voter == name)?;
        Some(VoterId::new(position as u64 + 1))
    }

    /// The name of the voter with this ID; `None` if no voter has the ID.
    pub(crate) fn voter_name(&self, voter_id: VoterId) -> Option<&str> {
        let position = (voter_id.get() as usize).checked_sub(1)?;
        self.voters.get(position).map(String::as_str)
    }

    /// The IDs of all voters in ascending order.
    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = VoterId> + use<> {
        (1..=self.voter_count()).map(VoterId::new)
    }

    /// The voter after this one in the list of voters. The first voter follows the last.
    pub(crate) fn next_voter(&self, voter_id: VoterId) -> VoterId {
        VoterId::new(voter_id.get() % self.voter_count() + 1)
    }
}

/// Whether a member's name has a valid length: 1 to 64 bytes.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
