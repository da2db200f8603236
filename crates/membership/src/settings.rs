//! The settings of the failure detector, and the `foca` configuration that follows from them.
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::PeriodicParams;

use crate::seal::MAX_PACKET_BODY_BYTES;
use crate::time::{Micros, SECOND};

/// Each member sends an update at most so many times the logarithm (base 10) of the number of members. Of 9 members
/// at 30 % loss, 30 runs of 60 s gave 80 false deaths with Serf's 4, 6 with 8 and 8 intervals of suspicion, and
/// none with 14: with fewer, some of those who wait for a refutation are never reached.
const UPDATE_SENDS_PER_LOG_MEMBER: f64 = 14.0;
/// `foca` takes a count of one byte; 60 is above what any fleet needs.
const UPDATE_SENDS_BOUNDS: (f64, f64) = (2.0, 60.0);
/// Besides on probes, updates are gossiped so many times in a probe interval: Serf's figure.
const GOSSIPS_PER_PROBE_INTERVAL: u64 = 5;
/// Members that each round of gossip goes to: Serf's figure.
const GOSSIP_FANOUT: usize = 3;
/// Members that each periodic announcement goes to.
const ANNOUNCE_FANOUT: usize = 1;
/// How often a member that is down is announced to, so that the halves of a healed partition join again.
const DOWN_ANNOUNCE_INTERVAL: Micros = 5 * SECOND;
/// How often a random member is asked for the members that it knows: by a packet and, where one could not hold
/// them, by an exchange of whole states.
pub(crate) const STATE_EXCHANGE_INTERVAL: Micros = 30 * SECOND;
/// How long a member that is down is remembered, so that old gossip does not revive it.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Largest [`Settings::suspicion_multiplier`].
const MAX_SUSPICION_MULTIPLIER: f64 = 1_000.0;

/// How a member monitors the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes; each is of one member, all in turn. Over 0.
    pub probe_interval: Micros,
    /// A direct answer takes no longer than this; then indirect probes are sent. Over 0, under the interval.
    pub probe_timeout: Micros,
    /// Number of other members through which an unresponsive member is probed. Over 0.
    pub indirect_probes: usize,
    /// A suspected member is declared dead after so many probe intervals times the logarithm (base 10) of the
    /// number of members, which counts as 1 at least. Over 0, at most 1,000.
    pub suspicion_multiplier: f64,
    /// Whom the member announces itself to at the start, and as long as nobody has answered.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    /// SWIM's usual figures: a probe a second, 0.3 s for an answer, 3 indirect probes, and 5 intervals of suspicion.
    fn default() -> Settings {
        Settings {
            probe_interval: SECOND,
            probe_timeout: 300_000,
            indirect_probes: 3,
            suspicion_multiplier: 5.0,
            seeds: Vec::new(),
        }
    }
}

/// Settings or a member's identity that the protocol cannot run with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// [`Settings::probe_timeout`] is 0, or not less than the interval.
    #[error("the probe time-out is not above 0 and under the interval")]
    ProbeTimeoutOutOfRange,
    /// [`Settings::indirect_probes`] is 0.
    #[error("no indirect probe")]
    NoIndirectProbes,
    /// [`Settings::suspicion_multiplier`] is out of its range, or not a number.
    #[error("the suspicion is not above 0 and up to 1000 intervals")]
    SuspicionOutOfRange,
    /// The member's name, zone or region is too long for a packet.
    #[error("a name, zone or region of more than 64 bytes")]
    IdentityTooLong,
}

impl Settings {
    /// Checks the bounds that the fields' docs give.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.probe_timeout == 0 || self.probe_timeout >= self.probe_interval {
            return Err(SettingsError::ProbeTimeoutOutOfRange);
        }
        if self.indirect_probes == 0 {
            return Err(SettingsError::NoIndirectProbes);
        }
        if !(self.suspicion_multiplier > 0.0 && self.suspicion_multiplier <= MAX_SUSPICION_MULTIPLIER) {
            return Err(SettingsError::SuspicionOutOfRange);
        }
        Ok(())
    }

    /// The protocol's parameters in a cluster of so many members, this one included.
    pub(crate) fn foca_config(&self, members: usize) -> foca::Config {
        let probe_period = Duration::from_micros(self.probe_interval);
        let suspicion_scale = (members.max(1) as f64).log10().max(1.0);
        foca::Config {
            probe_period,
            probe_rtt: Duration::from_micros(self.probe_timeout),
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: update_sends(members),
            suspect_to_down_after: probe_period.mul_f64(self.suspicion_multiplier * suspicion_scale),
            remove_down_after: Some(DOWN_MEMBER_RETENTION),
            max_packet_size: at_least_one(MAX_PACKET_BODY_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(STATE_EXCHANGE_INTERVAL, ANNOUNCE_FANOUT),
            periodic_announce_to_down_members: periodic(DOWN_ANNOUNCE_INTERVAL, ANNOUNCE_FANOUT),
            periodic_gossip: periodic(self.probe_interval / GOSSIPS_PER_PROBE_INTERVAL, GOSSIP_FANOUT),
        }
    }
}

/// How many times each member sends an update.
fn update_sends(members: usize) -> NonZeroU8 {
    let (min, max) = UPDATE_SENDS_BOUNDS;
    let sends = (UPDATE_SENDS_PER_LOG_MEMBER * ((members + 1) as f64).log10()).ceil().clamp(min, max);
    NonZeroU8::new(sends as u8).unwrap_or(NonZeroU8::MIN)
}

fn periodic(interval: Micros, fanout: usize) -> Option<PeriodicParams> {
    let frequency = Duration::from_micros(interval);
    Some(PeriodicParams { frequency, num_members: at_least_one(fanout) })
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
