//! What the module is handed: what is reserved, and what is blacked out.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::{Calendar, ClaimRequest};
use crate::{BlackoutEffect, BlackoutTarget, ClaimId, DAY, Millis, Name, Owner, PARTS_PER_MILLION};

/// How early a blackout without any work is told. No work is believed to run longer.
pub const BLACKOUT_LOOKAHEAD: Millis = DAY;

/// What holds at an instant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    /// Of each pool that the calendar knows.
    pub pools: BTreeMap<Name, PoolAllowance>,
    /// Classes with a blackout now or ahead.
    #[serde(rename = "classes")]
    pub class_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Tenants with a blackout now or ahead.
    #[serde(rename = "tenants")]
    pub tenant_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Pools with a blackout now or ahead; their zone's are in `zones`.
    #[serde(rename = "blacked_pools")]
    pub pool_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Zones with a blackout now or ahead.
    #[serde(rename = "zones")]
    pub zone_blackouts: BTreeMap<Name, BlackoutStatus>,
}

/// What of a pool is reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllowance {
    /// Its zone.
    pub zone: Name,
    /// Its slots.
    pub slots: u32,
    /// Slots that nobody has reserved.
    #[serde(rename = "open")]
    pub unreserved_slots: u32,
    /// Who has reserved the others, in the claims' order.
    #[serde(rename = "reserved")]
    pub reservations: Vec<ActiveReservation>,
}

/// A reservation at an instant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserved")]
pub struct ActiveReservation {
    /// The claim.
    pub claim: ClaimId,
    /// For whom.
    pub owner: Owner,
    /// So many slots.
    pub slots: u32,
    /// Since when.
    #[serde(rename = "since")]
    pub start: Millis,
    /// Until when it is so many.
    #[serde(rename = "until")]
    pub end: Millis,
    /// How fast what is unused is lent, for [`lent`].
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
}

/// Blackouts of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "BlackedOut")]
pub struct BlackoutStatus {
    /// No work is begun until then, through blackouts that meet; none if work may begin.
    pub no_new_work_until: Option<Millis>,
    /// No work runs until then, through blackouts that meet; none if it may.
    pub no_work_until: Option<Millis>,
    /// The next time without any work that has not begun, if within [`AHEAD`].
    #[serde(rename = "ahead")]
    pub upcoming: Option<UpcomingBlackout>,
}

/// A blackout that has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ahead")]
pub struct UpcomingBlackout {
    /// Its first instant.
    pub start: Millis,
    /// The first instant after it, through blackouts that meet.
    pub end: Millis,
}

impl BlackoutStatus {
    /// Until when work that is believed to run for at most so long must not begin; none if it may. Work may end
    /// at the very start of a blackout.
    pub fn wait_until(&self, now: Millis, longest: Millis) -> Option<Millis> {
        let ahead = self.upcoming.filter(|ahead| now.saturating_add(longest.max(0)) > ahead.start);
        self.no_new_work_until.max(ahead.map(|ahead| ahead.end))
    }
}

/// Slots of a reservation that others may take now: of what its owner leaves unused, so much that the whole
/// reservation would be lent at `speed` parts in a million a second. `since` is for how many milliseconds the
/// owner has used no more than `used_by_owner`. What the owner takes again is not lent from that instant on.
pub fn lendable_slots(reserved: u32, used_by_owner: u32, since: Millis, speed: u32) -> u32 {
    let unused = reserved.saturating_sub(used_by_owner);
    let elapsed = u128::from(since.max(0).unsigned_abs());
    let given = u128::from(reserved) * u128::from(speed) * elapsed / (u128::from(PARTS_PER_MILLION) * 1_000);
    u32::try_from(given).unwrap_or(u32::MAX).min(unused)
}

impl Calendar {
    /// What holds at an instant, by the log so far.
    pub fn allowances(&self, at: Millis) -> Allowances {
        let mut found = Allowances::default();
        for (name, pool) in &self.state.pools {
            let mut reserved: Vec<ActiveReservation> = Vec::new();
            let index = self.index.pools.get(name);
            for (span, (id, number)) in index.into_iter().flat_map(|index| index.allocations.overlap(at)) {
                let Some(claim) = self.state.claims.get(id) else { continue };
                let ClaimRequest::Reservation(reserve) = &claim.request else { continue };
                let Some(occurrence) = claim.occurrences.get(*number) else { continue };
                let piece = occurrence.allocations.iter().find(|each| each.interval.start == span.start);
                if let Some(piece) = piece.filter(|_| claim.state.is_in_effect()) {
                    let (owner, slots) = (reserve.owner.clone(), piece.slots);
                    let (since, until, give_back) = (span.start, span.end, reserve.lending_rate_ppm);
                    reserved.push(ActiveReservation {
                        claim: id.clone(),
                        owner,
                        slots,
                        start: since,
                        end: until,
                        lending_rate_ppm: give_back,
                    });
                }
            }
            reserved.sort_unstable_by(|a, b| a.claim.cmp(&b.claim));
            let taken = reserved.iter().fold(0_u32, |sum, each| sum.saturating_add(each.slots));
            let (zone, slots) = (pool.zone.clone(), pool.slots);
            let allowance = PoolAllowance {
                zone,
                slots,
                unreserved_slots: slots.saturating_sub(taken),
                reservations: reserved,
            };
            found.pools.insert(name.clone(), allowance);
        }
        for target in self.index.blackouts.keys() {
            let blacked = self.blacked_out(target, at);
            if blacked != BlackoutStatus::default() {
                match target {
                    BlackoutTarget::Class(name) => found.class_blackouts.insert(name.clone(), blacked),
                    BlackoutTarget::Tenant(name) => found.tenant_blackouts.insert(name.clone(), blacked),
                    BlackoutTarget::Pool(name) => found.pool_blackouts.insert(name.clone(), blacked),
                    BlackoutTarget::Zone(name) => found.zone_blackouts.insert(name.clone(), blacked),
                };
            }
        }
        found
    }

    /// The next instant after which allowances may differ, by the log so far.
    pub fn next_change_after(&self, after: Millis) -> Option<Millis> {
        self.index.allowance_changes.range(after.checked_add(1)?..).next().map(|(at, _)| *at)
    }

    fn blacked_out(&self, target: &BlackoutTarget, at: Millis) -> BlackoutStatus {
        let no_new_work_until = self.blackout_end(target, at, BlackoutEffect::NoNewWork);
        let no_work_until = self.blackout_end(target, at, BlackoutEffect::NoWork);
        let from = no_work_until.unwrap_or(at);
        let starts = self.index.blackouts.get(target).into_iter().flat_map(|map| map.iter(from..));
        let ahead = starts
            .filter(|(span, id)| span.start > at && self.effect(id) == Some(BlackoutEffect::NoWork))
            .map(|(span, _)| span.start)
            .next()
            .filter(|start| *start <= at.saturating_add(BLACKOUT_LOOKAHEAD));
        let ahead = ahead.map(|start| UpcomingBlackout {
            start,
            end: self.blackout_end(target, start, BlackoutEffect::NoWork).unwrap_or(start),
        });
        BlackoutStatus { no_new_work_until, no_work_until, upcoming: ahead }
    }

    /// The end of the blackouts of at least this effect that hold at an instant, through those that meet.
    fn blackout_end(&self, target: &BlackoutTarget, at: Millis, least: BlackoutEffect) -> Option<Millis> {
        let map = self.index.blackouts.get(target)?;
        let mut end = at;
        loop {
            let spans = map.iter(end..=end);
            let holds = spans.filter(|(span, id)| span.start <= end && self.effect(id) >= Some(least));
            match holds.map(|(span, _)| span.end).max() {
                Some(later) if later > end => end = later,
                _ => return Some(end).filter(|end| *end > at),
            }
        }
    }

    fn effect(&self, id: &ClaimId) -> Option<BlackoutEffect> {
        match &self.state.claims.get(id)?.request {
            ClaimRequest::Blackout(blackout) => Some(blackout.effect),
            ClaimRequest::Reservation(_) => None,
        }
    }
}
