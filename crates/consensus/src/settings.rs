//! How the members agree, and the bound that follows.
use crate::{MILLISECOND, Micros};

/// Parts in a million.
const MILLION: u64 = 1_000_000;
/// Ticks of the voters' protocol between two heartbeats, and of an election's shortest wait.
pub(crate) const HEARTBEAT_TICKS: usize = 4;
pub(crate) const ELECTION_TICKS: usize = 20;

/// How the members agree. The same on all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The names of the voters, in the same order everywhere: 3, 5 or 7.
    pub voters: Vec<String>,
    /// How long a member acts on a version after it last asked the leader. Over 4 [`Settings::way`].
    pub lease_duration: Micros,
    /// A span on one member's clock may be longer or shorter than the true one by this many parts in a
    /// million; up to 100,000.
    pub max_drift_ppm: u32,
    /// A grant whose question was sent longer ago than this counts nothing.
    pub max_round_trip: Micros,
    /// Between two ticks of the voters' protocol; [`crate::Input::Tick`] is wanted as often. Over 0.
    pub tick_interval: Micros,
    /// Most bytes of a document.
    pub max_document_bytes: usize,
    /// Most versions that are ordered and not yet in force.
    pub max_pending_versions: usize,
    /// Entries that are kept in the log before they are folded into a snapshot.
    pub max_log_entries: u64,
}

impl Default for Settings {
    /// T is 1.998 s: a lease of 1.8 s, clocks within 1 %, 0.18 s for a message; ticks of 20 ms, documents of
    /// 256 KiB. No voters.
    fn default() -> Settings {
        let (lease, way, tick) = (1_800 * MILLISECOND, 180 * MILLISECOND, 20 * MILLISECOND);
        let (most_rules, most_waiting, most_log) = (256 << 10, 4, 64);
        Settings {
            voters: Vec::new(),
            lease_duration: lease,
            max_drift_ppm: 10_000,
            max_round_trip: way,
            tick_interval: tick,
            max_document_bytes: most_rules,
            max_pending_versions: most_waiting,
            max_log_entries: most_log,
        }
    }
}

/// Settings that contradict themselves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub &'static str);

impl Settings {
    /// # Errors
    /// The first field that does not fit, and why.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let names = self.voters.iter().all(|name| named(name));
        let mut distinct = self.voters.clone();
        distinct.sort_unstable();
        distinct.dedup();
        let wrong = [
            (!matches!(self.voters.len(), 3 | 5 | 7), "voters: not 3, 5 or 7"),
            (!names, "voters: a name is not of 1 to 64 bytes"),
            (distinct.len() != self.voters.len(), "voters: a name comes twice"),
            (self.tick_interval == 0, "tick: not above 0"),
            (self.max_round_trip < 2 * self.tick_interval, "way: under 2 ticks"),
            (self.lease_duration / 4 < self.max_round_trip, "lease: under 4 ways"),
            (self.lease_duration > 3_600_000 * MILLISECOND, "lease: over an hour"),
            (self.max_drift_ppm > 100_000, "drift: over 100,000 parts in a million"),
            (
                self.max_document_bytes == 0 || self.max_document_bytes > 1 << 20,
                "most_rules: not of 1 byte to 1 MiB",
            ),
            (self.max_pending_versions == 0 || self.max_pending_versions > 8, "most_waiting: not 1 to 8"),
            (self.max_log_entries < 8, "most_log: under 8"),
        ];
        wrong.iter().find(|(wrong, _)| *wrong).map_or(Ok(()), |(_, why)| Err(SettingsError(why)))
    }

    /// T: after this long nobody acts on a version that a newer one has replaced: lease x (1 + drift) + way.
    pub fn staleness_bound(&self) -> Micros {
        self.stretch_by_drift(self.lease_duration).saturating_add(self.max_round_trip)
    }

    /// How long the leader waits by its own clock until a lease has run out by any clock within the bound:
    /// lease x (1 + drift)^2.
    pub fn lease_expiry_wait(&self) -> Micros {
        self.stretch_by_drift(self.stretch_by_drift(self.lease_duration))
    }

    /// Most that a span by one clock can be by another that is off the other way, less the span, in parts in
    /// a million: for spans that are compared.
    pub(crate) fn max_relative_drift_ppm(&self) -> u64 {
        let drift = u64::from(self.max_drift_ppm);
        2 * drift + (drift * drift).div_ceil(MILLION)
    }

    fn stretch_by_drift(&self, span: Micros) -> Micros {
        let more = (u128::from(span) * u128::from(self.max_drift_ppm)).div_ceil(u128::from(MILLION));
        span.saturating_add(more as u64)
    }

    /// How often a member asks for its lease.
    pub(crate) fn renewal_interval(&self) -> Micros {
        self.lease_duration / 4
    }

    /// How soon something unanswered is said again.
    pub(crate) fn retry_interval(&self) -> Micros {
        self.max_round_trip
    }
}

/// Whether a text may be a name.
pub(crate) fn named(name: &str) -> bool {
    (1..=64).contains(&name.len())
}
