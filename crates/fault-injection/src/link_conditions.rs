//! Packet loss, duplication and delay on network links.
use std::time::Duration;

/// Packet loss, duplication and delay on links that are not blocked.
///
/// Rates are fractions from 0 to 1. The duplication rate applies to packets that are not lost. The rate of
/// extra delays applies to each copy that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// The fraction of packets that are lost.
    pub loss_rate: f64,
    /// The fraction of packets, among those not lost, that arrive twice.
    pub duplication_rate: f64,
    /// The fraction of arriving copies that get the additional delay
    /// [`extra_delay`](LinkConditions::extra_delay), so that later packets can overtake them.
    pub extra_delay_rate: f64,
    /// The additional delay of the copies that [`extra_delay_rate`](LinkConditions::extra_delay_rate)
    /// selects. Each of these copies also has the usual delay, which is drawn between `min_delay` and
    /// `max_delay`.
    pub extra_delay: Duration,
    /// The smallest delay that a copy of a packet may draw.
    pub min_delay: Duration,
    /// The upper bound of the delay that a copy of a packet may draw. Each copy draws its own delay, at least
    /// `min_delay` and less than `max_delay`, so that packets can overtake each other. If the two bounds are
    /// equal, every copy has that delay.
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
