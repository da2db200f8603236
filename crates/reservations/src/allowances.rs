//! What the rest of the fleet gets from the calendar: what is reserved and what is blacked out at an instant.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command::Owner;
use crate::command_id::ClaimId;
use crate::limits::PARTS_PER_MILLION;
use crate::time::{SpanMillis, UnixMillis};

/// Reservations and blackouts at an instant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    /// Every pool that the calendar knows.
    pub pools: BTreeMap<Name, PoolAllowance>,
    /// Classes with a current or upcoming blackout.
    #[serde(rename = "classes")]
    pub class_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Tenants with a current or upcoming blackout.
    #[serde(rename = "tenants")]
    pub tenant_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Pools with a current or upcoming blackout of their own; those of their zones are in `zone_blackouts`.
    #[serde(rename = "blacked_pools")]
    pub pool_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Zones with a current or upcoming blackout.
    #[serde(rename = "zones")]
    pub zone_blackouts: BTreeMap<Name, BlackoutStatus>,
}

/// What is reserved of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllowance {
    /// The pool's zone.
    pub zone: Name,
    /// The pool's slots.
    pub slots: u32,
    /// Slots that nobody has reserved.
    #[serde(rename = "open")]
    pub unreserved_slots: u32,
    /// The reservations of the other slots, by claim.
    #[serde(rename = "reserved")]
    pub reservations: Vec<ActiveReservation>,
}

/// A reservation that is in effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserved", expecting = "struct Reserved")]
pub struct ActiveReservation {
    /// The claim.
    pub claim: ClaimId,
    /// For whom.
    pub owner: Owner,
    /// The number of slots.
    pub slots: u32,
    /// Since when it has this number of slots.
    #[serde(rename = "since")]
    pub start: UnixMillis,
    /// Until when it has this number of slots.
    #[serde(rename = "until")]
    pub end: UnixMillis,
    /// How fast unused slots are lent, for [`lendable_slots`].
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
}

/// The blackouts of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "BlackedOut", expecting = "struct BlackedOut")]
pub struct BlackoutStatus {
    /// No work may start until then, through blackouts that meet; none if work may start.
    pub no_new_work_until: Option<UnixMillis>,
    /// No work may run until then, through blackouts that meet; none if work may run.
    pub no_work_until: Option<UnixMillis>,
    /// The next interval without any work that has not started, if within
    /// [`BLACKOUT_LOOKAHEAD`](crate::BLACKOUT_LOOKAHEAD).
    #[serde(rename = "ahead")]
    pub upcoming: Option<UpcomingBlackout>,
}

/// A blackout that has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ahead", expecting = "struct Ahead")]
pub struct UpcomingBlackout {
    /// The first instant.
    pub start: UnixMillis,
    /// The first instant after it, through blackouts that meet.
    pub end: UnixMillis,
}

impl BlackoutStatus {
    /// Until when work of at most `max_duration` must not start; none if it may start now. Work may end at
    /// the very start of a blackout.
    pub fn wait_until(&self, now: UnixMillis, max_duration: SpanMillis) -> Option<UnixMillis> {
        let latest_end = now.saturating_add(max_duration.max(SpanMillis::ZERO));
        let conflict = self.upcoming.filter(|upcoming| latest_end > upcoming.start);
        self.no_new_work_until.max(conflict.map(|upcoming| upcoming.end))
    }
}

/// The slots of a reservation that others may use now.
///
/// Of what the owner leaves unused, lending grows from 0 to the whole reservation at `lending_rate_ppm` parts
/// per million of it a second. `unused_for` is how long the owner has used no more than
/// `used_by_owner`. Slots that the owner uses again are no longer lendable from that instant on.
pub fn lendable_slots(
    reserved: u32,
    used_by_owner: u32,
    unused_for: SpanMillis,
    lending_rate_ppm: u32,
) -> u32 {
    const MILLIS_PER_SECOND: u128 = 1_000;
    let unused = reserved.saturating_sub(used_by_owner);
    let elapsed = u128::from(unused_for.0.max(0).unsigned_abs());
    let lent = u128::from(reserved) * u128::from(lending_rate_ppm) * elapsed
        / (u128::from(PARTS_PER_MILLION) * MILLIS_PER_SECOND);
    u32::try_from(lent).unwrap_or(u32::MAX).min(unused)
}
