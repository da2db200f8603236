//! Queries over the stored claims. A claim is a request for a reservation of slots or for a blackout, which
//! is a time in which certain work must not start or must not run. One query returns the allowances at an
//! instant: the reservations and blackouts that are in effect, and the blackouts that start soon. The other
//! query returns the next instant at which the allowances may change.
use copperspread_identifiers::Name;

use crate::allowances::{ActiveReservation, Allowances, BlackoutStatus, PoolAllowance, UpcomingBlackout};
use crate::claim::{ClaimRequest, OccurrenceKey, Pool};
use crate::command::{BlackoutEffect, BlackoutTarget};
use crate::command_id::ClaimId;
use crate::interval::Interval;
use crate::limits::BLACKOUT_LOOKAHEAD;
use crate::store::ClaimStore;
use crate::time::{MILLISECOND, UnixMillis};

/// The reservations and blackouts that are in effect at the instant `at`, and the blackouts that start soon
/// after it.
pub(crate) fn allowances(store: &ClaimStore, at: UnixMillis) -> Allowances {
    let mut allowances = Allowances::default();
    for (name, pool) in store.pools() {
        allowances.pools.insert(name.clone(), pool_allowance(store, name, pool, at));
    }
    for target in store.index().blackouts.keys() {
        let status = blackout_status(store, target, at);
        if status == BlackoutStatus::default() {
            continue;
        }
        match target {
            BlackoutTarget::Class(name) => allowances.class_blackouts.insert(name.clone(), status),
            BlackoutTarget::Tenant(name) => allowances.tenant_blackouts.insert(name.clone(), status),
            BlackoutTarget::Pool(name) => allowances.pool_blackouts.insert(name.clone(), status),
            BlackoutTarget::Zone(name) => allowances.zone_blackouts.insert(name.clone(), status),
        };
    }
    allowances
}

/// The first instant later than `after` at which [`allowances`] may return a different result. `None` if no
/// such instant is known.
pub(crate) fn next_change_after(store: &ClaimStore, after: UnixMillis) -> Option<UnixMillis> {
    let changes = &store.index().allowance_changes;
    changes.range(after.checked_add(MILLISECOND)?..).next().map(|(at, _)| *at)
}

fn pool_allowance(store: &ClaimStore, name: &Name, pool: &Pool, at: UnixMillis) -> PoolAllowance {
    let index = store.index().pools.get(name);
    let allocations = index.into_iter().flat_map(|index| index.allocations.overlap(at));
    let mut reservations: Vec<ActiveReservation> = allocations
        .filter_map(|(range, key)| {
            active_reservation(store, key, Interval { start: range.start, end: range.end })
        })
        .collect();
    reservations.sort_unstable_by(|a, b| a.claim.cmp(&b.claim));
    let reserved_slots = reservations.iter().fold(0_u32, |sum, each| sum.saturating_add(each.slots));
    PoolAllowance {
        zone: pool.zone.clone(),
        slots: pool.slots,
        unreserved_slots: pool.slots.saturating_sub(reserved_slots),
        reservations,
    }
}

/// The reservation to which an allocation belongs, with the slots and the interval of that allocation. `None`
/// unless the claim of the reservation is confirmed or active.
fn active_reservation(
    store: &ClaimStore,
    key: &OccurrenceKey,
    interval: Interval,
) -> Option<ActiveReservation> {
    let (claim, occurrence) = store.occurrence(key)?;
    let reservation = claim.reservation()?;
    let allocation = occurrence.allocations.iter().find(|each| each.interval.start == interval.start)?;
    claim.state.is_in_effect().then(|| ActiveReservation {
        claim: key.claim.clone(),
        owner: reservation.owner.clone(),
        slots: allocation.slots,
        start: interval.start,
        end: interval.end,
        lending_rate_ppm: reservation.lending_rate_ppm,
    })
}

fn blackout_status(store: &ClaimStore, target: &BlackoutTarget, at: UnixMillis) -> BlackoutStatus {
    let no_work_until = blackout_end(store, target, at, BlackoutEffect::NoWork);
    BlackoutStatus {
        no_new_work_until: blackout_end(store, target, at, BlackoutEffect::NoNewWork),
        no_work_until,
        upcoming: upcoming_blackout(store, target, at, no_work_until.unwrap_or(at)),
    }
}

/// The next blackout of `target` that starts after `at` and in which no work may run
/// ([`BlackoutEffect::NoWork`]). Returns `None` if there is none, or if it starts more than
/// [`BLACKOUT_LOOKAHEAD`] after `at`.
///
/// If a blackout in which no work may run is in effect at `at`, the caller passes as `from` the end that
/// [`blackout_end`] returns. That is the end of the last of all blackouts that overlap or adjoin each other,
/// from the one in effect onwards. Otherwise the caller passes `at` as `from`. Blackouts that end at or
/// before `from` are skipped, so that none of those that count as one with the blackout in effect is
/// returned.
fn upcoming_blackout(
    store: &ClaimStore,
    target: &BlackoutTarget,
    at: UnixMillis,
    from: UnixMillis,
) -> Option<UpcomingBlackout> {
    let mut blackouts = store.index().blackouts.get(target)?.iter(from..);
    let is_upcoming = |start: UnixMillis, id: &ClaimId| {
        start > at && blackout_effect(store, id) == Some(BlackoutEffect::NoWork)
    };
    let start = blackouts.find(|(range, id)| is_upcoming(range.start, id)).map(|(range, _)| range.start)?;
    if start > at.saturating_add(BLACKOUT_LOOKAHEAD) {
        return None;
    }
    let end = blackout_end(store, target, start, BlackoutEffect::NoWork).unwrap_or(start);
    Some(UpcomingBlackout { start, end })
}

/// The end of the blackout of `target` that is in effect at `at` and whose effect is `min_effect` or
/// stronger. Blackouts that overlap or adjoin each other count as one. Returns `None` if no such blackout is
/// in effect at `at`.
fn blackout_end(
    store: &ClaimStore,
    target: &BlackoutTarget,
    at: UnixMillis,
    min_effect: BlackoutEffect,
) -> Option<UnixMillis> {
    let blackouts = store.index().blackouts.get(target)?;
    let mut end = at;
    loop {
        let current = blackouts.iter(end..=end);
        let matching = current
            .filter(|(range, id)| range.start <= end && blackout_effect(store, id) >= Some(min_effect));
        match matching.map(|(range, _)| range.end).max() {
            Some(later_end) if later_end > end => end = later_end,
            _ => return Some(end).filter(|end| *end > at),
        }
    }
}

fn blackout_effect(store: &ClaimStore, id: &ClaimId) -> Option<BlackoutEffect> {
    match &store.claim(id)?.request {
        ClaimRequest::Blackout(blackout) => Some(blackout.effect),
        ClaimRequest::Reservation(_) => None,
    }
}
