//! Loss, duplication and delay on a link.
use std::time::Duration;

/// What happens to packets on links that are not blocked. Rates are shares of all packets, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// The share that is lost.
    pub loss_rate: f64,
    /// The share that arrives twice.
    pub duplication_rate: f64,
    /// The share that is delayed by [`LinkConditions::extra_delay`], so that later packets overtake it.
    pub extra_delay_rate: f64,
    /// The further delay of these.
    pub extra_delay: Duration,
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay, excluded. Each packet's own lies between the two, so that packets overtake each other.
    pub max_delay: Duration,
}

impl LinkConditions {
    /// Every packet arrives, once and without delay.
    pub const IDEAL: LinkConditions = LinkConditions {
        loss_rate: 0.0,
        duplication_rate: 0.0,
        extra_delay_rate: 0.0,
        extra_delay: Duration::ZERO,
        min_delay: Duration::ZERO,
        max_delay: Duration::ZERO,
    };
}
