//! Allowances: the reservations and blackouts that are in effect at an instant, as the calendar reports them
//! to the fleet.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command::Owner;
use crate::command_id::ClaimId;
use crate::limits::PARTS_PER_MILLION;
use crate::time::{SpanMillis, UnixMillis};

/// The reservations and blackouts that are in effect at an instant, and the blackouts that start soon after
/// it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    /// The reserved and unreserved slots of every pool in the calendar, by the name of the pool.
    pub pools: BTreeMap<Name, PoolAllowance>,
    /// The blackout status of each request class for which a blackout is in effect or starts soon. During a
    /// blackout, no work of the class may start, or none may run.
    #[serde(rename = "classes")]
    pub class_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// The blackout status of each tenant for which a blackout is in effect or starts soon. During a
    /// blackout, no work of the tenant may start, or none may run.
    #[serde(rename = "tenants")]
    pub tenant_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// The blackout status of each pool for which a blackout is in effect or starts soon. Blackouts of the
    /// pool's zone are not included; they are in `zone_blackouts` only.
    #[serde(rename = "blacked_pools")]
    pub pool_blackouts: BTreeMap<Name, BlackoutStatus>,
    /// The blackout status of each zone for which a blackout is in effect or starts soon. During a blackout,
    /// no work may start in the zone, or no work may run there.
    #[serde(rename = "zones")]
    pub zone_blackouts: BTreeMap<Name, BlackoutStatus>,
}

/// The reserved and unreserved slots of one pool at an instant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllowance {
    /// The name of the zone that the pool belongs to.
    pub zone: Name,
    /// The total number of slots in the pool.
    pub slots: u32,
    /// The number of the pool's slots that are not reserved at this instant by a confirmed or active
    /// reservation.
    #[serde(rename = "open")]
    pub unreserved_slots: u32,
    /// The confirmed and active reservations of the pool's slots at this instant, ordered by claim id.
    #[serde(rename = "reserved")]
    pub reservations: Vec<ActiveReservation>,
}

/// One allocation of a confirmed or active reservation: a constant number of reserved slots over an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserved", expecting = "struct Reserved")]
pub struct ActiveReservation {
    /// The id of the reservation's claim.
    pub claim: ClaimId,
    /// The tenant for which the slots are reserved, or the federation, which is a group of tenants that share
    /// the reservation.
    pub owner: Owner,
    /// The number of reserved slots.
    pub slots: u32,
    /// The first instant of the interval over which the slots are reserved.
    #[serde(rename = "since")]
    pub start: UnixMillis,
    /// The first instant after the interval over which the slots are reserved.
    #[serde(rename = "until")]
    pub end: UnixMillis,
    /// How fast the reservation's unused slots become available to others, in parts per million of the
    /// reserved slots per second. The number of lendable slots grows with the time for which slots have been
    /// unused; see [`lendable_slots`].
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
}

/// The blackout that is in effect for one class, tenant, pool or zone, and the next blackout for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "BlackedOut", expecting = "struct BlackedOut")]
pub struct BlackoutStatus {
    /// The instant until which no work may start. `None` if work may start now. This applies to the work of
    /// the class, tenant, pool or zone that the status is for. Blackouts that overlap or adjoin each other
    /// count as one.
    pub no_new_work_until: Option<UnixMillis>,
    /// The instant until which no work may run. `None` if work may run now. This applies to the work of the
    /// class, tenant, pool or zone that the status is for. Blackouts that overlap or adjoin each other count
    /// as one.
    pub no_work_until: Option<UnixMillis>,
    /// The next blackout in which no work may run ([`NoWork`](crate::BlackoutEffect::NoWork)). `None` if no
    /// such blackout starts within [`BLACKOUT_LOOKAHEAD`](crate::BLACKOUT_LOOKAHEAD).
    #[serde(rename = "ahead")]
    pub upcoming: Option<UpcomingBlackout>,
}

/// A blackout that has not started yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ahead", expecting = "struct Ahead")]
pub struct UpcomingBlackout {
    /// The first instant of the blackout.
    pub start: UnixMillis,
    /// The first instant after the blackout. Blackouts that overlap or adjoin each other count as one.
    pub end: UnixMillis,
}

impl BlackoutStatus {
    /// The instant until which work that takes at most `max_duration` must not start. `None` if such work may
    /// start now. Work may end exactly at the start of a blackout.
    pub fn wait_until(&self, now: UnixMillis, max_duration: SpanMillis) -> Option<UnixMillis> {
        let latest_end = now.saturating_add(max_duration.max(SpanMillis::ZERO));
        let conflict = self.upcoming.filter(|upcoming| latest_end > upcoming.start);
        self.no_new_work_until.max(conflict.map(|upcoming| upcoming.end))
    }
}

/// The number of a reservation's slots that may be used now by others than the reservation's owner.
///
/// While slots are unused, the number that may be lent grows with time, up to the number of unused slots. It
/// grows by `lending_rate_ppm` parts per million of the reserved slots per second. `unused_for` is the time
/// for which the owner has used no more than `used_by_owner` slots. A slot that the owner uses again can no
/// longer be lent from that moment on.
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
