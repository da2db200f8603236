//! The command that confirms a claim. It may displace other claims.
use std::collections::BTreeSet;

use crate::claim::{ClaimRequest, OccurrenceKey};
use crate::claim_planning::{grant, plan_claim};
use crate::claim_state::{ClaimState, Transition};
use crate::command::{BlackoutTarget, Owner};
use crate::command_id::ClaimId;
use crate::event::{EventBuffer, Reason};
use crate::index::overlapping;
use crate::interval::Interval;
use crate::reallocation::{reallocate, release};
use crate::rejection::{FieldError, Rejection};
use crate::store::ClaimStore;

/// Confirms a held claim, or a proposed claim that still fits if other claims are displaced. A proposed claim
/// that no longer fits is rejected.
///
/// # Errors
/// The claim is unknown, or its state does not allow confirmation. After an error, nothing has changed.
pub(crate) fn confirm(
    store: &mut ClaimStore,
    id: &ClaimId,
    events: &mut EventBuffer<'_>,
) -> Result<(), Rejection> {
    confirm_claim(store, id, events).map_err(|error| Rejection::new("confirm", error))
}

fn confirm_claim(
    store: &mut ClaimStore,
    id: &ClaimId,
    events: &mut EventBuffer<'_>,
) -> Result<(), FieldError> {
    let state = store.claim(id).ok_or(FieldError::Unknown)?.state;
    state.apply(Transition::Confirm)?;
    if state == ClaimState::Proposed {
        return confirm_with_displacement(store, id, events);
    }
    store.transition(id, Transition::Confirm, Reason::Requested, events)?;
    displace_under_blackout(store, id, events);
    Ok(())
}

/// Confirms a proposed claim, and displaces the allocations of other claims that are in its way. Rejects the
/// proposed claim if it no longer fits.
fn confirm_with_displacement(
    store: &mut ClaimStore,
    id: &ClaimId,
    events: &mut EventBuffer<'_>,
) -> Result<(), FieldError> {
    drop_past_intervals(store, id);
    if store.claim(id).is_some_and(|claim| claim.occurrences.is_empty()) {
        return store.transition(id, Transition::Reject, Reason::InThePast, events);
    }
    let plan = match plan_claim(store, id) {
        Ok(plan) => plan,
        Err(reason) => return store.transition(id, Transition::Reject, reason, events),
    };
    let released = release(store, &plan.displaced);
    grant(store, id, &plan, events);
    let reason = if plan.is_complete { Reason::Requested } else { Reason::FitsPartially };
    store.transition(id, Transition::Confirm, reason, events)?;
    reallocate(store, released, &Reason::DisplacedBy(id.clone()), events);
    Ok(())
}

fn drop_past_intervals(store: &mut ClaimStore, id: &ClaimId) {
    let now = store.now();
    store.update_claim(id, |claim| {
        claim.occurrences.retain(|occurrence| occurrence.interval.end > now);
        for occurrence in &mut claim.occurrences {
            occurrence.interval.start = occurrence.interval.start.max(now);
        }
    });
}

/// Displaces the reservations to which a confirmed blackout applies. Does nothing if the claim is not a
/// blackout.
fn displace_under_blackout(store: &mut ClaimStore, id: &ClaimId, events: &mut EventBuffer<'_>) {
    let Some(claim) = store.claim(id) else { return };
    let ClaimRequest::Blackout(blackout) = &claim.request else { return };
    let mut keys: BTreeSet<OccurrenceKey> = BTreeSet::new();
    for occurrence in &claim.occurrences {
        keys.extend(reservations_under(store, &blackout.target, occurrence.interval));
    }
    let released = release(store, &keys);
    reallocate(store, released, &Reason::DisplacedByBlackout(id.clone()), events);
}

/// The occurrences, which are intervals of reservations, that a blackout of `target` over `interval`
/// displaces. These are the occurrences with allocations in the part of `interval` that has not passed yet.
fn reservations_under<'a>(
    store: &'a ClaimStore,
    target: &'a BlackoutTarget,
    interval: Interval,
) -> impl Iterator<Item = OccurrenceKey> + 'a {
    let rest = Interval { start: interval.start.max(store.now()), end: interval.end };
    let pools = store.index().pools.iter().filter(|(name, _)| match target {
        BlackoutTarget::Class(_) => false,
        BlackoutTarget::Tenant(_) => true,
        BlackoutTarget::Pool(pool) => pool == *name,
        BlackoutTarget::Zone(zone) => store.pools().get(*name).is_some_and(|pool| pool.zone == *zone),
    });
    let keys = pools.flat_map(move |(_, pool)| overlapping(&pool.allocations, rest).map(|(_, key)| key));
    keys.filter(|key| applies_to_owner(store, target, key)).cloned()
}

fn applies_to_owner(store: &ClaimStore, target: &BlackoutTarget, key: &OccurrenceKey) -> bool {
    let BlackoutTarget::Tenant(tenant) = target else { return true };
    let reservation = store.reservation(&key.claim);
    reservation.is_some_and(|reservation| reservation.owner == Owner::Tenant(tenant.clone()))
}
