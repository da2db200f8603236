//! The commands that propose reservations and blackouts.
use std::collections::BTreeSet;

use crate::claim::ClaimRequest;
use crate::claim_planning::{ClaimPlan, grant, plan_claim};
use crate::claim_state::{ClaimState, Transition};
use crate::command::{BlackoutRequest, ReservationRequest};
use crate::command_id::ClaimId;
use crate::event::{EventBuffer, Reason};
use crate::rejection::{FieldError, Rejection};
use crate::store::ClaimStore;

/// Adds a blackout to the calendar. A blackout always fits, so that its state becomes [`ClaimState::Held`].
///
/// # Errors
/// The first invalid field, or the limit that is reached. After an error, nothing has changed.
pub(crate) fn propose_blackout(
    store: &mut ClaimStore,
    id: &ClaimId,
    blackout: &BlackoutRequest,
    events: &mut EventBuffer<'_>,
) -> Result<(), Rejection> {
    let intervals = blackout.validate(store.now())?;
    store.check_limits(intervals.len())?;
    store.insert_proposed(id, ClaimRequest::Blackout(blackout.clone()), 0, &intervals);
    events.push_state_change(id, None, ClaimState::Proposed, Reason::Requested);
    transition_proposed(store, id, Transition::Hold, Reason::Fits, events)
}

/// Adds a reservation to the calendar. It is held if it fits, and stays proposed if it fits only by
/// displacing others. Otherwise it is rejected.
///
/// # Errors
/// The first invalid field, or the limit that is reached. After an error, nothing has changed.
pub(crate) fn propose_reservation(
    store: &mut ClaimStore,
    id: &ClaimId,
    reservation: &ReservationRequest,
    events: &mut EventBuffer<'_>,
) -> Result<(), Rejection> {
    let intervals = reservation.validate(store.now())?;
    let slots = requested_slots(store, reservation)?;
    store.check_limits(intervals.len())?;
    store.insert_proposed(id, ClaimRequest::Reservation(reservation.clone()), slots, &intervals);
    events.push_state_change(id, None, ClaimState::Proposed, Reason::Requested);
    match plan_claim(store, id) {
        Ok(plan) if plan.displaced.is_empty() => {
            grant(store, id, &plan, events);
            let reason = if plan.is_complete { Reason::Fits } else { Reason::FitsPartially };
            transition_proposed(store, id, Transition::Hold, reason, events)
        }
        Ok(plan) => {
            let reason = Reason::RequiresDisplacement(displaced_claims(plan));
            events.push_state_change(id, Some(ClaimState::Proposed), ClaimState::Proposed, reason);
            Ok(())
        }
        Err(reason) => transition_proposed(store, id, Transition::Reject, reason, events),
    }
}

fn transition_proposed(
    store: &mut ClaimStore,
    id: &ClaimId,
    transition: Transition,
    reason: Reason,
    events: &mut EventBuffer<'_>,
) -> Result<(), Rejection> {
    store.transition(id, transition, reason, events).map_err(|error| Rejection::new("claim", error))
}

/// The number of slots that a reservation requests; a fraction of the pool is converted to slots.
///
/// # Errors
/// The pool is unknown. The amount is less than one slot. The amount exceeds the pool's slots, and the
/// request does not accept fewer slots.
fn requested_slots(store: &ClaimStore, reservation: &ReservationRequest) -> Result<u32, Rejection> {
    let pool = store.pools().get(&reservation.pool);
    let pool = pool.ok_or(Rejection::new("pool", FieldError::Unknown))?;
    let slots = reservation.amount.in_slots(pool.slots);
    if slots == 0 {
        return Err(Rejection::new("amount", FieldError::BelowOneSlot));
    }
    if slots > pool.slots && reservation.flexibility.min_slots.is_none() {
        return Err(Rejection::new("amount", FieldError::ExceedsPool(pool.slots)));
    }
    Ok(slots)
}

fn displaced_claims(plan: ClaimPlan) -> Vec<ClaimId> {
    let claims: BTreeSet<ClaimId> = plan.displaced.into_iter().map(|key| key.claim).collect();
    claims.into_iter().collect()
}
