//! Planning of one request over the segments of its interval: how many slots are granted, and which
//! candidates are displaced for them. Neither free slots nor blackouts change within a segment. A candidate
//! is an occurrence of a reservation that may be displaced. The result depends only on the given segments and
//! candidates, not on the store.
//!
//! 1. The grant is the most that would fit if every candidate were displaced: the whole request, or else
//!    as much as its flexibility accepts.
//! 2. Of all ways to make the grant fit, the one with the least displacement is used (see
//!    `displacement_search`).
use crate::command::Flexibility;
use crate::displacement_search::{Candidate, find_displacement};
use crate::interval::{Allocation, Interval, merge_adjacent};

/// A segment, which is a part of an interval within which neither the free slots nor the blackouts of a pool
/// change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub(crate) interval: Interval,
    /// The number of the pool's slots that are not allocated in this part of the interval. It is negative if
    /// the pool now has fewer slots than are allocated.
    pub(crate) free_slots: i64,
    /// Whether a blackout applies in this part of the interval, so that no slots are granted.
    pub(crate) is_blacked_out: bool,
}

/// The plan for one request: the granted allocations, and the intervals of other reservations that must be
/// displaced for them. Each such interval is given by its index in the argument `candidates` of [`plan`],
/// which lists the intervals that may be displaced. The indices are in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AllocationPlan {
    pub(crate) allocations: Vec<Allocation>,
    pub(crate) displaced: Vec<usize>,
    /// Whether the plan grants the whole request. If not, it grants a part that the request's flexibility
    /// accepts.
    pub(crate) is_complete: bool,
}

/// The number of slots that a request is granted in each part of its interval.
struct Grant {
    slots: Vec<i64>,
    is_complete: bool,
}

/// Plans a request for `slots` slots over an interval, which is given as `segments`. The `candidates` are the
/// occurrences of other reservations that the request may displace. They must be in the order in which they
/// are preferably displaced.
///
/// # Errors
/// The first part of the interval in which the request does not fit.
pub(crate) fn plan(
    slots: u32,
    flexibility: Flexibility,
    segments: &[Segment],
    candidates: &[Candidate],
) -> Result<AllocationPlan, Interval> {
    let max_available = max_available_slots(segments, candidates);
    let Grant { slots: granted, is_complete } = choose_grant(slots, flexibility, segments, &max_available)?;
    let shortage: Vec<i64> = segments
        .iter()
        .zip(&granted)
        .map(|(segment, &granted)| if granted == 0 { 0 } else { granted - segment.free_slots })
        .collect();
    let displaced = find_displacement(shortage, candidates);
    Ok(AllocationPlan { allocations: allocations(segments, &granted), displaced, is_complete })
}

/// The number of slots in each segment, which is a part of the requested interval, that would be free if all
/// the candidates were displaced. The candidates are the occurrences of reservations that may be displaced.
fn max_available_slots(segments: &[Segment], candidates: &[Candidate]) -> Vec<i64> {
    let mut available: Vec<i64> = segments
        .iter()
        // The number of free slots is raised to at least `i64::MIN / 4`, so that the sums below stay far from
        // an overflow. The sums add the slots of all occurrences that may be displaced.
        .map(|segment| if segment.is_blacked_out { 0 } else { segment.free_slots.max(i64::MIN / 4) })
        .collect();
    for usage in candidates.iter().flat_map(|candidate| &candidate.usages) {
        for index in usage.segments.clone() {
            available[index] += if segments[index].is_blacked_out { 0 } else { usage.slots };
        }
    }
    available
}

/// Returns the largest grant that the request accepts and that fits into the available slots.
///
/// # Errors
/// The first part of the interval in which the whole request does not fit, if no accepted part of the request
/// fits either.
fn choose_grant(
    slots: u32,
    flexibility: Flexibility,
    segments: &[Segment],
    max_available: &[i64],
) -> Result<Grant, Interval> {
    let requested = i64::from(slots);
    let Some(blocked) = max_available.iter().position(|&available| available < requested) else {
        return Ok(Grant { slots: vec![requested; max_available.len()], is_complete: true });
    };
    let min_slots = flexibility.min_slots.map(|min_slots| i64::from(min_slots).min(requested));
    let granted = match (min_slots, flexibility.allows_split) {
        (None, false) => Vec::new(),
        (Some(min_slots), false) => constant_grant(requested, min_slots, max_available),
        (None, true) => split_grant(requested, requested, max_available),
        (Some(min_slots), true) => split_grant(requested, min_slots, max_available),
    };
    if granted.iter().any(|&slots| slots > 0) {
        Ok(Grant { slots: granted, is_complete: false })
    } else {
        Err(segments[blocked].interval)
    }
}

/// Grants the same number of slots over the whole interval: as many as are available everywhere in it, but no
/// more than requested. If that number is below the minimum, grants nothing.
fn constant_grant(requested: i64, min_slots: i64, max_available: &[i64]) -> Vec<i64> {
    let level = max_available.iter().copied().min().unwrap_or(0).min(requested);
    if level >= min_slots { vec![level; max_available.len()] } else { Vec::new() }
}

/// Grants as many slots in each segment, which is a part of the requested interval, as are available there,
/// but no more than requested. A segment gets no slots if fewer than the minimum are available.
fn split_grant(requested: i64, min_slots: i64, max_available: &[i64]) -> Vec<i64> {
    let grant = |&available: &i64| if available >= min_slots { available.min(requested) } else { 0 };
    max_available.iter().map(grant).collect()
}

fn allocations(segments: &[Segment], granted: &[i64]) -> Vec<Allocation> {
    let allocations = segments.iter().zip(granted).map(|(segment, &granted)| Allocation {
        interval: segment.interval,
        slots: u32::try_from(granted).unwrap_or(0),
    });
    merge_adjacent(allocations.filter(|allocation| allocation.slots > 0))
}
