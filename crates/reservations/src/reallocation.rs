//! Displacement of reservations. It releases the remaining allocations of some occurrences, and then
//! allocates the free slots to these occurrences again, in the order of their [`Rank`]. An occurrence is one
//! interval of a reservation.
use std::collections::BTreeSet;

use crate::alternative::nearest_interval;
use crate::availability::segments;
use crate::claim::{OccurrenceKey, Rank};
use crate::claim_state::Transition;
use crate::command::{Amount, Flexibility};
use crate::command_id::ClaimId;
use crate::event::{AllocationChange, Change, EventBuffer, Reason};
use crate::interval::{Allocation, Interval, merge_adjacent, truncate_at};
use crate::planner::plan;
use crate::store::ClaimStore;
use crate::time::SpanMillis;

/// An occurrence, which is one interval of a reservation, whose remaining allocations were released. Also
/// contains the allocations that the occurrence had before.
pub(crate) struct ReleasedOccurrence {
    key: OccurrenceKey,
    allocations_before: Vec<Allocation>,
}

/// An occurrence, which is one interval of a reservation, whose remaining allocations were released. `rank`
/// is its place in the order in which such occurrences get free slots again. `allocations_before` are the
/// allocations that it had before they were released.
struct RankedOccurrence {
    rank: Rank,
    allocations_before: Vec<Allocation>,
}

impl RankedOccurrence {
    fn max_slots_before(&self) -> u32 {
        self.allocations_before.iter().map(|allocation| allocation.slots).max().unwrap_or(0)
    }
}

/// Frees the slots that are allocated to the given occurrences, which are intervals of reservations, after
/// the current time. Of an allocation that has already started, only the past part remains. Returns the
/// occurrences with their former allocations.
pub(crate) fn release<'a>(
    store: &mut ClaimStore,
    keys: impl IntoIterator<Item = &'a OccurrenceKey>,
) -> Vec<ReleasedOccurrence> {
    let now = store.now();
    let mut released = Vec::new();
    for key in keys {
        store.update_claim(&key.claim, |claim| {
            if let Some(occurrence) = claim.occurrences.get_mut(key.position) {
                let allocations_before = occurrence.allocations.clone();
                truncate_at(&mut occurrence.allocations, now);
                released.push(ReleasedOccurrence { key: key.clone(), allocations_before });
            }
        });
    }
    released
}

/// Allocates free slots again to the occurrences whose allocations [`release`] has removed. They get slots in
/// the order of their [`Rank`]. An occurrence is one interval of a reservation.
///
/// Adds an event for each occurrence whose allocations differ from those before the call of [`release`]. A
/// claim becomes displaced if none of its occurrences has allocations after the current time.
pub(crate) fn reallocate(
    store: &mut ClaimStore,
    released: Vec<ReleasedOccurrence>,
    reason: &Reason,
    events: &mut EventBuffer<'_>,
) {
    let ranked = in_rank_order(store, released);
    for occurrence in &ranked {
        allocate_free_slots(store, &occurrence.rank.key, occurrence.max_slots_before());
    }
    // Each of these occurrences, which are intervals of reservations, first gets back at most as many slots
    // as it had before `release` removed its allocations. Only then do occurrences grow beyond that number.
    // Otherwise an occurrence could take slots that another of these occurrences had before.
    for occurrence in &ranked {
        grow_to_requested_slots(store, &occurrence.rank.key, occurrence.max_slots_before());
    }
    let mut affected_claims = BTreeSet::new();
    for RankedOccurrence { rank, allocations_before } in ranked {
        report_change(store, &rank.key, &allocations_before, reason, events);
        affected_claims.insert(rank.key.claim);
    }
    for claim in affected_claims {
        displace_if_nothing_remains(store, &claim, reason, events);
    }
}

fn in_rank_order(store: &ClaimStore, released: Vec<ReleasedOccurrence>) -> Vec<RankedOccurrence> {
    let with_rank = |ReleasedOccurrence { key, allocations_before }| {
        let (claim, occurrence) = store.occurrence(&key)?;
        let rank = claim.rank(&key, occurrence, store.now());
        Some(RankedOccurrence { rank, allocations_before })
    };
    let mut ranked: Vec<RankedOccurrence> = released.into_iter().filter_map(with_rank).collect();
    ranked.sort_unstable_by(|a, b| a.rank.cmp(&b.rank));
    ranked
}

/// Allocates free slots to an occurrence, which is one interval of a reservation: `max_slots` or the
/// requested number, whichever is lower.
///
/// If that many slots are not free over the rest of the occurrence's interval, allocates what the request's
/// flexibility accepts. This may be fewer slots, only parts of the interval, or nothing.
fn allocate_free_slots(store: &mut ClaimStore, key: &OccurrenceKey, max_slots: u32) {
    let Some((claim, occurrence)) = store.occurrence(key) else { return };
    let Some(reservation) = claim.reservation() else { return };
    let mut flexibility = reservation.flexibility;
    // If the interval of the reservation has already started, the reservation keeps the parts of it that
    // still fit. This holds even if its request does not accept that parts are left out.
    flexibility.allows_split |= occurrence.interval.start <= store.now();
    let slots = max_slots.min(claim.requested_slots);
    allocate_rest(store, key, slots, flexibility, &[]);
}

/// Allocates all requested slots to an occurrence, which is one interval of a reservation, if it had fewer
/// slots before [`release`] removed its allocations. Does nothing unless all requested slots are free over
/// the rest of the interval. Also does nothing if [`allocate_free_slots`] has left the occurrence without any
/// allocation.
///
/// Applies only to requests for a fraction of the pool. The number of slots that such a request stands for
/// grows when the pool grows.
fn grow_to_requested_slots(store: &mut ClaimStore, key: &OccurrenceKey, slots_before: u32) {
    let Some((claim, occurrence)) = store.occurrence(key) else { return };
    let Some(reservation) = claim.reservation() else { return };
    let is_fraction_of_pool = matches!(reservation.amount, Amount::PartsPerMillion(_));
    let slots = claim.requested_slots;
    if is_fraction_of_pool && slots > slots_before && !occurrence.allocations.is_empty() {
        allocate_rest(store, key, slots, Flexibility::default(), std::slice::from_ref(key));
    }
}

/// Plans new allocations for the part of an occurrence's interval that lies after the current time. An
/// occurrence is one interval of a reservation. If `slots` slots, or the part that `flexibility` accepts, fit
/// there, the planned allocations replace the previous ones in that part. Otherwise nothing changes. The
/// allocations of the `released` occurrences count as free.
fn allocate_rest(
    store: &mut ClaimStore,
    key: &OccurrenceKey,
    slots: u32,
    flexibility: Flexibility,
    released: &[OccurrenceKey],
) {
    let now = store.now();
    let Some((claim, occurrence)) = store.occurrence(key) else { return };
    let Some(reservation) = claim.reservation() else { return };
    let Interval { start, end } = occurrence.interval;
    let rest = Interval { start: start.max(now), end };
    if slots == 0 || rest.length() == SpanMillis::ZERO {
        return;
    }
    let segments = segments(store, reservation, rest, &[], released);
    let Ok(rest_plan) = plan(slots, flexibility, &segments, &[]) else { return };
    store.update_claim(&key.claim, |claim| {
        if let Some(occurrence) = claim.occurrences.get_mut(key.position) {
            truncate_at(&mut occurrence.allocations, now);
            occurrence.allocations.extend(rest_plan.allocations);
            occurrence.allocations = merge_adjacent(occurrence.allocations.iter().copied());
        }
    });
}

/// Adds an event for an occurrence, which is one interval of a reservation, if its allocations differ from
/// `allocations_before`. If the occurrence has no allocations left after the current time, the event contains
/// the interval nearest to the occurrence in which the reservation would fit, if one is found.
fn report_change(
    store: &ClaimStore,
    key: &OccurrenceKey,
    allocations_before: &[Allocation],
    reason: &Reason,
    events: &mut EventBuffer<'_>,
) {
    let Some((claim, occurrence)) = store.occurrence(key) else { return };
    if occurrence.allocations == allocations_before {
        return;
    }
    let has_rest = occurrence.allocations.iter().any(|allocation| allocation.interval.end > store.now());
    let reservation = claim.reservation().filter(|_| !has_rest);
    let alternative = reservation.and_then(|reservation| {
        nearest_interval(store, reservation, claim.requested_slots, occurrence.interval)
    });
    events.push(Change::AllocationsChanged(AllocationChange {
        claim: key.claim.clone(),
        occurrence: occurrence.interval,
        allocations: occurrence.allocations.clone(),
        reason: reason.clone(),
        alternative,
    }));
}

fn displace_if_nothing_remains(
    store: &mut ClaimStore,
    id: &ClaimId,
    reason: &Reason,
    events: &mut EventBuffer<'_>,
) {
    let claim = store.claim(id);
    let last_end = claim.and_then(|claim| claim.effective_intervals().map(|interval| interval.end).max());
    if last_end.is_none_or(|end| end <= store.now()) {
        // The transition cannot fail. Allocations of this claim were released, and only held, confirmed and
        // active claims have allocations to release. Each of these three states allows the transition to
        // displaced.
        let _ = store.transition(id, Transition::Displace, reason.clone(), events);
    }
}
