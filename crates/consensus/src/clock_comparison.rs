//! Whether this member's clock and the leader's keep the same time, by proof and not by estimate.
use serde::{Deserialize, Serialize};

use crate::{Micros, Settings};

/// After so long the older of two samples is given up for the newer, so that a clock that changes its rate is
/// seen too, and one that keeps it can be cleared.
const SAMPLE_WINDOW: Micros = 30 * crate::SECOND;

/// How two clocks were found to differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockDrift {
    /// This member's clock runs fast against the leader's, or the leader's slow; else the other way.
    pub is_fast: bool,
    /// By at least so many parts in a million.
    pub min_ppm: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    /// When the question was sent, and its answer came, here.
    sent: Micros,
    came: Micros,
    /// When the answer was made, there.
    there: Micros,
}

/// Compares the clock of one other, the leader, with the own.
///
/// Between two answers the leader's clock moved by a known span. By the own clock that was at least the time
/// from the first answer's coming to the second question's sending, and at most the time from the first
/// question's sending to the second answer's coming. Delays and pauses widen these two and prove nothing; a
/// span outside them proves that one of the clocks is off.
#[derive(Clone, Debug, Default)]
pub struct ClockComparison {
    first: Option<Sample>,
    second: Option<Sample>,
    drift: Option<ClockDrift>,
}

impl ClockComparison {
    /// Takes an answer: when its question was sent and when it came, by the own clock, and when it was made, by
    /// the other. Says what is proved by now.
    pub fn record_sample(
        &mut self,
        settings: &Settings,
        sent: Micros,
        came: Micros,
        there: Micros,
    ) -> Option<ClockDrift> {
        let sample = Sample { sent, came, there };
        let Some(first) = self.first else {
            self.first = Some(sample);
            return self.drift;
        };
        // Older than the first: a reordered answer.
        if there <= first.there || sent <= first.sent {
            return self.drift;
        }
        let found = compare(settings, first, sample);
        if found.is_some() {
            self.drift = found;
        }
        match self.second {
            None if sent - first.sent >= SAMPLE_WINDOW => self.second = Some(sample),
            Some(second) if sent.saturating_sub(second.sent) >= SAMPLE_WINDOW => {
                // A whole window without a proof clears it.
                self.drift = compare(settings, second, sample);
                (self.first, self.second) = (Some(second), None);
            }
            _ => {}
        }
        self.drift
    }

    /// Whether the two were compared over a while and nothing was proved.
    pub fn is_cleared(&self, now: Micros) -> bool {
        let long = self.first.is_some_and(|first| now.saturating_sub(first.sent) >= SAMPLE_WINDOW / 6);
        long && self.drift.is_none()
    }

    /// What is proved.
    pub fn drift(&self) -> Option<ClockDrift> {
        self.drift
    }
}

fn compare(settings: &Settings, a: Sample, b: Sample) -> Option<ClockDrift> {
    let there = u128::from(b.there.saturating_sub(a.there));
    let shortest = u128::from(b.sent.saturating_sub(a.came));
    let longest = u128::from(b.came.saturating_sub(a.sent));
    let (million, apart) = (1_000_000u128, u128::from(settings.max_relative_drift_ppm()));
    let parts = |more: u128, less: u128| (more.saturating_sub(less) * million / less.max(1)) as u64;
    if shortest * million > there * (million + apart) {
        Some(ClockDrift { is_fast: true, min_ppm: parts(shortest, there) })
    } else if there * million > longest * (million + apart) {
        Some(ClockDrift { is_fast: false, min_ppm: parts(there, longest) })
    } else {
        None
    }
}
