//! Commands of the replicated log that change the calendar, and the checks of their fields.
use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command_id::{ClaimId, CommandId};
use crate::interval::Interval;
use crate::limits::{MAX_HOLD_LENGTH, MAX_POOL_SLOTS, PARTS_PER_MILLION};
use crate::rejection::{Rejection, check_instant, check_range};
use crate::schedule::Schedule;
use crate::time::{MILLISECOND, UnixMillis};

/// The command that one entry of the replicated log contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The id of the command, by which a repeated command is recognized.
    pub id: CommandId,
    /// What the command does.
    pub body: CommandBody,
}

/// The kinds of commands, with their parameters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Body", expecting = "struct variant Body::Capacity")]
pub enum CommandBody {
    /// Adds a claim that requests a reservation. The claim gets the id of the command.
    Reserve(ReservationRequest),
    /// Adds a claim that requests a blackout. The claim gets the id of the command.
    Blackout(BlackoutRequest),
    /// Confirms the claim with this id, whose state must be proposed or held.
    Confirm(ClaimId),
    /// Withdraws the claim with this id, whose state must not be terminal.
    Withdraw(ClaimId),
    /// Sets the number of slots and the zone of a pool, from now on. If the pool does not exist, it is
    /// created. A zone is a group of pools; a blackout of a zone applies to each of its pools.
    #[serde(rename = "Capacity")]
    SetCapacity {
        /// The name of the pool whose slots and zone are set.
        pool: Name,
        /// The name of the zone that the pool belongs to from now on.
        zone: Name,
        /// The number of slots in the pool, 0 to 10 million.
        slots: u32,
    },
    /// Advances the calendar's time to the instant of the log entry, and does nothing else.
    #[serde(rename = "Advance")]
    AdvanceTime,
}

/// A request for slots of a pool over one or more intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserve", expecting = "struct Reserve")]
pub struct ReservationRequest {
    /// The tenant for which the slots are reserved, or the federation, which is a group of tenants that share
    /// the reservation.
    pub owner: Owner,
    /// The name of the pool in which slots are reserved.
    pub pool: Name,
    /// How much of the pool to reserve: a number of slots, or a fraction of the pool's slots.
    pub amount: Amount,
    /// The intervals over which the slots are reserved.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// The precedence of the claim. A claim of higher precedence may displace a claim of lower precedence.
    pub precedence: u32,
    /// What the owner accepts if the request does not fit as requested.
    #[serde(rename = "accepts")]
    pub flexibility: Flexibility,
    /// How fast the reservation's unused slots become available to others, in parts per million of the
    /// reserved slots per second for which they are unused. From 0 (never lent) to 1,000,000.
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
    /// The instant at which the reservation lapses unless a command has confirmed it. At most 7 days after
    /// the proposal.
    pub hold_end: UnixMillis,
}

/// The owner of a reservation, which is the party for which the slots are reserved.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// The reservation is owned by the single tenant with this name.
    Tenant(Name),
    /// The reservation is owned by the federation with this name, whose tenants share it as they agree among
    /// themselves.
    Federation(Name),
}

/// The amount that a reservation requests: a number of slots, or a fraction of the pool's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Amount {
    /// A fixed number of slots, at least 1.
    Slots(u32),
    /// A fraction of the pool's slots in parts per million, 1 to 1,000,000. It is rounded down to whole
    /// slots. A reservation of less than one slot is rejected.
    #[serde(rename = "Parts")]
    PartsPerMillion(u32),
}

impl Amount {
    /// Returns the requested number of slots, for a pool of `pool_slots` slots.
    pub(crate) fn in_slots(self, pool_slots: u32) -> u32 {
        match self {
            Amount::Slots(slots) => slots,
            Amount::PartsPerMillion(parts) => {
                let slots = u64::from(pool_slots) * u64::from(parts) / u64::from(PARTS_PER_MILLION);
                u32::try_from(slots).unwrap_or(u32::MAX)
            }
        }
    }
}

/// What a reservation accepts if it does not fit as requested: fewer slots, only parts of the interval, or
/// both.
///
/// If the reservation accepts both, the number of granted slots may vary over the interval. It is 0 where
/// fewer than `min_slots` slots are available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Accepts", expecting = "struct Accepts")]
pub struct Flexibility {
    /// The minimum number of slots that the reservation accepts, at least 1. `None` if it does not accept
    /// fewer slots than requested. Without `allows_split`, the granted number is the same over the whole
    /// interval.
    #[serde(rename = "partial")]
    pub min_slots: Option<u32>,
    /// Whether the reservation accepts that the parts of an interval in which it does not fit are left out.
    /// Of a recurring reservation, whole intervals may then be left out.
    #[serde(rename = "split")]
    pub allows_split: bool,
}

/// A request for a blackout: intervals in which certain work must not start or must not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Blackout", expecting = "struct Blackout")]
pub struct BlackoutRequest {
    /// The work that the blackout forbids: that of a request class, a tenant, a pool or a zone.
    pub target: BlackoutTarget,
    /// Whether the blackout forbids the work of its target only to start, or to run at all.
    pub effect: BlackoutEffect,
    /// The intervals in which the blackout applies.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// The instant at which the blackout lapses unless a command has confirmed it. At most 7 days after the
    /// proposal.
    pub hold_end: UnixMillis,
}

/// The work that a blackout forbids to start or to run: that of a request class, a tenant, a pool or a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Target")]
pub enum BlackoutTarget {
    /// All work of the request class with this name. Such a blackout displaces no reservation, because a
    /// reservation has no class.
    Class(Name),
    /// All work of the tenant with this name. Such a blackout displaces the reservations that the tenant
    /// itself owns, but not those of a federation.
    Tenant(Name),
    /// All work in the pool with this name.
    Pool(Name),
    /// All work in the pools of the zone with this name.
    Zone(Name),
}

/// What a blackout forbids. The effects are ordered from the weaker to the stronger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Effect")]
pub enum BlackoutEffect {
    /// No work may start during the blackout; running work continues.
    NoNewWork,
    /// No work may run during the blackout. Work that would still run when the blackout starts must not be
    /// started.
    NoWork,
}

impl ReservationRequest {
    /// Checks the fields of the request. Returns the requested intervals from `now` on, in order of time and
    /// without overlap.
    ///
    /// # Errors
    /// The first invalid field.
    pub(crate) fn validate(&self, now: UnixMillis) -> Result<Vec<Interval>, Rejection> {
        match self.amount {
            Amount::Slots(slots) => check_range("amount.slots", slots.into(), 1, MAX_POOL_SLOTS.into())?,
            Amount::PartsPerMillion(parts) => {
                check_range("amount.parts", parts.into(), 1, PARTS_PER_MILLION.into())?;
            }
        }
        if let Some(min_slots) = self.flexibility.min_slots {
            check_range("accepts.partial", min_slots.into(), 1, MAX_POOL_SLOTS.into())?;
        }
        check_range("give_back", self.lending_rate_ppm.into(), 0, PARTS_PER_MILLION.into())?;
        check_hold_end(self.hold_end, now)?;
        self.schedule.intervals(now)
    }
}

impl BlackoutRequest {
    /// Checks the fields of the request. Returns the requested intervals from `now` on, in order of time and
    /// without overlap.
    ///
    /// # Errors
    /// The first invalid field.
    pub(crate) fn validate(&self, now: UnixMillis) -> Result<Vec<Interval>, Rejection> {
        check_hold_end(self.hold_end, now)?;
        self.schedule.intervals(now)
    }
}

fn check_hold_end(hold_end: UnixMillis, now: UnixMillis) -> Result<(), Rejection> {
    check_instant("hold_end", hold_end, now.saturating_add(MILLISECOND), now.saturating_add(MAX_HOLD_LENGTH))
}
