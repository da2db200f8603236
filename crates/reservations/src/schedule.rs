//! Schedules of claims: a single interval, or a recurring one.
use serde::{Deserialize, Serialize};

use crate::interval::Interval;
use crate::limits::{MAX_INSTANT, MAX_INTERVAL_LENGTH, MAX_OCCURRENCES_PER_RECURRENCE, PLANNING_HORIZON};
use crate::recurrence::{MINUTES_PER_DAY, Recurrence};
use crate::rejection::{FieldError, Rejection, check_instant, check_range};
use crate::time::{MILLISECOND, UnixMillis};

/// The schedule of a claim: a single interval, or an interval that recurs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "When")]
pub enum Schedule {
    /// The claim has a single interval. The part that has passed when the claim is proposed is left out.
    Once(Interval),
    /// The claim has an interval that recurs by local time.
    #[serde(rename = "Repeat")]
    Recurring(Recurrence),
}

impl Schedule {
    /// Returns the intervals of the schedule from `now` on: at least one, in order of time and without
    /// overlap. An interval that has already started begins at `now`.
    ///
    /// # Errors
    /// A rejection that names the first invalid field. If the schedule has no interval or too many intervals,
    /// the rejection names the field that causes this.
    pub fn intervals(&self, now: UnixMillis) -> Result<Vec<Interval>, Rejection> {
        let horizon = now.saturating_add(PLANNING_HORIZON).min(MAX_INSTANT);
        match self {
            Schedule::Once(interval) => remaining_interval(*interval, now, horizon).map(|rest| vec![rest]),
            Schedule::Recurring(recurrence) => recurring_intervals(recurrence, now, horizon),
        }
    }
}

fn remaining_interval(
    interval: Interval,
    now: UnixMillis,
    horizon: UnixMillis,
) -> Result<Interval, Rejection> {
    let Interval { start, end } = interval;
    check_instant("when.start", start, UnixMillis::EPOCH, horizon)?;
    check_instant("when.end", end, UnixMillis::EPOCH, horizon)?;
    if end <= start {
        return Err(Rejection::new("when.end", FieldError::Empty));
    }
    if end <= now {
        return Err(Rejection::new("when.end", FieldError::InThePast));
    }
    check_instant("when.end", end, start + MILLISECOND, start.saturating_add(MAX_INTERVAL_LENGTH))?;
    Ok(Interval { start: start.max(now), end })
}

fn recurring_intervals(
    recurrence: &Recurrence,
    now: UnixMillis,
    horizon: UnixMillis,
) -> Result<Vec<Interval>, Rejection> {
    check_instant("when.first", recurrence.not_before, UnixMillis::EPOCH, horizon)?;
    check_instant("when.until", recurrence.until, UnixMillis::EPOCH, horizon)?;
    check_range("when.from", recurrence.start_minute.into(), 0, i64::from(MINUTES_PER_DAY) - 1)?;
    check_range("when.to", recurrence.end_minute.into(), 0, MINUTES_PER_DAY.into())?;
    recurrence.days.validate()?;
    if recurrence.until <= recurrence.not_before {
        return Err(Rejection::new("when.until", FieldError::Empty));
    }
    let intervals = recurrence.occurrences(now, MAX_OCCURRENCES_PER_RECURRENCE + 1)?;
    if intervals.len() > MAX_OCCURRENCES_PER_RECURRENCE {
        let limit = MAX_OCCURRENCES_PER_RECURRENCE as u64;
        return Err(Rejection::new("when.until", FieldError::LimitExceeded(limit)));
    }
    if intervals.is_empty() {
        return Err(Rejection::new("when", FieldError::Empty));
    }
    Ok(intervals)
}
