//! Lifeguard's local health multiplier: how far a member mistrusts its own observations.
use std::time::Duration;

/// Largest multiplier: Lifeguard's 8.
const MAX_MULTIPLIER: u32 = 8;

/// A counter from 0 (healthy) to 8; the member's own time-outs are `1 + multiplier` times as long.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    multiplier: u32,
}

impl LocalHealth {
    pub(crate) fn multiplier(self) -> u32 {
        self.multiplier
    }

    /// Something suggests that this member, not another, is slow or hard to reach.
    pub(crate) fn record_failure(&mut self) {
        self.multiplier = (self.multiplier + 1).min(MAX_MULTIPLIER);
    }

    /// A probe of this member was answered.
    pub(crate) fn record_success(&mut self) {
        self.multiplier = self.multiplier.saturating_sub(1);
    }

    pub(crate) fn stretch(self, timeout: Duration) -> Duration {
        timeout * (1 + self.multiplier)
    }
}
