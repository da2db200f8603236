//! The members' common settings, and the bounds that follow from them.
use crate::time::{MILLISECOND, Micros};
use crate::voter_id::VoterId;

const MILLION: u64 = 1_000_000;
const HOUR: Micros = 3_600_000 * MILLISECOND;
/// Ticks of Raft between two heartbeats.
pub(crate) const HEARTBEAT_TICKS: usize = 4;
/// Ticks of Raft before the earliest election.
pub(crate) const ELECTION_TICKS: usize = 20;

const MAX_NAME_BYTES: usize = 64;
const MAX_DRIFT_PPM: u32 = 100_000;
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
const MAX_PENDING_VERSIONS: usize = 8;
const MIN_LOG_ENTRIES: u64 = 8;

/// The settings of consensus, the same on all members. All spans are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The names of the voters, in the same order everywhere: 3, 5 or 7.
    pub voters: Vec<String>,
    /// How long a member acts on a version after it last requested a lease. Over 4 [`Settings::max_round_trip`].
    pub lease_duration: Micros,
    /// The clock bound: a span on one member's clock may be longer or shorter than the true one by this many parts
    /// per million; up to 100,000.
    pub max_drift_ppm: u32,
    /// A lease grant whose request was sent longer ago than this is ignored.
    pub max_round_trip: Micros,
    /// Between two ticks of Raft; [`crate::Input::Tick`] is expected as often. Over 0.
    pub tick_interval: Micros,
    /// Size limit of a document.
    pub max_document_bytes: usize,
    /// Limit on versions that are committed and not yet in force.
    pub max_pending_versions: usize,
    /// Entries in the log before it is compacted into a snapshot.
    pub max_log_entries: u64,
}

impl Default for Settings {
    /// A staleness bound of 1.998 s: a lease of 1.8 s, clocks within 1 %, 0.18 s for a round trip; ticks of 20 ms,
    /// documents of 256 KiB. No voters.
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

/// A setting outside its range. The texts are part of the outer interface and keep the settings' first names:
/// `way` for the round trip, `drift` for the clock bound, `most_...` for limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// Wrong number of voters.
    #[error("voters: not 3, 5 or 7")]
    VoterCount,
    /// A voter's name is empty or too long.
    #[error("voters: a name is not of 1 to 64 bytes")]
    VoterName,
    /// Two voters have one name.
    #[error("voters: a name comes twice")]
    DuplicateVoter,
    /// No time between ticks.
    #[error("tick: not above 0")]
    TickInterval,
    /// The round trip is too short for the ticks.
    #[error("way: under 2 ticks")]
    RoundTripTooShort,
    /// The lease is too short for the round trip.
    #[error("lease: under 4 ways")]
    LeaseTooShort,
    /// The lease is too long.
    #[error("lease: over an hour")]
    LeaseTooLong,
    /// The clock bound is too wide.
    #[error("drift: over 100,000 parts in a million")]
    DriftTooLarge,
    /// The size limit of documents is out of range.
    #[error("most_rules: not of 1 byte to 1 MiB")]
    DocumentLimit,
    /// The limit on pending versions is out of range.
    #[error("most_waiting: not 1 to 8")]
    PendingVersionsLimit,
    /// The log would be compacted too often.
    #[error("most_log: under 8")]
    LogLimit,
}

impl Settings {
    /// Checks all fields.
    ///
    /// # Errors
    /// The first field that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_voters()?;
        let has_valid_document_limit = (1..=MAX_DOCUMENT_BYTES).contains(&self.max_document_bytes);
        let has_valid_pending_limit = (1..=MAX_PENDING_VERSIONS).contains(&self.max_pending_versions);
        let checks = [
            (self.tick_interval > 0, SettingsError::TickInterval),
            (self.max_round_trip >= 2 * self.tick_interval, SettingsError::RoundTripTooShort),
            (self.lease_duration / 4 >= self.max_round_trip, SettingsError::LeaseTooShort),
            (self.lease_duration <= HOUR, SettingsError::LeaseTooLong),
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

    /// The staleness bound: after this span no member acts on a version that a newer one has replaced:
    /// lease x (1 + drift) + round trip.
    pub fn staleness_bound(&self) -> Micros {
        self.stretch_by_drift(self.lease_duration).saturating_add(self.max_round_trip)
    }

    /// How long the leader waits by its own clock until a lease has expired by any clock within the bound:
    /// lease x (1 + drift)^2.
    pub fn lease_expiry_wait(&self) -> Micros {
        self.stretch_by_drift(self.stretch_by_drift(self.lease_duration))
    }

    /// By how much a span can be longer on one clock than on another when both are within the bound, in parts per
    /// million.
    pub(crate) fn max_relative_drift_ppm(&self) -> u64 {
        let drift = u64::from(self.max_drift_ppm);
        2 * drift + (drift * drift).div_ceil(MILLION)
    }

    fn stretch_by_drift(&self, span: Micros) -> Micros {
        let extra = (u128::from(span) * u128::from(self.max_drift_ppm)).div_ceil(u128::from(MILLION));
        span.saturating_add(extra as u64)
    }

    /// How often a member requests its lease.
    pub(crate) fn renewal_interval(&self) -> Micros {
        self.lease_duration / 4
    }

    /// How soon an unanswered message is sent again.
    pub(crate) fn retry_interval(&self) -> Micros {
        self.max_round_trip
    }

    /// The number of voters.
    pub(crate) fn voter_count(&self) -> u64 {
        self.voters.len() as u64
    }

    /// The number of the voter of this name; `None` for a member that is no voter.
    pub(crate) fn voter_id(&self, name: &str) -> Option<VoterId> {
        let position = self.voters.iter().position(|voter| voter == name)?;
        Some(VoterId::new(position as u64 + 1))
    }

    /// The name of the voter of this number.
    pub(crate) fn voter_name(&self, voter_id: VoterId) -> Option<&str> {
        let position = (voter_id.get() as usize).checked_sub(1)?;
        self.voters.get(position).map(String::as_str)
    }

    /// All voters in their order.
    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = VoterId> + use<> {
        (1..=self.voter_count()).map(VoterId::new)
    }

    /// The voter after this one; the first after the last.
    pub(crate) fn next_voter(&self, voter_id: VoterId) -> VoterId {
        VoterId::new(voter_id.get() % self.voter_count() + 1)
    }
}

/// Whether a member may have this name.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
