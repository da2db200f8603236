//! What is derived from the claims so that a look-up does not read them all. It is not part of the state's bytes.
use std::collections::{BTreeMap, BTreeSet};

use iset::IntervalMap;

use crate::allowances::BLACKOUT_LOOKAHEAD;
use crate::calendar::{Claim, ClaimRequest};
use crate::{BlackoutEffect, BlackoutTarget, ClaimId, Interval, Millis, Name};

/// One occurrence of a claim.
pub(crate) type OccurrenceKey = (ClaimId, usize);

#[derive(Clone, Debug, Default)]
pub(crate) struct PoolIndex {
    /// From each key on so many slots are kept, up to the next.
    levels: BTreeMap<Millis, i64>,
    /// The pieces that are kept.
    pub(crate) allocations: IntervalMap<Millis, OccurrenceKey>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    pub(crate) pools: BTreeMap<Name, PoolIndex>,
    /// Blackouts that act.
    pub(crate) blackouts: BTreeMap<BlackoutTarget, IntervalMap<Millis, ClaimId>>,
    /// Instants at which allowances change, and by how many claims.
    pub(crate) allowance_changes: BTreeMap<Millis, u32>,
    /// When a claim is to be looked at. Some are out of date, and then nothing is to be done.
    pub(crate) due_claims: BTreeSet<(Millis, ClaimId)>,
    pub(crate) occurrence_count: usize,
}

/// What overlaps an interval; nothing does where it has no length, of which the map would panic.
pub(crate) fn overlapping<V>(
    map: &IntervalMap<Millis, V>,
    interval: Interval,
) -> impl Iterator<Item = (Interval, &V)> {
    let found = (interval.length() > 0).then(|| map.iter(interval.start..interval.end));
    found.into_iter().flatten().map(|(span, value)| (Interval { start: span.start, end: span.end }, value))
}

impl PoolIndex {
    fn level_at(&self, at: Millis) -> i64 {
        self.levels.range(..=at).next_back().map_or(0, |(_, level)| *level)
    }

    fn change(&mut self, interval: Interval, by: i64) {
        let Interval { start, end } = interval;
        for edge in [start, end] {
            let level = self.level_at(edge);
            self.levels.entry(edge).or_insert(level);
        }
        self.levels.range_mut(start..end).for_each(|(_, level)| *level += by);
        for edge in [start, end] {
            let before = self.levels.range(..edge).next_back().map_or(0, |(_, level)| *level);
            if self.levels.get(&edge) == Some(&before) {
                self.levels.remove(&edge);
            }
        }
    }

    /// Stretches of one level that cover an interval, with their level.
    pub(crate) fn segments(&self, interval: Interval) -> Vec<(Interval, i64)> {
        let mut found = Vec::new();
        let (mut start, mut level) = (interval.start, self.level_at(interval.start));
        if interval.length() > 0 {
            for (&edge, &next) in self.levels.range(interval.start + 1..interval.end) {
                found.push((Interval { start, end: edge }, level));
                (start, level) = (edge, next);
            }
            found.push((Interval { start, end: interval.end }, level));
        }
        found
    }

    /// Stretches from an instant on in which more than so many slots are kept.
    pub(crate) fn segments_above(&self, from: Millis, slots: i64) -> Vec<Interval> {
        let end = self.levels.last_key_value().map_or(from, |(edge, _)| *edge);
        let all = self.segments(Interval { start: from, end });
        all.into_iter().filter(|(_, level)| *level > slots).map(|(stretch, _)| stretch).collect()
    }
}

impl Index {
    pub(crate) fn attach(&mut self, id: &ClaimId, claim: &Claim) {
        self.occurrence_count += claim.occurrences.len();
        if let Some(due) = claim.next_due() {
            self.due_claims.insert((due, id.clone()));
        }
        self.update_allocations(id, claim, true);
        self.update_allowance_changes(claim, id, true);
    }

    pub(crate) fn detach(&mut self, id: &ClaimId, claim: &Claim) {
        self.occurrence_count -= claim.occurrences.len();
        self.update_allocations(id, claim, false);
        self.update_allowance_changes(claim, id, false);
    }

    /// A step between two states that both keep their place, or both do not.
    pub(crate) fn update_state(&mut self, id: &ClaimId, claim: &mut Claim, step: impl FnOnce(&mut Claim)) {
        self.update_allowance_changes(claim, id, false);
        step(claim);
        self.update_allowance_changes(claim, id, true);
        if let Some(due) = claim.next_due() {
            self.due_claims.insert((due, id.clone()));
        }
    }

    /// What is kept of a pool.
    fn update_allocations(&mut self, id: &ClaimId, claim: &Claim, add: bool) {
        let ClaimRequest::Reservation(reserve) = &claim.request else { return };
        if !claim.state.occupies_capacity() {
            return;
        }
        let pool = self.pools.entry(reserve.pool.clone()).or_default();
        for (number, occurrence) in claim.occurrences.iter().enumerate() {
            for piece in occurrence.allocations.iter().filter(|piece| piece.interval.length() > 0) {
                let (interval, key) = (piece.interval, (id.clone(), number));
                let by = i64::from(piece.slots);
                pool.change(interval, if add { by } else { -by });
                if add {
                    pool.allocations.force_insert(interval.start..interval.end, key);
                } else {
                    pool.allocations.remove_where(interval.start..interval.end, |each| *each == key);
                }
            }
        }
    }

    /// What changes allowances.
    fn update_allowance_changes(&mut self, claim: &Claim, id: &ClaimId, add: bool) {
        if !claim.state.is_in_effect() {
            return;
        }
        let spans = claim.active_intervals().filter(|span| span.length() > 0);
        let ClaimRequest::Blackout(blackout) = &claim.request else {
            for Interval { start, end } in spans {
                mark(&mut self.allowance_changes, start, add);
                mark(&mut self.allowance_changes, end, add);
            }
            return;
        };
        let map = self.blackouts.entry(blackout.target.clone()).or_default();
        for Interval { start, end } in spans {
            if add {
                map.force_insert(start..end, id.clone());
            } else {
                map.remove_where(start..end, |each| each == id);
            }
            mark(&mut self.allowance_changes, start, add);
            mark(&mut self.allowance_changes, end, add);
            if blackout.effect == BlackoutEffect::NoWork {
                mark(&mut self.allowance_changes, start.saturating_sub(BLACKOUT_LOOKAHEAD), add);
            }
        }
        if map.is_empty() {
            self.blackouts.remove(&blackout.target);
        }
    }
}

fn mark(edges: &mut BTreeMap<Millis, u32>, at: Millis, add: bool) {
    let count = edges.entry(at).or_default();
    *count = if add { *count + 1 } else { count.saturating_sub(1) };
    if *count == 0 {
        edges.remove(&at);
    }
}
