//! Recurrences by local time, with rules for the hours that a clock change skips or repeats.
use std::collections::BTreeSet;

use copperspread_identifiers::Name;
use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::interval::Interval;
use crate::rejection::{FieldError, Rejection};
use crate::time::{DAY, UnixMillis};

/// The minutes of a local day without a clock change.
pub(crate) const MINUTES_PER_DAY: u16 = 1_440;

/// A recurring interval of the local day, on certain days, between two instants.
///
/// A start or end within an hour that a clock change skips is moved to the instant of the change. Within an
/// hour that is repeated, a start is in the first pass and an end in the second, so that the interval
/// contains every instant whose local time lies between the two.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat", expecting = "struct Repeat")]
pub struct Recurrence {
    /// The name of the time zone in the IANA database, such as `Africa/Cairo`.
    pub zone: Name,
    /// The local days on which an occurrence starts.
    pub days: RecurrenceDays,
    /// The start in minutes since local midnight, 0 to 1,439.
    #[serde(rename = "from")]
    pub start_minute: u16,
    /// The end in minutes since local midnight, 0 to 1,440. An end at or before `start_minute` is on the next
    /// day.
    #[serde(rename = "to")]
    pub end_minute: u16,
    /// The instant before which no occurrence starts.
    #[serde(rename = "first")]
    pub not_before: UnixMillis,
    /// The instant after which no occurrence ends.
    pub until: UnixMillis,
}

/// The local days on which a recurrence has an occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Days")]
pub enum RecurrenceDays {
    /// Days of the week, from 1 for Monday to 7 for Sunday.
    #[serde(rename = "Week")]
    Weekdays(BTreeSet<u8>),
    /// Days of the month: 1 to 31 counted from the start of the month, or -1 (the last day) to -31 counted
    /// from the end of the month. A day that a month does not have is skipped.
    #[serde(rename = "Month")]
    MonthDays(BTreeSet<i8>),
}

impl RecurrenceDays {
    /// Checks that there is at least one day, and that all days are in range. Day 0 of the month, which does
    /// not exist, is reported as out of the range -31 to 31.
    pub(crate) fn validate(&self) -> Result<(), Rejection> {
        match self {
            RecurrenceDays::Weekdays(days) => {
                let is_in_range = days.iter().all(|day| (1..=7).contains(day));
                check_days("when.days.week", days.is_empty(), is_in_range, 1, 7)
            }
            RecurrenceDays::MonthDays(days) => {
                let is_in_range = days.iter().all(|day| *day != 0 && (-31..=31).contains(day));
                check_days("when.days.month", days.is_empty(), is_in_range, -31, 31)
            }
        }
    }

    fn contains(&self, date: Date) -> bool {
        match self {
            RecurrenceDays::Weekdays(days) => {
                days.contains(&date.weekday().to_monday_one_offset().unsigned_abs())
            }
            RecurrenceDays::MonthDays(days) => {
                days.contains(&date.day()) || days.contains(&(date.day() - date.days_in_month() - 1))
            }
        }
    }
}

fn check_days(
    field: &'static str,
    is_empty: bool,
    is_in_range: bool,
    min: i64,
    max: i64,
) -> Result<(), Rejection> {
    if is_empty {
        Err(Rejection::new(field, FieldError::Empty))
    } else if is_in_range {
        Ok(())
    } else {
        Err(Rejection::new(field, FieldError::OutOfRange { min, max }))
    }
}

/// Whether a local time is the start or the end of an interval. In a repeated hour, a local time stands for
/// two instants, and the bound decides which of them is meant.
#[derive(Clone, Copy)]
enum IntervalBound {
    Start,
    End,
}

impl Recurrence {
    /// At most the first `max_count` occurrences that end after `now`, in order of time and disjoint. An
    /// occurrence that has started begins at `now`.
    ///
    /// # Errors
    /// The time zone is unknown.
    pub(crate) fn occurrences(&self, now: UnixMillis, max_count: usize) -> Result<Vec<Interval>, Rejection> {
        // The bundled time zone database is used, because the databases of the members' operating systems may
        // differ.
        let zone = TimeZoneDatabase::bundled()
            .get(self.zone.as_str())
            .map_err(|_| Rejection::new("when.zone", FieldError::Unknown))?;
        let mut occurrences: Vec<Interval> = Vec::new();
        // The search starts two days early, because an occurrence may already have started.
        let search_start = self.not_before.max(now).saturating_sub(2 * DAY);
        let Ok(search_start) = Timestamp::from_millisecond(search_start.0) else { return Ok(occurrences) };
        let mut date = zone.to_datetime(search_start).date();
        let mut last_end = UnixMillis::MIN;
        while occurrences.len() < max_count {
            let Some(Interval { start, end }) = self.occurrence_on(&zone, date) else { break };
            if start >= self.until {
                break;
            }
            let is_included = self.days.contains(date) && start >= self.not_before && end <= self.until;
            // An occurrence begins no earlier than the end of the previous occurrence. Without this rule, the
            // two could overlap in an hour that is repeated because clocks are set back: an end in that hour
            // is taken from the second pass, and a start from the first pass.
            let start = start.max(last_end).max(now);
            if is_included && start < end {
                occurrences.push(Interval { start, end });
                last_end = end;
            }
            let Ok(next_date) = date.tomorrow() else { break };
            date = next_date;
        }
        Ok(occurrences)
    }

    fn occurrence_on(&self, zone: &TimeZone, date: Date) -> Option<Interval> {
        let start = resolve_instant(zone, local_time(date, self.start_minute)?, IntervalBound::Start)?;
        let ends_next_day = self.end_minute <= self.start_minute;
        let end_date = if ends_next_day { date.tomorrow().ok()? } else { date };
        let end = resolve_instant(zone, local_time(end_date, self.end_minute)?, IntervalBound::End)?;
        Some(Interval { start, end })
    }
}

/// The local time on a date that is `minute_of_day` minutes after midnight by the clock. A value of
/// [`MINUTES_PER_DAY`] stands for the midnight at the end of the date.
fn local_time(date: Date, minute_of_day: u16) -> Option<DateTime> {
    let (date, minute_of_day) =
        if minute_of_day >= MINUTES_PER_DAY { (date.tomorrow().ok()?, 0) } else { (date, minute_of_day) };
    let hour = i8::try_from(minute_of_day / 60).ok()?;
    let minute = i8::try_from(minute_of_day % 60).ok()?;
    Some(date.to_datetime(Time::new(hour, minute, 0, 0).ok()?))
}

fn resolve_instant(zone: &TimeZone, local: DateTime, bound: IntervalBound) -> Option<UnixMillis> {
    let ambiguous = zone.to_ambiguous_timestamp(local);
    let timestamp = match (ambiguous.offset(), bound) {
        (AmbiguousOffset::Gap { .. }, _) => {
            // This local time is skipped by a clock change, and the instant of the change is used instead.
            // `ambiguous.later()` is at the change or less than a day after the change, so the change is the
            // last clock change up to `ambiguous.later()`.
            let after_change = ambiguous.later().ok()?.checked_add(SignedDuration::from_millis(1)).ok()?;
            zone.preceding(after_change).next()?.timestamp()
        }
        (_, IntervalBound::Start) => ambiguous.earlier().ok()?,
        (_, IntervalBound::End) => ambiguous.later().ok()?,
    };
    Some(UnixMillis(timestamp.as_millisecond()))
}
