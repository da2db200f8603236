//! The subscription to the endpoint list: which version of the list the dispatcher knows, and when it polls
//! discovery.
use crate::DiscoveryMode;
use crate::EndpointUpdateKind;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Longest delay of a dispatcher's first poll of discovery. The delay is random, because dispatchers that
/// restart together could otherwise overload discovery.
const MAX_FIRST_POLL_DELAY: Micros = 3 * SECOND;
/// Microseconds that each dispatcher in the fleet adds to the longest delay of a first poll. The delay is
/// drawn between 0 and this constant times the number of dispatchers, but is never above
/// [`MAX_FIRST_POLL_DELAY`] or half of [`Settings::max_poll_interval`]. If there are few dispatchers, their
/// polls need little spread.
const FIRST_POLL_SPREAD: Micros = 150_000;
/// Backoff after the first failed poll of discovery. Each further failure doubles the backoff, up to
/// [`POLL_BACKOFF_MAX`] or [`Settings::max_poll_interval`], whichever is shorter. The delay before the next
/// poll is drawn between half of the backoff and the whole backoff.
const POLL_BACKOFF_INITIAL: Micros = SECOND;
/// Longest backoff after a failed poll of discovery, 2 s. Once discovery is reachable again, dispatchers have
/// 6 s to learn of all endpoint changes. After these 6 s, a dispatcher counts as notified of the changes,
/// even if its polls failed; see `docs/endpoint-list-delays.md`. The 6 s leave time for one poll to time out,
/// for this backoff and for the next poll.
const POLL_BACKOFF_MAX: Micros = 2 * SECOND;
/// Maximum number of times that the poll backoff is doubled. Without this maximum, the bit shift that
/// computes the backoff could overflow.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 4;

/// The version of the endpoint list that the dispatcher knows, and the state of its subscription to changes
/// of the list.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointSubscription {
    version: u64,
    is_subscribed: bool,
    /// Whether a poll of discovery is in progress or scheduled.
    is_polling: bool,
    failed_polls: u32,
}

impl EndpointSubscription {
    /// Returns the delay of the first poll of discovery, or `None` if discovery sends updates without being
    /// polled.
    pub(super) fn start(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Option<Micros> {
        if settings.discovery != DiscoveryMode::Polled {
            return None;
        }
        self.is_polling = true;
        let max = MAX_FIRST_POLL_DELAY.min(settings.max_poll_interval / 2);
        let spread = (FIRST_POLL_SPREAD * Micros::from(settings.fleet_size)).min(max);
        Some(rng.u64(0..=spread))
    }

    /// Returns whether the dispatcher must poll discovery when the subscription timer expires. Each poll is
    /// answered by exactly one endpoint update.
    pub(super) fn needs_poll(&self) -> bool {
        !self.is_subscribed
    }

    /// Records that a poll of discovery has failed, so that the dispatcher is not subscribed to endpoint
    /// updates. Returns the delay before the next poll. The delay grows with each failure and is random, so
    /// that the dispatchers do not overload discovery while it recovers.
    ///
    /// Returns `None` if the settings say that discovery sends updates without being polled. No poll is then
    /// needed.
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

    /// Records an update that contains endpoints, and returns whether the update is to be applied. An update
    /// whose version is older than the known version is ignored.
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
