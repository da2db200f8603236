//! Packet loss, duplication and delay on network links.
use std::time::Duration;

/// Packet loss, duplication and delay on links that are not blocked.
///
/// Rates are fractions from 0 to 1. The duplication rate applies to packets that are not lost. A duplicated
/// packet arrives twice, and the rate of extra delays applies to each of the two arrivals separately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// The fraction of packets that are lost.
    pub loss_rate: f64,
    /// The fraction of packets, among those not lost, that arrive twice.
    pub duplication_rate: f64,
    /// The fraction of arriving packets that get the additional delay
    /// [`extra_delay`](LinkConditions::extra_delay), so that later packets can overtake them. If a packet
    /// arrives twice, each arrival counts as a packet.
    pub extra_delay_rate: f64,
    /// The additional delay of the packets that [`extra_delay_rate`](LinkConditions::extra_delay_rate)
    /// selects. Each of these packets also has the usual delay, which is drawn at random between `min_delay`
    /// and `max_delay`.
    pub extra_delay: Duration,
    /// The smallest delay of a packet. The delay of each packet is drawn at random, from this value up to
    /// `max_delay`.
    pub min_delay: Duration,
    /// The upper bound of the delay of a packet. The delay of each packet is drawn at random, so that packets
    /// can overtake each other. The delay is at least `min_delay` and less than `max_delay`. If the two
    /// bounds are equal, every packet has that delay. If a packet arrives twice, each arrival has its own
    /// delay.
    pub max_delay: Duration,
}

impl LinkConditions {
    /// Conditions under which every packet arrives exactly once and without delay.
    pub const IDEAL: LinkConditions = LinkConditions {
        loss_rate: 0.0,
        duplication_rate: 0.0,
        extra_delay_rate: 0.0,
        extra_delay: Duration::ZERO,
        min_delay: Duration::ZERO,
        max_delay: Duration::ZERO,
    };
}
