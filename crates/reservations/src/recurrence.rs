//! Recurrences by local time, including the hours that a clock change skips or repeats.
use std::collections::BTreeSet;

use copperspread_identifiers::Name;
use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::interval::Interval;
use crate::rejection::{FieldError, Rejection};
use crate::time::{DAY, UnixMillis};

/// Minutes of a local day, as a wall clock counts them.
pub(crate) const MINUTES_PER_DAY: u16 = 1_440;

/// An interval of the local day, on certain days, between two instants.
///
/// A start or an end in an hour that a clock change skips is the instant of the change. Of an hour that is
/// repeated the start is in the first and the end in the second, so that the interval covers all that its
/// wall clock times name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat", expecting = "struct Repeat")]
pub struct Recurrence {
    /// The zone's name in the IANA database, such as `Africa/Cairo`.
    pub zone: Name,
    /// The local days on which an occurrence starts.
    pub days: RecurrenceDays,
    /// The start in minutes of the local day, 0 to 1,439.
    #[serde(rename = "from")]
    pub start_minute: u16,
    /// The end in minutes of the local day, 0 to 1,440; of the next day unless it is after `start_minute`.
    #[serde(rename = "to")]
    pub end_minute: u16,
    /// No occurrence starts before.
    #[serde(rename = "first")]
    pub not_before: UnixMillis,
    /// No occurrence ends later.
    pub until: UnixMillis,
}

/// Days of the local calendar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Days")]
pub enum RecurrenceDays {
    /// Days of the week: 1 for Monday to 7 for Sunday.
    #[serde(rename = "Week")]
    Weekdays(BTreeSet<u8>),
    /// Days of the month: 1 to 31 from its start, or -1 (the last) to -31 from its end. A month without such
    /// a day has no occurrence.
    #[serde(rename = "Month")]
    MonthDays(BTreeSet<i8>),
}

impl RecurrenceDays {
    /// Checks that there is a day, and that all are in range.
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

/// Which bound of an interval a local time is; it decides between the two instants of a repeated hour.
#[derive(Clone, Copy)]
enum IntervalBound {
    Start,
    End,
}

impl Recurrence {
    /// The occurrences that end after `now`, in order and disjoint, at most `max_count`. The first is without
    /// what has passed of it.
    pub(crate) fn occurrences(&self, now: UnixMillis, max_count: usize) -> Result<Vec<Interval>, Rejection> {
        // The bundled database and no other: the systems' own may differ among members.
        let zone = TimeZoneDatabase::bundled()
            .get(self.zone.as_str())
            .map_err(|_| Rejection::new("when.zone", FieldError::Unknown))?;
        let mut occurrences: Vec<Interval> = Vec::new();
        // From two days before, as an occurrence may have started already.
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
            // An end in the second of a repeated hour may lie after the next start, which is in the first.
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

/// The local time so many minutes into a date; the midnight after it at [`MINUTES_PER_DAY`].
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
            // The later reading lies at the change or after it, by less than a day.
            let after_change = ambiguous.later().ok()?.checked_add(SignedDuration::from_millis(1)).ok()?;
            zone.preceding(after_change).next()?.timestamp()
        }
        (_, IntervalBound::Start) => ambiguous.earlier().ok()?,
        (_, IntervalBound::End) => ambiguous.later().ok()?,
    };
    Some(UnixMillis(timestamp.as_millisecond()))
}
