//! What is free of a pool over an interval, in segments within which nothing changes.
use std::collections::BTreeMap;

use crate::claim::{Occurrence, OccurrenceKey};
use crate::command::{BlackoutTarget, Owner, ReservationRequest};
use crate::index::{PoolIndex, overlapping};
use crate::interval::{Allocation, Interval};
use crate::planner::Segment;
use crate::store::ClaimStore;
use crate::time::UnixMillis;

/// The segments of an interval of the reservation's pool. What the `released` occurrences have counts as
/// free; what the `candidates` have does not, but segments are cut where it starts and ends.
pub(crate) fn segments(
    store: &ClaimStore,
    reservation: &ReservationRequest,
    interval: Interval,
    candidates: &[(OccurrenceKey, &Occurrence)],
    released: &[OccurrenceKey],
) -> Vec<Segment> {
    let pool_slots = store.pools().get(&reservation.pool).map_or(0, |pool| i64::from(pool.slots));
    let empty = PoolIndex::default();
    let pool = store.index().pools.get(&reservation.pool).unwrap_or(&empty);
    let levels = pool.segments(interval);
    let mut edges = Edges::new(interval);
    levels.iter().for_each(|(segment, _)| edges.cut(segment.start));
    for allocation in candidates.iter().flat_map(|(_, occurrence)| &occurrence.allocations) {
        edges.cut(allocation.interval.start);
        edges.cut(allocation.interval.end);
    }
    let released = released.iter().filter_map(|key| store.occurrence(key));
    released.flat_map(|(_, occurrence)| &occurrence.allocations).for_each(|each| edges.release(each));
    blackouts(store, reservation, interval).into_iter().for_each(|each| edges.black_out(each));
    edges.into_segments(pool_slots, &levels)
}

/// The blackouts of a reservation's pool, zone and tenant that overlap an interval.
fn blackouts(store: &ClaimStore, reservation: &ReservationRequest, interval: Interval) -> Vec<Interval> {
    let mut targets = vec![BlackoutTarget::Pool(reservation.pool.clone())];
    let pool = store.pools().get(&reservation.pool);
    targets.extend(pool.map(|pool| BlackoutTarget::Zone(pool.zone.clone())));
    if let Owner::Tenant(tenant) = &reservation.owner {
        targets.push(BlackoutTarget::Tenant(tenant.clone()));
    }
    let blackouts = targets.iter().filter_map(|target| store.index().blackouts.get(target));
    blackouts.flat_map(|map| overlapping(map, interval)).map(|(blackout, _)| blackout).collect()
}

/// What changes at an edge between two segments.
#[derive(Clone, Copy, Debug, Default)]
struct EdgeChange {
    /// Slots that are released from here on, less those whose release ends here.
    released_slots: i64,
    /// Blackouts that start here, less those that end.
    blackouts: i64,
}

/// The edges between the segments of an interval.
struct Edges {
    interval: Interval,
    changes: BTreeMap<UnixMillis, EdgeChange>,
}

impl Edges {
    fn new(interval: Interval) -> Edges {
        let mut edges = Edges { interval, changes: BTreeMap::new() };
        edges.cut(interval.end);
        edges
    }

    /// The edge at an instant, or at the interval's nearest bound if that is outside.
    fn at(&mut self, instant: UnixMillis) -> &mut EdgeChange {
        self.changes.entry(instant.clamp(self.interval.start, self.interval.end)).or_default()
    }

    fn cut(&mut self, instant: UnixMillis) {
        self.at(instant);
    }

    fn release(&mut self, allocation: &Allocation) {
        self.at(allocation.interval.start).released_slots += i64::from(allocation.slots);
        self.at(allocation.interval.end).released_slots -= i64::from(allocation.slots);
    }

    fn black_out(&mut self, blackout: Interval) {
        self.at(blackout.start).blackouts += 1;
        self.at(blackout.end).blackouts -= 1;
    }

    /// The segments between the edges. `levels` are the allocated slots, in order, over the same interval.
    fn into_segments(self, pool_slots: i64, levels: &[(Interval, i64)]) -> Vec<Segment> {
        let mut segments: Vec<Segment> = Vec::with_capacity(self.changes.len());
        let mut levels = levels.iter().peekable();
        let mut current = EdgeChange::default();
        let ends = self.changes.keys().skip(1).copied().chain([self.interval.end]);
        for ((&start, change), end) in self.changes.iter().zip(ends) {
            if start >= end {
                continue;
            }
            current.released_slots += change.released_slots;
            current.blackouts += change.blackouts;
            while levels.next_if(|(segment, _)| segment.end <= start).is_some() {}
            let allocated = levels.peek().map_or(0, |(_, level)| *level);
            segments.push(Segment {
                interval: Interval { start, end },
                free_slots: pool_slots - allocated + current.released_slots,
                is_blacked_out: current.blackouts > 0,
            });
        }
        segments
    }
}
