//! Allowances: the reservations and blackouts at an instant, as the calendar reports them to the fleet.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command::Owner;
use crate::command_id::ClaimId;
use crate::limits::PARTS_PER_MILLION;
use crate::time::{SpanMillis, UnixMillis};

/// The reservations and blackouts that are in effect at an instant, and the blackouts that follow soon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    /// The reserved and unreserved slots of every pool in the calendar, by the name of the pool.
    pub pools: BTreeMap<Name, PoolAllowance>,
    /// Classes with a current or upcoming blackout.
    #[serde(rename = "classes")]
    pub class_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Tenants with a current or upcoming blackout.
    #[serde(rename = "tenants")]
    pub tenant_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Pools with a current or upcoming blackout of their own. Blackouts of a pool's zone are in
    /// `zone_blackouts` only.
    #[serde(rename = "blacked_pools")]
    pub pool_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// Zones with a current or upcoming blackout.
    #[serde(rename = "zones")]
    pub zone_blackouts: BTreeMap<Name, BlackoutStatus>,
}

/// The reserved and unreserved slots of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllowance {
    /// The name of the zone that the pool belongs to.
    pub zone: Name,
    /// The total number of slots in the pool.
    pub slots: u32,
    /// The number of slots without a confirmed or active reservation.
    #[serde(rename = "open")]
    pub unreserved_slots: u32,
    /// The confirmed and active reservations of slots in the pool, ordered by claim id.
    #[serde(rename = "reserved")]
    pub reservations: Vec<ActiveReservation>,
}

/// One allocation of a confirmed or active reservation: a constant number of slots over an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserved", expecting = "struct Reserved")]
pub struct ActiveReservation {
    /// The id of the reservation's claim.
    pub claim: ClaimId,
    /// The tenant or federation that the slots are reserved for.
    pub owner: Owner,
    /// The number of reserved slots.
    pub slots: u32,
    /// The first instant at which the number of slots in `slots` is reserved.
    #[serde(rename = "since")]
    pub start: UnixMillis,
    /// The first instant at which the number of slots in `slots` is no longer reserved.
    #[serde(rename = "until")]
    pub end: UnixMillis,
    /// The rate at which unused slots are lent, in parts per million of the reservation per second; see
    /// [`lendable_slots`].
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
}

/// The current and upcoming blackouts of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "BlackedOut", expecting = "struct BlackedOut")]
pub struct BlackoutStatus {
    /// The instant until which no work may start, with overlapping and adjoining blackouts counted as one;
    /// `None` if work may start now.
    pub no_new_work_until: Option<UnixMillis>,
    /// The instant until which no work may run, with overlapping and adjoining blackouts counted as one;
    /// `None` if work may run now.
    pub no_work_until: Option<UnixMillis>,
    /// The next [`NoWork`](crate::BlackoutEffect::NoWork) blackout; `None` if there is none that starts
    /// within [`BLACKOUT_LOOKAHEAD`](crate::BLACKOUT_LOOKAHEAD).
    #[serde(rename = "ahead")]
    pub upcoming: Option<UpcomingBlackout>,
}

/// A blackout that has not started yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ahead", expecting = "struct Ahead")]
pub struct UpcomingBlackout {
    /// The first instant of the blackout.
    pub start: UnixMillis,
    /// The first instant after the blackout, with overlapping and adjoining blackouts counted as one.
    pub end: UnixMillis,
}

impl BlackoutStatus {
    /// The instant until which work that takes at most `max_duration` must not start; `None` if such work may
    /// start now. Work may end exactly at the start of a blackout.
    pub fn wait_until(&self, now: UnixMillis, max_duration: SpanMillis) -> Option<UnixMillis> {
        let latest_end = now.saturating_add(max_duration.max(SpanMillis::ZERO));
        let conflict = self.upcoming.filter(|upcoming| latest_end > upcoming.start);
        self.no_new_work_until.max(conflict.map(|upcoming| upcoming.end))
    }
}

/// The number of a reservation's slots that others than its owner may use now.
///
/// While slots are unused, the lendable number grows by `lending_rate_ppm` parts per million of the
/// reservation per second, up to the number of unused slots. `unused_for` is the time for which the owner has
/// used no more than `used_by_owner` slots. A slot that the owner uses again stops being lendable at once.
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
