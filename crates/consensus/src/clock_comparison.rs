//! Detects that a member's clock and a remote clock, such as the leader's, run at rates that differ too much.
//! Two clocks differ too much if not both of them can be within the clock bound, the maximum drift of a clock
//! ([`Settings::max_drift_ppm`]). A drift is reported only if the compared times prove the drift. The rates
//! themselves are never estimated.
use serde::{Deserialize, Serialize};

use crate::settings::Settings;
use crate::time::{Micros, SECOND};

/// Determines when a clock comparison replaces its oldest sample, with which it compares each new sample. The
/// replacement takes two steps:
///
/// 1. The first sample that was requested at least this long after the oldest sample is kept as its
///    successor.
/// 2. Once a sample arrives that was requested at least this long after the successor, the successor replaces
///    the oldest sample.
///
/// Without a replacement, the clocks would be compared over an ever longer time. A change of a clock's rate
/// would then show only slowly in the average, and be detected late. A replacement also clears a proven drift
/// that the newer samples do not prove.
const SAMPLE_WINDOW: Micros = 30 * SECOND;
/// The minimum time for which two clocks must have been compared without a proven drift before both count as
/// within the clock bound ([`Settings::max_drift_ppm`]).
const CLEARING_SPAN: Micros = SAMPLE_WINDOW / 6;

const MILLION: u128 = 1_000_000;

/// A proven difference between the rates of the local clock and a remote clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockDrift {
    /// Whether the local clock runs faster than the remote clock; if false, the local clock runs slower. The
    /// comparison cannot tell which of the two clocks is wrong.
    ///
    /// A leader reports a drift of its own clock if most other members have proven a drift
    /// ([`crate::Effect::ClockDriftDetected`]). In that report, this field says whether the leader's clock is
    /// the faster one for most of the members that have proven a drift.
    pub is_fast: bool,
    /// The smallest difference between the rates of the two clocks that is consistent with the recorded
    /// times, in parts per million.
    pub min_ppm: u64,
}

/// One reading of the remote clock: the time that a response carries, and the local times at which the
/// request was sent and the response was received.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    sent_at: Micros,
    received_at: Micros,
    /// The time of the remote clock when the response was made.
    remote_time: Micros,
}

/// A comparison of the local clock with a remote clock, such as the leader's.
///
/// Each response carries the time of the remote clock. Between two responses, the remote clock therefore
/// advances by a known duration. By the local clock, that duration is at least the time from the receipt of
/// the first response to the sending of the second request. The duration is at most the time from the sending
/// of the first request to the receipt of the second response. Delays and pauses only move these two limits
/// apart. The remote duration may be outside the limits by as much as the setting [`Settings::max_drift_ppm`]
/// permits for two clocks. If it is further outside, one of the clocks drifts.
#[derive(Clone, Debug, Default)]
pub struct ClockComparison {
    oldest: Option<ClockSample>,
    /// The sample that will replace `oldest`. The replacement takes place when a third sample arrives whose
    /// request was sent at least [`SAMPLE_WINDOW`] after the request of this sample.
    next_oldest: Option<ClockSample>,
    drift: Option<ClockDrift>,
}

impl ClockComparison {
    /// Records the remote time of a response, and returns the drift that is proven so far.
    ///
    /// `sent_at` and `received_at` are the local times at which the request was sent and the response was
    /// received. `remote_time` is the time of the remote clock when the response was made. All three are in
    /// microseconds.
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
                // `next` becomes the oldest sample. The known drift was proven against the previous oldest
                // sample, which is now dropped. The drift stays recorded only if `next` and the newest
                // sample, `sample`, prove a drift too. The drift of a clock whose rate was corrected is thus
                // cleared.
                self.drift = prove_drift(settings, next, sample);
                (self.oldest, self.next_oldest) = (Some(next), None);
            }
            _ => {}
        }
    }

    /// Whether the local and the remote clock count as within the clock bound at `now`. The clock bound
    /// limits how far the rate of each clock may deviate ([`Settings::max_drift_ppm`]). The two clocks must
    /// have been compared for at least 5 s (`CLEARING_SPAN`), and no drift between them may be proven.
    pub fn is_cleared(&self, now: Micros) -> bool {
        let compared_since = self.oldest.map(|oldest| oldest.sent_at);
        let is_long = compared_since.is_some_and(|since| now.saturating_sub(since) >= CLEARING_SPAN);
        is_long && self.drift.is_none()
    }

    /// The difference in rate between the local and the remote clock that samples have proven, if any. A
    /// proven drift is returned until later samples clear it.
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
