//! The counters of a member. All threads of the member update them.
use std::sync::atomic::{AtomicU64, Ordering};

use copperspread_membership::PacketError;
use tracing::warn;

use crate::view::{DropCounts, RejectionCounts};

/// A counter that logs its value at the 1st, 2nd, 4th, 8th ... event. A flood of packets therefore does not
/// produce a log line for each packet.
pub(crate) struct LoggedCounter {
    cause: &'static str,
    count: AtomicU64,
}

impl LoggedCounter {
    fn new(cause: &'static str) -> LoggedCounter {
        LoggedCounter { cause, count: AtomicU64::new(0) }
    }

    pub(crate) fn increment(&self) {
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        if count.is_power_of_two() {
            warn!(count, cause = self.cause, "membership traffic dropped");
        }
    }

    fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Counters of received and sent packets and of their bytes, without UDP and IP headers.
#[derive(Default)]
pub(crate) struct PacketCounters {
    pub(crate) received: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) bytes_received: AtomicU64,
    pub(crate) bytes_sent: AtomicU64,
}

impl PacketCounters {
    pub(crate) fn record_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// All counters of a member: rejected packets and states, other dropped traffic by cause, and received and
/// sent packets.
pub(crate) struct Counters {
    too_large: LoggedCounter,
    malformed: LoggedCounter,
    forged: LoggedCounter,
    other_version: LoggedCounter,
    pub(crate) packets_unsent: LoggedCounter,
    pub(crate) streams_rejected: LoggedCounter,
    pub(crate) streams_failed: LoggedCounter,
    pub(crate) exchanges_skipped: LoggedCounter,
    pub(crate) states_dropped: LoggedCounter,
    pub(crate) packets: PacketCounters,
}

impl Counters {
    pub(crate) fn new() -> Counters {
        Counters {
            too_large: LoggedCounter::new("too large"),
            malformed: LoggedCounter::new("malformed"),
            forged: LoggedCounter::new("not made with the cluster's key"),
            other_version: LoggedCounter::new("of another version"),
            packets_unsent: LoggedCounter::new("packet not sent"),
            streams_rejected: LoggedCounter::new("stream rejected, queue full"),
            streams_failed: LoggedCounter::new("stream failed"),
            exchanges_skipped: LoggedCounter::new("state exchange skipped, queue full"),
            states_dropped: LoggedCounter::new("state dropped, queue full"),
            packets: PacketCounters::default(),
        }
    }

    /// Counts a received packet or state that was rejected, by the cause of the rejection.
    pub(crate) fn record_rejection(&self, cause: PacketError) {
        match cause {
            PacketError::TooLarge => &self.too_large,
            PacketError::Malformed => &self.malformed,
            PacketError::Forged => &self.forged,
            PacketError::OtherVersion => &self.other_version,
        }
        .increment();
    }

    pub(crate) fn rejections(&self) -> RejectionCounts {
        RejectionCounts {
            too_large: self.too_large.get(),
            malformed: self.malformed.get(),
            forged: self.forged.get(),
            other_version: self.other_version.get(),
        }
    }

    pub(crate) fn drops(&self) -> DropCounts {
        DropCounts {
            packets_unsent: self.packets_unsent.get(),
            streams_rejected: self.streams_rejected.get(),
            streams_failed: self.streams_failed.get(),
            exchanges_skipped: self.exchanges_skipped.get(),
            states_dropped: self.states_dropped.get(),
        }
    }
}
