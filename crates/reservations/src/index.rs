//! Lookup structures over the claims. They are derived from the claims and are not part of the stored state.
use std::collections::{BTreeMap, BTreeSet};

use copperspread_identifiers::Name;
use iset::IntervalMap;

use crate::claim::{Claim, ClaimRequest, OccurrenceKey};
use crate::command::{BlackoutEffect, BlackoutTarget};
use crate::command_id::ClaimId;
use crate::interval::Interval;
use crate::limits::BLACKOUT_LOOKAHEAD;
use crate::time::{MILLISECOND, SpanMillis, UnixMillis};

/// Lookup structures over the allocations in one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolIndex {
    /// The number of allocated slots over time. Each number holds from its instant in the map until the next
    /// instant in the map.
    levels: BTreeMap<UnixMillis, i64>,
    /// The intervals of the allocations of all held, confirmed and active claims. Each is stored with the key
    /// of the occurrence, which is the interval of a claim for which the slots are allocated.
    pub(crate) allocations: IntervalMap<UnixMillis, OccurrenceKey>,
}

/// Lookup structures over all claims.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    pub(crate) pools: BTreeMap<Name, PoolIndex>,
    /// The intervals of the confirmed and active blackouts, in which certain work must not start or must not
    /// run. The key is the class, tenant, pool or zone whose work the blackout forbids.
    pub(crate) blackouts: BTreeMap<BlackoutTarget, IntervalMap<UnixMillis, ClaimId>>,
    /// The instants at which the [`Allowances`](crate::Allowances) change, each with the number of changes at
    /// that instant. A confirmed or active claim, which is a reservation or a blackout, counts as a change at
    /// the start and at the end of each interval in which it has an effect. A [`BlackoutEffect::NoWork`]
    /// blackout also counts as a change [`BLACKOUT_LOOKAHEAD`] before the start of each of its intervals.
    pub(crate) allowance_changes: BTreeMap<UnixMillis, u32>,
    /// The instants at which claims are due for a state transition or for their removal. An entry becomes
    /// outdated when the claim changes. Outdated entries stay in the set, and are skipped when they are due.
    pub(crate) due_claims: BTreeSet<(UnixMillis, ClaimId)>,
    pub(crate) occurrence_count: usize,
}

/// Whether the entries of a claim are added to the lookup structures or removed from them.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Update {
    Add,
    Remove,
}

/// The entries of the map that overlap an interval; none if the interval is empty. An empty interval is not
/// looked up, because the map's lookup would panic.
pub(crate) fn overlapping<V>(
    map: &IntervalMap<UnixMillis, V>,
    interval: Interval,
) -> impl Iterator<Item = (Interval, &V)> {
    let found = (interval.length() > SpanMillis::ZERO).then(|| map.iter(interval.start..interval.end));
    found.into_iter().flatten().map(|(range, value)| (Interval { start: range.start, end: range.end }, value))
}

impl PoolIndex {
    fn level_at(&self, at: UnixMillis) -> i64 {
        self.levels.range(..=at).next_back().map_or(0, |(_, level)| *level)
    }

    fn change_level(&mut self, interval: Interval, difference: i64) {
        let Interval { start, end } = interval;
        for edge in [start, end] {
            let level = self.level_at(edge);
            self.levels.entry(edge).or_insert(level);
        }
        self.levels.range_mut(start..end).for_each(|(_, level)| *level += difference);
        for edge in [start, end] {
            let level_before = self.levels.range(..edge).next_back().map_or(0, |(_, level)| *level);
            if self.levels.get(&edge) == Some(&level_before) {
                self.levels.remove(&edge);
            }
        }
    }

    /// Divides an interval into segments within which the number of allocated slots is constant. Returns each
    /// segment with that number.
    pub(crate) fn segments(&self, interval: Interval) -> Vec<(Interval, i64)> {
        let mut segments = Vec::new();
        let (mut start, mut level) = (interval.start, self.level_at(interval.start));
        if interval.length() > SpanMillis::ZERO {
            for (&edge, &next_level) in self.levels.range(interval.start + MILLISECOND..interval.end) {
                segments.push((Interval { start, end: edge }, level));
                (start, level) = (edge, next_level);
            }
            segments.push((Interval { start, end: interval.end }, level));
        }
        segments
    }

    /// The intervals, from the instant `from` on, in which more than `slots` slots are allocated.
    pub(crate) fn segments_above(&self, from: UnixMillis, slots: i64) -> Vec<Interval> {
        let end = self.levels.last_key_value().map_or(from, |(edge, _)| *edge);
        let segments = self.segments(Interval { start: from, end });
        segments.into_iter().filter(|(_, level)| *level > slots).map(|(segment, _)| segment).collect()
    }
}

impl Index {
    /// Adds a claim's entries to the lookup structures.
    pub(crate) fn insert_claim(&mut self, id: &ClaimId, claim: &Claim) {
        self.occurrence_count += claim.occurrences.len();
        self.insert_due(id, claim);
        self.update_allocations(id, claim, Update::Add);
        self.update_allowance_changes(id, claim, Update::Add);
    }

    /// Removes a claim's entries from the lookup structures. The claim must not have changed since its
    /// entries were added.
    pub(crate) fn remove_claim(&mut self, id: &ClaimId, claim: &Claim) {
        self.occurrence_count -= claim.occurrences.len();
        self.update_allocations(id, claim, Update::Remove);
        self.update_allowance_changes(id, claim, Update::Remove);
    }

    /// Changes a claim's state and updates its entries in the lookup structures. The allocations are not
    /// updated. Therefore the old and the new state must either both be among held, confirmed and active,
    /// whose slots stay allocated, or both not.
    pub(crate) fn update_state(&mut self, id: &ClaimId, claim: &mut Claim, change: impl FnOnce(&mut Claim)) {
        self.update_allowance_changes(id, claim, Update::Remove);
        change(claim);
        self.update_allowance_changes(id, claim, Update::Add);
        self.insert_due(id, claim);
    }

    fn insert_due(&mut self, id: &ClaimId, claim: &Claim) {
        if let Some(due) = claim.next_due() {
            self.due_claims.insert((due, id.clone()));
        }
    }

    fn update_allocations(&mut self, id: &ClaimId, claim: &Claim, update: Update) {
        let ClaimRequest::Reservation(reservation) = &claim.request else { return };
        if !claim.state.occupies_capacity() {
            return;
        }
        let pool = self.pools.entry(reservation.pool.clone()).or_default();
        for (position, occurrence) in claim.occurrences.iter().enumerate() {
            let key = OccurrenceKey { claim: id.clone(), position };
            for allocation in &occurrence.allocations {
                let interval = allocation.interval;
                if interval.length() == SpanMillis::ZERO {
                    continue;
                }
                let range = interval.start..interval.end;
                let slots = i64::from(allocation.slots);
                match update {
                    Update::Add => {
                        pool.change_level(interval, slots);
                        pool.allocations.force_insert(range, key.clone());
                    }
                    Update::Remove => {
                        pool.change_level(interval, -slots);
                        pool.allocations.remove_where(range, |entry| *entry == key);
                    }
                }
            }
        }
    }

    fn update_allowance_changes(&mut self, id: &ClaimId, claim: &Claim, update: Update) {
        if !claim.state.is_in_effect() {
            return;
        }
        for interval in claim.effective_intervals().filter(|interval| interval.length() > SpanMillis::ZERO) {
            self.count_allowance_change(interval.start, update);
            self.count_allowance_change(interval.end, update);
            let ClaimRequest::Blackout(blackout) = &claim.request else { continue };
            self.update_blackout(id, &blackout.target, interval, update);
            if blackout.effect == BlackoutEffect::NoWork {
                self.count_allowance_change(interval.start.saturating_sub(BLACKOUT_LOOKAHEAD), update);
            }
        }
    }

    fn update_blackout(&mut self, id: &ClaimId, target: &BlackoutTarget, interval: Interval, update: Update) {
        let blackouts = self.blackouts.entry(target.clone()).or_default();
        let range = interval.start..interval.end;
        match update {
            Update::Add => blackouts.force_insert(range, id.clone()),
            Update::Remove => {
                blackouts.remove_where(range, |entry| entry == id);
            }
        }
        if blackouts.is_empty() {
            self.blackouts.remove(target);
        }
    }

    fn count_allowance_change(&mut self, at: UnixMillis, update: Update) {
        let count = self.allowance_changes.entry(at).or_default();
        *count = match update {
            Update::Add => *count + 1,
            Update::Remove => count.saturating_sub(1),
        };
        if *count == 0 {
            self.allowance_changes.remove(&at);
        }
    }
}
