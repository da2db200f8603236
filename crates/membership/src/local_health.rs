//! The local health multiplier of Lifeguard, an extension of SWIM: a member that may itself be slow or hard
//! to reach lengthens its own timeouts.
use std::time::Duration;

/// Maximum of the local health multiplier, as in Lifeguard.
const MAX_MULTIPLIER: u32 = 8;

/// The local health multiplier, from 0 (healthy) to 8. The member's probe interval, probe timeout and
/// suspicion timeout are `1 + multiplier` times as long as configured.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    multiplier: u32,
}

impl LocalHealth {
    pub(crate) fn multiplier(self) -> u32 {
        self.multiplier
    }

    /// Records a sign that this member itself, and not another member, is slow or hard to reach. Raises the
    /// local health multiplier of this member.
    pub(crate) fn record_failure(&mut self) {
        self.multiplier = (self.multiplier + 1).min(MAX_MULTIPLIER);
    }

    /// Records that another member answered a probe of this member. Lowers the local health multiplier of
    /// this member.
    pub(crate) fn record_success(&mut self) {
        self.multiplier = self.multiplier.saturating_sub(1);
    }

    pub(crate) fn scale_timeout(self, timeout: Duration) -> Duration {
        timeout * (1 + self.multiplier)
    }
}
