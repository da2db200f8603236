//! What the module is handed: what is reserved, and what is blacked out.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::calendar::{Calendar, Wanted};
use crate::{ClaimId, DAY, Effect, MILLION, Millis, Name, Owner, Target};

/// How early a blackout without any work is told. No work is believed to run longer.
pub const AHEAD: Millis = DAY;

/// What holds at an instant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    /// Of each pool that the calendar knows.
    pub pools: BTreeMap<Name, PoolAllowance>,
    /// Classes with a blackout now or ahead.
    pub classes: BTreeMap<Name, BlackedOut>,
    /// Tenants with a blackout now or ahead.
    pub tenants: BTreeMap<Name, BlackedOut>,
    /// Pools with a blackout now or ahead; their zone's are in `zones`.
    pub blacked_pools: BTreeMap<Name, BlackedOut>,
    /// Zones with a blackout now or ahead.
    pub zones: BTreeMap<Name, BlackedOut>,
}

/// What of a pool is reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllowance {
    /// Its zone.
    pub zone: Name,
    /// Its slots.
    pub slots: u32,
    /// Slots that nobody has reserved.
    pub open: u32,
    /// Who has reserved the others, in the claims' order.
    pub reserved: Vec<Reserved>,
}

/// A reservation at an instant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// The claim.
    pub claim: ClaimId,
    /// For whom.
    pub owner: Owner,
    /// So many slots.
    pub slots: u32,
    /// Since when.
    pub since: Millis,
    /// Until when it is so many.
    pub until: Millis,
    /// How fast what is unused is lent, for [`lent`].
    pub give_back: u32,
}

/// Blackouts of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlackedOut {
    /// No work is begun until then, through blackouts that meet; none if work may begin.
    pub no_new_work_until: Option<Millis>,
    /// No work runs until then, through blackouts that meet; none if it may.
    pub no_work_until: Option<Millis>,
    /// The next time without any work that has not begun, if within [`AHEAD`].
    pub ahead: Option<Ahead>,
}

/// A blackout that has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ahead {
    /// Its first instant.
    pub start: Millis,
    /// The first instant after it, through blackouts that meet.
    pub end: Millis,
}

impl BlackedOut {
    /// Until when work that is believed to run for at most so long must not begin; none if it may. Work may end
    /// at the very start of a blackout.
    pub fn must_wait(&self, now: Millis, longest: Millis) -> Option<Millis> {
        let ahead = self.ahead.filter(|ahead| now.saturating_add(longest.max(0)) > ahead.start);
        self.no_new_work_until.max(ahead.map(|ahead| ahead.end))
    }
}

/// Slots of a reservation that others may take now: of what its owner leaves unused, so much that the whole
/// reservation would be lent at `speed` parts in a million a second. `since` is for how many milliseconds the
/// owner has used no more than `used_by_owner`. What the owner takes again is not lent from that instant on.
pub fn lent(reserved: u32, used_by_owner: u32, since: Millis, speed: u32) -> u32 {
    let unused = reserved.saturating_sub(used_by_owner);
    let elapsed = u128::from(since.max(0).unsigned_abs());
    let given = u128::from(reserved) * u128::from(speed) * elapsed / (u128::from(MILLION) * 1_000);
    u32::try_from(given).unwrap_or(u32::MAX).min(unused)
}

impl Calendar {
    /// What holds at an instant, by the log so far.
    pub fn allowances(&self, at: Millis) -> Allowances {
        let mut found = Allowances::default();
        for (name, pool) in &self.state.pools {
            let mut reserved: Vec<Reserved> = Vec::new();
            let index = self.index.pools.get(name);
            for (span, (id, number)) in index.into_iter().flat_map(|index| index.pieces.overlap(at)) {
                let Some(claim) = self.state.claims.get(id) else { continue };
                let Wanted::Reserve(reserve) = &claim.wanted else { continue };
                let Some(occurrence) = claim.occurrences.get(*number) else { continue };
                let piece = occurrence.pieces.iter().find(|each| each.interval.start == span.start);
                if let Some(piece) = piece.filter(|_| claim.state.acts()) {
                    let (owner, slots) = (reserve.owner.clone(), piece.slots);
                    let (since, until, give_back) = (span.start, span.end, reserve.give_back);
                    reserved.push(Reserved { claim: id.clone(), owner, slots, since, until, give_back });
                }
            }
            reserved.sort_unstable_by(|a, b| a.claim.cmp(&b.claim));
            let taken = reserved.iter().fold(0_u32, |sum, each| sum.saturating_add(each.slots));
            let (zone, slots) = (pool.zone.clone(), pool.slots);
            let allowance = PoolAllowance { zone, slots, open: slots.saturating_sub(taken), reserved };
            found.pools.insert(name.clone(), allowance);
        }
        for target in self.index.blackouts.keys() {
            let blacked = self.blacked_out(target, at);
            if blacked != BlackedOut::default() {
                match target {
                    Target::Class(name) => found.classes.insert(name.clone(), blacked),
                    Target::Tenant(name) => found.tenants.insert(name.clone(), blacked),
                    Target::Pool(name) => found.blacked_pools.insert(name.clone(), blacked),
                    Target::Zone(name) => found.zones.insert(name.clone(), blacked),
                };
            }
        }
        found
    }

    /// The next instant after which allowances may differ, by the log so far.
    pub fn next_change(&self, after: Millis) -> Option<Millis> {
        self.index.edges.range(after.checked_add(1)?..).next().map(|(at, _)| *at)
    }

    fn blacked_out(&self, target: &Target, at: Millis) -> BlackedOut {
        let no_new_work_until = self.blackout_end(target, at, Effect::NoNewWork);
        let no_work_until = self.blackout_end(target, at, Effect::NoWork);
        let from = no_work_until.unwrap_or(at);
        let starts = self.index.blackouts.get(target).into_iter().flat_map(|map| map.iter(from..));
        let ahead = starts
            .filter(|(span, id)| span.start > at && self.effect(id) == Some(Effect::NoWork))
            .map(|(span, _)| span.start)
            .next()
            .filter(|start| *start <= at.saturating_add(AHEAD));
        let ahead = ahead.map(|start| Ahead {
            start,
            end: self.blackout_end(target, start, Effect::NoWork).unwrap_or(start),
        });
        BlackedOut { no_new_work_until, no_work_until, ahead }
    }

    /// The end of the blackouts of at least this effect that hold at an instant, through those that meet.
    fn blackout_end(&self, target: &Target, at: Millis, least: Effect) -> Option<Millis> {
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

    fn effect(&self, id: &ClaimId) -> Option<Effect> {
        match &self.state.claims.get(id)?.wanted {
            Wanted::Blackout(blackout) => Some(blackout.effect),
            Wanted::Reserve(_) => None,
        }
    }
}
