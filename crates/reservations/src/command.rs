//! Commands of the replicated log, and the validation of their fields.
use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command_id::{ClaimId, CommandId};
use crate::interval::Interval;
use crate::limits::{MAX_HOLD_LENGTH, MAX_POOL_SLOTS, PARTS_PER_MILLION};
use crate::rejection::{Rejection, check_instant, check_range};
use crate::schedule::Schedule;
use crate::time::{MILLISECOND, UnixMillis};

/// The command of one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The id of the command, which identifies duplicates.
    pub id: CommandId,
    /// The action that the command requests.
    pub body: CommandBody,
}

/// The action that a command requests.
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
    /// Sets the number of slots and the zone of a pool, from now on. A pool that does not exist is created.
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
    /// The tenant or federation that the slots are reserved for.
    pub owner: Owner,
    /// The name of the pool in which slots are reserved.
    pub pool: Name,
    /// The number of slots to reserve, or the fraction of the pool.
    pub amount: Amount,
    /// The intervals over which the slots are reserved.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// The precedence: a claim of higher precedence may displace one of lower precedence.
    pub precedence: u32,
    /// What the owner accepts if the request does not fit as it is.
    #[serde(rename = "accepts")]
    pub flexibility: Flexibility,
    /// The rate at which unused slots are lent, in parts per million of the reservation per second: 0 (never)
    /// to 1,000,000.
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
    /// The instant at which the claim lapses unless it is confirmed, at most 7 days after the proposal.
    pub hold_end: UnixMillis,
}

/// The owner of a reservation, for which the slots are reserved.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// A single tenant.
    Tenant(Name),
    /// A federation of tenants, which share the reservation as they agree among themselves.
    Federation(Name),
}

/// The amount that a reservation requests, as a number of slots or as a fraction of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Amount {
    /// A fixed number of slots, at least 1.
    Slots(u32),
    /// A fraction of the pool's slots in parts per million, 1 to 1,000,000, rounded down to whole slots. A
    /// request for less than one slot is rejected.
    #[serde(rename = "Parts")]
    PartsPerMillion(u32),
}

impl Amount {
    /// Returns the amount in slots, for a pool of `pool_slots` slots.
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

/// What a reservation accepts if it does not fit as requested. If the reservation accepts both fewer slots
/// and a split, the number of slots may vary over the interval, and is 0 where fewer than the minimum are
/// available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Accepts", expecting = "struct Accepts")]
pub struct Flexibility {
    /// The minimum number of slots that is accepted, at least 1; `None` if fewer than requested are not
    /// accepted. Without `allows_split` the granted number is constant over the interval.
    #[serde(rename = "partial")]
    pub min_slots: Option<u32>,
    /// Whether the parts of an interval in which the request does not fit may be left out. For a recurrence
    /// this includes whole occurrences.
    #[serde(rename = "split")]
    pub allows_split: bool,
}

/// A request for intervals in which certain work must not start or run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Blackout", expecting = "struct Blackout")]
pub struct BlackoutRequest {
    /// The work that the blackout applies to.
    pub target: BlackoutTarget,
    /// What the blackout forbids the targeted work: to start, or to run at all.
    pub effect: BlackoutEffect,
    /// The intervals in which the blackout applies.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// The instant at which the claim lapses unless it is confirmed, at most 7 days after the proposal.
    pub hold_end: UnixMillis,
}

/// The work that a blackout applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Target")]
pub enum BlackoutTarget {
    /// All work of a class. The blackout displaces no reservation, because a reservation has no class.
    Class(Name),
    /// All work of a tenant. The blackout displaces the reservations that the tenant itself owns, not those
    /// of a federation.
    Tenant(Name),
    /// All work in a pool.
    Pool(Name),
    /// All work in a zone's pools.
    Zone(Name),
}

/// What a blackout forbids, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Effect")]
pub enum BlackoutEffect {
    /// No work may start; running work continues.
    NoNewWork,
    /// No work may run: work that would still be running at the blackout's start must not be started.
    NoWork,
}

impl ReservationRequest {
    /// Validates the fields and returns the intervals from `now` on, in order of time and disjoint.
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
    /// Validates the fields and returns the intervals from `now` on, in order of time and disjoint.
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
