//! Proves that this member's clock and the leader's drift apart beyond the bound; never estimates.
use serde::{Deserialize, Serialize};

use crate::settings::Settings;
use crate::time::{Micros, SECOND};

/// After this span the older of two samples is replaced by the newer, so that a change of a clock's rate is seen and
/// a clock that is back within the bound can be cleared.
const SAMPLE_WINDOW: Micros = 30 * SECOND;
/// How long samples without a proof must span before a clock counts as within the bound.
const CLEARING_SPAN: Micros = SAMPLE_WINDOW / 6;

const MILLION: u128 = 1_000_000;

/// A proven difference between two clocks' rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockDrift {
    /// This member's clock runs fast against the leader's (or the leader's slow); else the other way.
    pub is_fast: bool,
    /// The least difference that explains the samples, in parts per million.
    pub min_ppm: u64,
}

/// One request and its response.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    sent_at: Micros,
    received_at: Micros,
    /// When the response was made, by the other clock.
    remote_time: Micros,
}

/// Compares the leader's clock with this member's.
///
/// Between two responses the leader's clock moved by a known span. By the local clock that took at least the time
/// from receiving the first response to sending the second request, and at most the time from sending the first
/// request to receiving the second response. Delays and pauses only widen these two; a span outside them proves that
/// one of the clocks drifts.
#[derive(Clone, Debug, Default)]
pub struct ClockComparison {
    oldest: Option<ClockSample>,
    /// Becomes the oldest sample one window later.
    next_oldest: Option<ClockSample>,
    drift: Option<ClockDrift>,
}

impl ClockComparison {
    /// Records a response: when its request was sent and when it was received, by the local clock, and when it was
    /// made, by the other. Returns what is proved so far.
    pub fn record_sample(
        &mut self,
        settings: &Settings,
        sent_at: Micros,
        received_at: Micros,
        remote_time: Micros,
    ) -> Option<ClockDrift> {
        let sample = ClockSample { sent_at, received_at, remote_time };
        let Some(oldest) = self.oldest else {
            self.oldest = Some(sample);
            return self.drift;
        };
        let is_reordered = remote_time <= oldest.remote_time || sent_at <= oldest.sent_at;
        if is_reordered {
            return self.drift;
        }
        self.drift = prove_drift(settings, oldest, sample).or(self.drift);
        self.advance_window(settings, oldest, sample);
        self.drift
    }

    fn advance_window(&mut self, settings: &Settings, oldest: ClockSample, sample: ClockSample) {
        match self.next_oldest {
            None if sample.sent_at - oldest.sent_at >= SAMPLE_WINDOW => self.next_oldest = Some(sample),
            Some(next) if sample.sent_at.saturating_sub(next.sent_at) >= SAMPLE_WINDOW => {
                // A whole window without a proof clears the drift.
                self.drift = prove_drift(settings, next, sample);
                (self.oldest, self.next_oldest) = (Some(next), None);
            }
            _ => {}
        }
    }

    /// Whether the clocks were compared for long enough and no drift is proved.
    pub fn is_cleared(&self, now: Micros) -> bool {
        let compared_since = self.oldest.map(|oldest| oldest.sent_at);
        let is_long = compared_since.is_some_and(|since| now.saturating_sub(since) >= CLEARING_SPAN);
        is_long && self.drift.is_none()
    }

    /// The drift that is proved.
    pub fn drift(&self) -> Option<ClockDrift> {
        self.drift
    }
}

fn prove_drift(settings: &Settings, first: ClockSample, second: ClockSample) -> Option<ClockDrift> {
    let remote = u128::from(second.remote_time.saturating_sub(first.remote_time));
    let shortest = u128::from(second.sent_at.saturating_sub(first.received_at));
    let longest = u128::from(second.received_at.saturating_sub(first.sent_at));
    let largest_ratio = MILLION + u128::from(settings.max_relative_drift_ppm());
    if shortest * MILLION > remote * largest_ratio {
        Some(ClockDrift { is_fast: true, min_ppm: excess_ppm(shortest, remote) })
    } else if remote * MILLION > longest * largest_ratio {
        Some(ClockDrift { is_fast: false, min_ppm: excess_ppm(remote, longest) })
    } else {
        None
    }
}

/// By how much the longer span exceeds the shorter, in parts per million of the shorter.
fn excess_ppm(longer: u128, shorter: u128) -> u64 {
    (longer.saturating_sub(shorter) * MILLION / shorter.max(1)) as u64
}
