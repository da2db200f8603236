//! The quorum reads of a leader. Before the leader grants leases, a quorum of the voters must confirm in a
//! quorum read that it still leads.
use std::collections::{BTreeMap, VecDeque};

use crate::settings::Settings;
use crate::time::Micros;
use crate::versioned_document::Version;

/// The maximum number of quorum reads that may wait for their confirmation at once.
const MAX_PENDING_READS: usize = 16;

/// The parts of a member's lease request that the leader needs to grant the lease.
#[derive(Clone, Debug)]
pub(crate) struct PendingLease {
    pub(crate) session: u64,
    pub(crate) sent_at: Micros,
    pub(crate) newest: Version,
}

/// Lease requests that the leader has not granted yet, by the name of the requesting member.
type PendingLeases = BTreeMap<String, PendingLease>;

struct PendingRead {
    read_id: u64,
    started_at: Micros,
    leases: PendingLeases,
}

struct ReadAwaitingApply {
    /// The log index up to which the leader must have applied the log before it grants the requests in
    /// `leases`. A grant also tells the member the versions of the fleet's rules. If the log were applied
    /// only in part, the grant could lack a version that was committed before the quorum read began.
    index: u64,
    leases: PendingLeases,
}

/// The quorum reads of a leader during one term. Owned by its [`crate::leader::LeaderState`].
#[derive(Default)]
pub(crate) struct QuorumReads {
    /// The lease requests that have arrived since the last quorum read was started.
    new_leases: PendingLeases,
    pending: VecDeque<PendingRead>,
    awaiting_apply: Vec<ReadAwaitingApply>,
    last_read_id: u64,
}

impl QuorumReads {
    /// Adds a member's lease request to the next quorum read.
    pub(crate) fn add(&mut self, member: &str, lease: PendingLease) {
        let entry = self.new_leases.entry(member.to_owned());
        entry
            .and_modify(|known| {
                // Keeps the latest request. An older request that arrives late would only give a shorter
                // lease.
                if known.session != lease.session || known.sent_at < lease.sent_at {
                    (known.session, known.sent_at) = (lease.session, lease.sent_at);
                }
                known.newest = lease.newest;
            })
            .or_insert(lease);
    }

    /// Starts the next quorum read and returns its ID. Returns `None` in three cases: no lease request waits
    /// for a read, [`MAX_PENDING_READS`] reads are pending, or the last pending read was started less than a
    /// quarter of a tick interval ago.
    pub(crate) fn start_read(&mut self, now: Micros, settings: &Settings) -> Option<u64> {
        let age = |read: &PendingRead| now.saturating_sub(read.started_at);
        while self.pending.front().is_some_and(|read| age(read) > settings.max_round_trip) {
            self.pending.pop_front();
        }
        if self.new_leases.is_empty() || self.pending.len() >= MAX_PENDING_READS {
            return None;
        }
        // While another read is pending, at most four reads are started per tick interval.
        if self.pending.back().is_some_and(|read| age(read) < settings.tick_interval / 4) {
            return None;
        }
        self.last_read_id += 1;
        let leases = std::mem::take(&mut self.new_leases);
        self.pending.push_back(PendingRead { read_id: self.last_read_id, started_at: now, leases });
        Some(self.last_read_id)
    }

    /// Records that a quorum has confirmed the read with this ID. All earlier reads are then confirmed too.
    pub(crate) fn confirm(&mut self, read_id: u64, index: u64) {
        while self.pending.front().is_some_and(|read| read.read_id <= read_id) {
            if let Some(PendingRead { leases, .. }) = self.pending.pop_front() {
                self.awaiting_apply.push(ReadAwaitingApply { index, leases });
            }
        }
    }

    /// Removes and returns the lease requests that can be granted. A quorum must have confirmed their quorum
    /// read, and the log must be applied up to the index of that read.
    pub(crate) fn take_grantable(&mut self, applied_index: u64) -> Vec<(String, PendingLease)> {
        let mut grantable = Vec::new();
        self.awaiting_apply.retain_mut(|read| {
            let is_applied = read.index <= applied_index;
            if is_applied {
                grantable.extend(std::mem::take(&mut read.leases));
            }
            !is_applied
        });
        grantable
    }
}
