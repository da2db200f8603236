//! What the log tells the calendar, and which of it is refused by its form alone.
use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::{
    CommandId, HORIZON, Illegal, LAST_INSTANT, LONGEST, LONGEST_HOLD, MILLION, MOST_OCCURRENCES, Millis,
    Name, Repeat,
};

/// Most slots of a pool.
pub(crate) const MOST_SLOTS: u32 = 10_000_000;

/// One entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Whose, and which.
    pub id: CommandId,
    /// What is wanted.
    pub body: Body,
}

/// What a command wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Proposes a reservation; the claim takes the command's id.
    Reserve(Reserve),
    /// Proposes a blackout; the claim takes the command's id.
    Blackout(Blackout),
    /// Confirms a claim that is proposed or held.
    Confirm(CommandId),
    /// Takes back a claim that is not over.
    Withdraw(CommandId),
    /// Tells from now on how many slots a pool has, and the zone it is in. 0 is a pool without slots.
    Capacity {
        /// The pool.
        pool: Name,
        /// Its zone.
        zone: Name,
        /// Its slots, up to 10 million.
        slots: u32,
    },
    /// Time went on to the entry's instant, and nothing else.
    Advance,
}

/// A claim to a share of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// For whom.
    pub owner: Owner,
    /// Of what.
    pub pool: Name,
    /// How much.
    pub amount: Amount,
    /// When.
    pub when: When,
    /// Higher goes before lower.
    pub precedence: u32,
    /// What it takes where it does not fit.
    pub accepts: Accepts,
    /// How fast what the owner leaves unused is lent: parts in a million of the reservation a second, 0 for
    /// never, up to a million.
    pub give_back: u32,
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
    Parts(u32),
}

/// What a claim takes where it does not fit. Where it takes both, each stretch is granted what is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepts {
    /// Fewer slots, the same over the whole interval, but at least so many (at least 1).
    pub partial: Option<u32>,
    /// Its interval without the stretches where it is blocked; of a repeat also some intervals without others.
    pub split: bool,
}

/// A time in which no work of some kind is taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blackout {
    /// Whose work, or where.
    pub target: Target,
    /// What it forbids.
    pub effect: Effect,
    /// When.
    pub when: When,
    /// When it lapses unless confirmed: in at most 7 days.
    pub hold_end: Millis,
}

/// Whose work, or work where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
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
pub enum Effect {
    /// Beginning work; what runs goes on.
    NoNewWork,
    /// Any work: what would still run at its start is not begun.
    NoWork,
}

/// When a claim is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum When {
    /// Over one interval; what has passed of it when it is proposed does not count.
    Once(Interval),
    /// Again and again by local time.
    Repeat(Repeat),
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
#[error("{field}: {fault}")]
pub struct Refusal {
    /// The field, with those it is in.
    pub field: Cow<'static, str>,
    /// What is wrong.
    pub fault: Fault,
}

impl Refusal {
    pub(crate) fn of(field: &'static str, fault: Fault) -> Refusal {
        Refusal { field: field.into(), fault }
    }
}

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Under its least or over its most.
    #[error("not in {least} to {most}")]
    Range {
        /// The least that is taken.
        least: i64,
        /// The most that is taken.
        most: i64,
    },
    /// It ends before it begins, or at once.
    #[error("empty")]
    Empty,
    /// All of it has passed.
    #[error("past")]
    Past,
    /// More of them than are taken.
    #[error("more than {0}")]
    TooMany(u64),
    /// The calendar knows none of that name.
    #[error("unknown")]
    Unknown,
    /// Less than a slot of the pool as it is.
    #[error("less than a slot")]
    LessThanASlot,
    /// The pool as it is has no more than so many slots.
    #[error("more than the pool's {0} slots")]
    MoreThanThePool(u32),
    /// The claim cannot take the step.
    #[error("{0}")]
    Life(Illegal),
    /// Too old to know whether it acted.
    #[error("too old to know whether it acted")]
    TooOld,
}

fn in_range(field: &'static str, value: i64, least: i64, most: i64) -> Result<(), Refusal> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(Refusal::of(field, Fault::Range { least, most }))
    }
}

impl Reserve {
    /// Checks the form, and gives the claim's intervals from `now` on, in order and apart.
    pub(crate) fn check(&self, now: Millis) -> Result<Vec<Interval>, Refusal> {
        match self.amount {
            Amount::Slots(slots) => in_range("amount.slots", slots.into(), 1, MOST_SLOTS.into())?,
            Amount::Parts(parts) => in_range("amount.parts", parts.into(), 1, MILLION.into())?,
        }
        if let Some(least) = self.accepts.partial {
            in_range("accepts.partial", least.into(), 1, MOST_SLOTS.into())?;
        }
        in_range("give_back", self.give_back.into(), 0, MILLION.into())?;
        check_hold(self.hold_end, now)?;
        self.when.intervals(now)
    }
}

impl Blackout {
    /// Checks the form, and gives the claim's intervals from `now` on, in order and apart.
    pub(crate) fn check(&self, now: Millis) -> Result<Vec<Interval>, Refusal> {
        check_hold(self.hold_end, now)?;
        self.when.intervals(now)
    }
}

fn check_hold(hold_end: Millis, now: Millis) -> Result<(), Refusal> {
    in_range("hold_end", hold_end, now.saturating_add(1), now.saturating_add(LONGEST_HOLD))
}

impl When {
    /// Its intervals from an instant on, in order and apart, at least one; the first without what has passed.
    ///
    /// # Errors
    /// A field that is out of its bounds.
    pub fn intervals(&self, now: Millis) -> Result<Vec<Interval>, Refusal> {
        let horizon = now.saturating_add(HORIZON).min(LAST_INSTANT);
        match self {
            When::Once(Interval { start, end }) => {
                in_range("when.start", *start, 0, horizon)?;
                in_range("when.end", *end, 0, horizon)?;
                if end <= start {
                    return Err(Refusal::of("when.end", Fault::Empty));
                }
                if *end <= now {
                    return Err(Refusal::of("when.end", Fault::Past));
                }
                in_range("when.end", *end, start + 1, start.saturating_add(LONGEST))?;
                Ok(vec![Interval { start: (*start).max(now), end: *end }])
            }
            When::Repeat(repeat) => {
                in_range("when.first", repeat.first, 0, horizon)?;
                in_range("when.until", repeat.until, 0, horizon)?;
                in_range("when.from", repeat.from.into(), 0, 1_439)?;
                in_range("when.to", repeat.to.into(), 0, 1_440)?;
                repeat.days.check()?;
                if repeat.until <= repeat.first {
                    return Err(Refusal::of("when.until", Fault::Empty));
                }
                let found = repeat.expand(now, MOST_OCCURRENCES + 1)?;
                if found.len() > MOST_OCCURRENCES {
                    return Err(Refusal::of("when.until", Fault::TooMany(MOST_OCCURRENCES as u64)));
                }
                if found.is_empty() {
                    return Err(Refusal::of("when", Fault::Empty));
                }
                Ok(found)
            }
        }
    }
}
