//! The command that sets a pool's slots and zone. It may displace reservations that no longer fit.
use std::collections::{BTreeMap, BTreeSet};

use copperspread_identifiers::Name;

use crate::claim::{OccurrenceKey, Pool};
use crate::command::{Amount, BlackoutTarget};
use crate::command_id::ClaimId;
use crate::event::{CapacityChange, Change, EventBuffer, Reason};
use crate::index::{PoolIndex, overlapping};
use crate::interval::Interval;
use crate::limits::{MAX_POOL_SLOTS, MAX_POOLS};
use crate::reallocation::{reallocate, release};
use crate::rejection::{FieldError, Rejection, check_range};
use crate::store::ClaimStore;

/// Sets a pool's slots and zone. If some reservations no longer fit, those whose intervals come last in the
/// order of [`Rank`](crate::claim::Rank) are displaced first.
///
/// A reservation may request a fraction of the pool. If such a reservation has allocations from now on, its
/// requested number of slots is computed again from the pool's new number of slots.
///
/// # Errors
/// `slots` exceeds [`MAX_POOL_SLOTS`], or the pool is new and there are already [`MAX_POOLS`] pools. After an
/// error, nothing has changed.
pub(crate) fn set_capacity(
    store: &mut ClaimStore,
    name: &Name,
    pool: Pool,
    events: &mut EventBuffer<'_>,
) -> Result<(), Rejection> {
    check_range("slots", pool.slots.into(), 0, MAX_POOL_SLOTS.into())?;
    if store.pools().len() >= MAX_POOLS && !store.pools().contains_key(name) {
        return Err(Rejection::new("pool", FieldError::LimitExceeded(MAX_POOLS as u64)));
    }
    let Pool { zone, slots } = pool.clone();
    store.set_pool(name, pool);
    events.push(Change::CapacityChanged(CapacityChange { pool: name.clone(), zone: zone.clone(), slots }));
    let Some(index) = store.index().pools.get(name) else { return Ok(()) };
    let mut affected = occurrences_without_capacity(store, index, &zone, slots);
    let resized = occurrences_sized_by_pool(store, index);
    let new_sizes: BTreeMap<ClaimId, u32> =
        resized.iter().map(|(key, amount)| (key.claim.clone(), amount.in_slots(slots))).collect();
    affected.extend(resized.into_iter().map(|(key, _)| key));
    for (id, requested_slots) in new_sizes {
        store.update_claim(&id, |claim| claim.requested_slots = requested_slots);
    }
    let released = release(store, &affected);
    reallocate(store, released, &Reason::PoolChanged, events);
    Ok(())
}

/// The occurrences, which are intervals of reservations, that may no longer fit after a command set the
/// pool's `slots` and `zone`. Each has allocations at a time, from now on, when more than `slots` slots are
/// allocated or when a blackout of `zone` applies.
fn occurrences_without_capacity(
    store: &ClaimStore,
    index: &PoolIndex,
    zone: &Name,
    slots: u32,
) -> BTreeSet<OccurrenceKey> {
    let now = store.now();
    let mut segments = index.segments_above(now, slots.into());
    if let Some(blackouts) = store.index().blackouts.get(&BlackoutTarget::Zone(zone.clone())) {
        let rest = blackouts.intervals(now..).map(|blackout| blackout.start.max(now)..blackout.end);
        segments.extend(rest.map(|range| Interval { start: range.start, end: range.end }));
    }
    let overlapping = segments.into_iter().flat_map(|segment| overlapping(&index.allocations, segment));
    overlapping.map(|(_, key)| key.clone()).collect()
}

/// The occurrences, which are intervals of reservations, whose reservation requests a fraction of the pool
/// instead of a number of slots. Only occurrences with allocations that have not ended yet are returned. Each
/// is returned with its requested fraction.
fn occurrences_sized_by_pool(store: &ClaimStore, index: &PoolIndex) -> Vec<(OccurrenceKey, Amount)> {
    let sized_by_pool = |key: &OccurrenceKey| match store.reservation(&key.claim)?.amount {
        amount @ Amount::PartsPerMillion(_) => Some((key.clone(), amount)),
        Amount::Slots(_) => None,
    };
    index.allocations.values(store.now()..).filter_map(sized_by_pool).collect()
}
