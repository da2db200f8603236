//! What the log tells the calendar, and which of it is refused by its form alone.
use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::{
    CommandId, InvalidTransition, MAX_HOLD_LENGTH, MAX_INSTANT, MAX_INTERVAL_LENGTH,
    MAX_OCCURRENCES_PER_RECURRENCE, Millis, Name, PARTS_PER_MILLION, PLANNING_HORIZON, Recurrence,
};

/// Most slots of a pool.
pub(crate) const MAX_POOL_SLOTS: u32 = 10_000_000;

/// One entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Whose, and which.
    pub id: CommandId,
    /// What is wanted.
    pub body: CommandBody,
}

/// What a command wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Body")]
pub enum CommandBody {
    /// Proposes a reservation; the claim takes the command's id.
    Reserve(ReservationRequest),
    /// Proposes a blackout; the claim takes the command's id.
    Blackout(BlackoutRequest),
    /// Confirms a claim that is proposed or held.
    Confirm(CommandId),
    /// Takes back a claim that is not over.
    Withdraw(CommandId),
    /// Tells from now on how many slots a pool has, and the zone it is in. 0 is a pool without slots.
    #[serde(rename = "Capacity")]
    SetCapacity {
        /// The pool.
        pool: Name,
        /// Its zone.
        zone: Name,
        /// Its slots, up to 10 million.
        slots: u32,
    },
    /// Time went on to the entry's instant, and nothing else.
    #[serde(rename = "Advance")]
    AdvanceTime,
}

/// A claim to a share of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserve")]
pub struct ReservationRequest {
    /// For whom.
    pub owner: Owner,
    /// Of what.
    pub pool: Name,
    /// How much.
    pub amount: Amount,
    /// When.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// Higher goes before lower.
    pub precedence: u32,
    /// What it takes where it does not fit.
    #[serde(rename = "accepts")]
    pub flexibility: Flexibility,
    /// How fast what the owner leaves unused is lent: parts in a million of the reservation a second, 0 for
    /// never, up to a million.
    #[serde(rename = "give_back")]
    pub lending_rate_ppm: u32,
    /// When it lapses unless confirmed: in at most 7 days.
    pub hold_end: Millis,
}

/// Whose a reservation is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Owner {
    /// A tenant's.
    Tenant(Name),
    /// A federation's: its tenants share it by the federation's own agreement.
    Federation(Name),
}

/// How much of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Amount {
    /// So many slots, at least 1.
    Slots(u32),
    /// So many parts in a million of the pool's slots, rounded down to whole slots, at least 1 of them.
    #[serde(rename = "Parts")]
    PartsPerMillion(u32),
}

/// What a claim takes where it does not fit. Where it takes both, each stretch is granted what is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Accepts")]
pub struct Flexibility {
    /// Fewer slots, the same over the whole interval, but at least so many (at least 1).
    #[serde(rename = "partial")]
    pub min_slots: Option<u32>,
    /// Its interval without the stretches where it is blocked; of a repeat also some intervals without others.
    #[serde(rename = "split")]
    pub allows_split: bool,
}

/// A time in which no work of some kind is taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Blackout")]
pub struct BlackoutRequest {
    /// Whose work, or where.
    pub target: BlackoutTarget,
    /// What it forbids.
    pub effect: BlackoutEffect,
    /// When.
    #[serde(rename = "when")]
    pub schedule: Schedule,
    /// When it lapses unless confirmed: in at most 7 days.
    pub hold_end: Millis,
}

/// Whose work, or work where.
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

/// What a blackout forbids; the later forbids more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Effect")]
pub enum BlackoutEffect {
    /// Beginning work; what runs goes on.
    NoNewWork,
    /// Any work: what would still run at its start is not begun.
    NoWork,
}

/// When a claim is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "When")]
pub enum Schedule {
    /// Over one interval; what has passed of it when it is proposed does not count.
    Once(Interval),
    /// Again and again by local time.
    #[serde(rename = "Repeat")]
    Recurring(Recurrence),
}

/// From one instant to before another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interval {
    /// Its first instant.
    pub start: Millis,
    /// The first instant after it.
    pub end: Millis,
}

impl Interval {
    /// Its length; 0 if it has none.
    pub fn length(self) -> Millis {
        self.end.saturating_sub(self.start).max(0)
    }

    /// Whether they have an instant in common.
    pub fn overlaps(self, other: Interval) -> bool {
        self.start < other.end && other.start < self.end
    }
}

/// Why a command was refused: the field and what is wrong with it. It changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {error}")]
#[serde(rename = "Refusal")]
pub struct Rejection {
    /// The field, with those it is in.
    pub field: Cow<'static, str>,
    /// What is wrong.
    #[serde(rename = "fault")]
    pub error: FieldError,
}

impl Rejection {
    pub(crate) fn new(field: &'static str, fault: FieldError) -> Rejection {
        Rejection { field: field.into(), error: fault }
    }
}

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
#[serde(rename = "Fault")]
pub enum FieldError {
    /// Under its least or over its most.
    #[error("not in {min} to {max}")]
    #[serde(rename = "range")]
    OutOfRange {
        /// The least that is taken.
        #[serde(rename = "least")]
        min: i64,
        /// The most that is taken.
        #[serde(rename = "most")]
        max: i64,
    },
    /// It ends before it begins, or at once.
    #[error("empty")]
    Empty,
    /// All of it has passed.
    #[error("past")]
    #[serde(rename = "past")]
    InThePast,
    /// More of them than are taken.
    #[error("more than {0}")]
    #[serde(rename = "too_many")]
    LimitExceeded(u64),
    /// The calendar knows none of that name.
    #[error("unknown")]
    Unknown,
    /// Less than a slot of the pool as it is.
    #[error("less than a slot")]
    #[serde(rename = "less_than_a_slot")]
    BelowOneSlot,
    /// The pool as it is has no more than so many slots.
    #[error("more than the pool's {0} slots")]
    #[serde(rename = "more_than_the_pool")]
    ExceedsPool(u32),
    /// The claim cannot take the step.
    #[error("{0}")]
    #[serde(rename = "life")]
    InvalidTransition(InvalidTransition),
    /// Too old to know whether it acted.
    #[error("too old to know whether it acted")]
    TooOld,
}

fn in_range(field: &'static str, value: i64, least: i64, most: i64) -> Result<(), Rejection> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(Rejection::new(field, FieldError::OutOfRange { min: least, max: most }))
    }
}

impl ReservationRequest {
    /// Checks the form, and gives the claim's intervals from `now` on, in order and apart.
    pub(crate) fn check(&self, now: Millis) -> Result<Vec<Interval>, Rejection> {
        match self.amount {
            Amount::Slots(slots) => in_range("amount.slots", slots.into(), 1, MAX_POOL_SLOTS.into())?,
            Amount::PartsPerMillion(parts) => {
                in_range("amount.parts", parts.into(), 1, PARTS_PER_MILLION.into())?
            }
        }
        if let Some(least) = self.flexibility.min_slots {
            in_range("accepts.partial", least.into(), 1, MAX_POOL_SLOTS.into())?;
        }
        in_range("give_back", self.lending_rate_ppm.into(), 0, PARTS_PER_MILLION.into())?;
        check_hold(self.hold_end, now)?;
        self.schedule.intervals(now)
    }
}

impl BlackoutRequest {
    /// Checks the form, and gives the claim's intervals from `now` on, in order and apart.
    pub(crate) fn check(&self, now: Millis) -> Result<Vec<Interval>, Rejection> {
        check_hold(self.hold_end, now)?;
        self.schedule.intervals(now)
    }
}

fn check_hold(hold_end: Millis, now: Millis) -> Result<(), Rejection> {
    in_range("hold_end", hold_end, now.saturating_add(1), now.saturating_add(MAX_HOLD_LENGTH))
}

impl Schedule {
    /// Its intervals from an instant on, in order and apart, at least one; the first without what has passed.
    ///
    /// # Errors
    /// A field that is out of its bounds.
    pub fn intervals(&self, now: Millis) -> Result<Vec<Interval>, Rejection> {
        let horizon = now.saturating_add(PLANNING_HORIZON).min(MAX_INSTANT);
        match self {
            Schedule::Once(Interval { start, end }) => {
                in_range("when.start", *start, 0, horizon)?;
                in_range("when.end", *end, 0, horizon)?;
                if end <= start {
                    return Err(Rejection::new("when.end", FieldError::Empty));
                }
                if *end <= now {
                    return Err(Rejection::new("when.end", FieldError::InThePast));
                }
                in_range("when.end", *end, start + 1, start.saturating_add(MAX_INTERVAL_LENGTH))?;
                Ok(vec![Interval { start: (*start).max(now), end: *end }])
            }
            Schedule::Recurring(repeat) => {
                in_range("when.first", repeat.not_before, 0, horizon)?;
                in_range("when.until", repeat.until, 0, horizon)?;
                in_range("when.from", repeat.start_minute.into(), 0, 1_439)?;
                in_range("when.to", repeat.end_minute.into(), 0, 1_440)?;
                repeat.days.check()?;
                if repeat.until <= repeat.not_before {
                    return Err(Rejection::new("when.until", FieldError::Empty));
                }
                let found = repeat.occurrences(now, MAX_OCCURRENCES_PER_RECURRENCE + 1)?;
                if found.len() > MAX_OCCURRENCES_PER_RECURRENCE {
                    return Err(Rejection::new(
                        "when.until",
                        FieldError::LimitExceeded(MAX_OCCURRENCES_PER_RECURRENCE as u64),
                    ));
                }
                if found.is_empty() {
                    return Err(Rejection::new("when", FieldError::Empty));
                }
                Ok(found)
            }
        }
    }
}
