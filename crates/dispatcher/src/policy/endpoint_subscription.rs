//! The subscription to the endpoint list: the known version of the list, and when to poll discovery.
use crate::DiscoveryMode;
use crate::EndpointUpdateKind;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Longest delay of the first poll. The delay is random, so that dispatchers that restart together do not
/// overload discovery.
const MAX_FIRST_POLL_DELAY: Micros = 3 * SECOND;
/// Amount, in microseconds, that each dispatcher in the fleet adds to the range of the first poll's random
/// delay. The delay is drawn between 0 and this constant times the number of dispatchers, but not above
/// [`MAX_FIRST_POLL_DELAY`]: the polls of few dispatchers need little spread.
const FIRST_POLL_SPREAD: Micros = 150_000;
/// Longest backoff after the first failed poll. The delay before the next poll is drawn between half of the
/// backoff and the whole backoff.
const POLL_BACKOFF_INITIAL: Micros = SECOND;
/// Longest backoff after any failed poll. A dispatcher is treated as notified of all endpoint changes 6 s
/// after discovery became reachable again, even if its polls failed. These 6 s leave time for one poll to
/// time out, for this backoff and for the next poll.
const POLL_BACKOFF_MAX: Micros = 2 * SECOND;
/// Maximum number of doublings of the poll backoff, so that the bit shift that computes the backoff cannot
/// overflow.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 4;

/// The known version of the endpoint list and the state of the subscription to its changes.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointSubscription {
    version: u64,
    is_subscribed: bool,
    /// Whether a poll is in progress or scheduled.
    is_polling: bool,
    failed_polls: u32,
}

impl EndpointSubscription {
    /// Returns the delay of the first poll, or `None` if endpoint updates are pushed.
    pub(super) fn start(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Option<Micros> {
        if settings.discovery != DiscoveryMode::Polled {
            return None;
        }
        self.is_polling = true;
        let max = MAX_FIRST_POLL_DELAY.min(settings.max_poll_interval / 2);
        let spread = (FIRST_POLL_SPREAD * Micros::from(settings.fleet_size)).min(max);
        Some(rng.u64(0..=spread))
    }

    /// Returns whether a poll is to be sent when the subscription timer expires. Each poll is answered by
    /// exactly one endpoint update.
    pub(super) fn needs_poll(&self) -> bool {
        !self.is_subscribed
    }

    /// Ends the subscription after a failed poll and returns the delay of the next poll, or `None` if
    /// endpoint updates are pushed. The delay grows with each failure and is random, so that dispatchers do
    /// not overload a recovering discovery.
    pub(super) fn record_failure(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Option<Micros> {
        self.is_subscribed = false;
        if settings.discovery != DiscoveryMode::Polled {
            return None;
        }
        let doubled = POLL_BACKOFF_INITIAL << self.failed_polls.min(MAX_POLL_BACKOFF_DOUBLINGS);
        let max = doubled.min(POLL_BACKOFF_MAX).min(settings.max_poll_interval);
        self.failed_polls += 1;
        self.is_polling = true;
        Some(max / 2 + rng.u64(0..=max / 2))
    }

    /// Records an update that contains endpoints and returns whether it is to be applied: an update with an
    /// older version than the known one is ignored.
    pub(super) fn record_update(&mut self, kind: EndpointUpdateKind, version: u64) -> bool {
        if self.is_polling && kind != EndpointUpdateKind::Cached {
            self.is_polling = false;
            self.is_subscribed = true;
            self.failed_polls = 0;
        }
        if version < self.version {
            return false;
        }
        self.version = version;
        true
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_subscription.rs"]
mod tests;
