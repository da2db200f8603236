//! Search for an alternative to the interval that a reservation requests: the nearest interval in which the
//! request fits.
use crate::availability::segments;
use crate::command::ReservationRequest;
use crate::interval::Interval;
use crate::limits::PLANNING_HORIZON;
use crate::planner::Segment;
use crate::store::ClaimStore;
use crate::time::{DAY, SpanMillis, UnixMillis};

/// The maximum time between the start that a reservation requests and the start of the alternative interval.
const MAX_DISTANCE: SpanMillis = DAY.times(30);
/// The maximum number of blocked segments that are skipped in the search for a free interval. The limit
/// applies separately to the search for later times and to the search for earlier times. A segment is a part
/// of an interval; it is blocked if a blackout applies or too few slots are free.
const MAX_BLOCKED_SEGMENTS: usize = 256;

/// The interval nearest to `requested`, and of the same length, in which `slots` slots are free without
/// displacing other reservations. Of two intervals at the same distance, the earlier is returned. `None` if
/// the search finds none within its bounds.
pub(crate) fn nearest_interval(
    store: &ClaimStore,
    reservation: &ReservationRequest,
    slots: u32,
    requested: Interval,
) -> Option<Interval> {
    let search = AlternativeSearch { store, reservation, slots, requested };
    let later_start = search.first_later_start();
    let max_distance = later_start.map(|start| start - requested.start);
    let start = search.last_earlier_start(max_distance).or(later_start)?;
    Some(search.interval_at(start))
}

struct AlternativeSearch<'a> {
    store: &'a ClaimStore,
    reservation: &'a ReservationRequest,
    slots: u32,
    requested: Interval,
}

impl AlternativeSearch<'_> {
    fn interval_at(&self, start: UnixMillis) -> Interval {
        Interval { start, end: start.saturating_add(self.requested.length()) }
    }

    /// The segments in which the request does not fit if its interval begins at `start`. A segment is a part
    /// of the interval within which neither the free slots nor the blackouts change.
    fn blocked_segments(&self, start: UnixMillis) -> Vec<Segment> {
        let mut segments = segments(self.store, self.reservation, self.interval_at(start), &[], &[]);
        segments.retain(|segment| segment.is_blacked_out || segment.free_slots < self.slots.into());
        segments
    }

    /// The first start at which the request fits, at or after the requested start.
    fn first_later_start(&self) -> Option<UnixMillis> {
        let now = self.store.now();
        let max_start = self.requested.start.saturating_add(MAX_DISTANCE);
        let max_end = now.saturating_add(PLANNING_HORIZON);
        let mut start = self.requested.start.max(now);
        for _ in 0..MAX_BLOCKED_SEGMENTS {
            if start > max_start || self.interval_at(start).end > max_end {
                return None;
            }
            let Some(blocked) = self.blocked_segments(start).pop() else { return Some(start) };
            start = blocked.interval.end;
        }
        None
    }

    /// The last start at which the request fits, at or before the requested start. It is at most
    /// `max_distance` before the requested start.
    fn last_earlier_start(&self, max_distance: Option<SpanMillis>) -> Option<UnixMillis> {
        let min_start = self.store.now().max(self.requested.start.saturating_sub(MAX_DISTANCE));
        let mut start = self.requested.start;
        for _ in 0..MAX_BLOCKED_SEGMENTS {
            let distance = self.requested.start - start;
            if start < min_start || max_distance.is_some_and(|max_distance| distance > max_distance) {
                return None;
            }
            let blocked = self.blocked_segments(start);
            let Some(first_blocked) = blocked.first() else { return Some(start) };
            start = first_blocked.interval.start.saturating_sub(self.requested.length());
        }
        None
    }
}
