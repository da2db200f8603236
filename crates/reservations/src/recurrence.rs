//! Schedules that recur by local time, with rules for the hours that a clock change skips or repeats.
use std::collections::BTreeSet;

use copperspread_identifiers::Name;
use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::interval::Interval;
use crate::rejection::{FieldError, Rejection};
use crate::time::{DAY, UnixMillis};

/// The number of minutes in a local day on which the clocks are not changed.
pub(crate) const MINUTES_PER_DAY: u16 = 1_440;

/// An interval of the local day that recurs on certain days, between the instants `not_before` and `until`.
///
/// If a clock change skips the local time of a start or an end, the instant of the clock change is used
/// instead. If a clock change repeats an hour, a start in that hour is taken the first time, and an end the
/// second time. The interval then contains every instant whose local time lies between the two.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat", expecting = "struct Repeat")]
pub struct Recurrence {
    /// The name of the time zone in the IANA database, such as `Africa/Cairo`.
    pub zone: Name,
    /// The local days on which the recurring interval starts.
    pub days: RecurrenceDays,
    /// The start of the recurring interval in minutes since local midnight, 0 to 1,439.
    #[serde(rename = "from")]
    pub start_minute: u16,
    /// The end of the recurring interval in minutes since local midnight, 0 to 1,440. An end at or before
    /// `start_minute` is on the next day.
    #[serde(rename = "to")]
    pub end_minute: u16,
    /// The instant before which no interval starts.
    #[serde(rename = "first")]
    pub not_before: UnixMillis,
    /// The instant after which no interval ends.
    pub until: UnixMillis,
}

/// The local days on which a recurring interval starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Days")]
pub enum RecurrenceDays {
    /// Days of the week on which the interval starts, from 1 for Monday to 7 for Sunday.
    #[serde(rename = "Week")]
    Weekdays(BTreeSet<u8>),
    /// Days of the month on which the interval starts. 1 to 31 count from the start of the month; -1 (the
    /// last day) to -31 count from the end. A day that a month does not have is skipped.
    #[serde(rename = "Month")]
    MonthDays(BTreeSet<i8>),
}

impl RecurrenceDays {
    /// Checks that there is at least one day, and that all days are in range. Days of the month are 1 to 31
    /// from the start of the month, or -1 (the last day) to -31 from its end. Day 0 is rejected, but the text
    /// of the error still gives the whole range, -31 to 31.
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

/// Whether a local time is the start or the end of an interval. If a clock change repeats an hour, a local
/// time in that hour stands for two instants. The earlier is used for a start, and the later for an end.
#[derive(Clone, Copy)]
enum IntervalBound {
    Start,
    End,
}

impl Recurrence {
    /// Returns the first intervals of the recurrence that end after `now`, at most `max_count`. They are in
    /// order of time and do not overlap. An interval that has already started begins at `now`.
    ///
    /// # Errors
    /// The time zone is unknown.
    pub(crate) fn occurrences(&self, now: UnixMillis, max_count: usize) -> Result<Vec<Interval>, Rejection> {
        // The time zone database that is compiled into the program is used. The databases of the members'
        // operating systems may differ, and then the members would compute different intervals.
        let zone = TimeZoneDatabase::bundled()
            .get(self.zone.as_str())
            .map_err(|_| Rejection::new("when.zone", FieldError::Unknown))?;
        let mut occurrences: Vec<Interval> = Vec::new();
        // An interval lasts at most one local day, which a clock change may prolong. A search that starts two
        // days early therefore finds an interval that has already started.
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
            // An interval begins no earlier than the end of the previous one. Without this rule, the two
            // could overlap when clocks are set back, so that each local time of an hour comes twice. An end
            // in that hour is taken the second time, and a start the first time.
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

/// The local time that the clock shows `minute_of_day` minutes after midnight on a date. A value of
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
            // A clock change skips this local time, so the instant of the clock change is used instead.
            // `ambiguous.later()` is the instant at which the clock would show this local time if it had not
            // been changed. That instant is at the clock change or less than a day after it. No other clock
            // change follows so soon, so the last clock change up to that instant is the right one.
            let after_change = ambiguous.later().ok()?.checked_add(SignedDuration::from_millis(1)).ok()?;
            zone.preceding(after_change).next()?.timestamp()
        }
        (_, IntervalBound::Start) => ambiguous.earlier().ok()?,
        (_, IntervalBound::End) => ambiguous.later().ok()?,
    };
    Some(UnixMillis(timestamp.as_millisecond()))
}
