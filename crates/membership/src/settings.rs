//! The settings of the failure detector, and the `foca` configuration that follows from them.
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::PeriodicParams;

use crate::seal::MAX_PACKET_BODY_BYTES;
use crate::time::{Micros, SECOND};

/// The factor that determines how many times in total a member sends each update about the membership. The
/// number is at most this factor multiplied by `log10(members + 1)`, rounded up and limited to
/// [`TRANSMISSION_BOUNDS`].
///
/// If the factor is too small and many packets are lost, some of the members that wait for the refutation of
/// a suspicion never receive the refutation. A running member is then declared dead. With 9 members and a
/// packet loss of 30 %, a factor of 14 is enough. A factor of 4, as in Serf, is too small. A factor of 8 is
/// too small even with a suspicion multiplier of 8.
const TRANSMISSION_MULTIPLIER: f64 = 14.0;
/// Minimum and maximum number of times that a member sends each update about the membership. Between these
/// bounds, the number grows with the logarithm of the number of members ([`TRANSMISSION_MULTIPLIER`]). The
/// maximum of 60 is reached only with about 16,000 members, and fits into the one byte in which `foca` stores
/// the number.
const TRANSMISSION_BOUNDS: (f64, f64) = (2.0, 60.0);
/// Number of rounds of gossip in each probe interval, as in Serf. Probes carry updates in addition.
const GOSSIPS_PER_PROBE_INTERVAL: u64 = 5;
/// Number of members to which a member sends each round of gossip, as in Serf.
const GOSSIP_FANOUT: usize = 3;
/// Number of members to which a member sends each periodic announcement.
const ANNOUNCE_FANOUT: usize = 1;
/// Interval at which this member sends announcements to members that are down, in microseconds. These
/// announcements let the halves of a healed partition find each other.
const DOWN_ANNOUNCE_INTERVAL: Micros = 5 * SECOND;
/// Interval at which this member sends an announcement to a random member, in microseconds. The other member
/// answers with the members that it knows. If a packet might not hold them all, this member also requests a
/// state exchange with a random member.
pub(crate) const STATE_EXCHANGE_INTERVAL: Micros = 30 * SECOND;
/// How long a member that is down is remembered, so that old gossip does not list that member as up again.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Maximum value of [`Settings::suspicion_multiplier`].
const MAX_SUSPICION_MULTIPLIER: f64 = 1_000.0;

/// The settings of a member's failure detector, which probes the other members.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes that the member sends, in microseconds. The other members are probed one after
    /// the other. Greater than 0.
    pub probe_interval: Micros,
    /// How long the member waits for the answer to a direct probe, in microseconds. After that, it sends
    /// indirect probes. Greater than 0 and less than the probe interval.
    pub probe_timeout: Micros,
    /// Number of other members that are asked to probe a member that does not answer. Greater than 0.
    pub indirect_probes: usize,
    /// The factor that determines when a suspected member that does not refute the suspicion is declared
    /// dead. The time is this factor times the probe interval times the larger of 1 and `log10(members)`,
    /// where `members` is the number of members including this one. Greater than 0 and at most 1,000.
    pub suspicion_multiplier: f64,
    /// Addresses to which the member announces itself, once per probe interval, while no other member has
    /// answered it: after its start, after a change of its identity, and when no other member is up.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    /// Returns the usual values of SWIM: one probe per second, a probe timeout of 0.3 s, 3 indirect probes,
    /// and a suspicion multiplier of 5.
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

/// The reason why the settings or the identity of a member are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// [`Settings::probe_timeout`] is 0, or not less than [`Settings::probe_interval`].
    #[error("the probe time-out must be greater than 0 and less than the probe interval")]
    ProbeTimeoutOutOfRange,
    /// [`Settings::indirect_probes`] is 0.
    #[error("the number of indirect probes must be greater than 0")]
    NoIndirectProbes,
    /// [`Settings::suspicion_multiplier`] is out of its range, or not a number.
    #[error("the suspicion multiplier must be greater than 0 and at most 1000")]
    SuspicionOutOfRange,
    /// The member's name, zone or region is longer than 64 bytes, which is too long for a packet.
    #[error("the name, zone or region is longer than 64 bytes")]
    IdentityTooLong,
}

impl Settings {
    /// Checks that each setting is within its documented range.
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

    /// Returns the configuration of `foca` for a cluster of `members` members, including this one.
    pub(crate) fn foca_config(&self, members: usize) -> foca::Config {
        let probe_period = Duration::from_micros(self.probe_interval);
        let suspicion_scale = (members.max(1) as f64).log10().max(1.0);
        foca::Config {
            probe_period,
            probe_rtt: Duration::from_micros(self.probe_timeout),
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: transmission_limit(members),
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

/// Returns how many times in total a member may send each update about the membership, in a cluster of
/// `members` members.
fn transmission_limit(members: usize) -> NonZeroU8 {
    let (min, max) = TRANSMISSION_BOUNDS;
    let transmissions = (TRANSMISSION_MULTIPLIER * ((members + 1) as f64).log10()).ceil().clamp(min, max);
    NonZeroU8::new(transmissions as u8).unwrap_or(NonZeroU8::MIN)
}

fn periodic(interval: Micros, fanout: usize) -> Option<PeriodicParams> {
    let frequency = Duration::from_micros(interval);
    Some(PeriodicParams { frequency, num_members: at_least_one(fanout) })
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
