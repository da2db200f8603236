//! Repeats by local time, through the hours that do not exist or come twice.
use std::collections::BTreeSet;

use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{FieldError, Interval, Millis, Name, Rejection};

/// An interval of the local day, on some days, from one instant to another.
///
/// A start or an end at an hour that does not exist is the instant at which the clock is put forward. Of an
/// hour that comes twice the start takes the first and the end the second, so that the interval has all that
/// its wall clock says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat")]
pub struct Recurrence {
    /// The zone's name in the IANA database, such as `Africa/Cairo`.
    pub zone: Name,
    /// On which days it begins.
    pub days: RecurrenceDays,
    /// Its start in minutes of the local day, 0 to 1,439.
    #[serde(rename = "from")]
    pub start_minute: u16,
    /// Its end in minutes of the local day, 0 to 1,440; up to `from` it is of the next day.
    #[serde(rename = "to")]
    pub end_minute: u16,
    /// No occurrence starts before.
    #[serde(rename = "first")]
    pub not_before: Millis,
    /// No occurrence ends later.
    pub until: Millis,
}

/// Days by the local calendar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Days")]
pub enum RecurrenceDays {
    /// Days of the week: 1 for Monday to 7 for Sunday.
    #[serde(rename = "Week")]
    Weekdays(BTreeSet<u8>),
    /// Days of the month: 1 to 31, or -1 for the last to -31. A month without the day has none.
    #[serde(rename = "Month")]
    MonthDays(BTreeSet<i8>),
}

impl RecurrenceDays {
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        let (field, empty, good, least, most) = match self {
            RecurrenceDays::Weekdays(days) => {
                ("when.days.week", days.is_empty(), days.iter().all(|day| (1..=7).contains(day)), 1, 7)
            }
            RecurrenceDays::MonthDays(days) => {
                let good = days.iter().all(|day| *day != 0 && (-31..=31).contains(day));
                ("when.days.month", days.is_empty(), good, -31, 31)
            }
        };
        match (empty, good) {
            (true, _) => Err(Rejection::new(field, FieldError::Empty)),
            (false, true) => Ok(()),
            (false, false) => Err(Rejection::new(field, FieldError::OutOfRange { min: least, max: most })),
        }
    }

    fn contain(&self, date: Date) -> bool {
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

/// Which of two instants an ambiguous local time is.
#[derive(Clone, Copy)]
enum IntervalBound {
    Start,
    End,
}

impl Recurrence {
    /// The occurrences that end after `now`, in order and apart, at most so many. What has passed of the first
    /// is cut off.
    pub(crate) fn occurrences(&self, now: Millis, most: usize) -> Result<Vec<Interval>, Rejection> {
        // The bundled database and no other: a system's own would differ among members.
        let zone = TimeZoneDatabase::bundled()
            .get(self.zone.as_str())
            .map_err(|_| Rejection::new("when.zone", FieldError::Unknown))?;
        let mut found: Vec<Interval> = Vec::new();
        // Two days before, as an occurrence may be under way.
        let begin = self.not_before.max(now).saturating_sub(2 * crate::DAY);
        let Ok(begin) = Timestamp::from_millisecond(begin) else { return Ok(found) };
        let mut date = zone.to_datetime(begin).date();
        let mut last_end = Millis::MIN;
        while found.len() < most {
            let Some(Interval { start, end }) = self.on(&zone, date) else { break };
            if start >= self.until {
                break;
            }
            // Where an end takes the second of an hour and the next start the first, the earlier one goes on.
            let wanted = self.days.contain(date) && start >= self.not_before && end <= self.until;
            let start = start.max(last_end).max(now);
            if wanted && start < end {
                found.push(Interval { start, end });
                last_end = end;
            }
            let Ok(next) = date.tomorrow() else { break };
            date = next;
        }
        Ok(found)
    }

    fn on(&self, zone: &TimeZone, date: Date) -> Option<Interval> {
        let start = instant(zone, at_minute(date, self.start_minute)?, IntervalBound::Start)?;
        let last = if self.end_minute <= self.start_minute { date.tomorrow().ok()? } else { date };
        let end = instant(zone, at_minute(last, self.end_minute)?, IntervalBound::End)?;
        Some(Interval { start, end })
    }
}

fn at_minute(date: Date, minute: u16) -> Option<DateTime> {
    let (date, minute) = if minute >= 1_440 { (date.tomorrow().ok()?, 0) } else { (date, minute) };
    let (hour, minute) = (i8::try_from(minute / 60).ok()?, i8::try_from(minute % 60).ok()?);
    Some(date.to_datetime(Time::new(hour, minute, 0, 0).ok()?))
}

fn instant(zone: &TimeZone, local: DateTime, edge: IntervalBound) -> Option<Millis> {
    let ambiguous = zone.to_ambiguous_timestamp(local);
    let found = match (ambiguous.offset(), edge) {
        (AmbiguousOffset::Gap { .. }, _) => {
            // The later reading lies at the change or after it, by less than a day.
            let after = ambiguous.later().ok()?.checked_add(SignedDuration::from_millis(1)).ok()?;
            zone.preceding(after).next()?.timestamp()
        }
        (_, IntervalBound::Start) => ambiguous.earlier().ok()?,
        (_, IntervalBound::End) => ambiguous.later().ok()?,
    };
    Some(found.as_millisecond())
}
