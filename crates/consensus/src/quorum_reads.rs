//! Lease requests that wait until a quorum has confirmed that this voter still leads.
use std::collections::{BTreeMap, VecDeque};

use crate::settings::Settings;
use crate::time::Micros;
use crate::versioned_document::Version;

/// Reads that may be pending.
const MAX_PENDING_READS: usize = 16;

/// A member's lease request, as far as the grant needs it.
#[derive(Clone, Debug)]
pub(crate) struct PendingLease {
    pub(crate) session: u64,
    pub(crate) sent_at: Micros,
    pub(crate) newest: Version,
}

/// By the member's name.
type PendingLeases = BTreeMap<String, PendingLease>;

struct PendingRead {
    read_id: u64,
    started_at: Micros,
    leases: PendingLeases,
}

struct AnsweredRead {
    /// The log must be applied up to here before the leases are granted.
    index: u64,
    leases: PendingLeases,
}

/// The quorum reads of one term. Owned by its [`crate::leader::LeaderState`].
#[derive(Default)]
pub(crate) struct QuorumReads {
    /// Requested since the last read was started.
    new_leases: PendingLeases,
    pending: VecDeque<PendingRead>,
    answered: Vec<AnsweredRead>,
    last_read_id: u64,
}

impl QuorumReads {
    /// Adds a lease request to the next read.
    pub(crate) fn add(&mut self, member: &str, lease: PendingLease) {
        let entry = self.new_leases.entry(member.to_owned());
        entry
            .and_modify(|known| {
                // The latest: an older one that arrives late would only give a shorter lease.
                if known.session != lease.session || known.sent_at < lease.sent_at {
                    (known.session, known.sent_at) = (lease.session, lease.sent_at);
                }
                known.newest = lease.newest;
            })
            .or_insert(lease);
    }

    /// Starts the next read if any request waits for one; returns its number.
    pub(crate) fn start_read(&mut self, now: Micros, settings: &Settings) -> Option<u64> {
        let age = |read: &PendingRead| now.saturating_sub(read.started_at);
        while self.pending.front().is_some_and(|read| age(read) > settings.max_round_trip) {
            self.pending.pop_front();
        }
        if self.new_leases.is_empty() || self.pending.len() >= MAX_PENDING_READS {
            return None;
        }
        // While others are pending, at most four a tick.
        if self.pending.back().is_some_and(|read| age(read) < settings.tick_interval / 4) {
            return None;
        }
        self.last_read_id += 1;
        let leases = std::mem::take(&mut self.new_leases);
        self.pending.push_back(PendingRead { read_id: self.last_read_id, started_at: now, leases });
        Some(self.last_read_id)
    }

    /// Records that a quorum confirmed a read, and with it all before it.
    pub(crate) fn confirm(&mut self, read_id: u64, index: u64) {
        while self.pending.front().is_some_and(|read| read.read_id <= read_id) {
            if let Some(PendingRead { leases, .. }) = self.pending.pop_front() {
                self.answered.push(AnsweredRead { index, leases });
            }
        }
    }

    /// Takes the lease requests whose reads are confirmed and applied.
    pub(crate) fn take_grantable(&mut self, applied_index: u64) -> Vec<(String, PendingLease)> {
        let mut grantable = Vec::new();
        self.answered.retain_mut(|read| {
            let is_applied = read.index <= applied_index;
            if is_applied {
                grantable.extend(std::mem::take(&mut read.leases));
            }
            !is_applied
        });
        grantable
    }
}
