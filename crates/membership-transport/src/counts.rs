//! What is counted, and the view that is shown.
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use copperspread_membership::{Member, PacketError};
use serde::{Serialize, Serializer};
use tracing::warn;

/// What a member knows, and what it has counted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MembershipView {
    /// This member as the others should know it.
    #[serde(rename = "own")]
    pub local_member: Member,
    /// The others that are there, suspected ones among them, by name.
    #[serde(serialize_with = "list")]
    pub members: Arc<[Member]>,
    /// How much it doubts itself, from 0 to 8.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// How often it was stopped and noticed.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// Packets and states that were not taken.
    pub rejected: RejectionCounts,
    /// Packets that came in, those rejected among them.
    pub packets_in: u64,
    /// Packets sent.
    pub packets_out: u64,
    /// Bytes of the packets that came in, without headers of UDP and IP.
    pub bytes_in: u64,
    /// Bytes of the packets sent, without headers of UDP and IP.
    pub bytes_out: u64,
}

fn list<S: Serializer>(members: &Arc<[Member]>, to: S) -> Result<S::Ok, S::Error> {
    (**members).serialize(to)
}

/// Packets and states that were not taken, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectionCounts {
    /// Longer than any of this protocol.
    pub too_large: u64,
    /// Too short, or the body is none.
    pub malformed: u64,
    /// Not made with the cluster's key.
    pub forged: u64,
    /// Of another version.
    pub other_version: u64,
}

/// What was dropped or failed on this side, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Packets that the socket did not take.
    pub packets_unsent: u64,
    /// Streams that came while all places were taken.
    pub streams_rejected: u64,
    /// Streams that failed or took too long, in either direction.
    pub streams_failed: u64,
    /// Exchanges that were wanted while others waited.
    pub exchanges_skipped: u64,
    /// States that found the protocol's queue full for as long as their stream had time.
    pub states_dropped: u64,
}

/// A count that is told in the log at its 1st, 2nd, 4th, 8th ... time. Guards against a line for each packet of
/// a flood.
pub(crate) struct Count(&'static str, AtomicU64);

impl Count {
    pub(crate) fn add(&self) {
        let count = self.1.fetch_add(1, Ordering::Relaxed) + 1;
        if count.is_power_of_two() {
            warn!(count, "peers: {}", self.0);
        }
    }

    fn get(&self) -> u64 {
        self.1.load(Ordering::Relaxed)
    }
}

pub(crate) struct Counts {
    too_large: Count,
    malformed: Count,
    forged: Count,
    other_version: Count,
    pub(crate) unsent: Count,
    pub(crate) streams_refused: Count,
    pub(crate) streams_failed: Count,
    pub(crate) exchanges_skipped: Count,
    pub(crate) states_dropped: Count,
    pub(crate) packets_in: AtomicU64,
    pub(crate) packets_out: AtomicU64,
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
}

impl Counts {
    pub(crate) fn new() -> Counts {
        let count = |name| Count(name, AtomicU64::new(0));
        Counts {
            too_large: count("too large"),
            malformed: count("malformed"),
            forged: count("not made with the cluster's key"),
            other_version: count("of another version"),
            unsent: count("a packet not sent"),
            streams_refused: count("a stream refused, all places taken"),
            streams_failed: count("a stream failed"),
            exchanges_skipped: count("an exchange skipped, others wait"),
            states_dropped: count("a state dropped, the queue is full"),
            packets_in: AtomicU64::new(0),
            packets_out: AtomicU64::new(0),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
        }
    }

    pub(crate) fn reject(&self, why: PacketError) {
        match why {
            PacketError::TooLarge => &self.too_large,
            PacketError::Malformed => &self.malformed,
            PacketError::Forged => &self.forged,
            PacketError::OtherVersion => &self.other_version,
        }
        .add();
    }

    pub(crate) fn rejects(&self) -> RejectionCounts {
        RejectionCounts {
            too_large: self.too_large.get(),
            malformed: self.malformed.get(),
            forged: self.forged.get(),
            other_version: self.other_version.get(),
        }
    }

    pub(crate) fn dropped(&self) -> DropCounts {
        DropCounts {
            packets_unsent: self.unsent.get(),
            streams_rejected: self.streams_refused.get(),
            streams_failed: self.streams_failed.get(),
            exchanges_skipped: self.exchanges_skipped.get(),
            states_dropped: self.states_dropped.get(),
        }
    }
}
