//! The subscription to the endpoint list: which version is known, and when discovery is polled for changes.
use crate::Discovery;
use crate::EndpointUpdateKind;
use crate::Micros;
use crate::SECOND;
use crate::Settings;

/// Latest first poll: early, but spread out so that restarted dispatchers do not stampede discovery.
const MAX_FIRST_POLL_DELAY: Micros = 3 * SECOND;
/// Spread of the first poll for each dispatcher of the fleet: small fleets need none.
const FIRST_POLL_SPREAD: Micros = 150_000;
/// First and longest wait after a failed poll. A change counts as notified 6 s after discovery could be
/// reached, whatever failed: a poll given up just then, this wait and the next poll fit in.
const POLL_BACKOFF_INITIAL: Micros = SECOND;
const POLL_BACKOFF_MAX: Micros = 2 * SECOND;
/// The backoff doubles no more than this many times, so that the shift cannot overflow.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 4;

/// Which endpoint list is known, and whether its changes come.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointSubscription {
    version: u64,
    is_subscribed: bool,
    /// A poll of discovery is under way or has a timer.
    is_polling: bool,
    failed_polls: u32,
}

impl EndpointSubscription {
    /// The delay of the first poll, where lists are polled.
    pub(super) fn start(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Option<Micros> {
        if settings.discovery != Discovery::Polled {
            return None;
        }
        self.is_polling = true;
        let max = MAX_FIRST_POLL_DELAY.min(settings.poll_within / 2);
        let spread = (FIRST_POLL_SPREAD * Micros::from(settings.fleet_size)).min(max);
        Some(rng.u64(0..=spread))
    }

    /// Whether the subscription's timer, now expired, still has a poll to send. The poll is under way until
    /// the one endpoint update that answers it.
    pub(super) fn needs_poll(&self) -> bool {
        !self.is_subscribed
    }

    /// Ends the subscription after a failed poll. The delay of the next poll, where lists are polled: later
    /// each time and at a random moment, as a recovering discovery must not be stampeded.
    pub(super) fn record_failure(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Option<Micros> {
        self.is_subscribed = false;
        if settings.discovery != Discovery::Polled {
            return None;
        }
        let doubled = POLL_BACKOFF_INITIAL << self.failed_polls.min(MAX_POLL_BACKOFF_DOUBLINGS);
        let max = doubled.min(POLL_BACKOFF_MAX).min(settings.poll_within);
        self.failed_polls += 1;
        self.is_polling = true;
        Some(max / 2 + rng.u64(0..=max / 2))
    }

    /// Records an update that holds endpoints. Whether it is to be applied: an older version changes nothing.
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
