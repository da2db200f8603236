//! The commands of the calendar's log, and the checks of their form.
use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command_id::{ClaimId, CommandId};
use crate::interval::Interval;
use crate::limits::{MAX_HOLD_LENGTH, MAX_POOL_SLOTS, PARTS_PER_MILLION};
use crate::rejection::{Rejection, check_instant, check_range};
use crate::schedule::Schedule;
use crate::time::{MILLISECOND, UnixMillis};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The member that proposed it, and its number there.
    pub id: CommandId,
    /// What is to be done.
    pub body: CommandBody,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Body", expecting = "struct variant Body::Capacity")]
pub enum CommandBody {
    /// Proposes a reservation; the claim takes the command's id.
    Reserve(ReservationRequest),
    /// Proposes a blackout; the claim takes the command's id.
    Blackout(BlackoutRequest),
    /// Confirms a claim that is proposed or held.
    Confirm(ClaimId),
    /// Withdraws a claim whose state is not terminal.
    Withdraw(ClaimId),
    /// Sets a pool's slots and its zone from now on.
    #[serde(rename = "Capacity")]
    SetCapacity {
        /// The pool.
        pool: Name,
        /// Its zone.
        zone: Name,
        /// Its slots, 0 to 10 million.
        slots: u32,
    },
    /// Advances time to the entry's instant and does nothing else.
    #[serde(rename = "Advance")]
    AdvanceTime,
}

/// A request for a share of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserve", expecting = "struct Reserve")]
pub struct ReservationRequest {
    /// For whom.
    pub owner: Owner,
    /// The pool to reserve from.
    pub pool: Name,
    /// How much of it.
    pub amount: Amount,
    /// When.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// A claim of higher precedence may displace one of lower.
    pub precedence: u32,
    /// What is acceptable where it does not fit as requested.
    #[serde(rename = "accepts")]
    pub flexibility: Flexibility,
    /// How fast slots that the owner leaves unused are lent: parts per million of the reservation a second, 0
    /// (never) to a million.
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
    /// The instant at which it lapses unless confirmed; at most 7 days ahead.
    pub hold_end: UnixMillis,
}

/// The owner of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// A tenant.
    Tenant(Name),
    /// A federation, whose tenants share it by the federation's own agreement.
    Federation(Name),
}

/// How much of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Amount {
    /// A fixed number of slots, at least 1.
    Slots(u32),
    /// A share of the pool's slots in parts per million, rounded down to whole slots, at least 1 slot.
    #[serde(rename = "Parts")]
    PartsPerMillion(u32),
}

impl Amount {
    /// The amount in slots of a pool with `pool_slots`.
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

/// What a claim accepts where it does not fit as requested. With both, each segment gets what is free in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Accepts", expecting = "struct Accepts")]
pub struct Flexibility {
    /// Fewer slots, constant over the whole interval, but at least this many (at least 1).
    #[serde(rename = "partial")]
    pub min_slots: Option<u32>,
    /// Its interval without the parts in which it does not fit; of a recurrence also some occurrences only.
    #[serde(rename = "split")]
    pub allows_split: bool,
}

/// A request for an interval in which certain work must not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Blackout", expecting = "struct Blackout")]
pub struct BlackoutRequest {
    /// The work it applies to.
    pub target: BlackoutTarget,
    /// What it forbids.
    pub effect: BlackoutEffect,
    /// When.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// The instant at which it lapses unless confirmed; at most 7 days ahead.
    pub hold_end: UnixMillis,
}

/// The work that a blackout applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Target")]
pub enum BlackoutTarget {
    /// All work of a class.
    Class(Name),
    /// All work of a tenant.
    Tenant(Name),
    /// All work in a pool.
    Pool(Name),
    /// All work in a zone's pools.
    Zone(Name),
}

/// What a blackout forbids, the weaker first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Effect")]
pub enum BlackoutEffect {
    /// Starting work; running work continues.
    NoNewWork,
    /// All work: what would still run at its start must not be started.
    NoWork,
}

impl ReservationRequest {
    /// Checks the form, and returns the intervals from `now` on, in order and disjoint.
    ///
    /// # Errors
    /// The first field that is out of its bounds.
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
    /// Checks the form, and returns the intervals from `now` on, in order and disjoint.
    ///
    /// # Errors
    /// The first field that is out of its bounds.
    pub(crate) fn validate(&self, now: UnixMillis) -> Result<Vec<Interval>, Rejection> {
        check_hold_end(self.hold_end, now)?;
        self.schedule.intervals(now)
    }
}

fn check_hold_end(hold_end: UnixMillis, now: UnixMillis) -> Result<(), Rejection> {
    check_instant("hold_end", hold_end, now.saturating_add(MILLISECOND), now.saturating_add(MAX_HOLD_LENGTH))
}
