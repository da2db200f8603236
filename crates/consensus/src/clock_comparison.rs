//! Detects that the local clock and a remote one, such as the leader's, drift apart beyond the clock bound.
//! Reports only a drift that the samples prove; rates are never estimated.
use serde::{Deserialize, Serialize};

use crate::settings::Settings;
use crate::time::{Micros, SECOND};

/// The shortest time between two successive reference samples (`oldest`, then `next_oldest`), and the age
/// that `next_oldest` must reach before it replaces `oldest`. Without the replacement, samples would be
/// compared over an ever longer time: a change of a clock's rate would be detected late, and a proven drift
/// would never be cleared.
const SAMPLE_WINDOW: Micros = 30 * SECOND;
/// The duration that samples without a proven drift must cover before a clock counts as within the bound.
const CLEARING_SPAN: Micros = SAMPLE_WINDOW / 6;

const MILLION: u128 = 1_000_000;

/// A proven difference between the rates of two clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockDrift {
    /// Whether the local clock runs faster than the remote clock; otherwise the local clock runs slower. If a
    /// leader reports the drift of its own clock, the remote clocks are those of the other members. The
    /// comparison cannot tell which of the clocks is wrong.
    pub is_fast: bool,
    /// The smallest difference between the rates of the two clocks that explains the samples, in parts per
    /// million.
    pub min_ppm: u64,
}

/// The times of a request and its response, which give one sample of the remote clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    sent_at: Micros,
    received_at: Micros,
    /// The time at which the response was made, read from the remote clock.
    remote_time: Micros,
}

/// A comparison of a remote clock, such as the leader's, with the local clock.
///
/// Between two responses, the remote clock advances by a known duration. By the local clock, that duration is
/// at least the time from receiving the first response to sending the second request, and at most the time
/// from sending the first request to receiving the second response. Delays and pauses only widen this range;
/// a remote duration outside it, by more than the clock bound permits, proves that one of the clocks drifts.
#[derive(Clone, Debug, Default)]
pub struct ClockComparison {
    oldest: Option<ClockSample>,
    /// The sample that replaces `oldest` once this sample is [`SAMPLE_WINDOW`] old.
    next_oldest: Option<ClockSample>,
    drift: Option<ClockDrift>,
}

impl ClockComparison {
    /// Records a response, and returns the drift that is proven so far.
    ///
    /// `sent_at` and `received_at` are the times of the request and of the response by the local clock,
    /// `remote_time` is the time at which the response was made by the remote clock; all are in microseconds.
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
                // A drift that was proven against an older sample is cleared unless `next` and `sample` also
                // prove a drift, because `next` becomes the oldest sample of the comparison.
                self.drift = prove_drift(settings, next, sample);
                (self.oldest, self.next_oldest) = (Some(next), None);
            }
            _ => {}
        }
    }

    /// Whether the clocks count as within the clock bound: they were compared for long enough, and no drift
    /// is proven.
    pub fn is_cleared(&self, now: Micros) -> bool {
        let compared_since = self.oldest.map(|oldest| oldest.sent_at);
        let is_long = compared_since.is_some_and(|since| now.saturating_sub(since) >= CLEARING_SPAN);
        is_long && self.drift.is_none()
    }

    /// The drift that is proven so far, if any.
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

/// The difference between two durations, in parts per million of the shorter one.
fn excess_ppm(longer: u128, shorter: u128) -> u64 {
    (longer.saturating_sub(shorter) * MILLION / shorter.max(1)) as u64
}
