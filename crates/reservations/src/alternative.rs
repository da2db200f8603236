//! Search for the nearest interval in which a reservation request fits.
use crate::availability::segments;
use crate::command::ReservationRequest;
use crate::interval::Interval;
use crate::limits::PLANNING_HORIZON;
use crate::planner::Segment;
use crate::store::ClaimStore;
use crate::time::{DAY, SpanMillis, UnixMillis};

/// The maximum distance between the requested start and the start of an alternative.
const MAX_DISTANCE: SpanMillis = DAY.times(30);
/// The maximum number of segments that the search skips in each direction because they are blacked out or
/// have too few free slots.
const MAX_BLOCKED_SEGMENTS: usize = 256;

/// The nearest interval of the requested length in which `slots` slots are free without displacement. Of two
/// intervals at the same distance it is the earlier one; `None` if the search finds none within its bounds.
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

    /// The segments in which the request does not fit if its interval begins at `start`.
    fn blocked_segments(&self, start: UnixMillis) -> Vec<Segment> {
        let mut segments = segments(self.store, self.reservation, self.interval_at(start), &[], &[]);
        segments.retain(|segment| segment.is_blacked_out || segment.free_slots < self.slots.into());
        segments
    }

    /// The first start at or after the requested one at which the request fits.
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

    /// The last start at or before the requested one, and at most `max_distance` from it, at which the
    /// request fits.
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
