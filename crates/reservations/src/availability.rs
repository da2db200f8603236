//! Free slots and blackouts of a pool over an interval. The interval is divided into segments, within which
//! neither the number of free slots nor the blackouts change.
use std::collections::BTreeMap;

use crate::claim::{Occurrence, OccurrenceKey};
use crate::command::{BlackoutTarget, Owner, ReservationRequest};
use crate::index::{PoolIndex, overlapping};
use crate::interval::{Allocation, Interval};
use crate::planner::Segment;
use crate::store::ClaimStore;
use crate::time::UnixMillis;

/// Divides an interval into segments within which neither the free slots nor the blackouts of the
/// reservation's pool change.
///
/// An occurrence is one interval of a reservation. The allocations of the `released` occurrences count as
/// free. The `candidates` are occurrences that may be displaced. Their allocations do not count as free, but
/// a segment ends wherever one of these allocations starts or ends.
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
    levels.iter().for_each(|(segment, _)| edges.add_edge(segment.start));
    for allocation in candidates.iter().flat_map(|(_, occurrence)| &occurrence.allocations) {
        edges.add_edge(allocation.interval.start);
        edges.add_edge(allocation.interval.end);
    }
    let released = released.iter().filter_map(|key| store.occurrence(key));
    released.flat_map(|(_, occurrence)| &occurrence.allocations).for_each(|each| edges.release(each));
    blackouts(store, reservation, interval).into_iter().for_each(|each| edges.add_blackout(each));
    edges.into_segments(pool_slots, &levels)
}

/// The blackouts that overlap an interval and apply to a reservation's pool, to the zone of that pool, or to
/// the tenant that owns the reservation.
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

/// What changes at an edge, which is an instant at which one segment of an interval ends and the next one
/// starts: the number of released slots, and the number of blackouts that apply.
#[derive(Clone, Copy, Debug, Default)]
struct EdgeChange {
    /// The number of released slots just after the instant, minus the number just before it. Released slots
    /// are those of the occurrences that the caller of [`segments`] passes as `released`. They are still
    /// allocated, but are counted as free, because the caller wants to allocate them anew.
    released_slots: i64,
    /// The number of blackouts that start at the instant, minus the number that end at it.
    blackouts: i64,
}

/// Collects the edges, which are the instants at which an interval is divided into segments.
struct Edges {
    interval: Interval,
    changes: BTreeMap<UnixMillis, EdgeChange>,
}

impl Edges {
    fn new(interval: Interval) -> Edges {
        let mut edges = Edges { interval, changes: BTreeMap::new() };
        edges.add_edge(interval.end);
        edges
    }

    /// Returns the entry of `self.changes` for `instant`, to which the caller adds what changes there. If
    /// there is no entry, first adds one without changes; `self.interval` is then divided at that instant. An
    /// instant outside `self.interval` is moved to the nearer end of that interval.
    fn at(&mut self, instant: UnixMillis) -> &mut EdgeChange {
        self.changes.entry(instant.clamp(self.interval.start, self.interval.end)).or_default()
    }

    fn add_edge(&mut self, instant: UnixMillis) {
        self.at(instant);
    }

    fn release(&mut self, allocation: &Allocation) {
        self.at(allocation.interval.start).released_slots += i64::from(allocation.slots);
        self.at(allocation.interval.end).released_slots -= i64::from(allocation.slots);
    }

    fn add_blackout(&mut self, blackout: Interval) {
        self.at(blackout.start).blackouts += 1;
        self.at(blackout.end).blackouts -= 1;
    }

    /// Returns the segments into which the instants in `self.changes` divide `self.interval`. `levels`
    /// divides the same interval more coarsely: it lists the intervals in which the number of the pool's
    /// allocated slots is constant, in order of time, each with that number.
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
