//! Planning of a proposed reservation: which part of each of its intervals fits, and which intervals of other
//! claims the reservation would displace.
use std::collections::BTreeSet;

use crate::alternative::nearest_interval;
use crate::availability::segments;
use crate::claim::{Occurrence, OccurrenceKey, Rank};
use crate::command::{Flexibility, ReservationRequest};
use crate::command_id::ClaimId;
use crate::displacement_search::{Candidate, Usage};
use crate::event::{AllocationChange, Change, EventBuffer, Reason};
use crate::index::overlapping;
use crate::interval::{Allocation, Interval};
use crate::planner::{AllocationPlan, Segment, plan};
use crate::store::ClaimStore;
use crate::time::UnixMillis;

/// The maximum number of occurrences of other claims that are considered for displacement when one occurrence
/// is planned. An occurrence is one interval of a claim. If more occurrences may be displaced, only those
/// that would be the last to get slots ([`Rank`]) are considered.
const MAX_CANDIDATES: usize = 1_024;

/// The plan for a whole reservation, with all its intervals.
pub(crate) struct ClaimPlan {
    /// The allocations that the reservation would get, for each of its intervals in order of time.
    allocations: Vec<Vec<Allocation>>,
    /// The intervals of other claims, given by their keys, that must be displaced to make the plan possible.
    pub(crate) displaced: Vec<OccurrenceKey>,
    /// Whether the reservation would get everything that it requested.
    pub(crate) is_complete: bool,
}

/// The plan for one occurrence of a reservation, which is one of its intervals.
struct OccurrencePlan {
    allocations: Vec<Allocation>,
    displaced: Vec<OccurrenceKey>,
    is_complete: bool,
}

/// Plans the allocations of a reservation, one interval after the other in order of time.
///
/// # Errors
/// [`Reason::Infeasible`] if the reservation does not fit.
pub(crate) fn plan_claim(store: &ClaimStore, id: &ClaimId) -> Result<ClaimPlan, Reason> {
    let nothing_to_plan = Reason::Infeasible {
        blocked: Interval { start: UnixMillis::EPOCH, end: UnixMillis::EPOCH },
        alternative: None,
    };
    let Some(claim) = store.claim(id) else { return Err(nothing_to_plan) };
    let Some(reservation) = claim.reservation() else { return Err(nothing_to_plan) };
    let slots = claim.requested_slots;
    let infeasible = |blocked, requested| Reason::Infeasible {
        blocked,
        alternative: nearest_interval(store, reservation, slots, requested),
    };
    let mut claim_plan = ClaimPlan { allocations: Vec::new(), displaced: Vec::new(), is_complete: true };
    let mut first_blocked = None;
    for Occurrence { interval, .. } in &claim.occurrences {
        match plan_occurrence(store, reservation, slots, *interval, &claim_plan.displaced) {
            Ok(occurrence_plan) => {
                claim_plan.is_complete &= occurrence_plan.is_complete;
                claim_plan.allocations.push(occurrence_plan.allocations);
                claim_plan.displaced.extend(occurrence_plan.displaced);
            }
            Err(blocked) if reservation.flexibility.allows_split => {
                first_blocked.get_or_insert((blocked, *interval));
                claim_plan.is_complete = false;
                claim_plan.allocations.push(Vec::new());
            }
            Err(blocked) => return Err(infeasible(blocked, *interval)),
        }
    }
    if claim_plan.allocations.iter().all(Vec::is_empty) {
        return Err(
            first_blocked.map_or(nothing_to_plan, |(blocked, requested)| infeasible(blocked, requested))
        );
    }
    Ok(claim_plan)
}

/// Plans the allocations of one occurrence, which is one interval of a reservation. `displaced` lists the
/// occurrences of other claims that the plan already displaces for earlier intervals of the reservation. The
/// slots of those occurrences count as free.
///
/// # Errors
/// The first part of the interval in which the request does not fit.
fn plan_occurrence(
    store: &ClaimStore,
    reservation: &ReservationRequest,
    slots: u32,
    interval: Interval,
    displaced: &[OccurrenceKey],
) -> Result<OccurrencePlan, Interval> {
    // If everything requested is free, nothing needs to be displaced.
    let free = segments(store, reservation, interval, &[], displaced);
    if let Ok(AllocationPlan { allocations, .. }) = plan(slots, Flexibility::default(), &free, &[]) {
        return Ok(OccurrencePlan { allocations, displaced: Vec::new(), is_complete: true });
    }
    let occurrences = displaceable_occurrences(store, reservation, interval, displaced);
    let segments = segments(store, reservation, interval, &occurrences, displaced);
    let candidates = candidates(&occurrences, &segments);
    let found = plan(slots, reservation.flexibility, &segments, &candidates)?;
    Ok(OccurrencePlan {
        allocations: found.allocations,
        displaced: found.displaced.into_iter().map(|index| occurrences[index].0.clone()).collect(),
        is_complete: found.is_complete,
    })
}

/// The occurrences, which are intervals of other reservations, that a reservation may displace within an
/// interval. Each has allocations in the interval, belongs to a reservation of lower precedence, and does not
/// start before [`ClaimStore::displaceable_from`]. The `excluded` occurrences are left out.
///
/// The occurrences are ordered by [`Rank`]; the occurrence that would be the last to get slots comes first.
/// At most [`MAX_CANDIDATES`] are returned.
fn displaceable_occurrences<'a>(
    store: &'a ClaimStore,
    reservation: &ReservationRequest,
    interval: Interval,
    excluded: &[OccurrenceKey],
) -> Vec<(OccurrenceKey, &'a Occurrence)> {
    let Some(pool) = store.index().pools.get(&reservation.pool) else { return Vec::new() };
    let excluded: BTreeSet<&OccurrenceKey> = excluded.iter().collect();
    let has_lower_precedence = |key: &OccurrenceKey| {
        let other = store.reservation(&key.claim);
        other.is_some_and(|other| other.precedence < reservation.precedence)
    };
    let keys: BTreeSet<&OccurrenceKey> = overlapping(&pool.allocations, interval)
        .map(|(_, key)| key)
        .filter(|key| has_lower_precedence(key) && !excluded.contains(key))
        .collect();
    let displaceable_from = store.displaceable_from();
    let mut ranked: Vec<(Rank, &Occurrence)> = keys
        .into_iter()
        .filter_map(|key| {
            let (claim, occurrence) = store.occurrence(key)?;
            let is_displaceable = occurrence.interval.start >= displaceable_from;
            is_displaceable.then(|| (claim.rank(key, occurrence, store.now()), occurrence))
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0));
    ranked.truncate(MAX_CANDIDATES);
    ranked.into_iter().map(|(rank, occurrence)| (rank.key, occurrence)).collect()
}

/// Converts occurrences, which are intervals of reservations that may lose their slots, to candidates for the
/// displacement search. `segments` are the parts into which the requested interval is divided. For each
/// allocation of an occurrence, the candidate states the range of indices into `segments` that the allocation
/// covers. Therefore each allocation must start and end where one of the segments starts or ends, or outside
/// the requested interval.
fn candidates(occurrences: &[(OccurrenceKey, &Occurrence)], segments: &[Segment]) -> Vec<Candidate> {
    let segment_at = |at: UnixMillis| segments.partition_point(|segment| segment.interval.start < at);
    let usage = |allocation: &Allocation| Usage {
        segments: segment_at(allocation.interval.start)..segment_at(allocation.interval.end),
        slots: i64::from(allocation.slots),
    };
    let candidate = |(_, occurrence): &(OccurrenceKey, &Occurrence)| {
        let allocations = &occurrence.allocations;
        Candidate {
            cost: allocations.iter().fold(0, |sum, each| each.slot_millis().saturating_add(sum)),
            usages: allocations.iter().map(usage).filter(|usage| !usage.segments.is_empty()).collect(),
        }
    };
    occurrences.iter().map(candidate).collect()
}

/// Stores the planned allocations in the claim. If the plan does not grant everything requested, adds an
/// event for each interval of the claim, also for those that are granted in full. Each event lists the
/// allocations that the claim now has in that interval.
pub(crate) fn grant(store: &mut ClaimStore, id: &ClaimId, plan: &ClaimPlan, events: &mut EventBuffer<'_>) {
    store.update_claim(id, |claim| {
        for (occurrence, allocations) in claim.occurrences.iter_mut().zip(&plan.allocations) {
            occurrence.allocations.clone_from(allocations);
        }
    });
    if plan.is_complete {
        return;
    }
    let Some(claim) = store.claim(id) else { return };
    for occurrence in &claim.occurrences {
        events.push(Change::AllocationsChanged(AllocationChange {
            claim: id.clone(),
            occurrence: occurrence.interval,
            allocations: occurrence.allocations.clone(),
            reason: Reason::FitsPartially,
            alternative: None,
        }));
    }
}
