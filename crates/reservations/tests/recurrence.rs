//! Tests of recurrences by local time, including the nights on which the clock changes.
use copperspread_reservations::{
    DAY, FieldError, HOUR, Interval, MAX_INTERVAL_LENGTH, MILLISECOND, Name, PLANNING_HORIZON, Recurrence,
    RecurrenceDays, Rejection, Schedule, UnixMillis,
};

/// The start and end of a recurrence or of an interval, as RFC 3339 texts.
type Bounds<'a> = (&'a str, &'a str);
/// The start and end of an interval of the local day, each as hour and minute.
type LocalInterval = ((u16, u16), (u16, u16));

fn utc(text: &str) -> UnixMillis {
    UnixMillis(text.parse::<jiff::Timestamp>().expect("valid instant").as_millisecond())
}

fn recurring(
    zone: &str,
    days: RecurrenceDays,
    ((start_hour, start_minute), (end_hour, end_minute)): LocalInterval,
    bounds: Bounds<'_>,
) -> Schedule {
    Schedule::Recurring(Recurrence {
        zone: Name::new(zone).expect("valid name"),
        days,
        start_minute: start_hour * 60 + start_minute,
        end_minute: end_hour * 60 + end_minute,
        not_before: utc(bounds.0),
        until: utc(bounds.1),
    })
}

fn every_day() -> RecurrenceDays {
    RecurrenceDays::Weekdays((1..=7).collect())
}

#[test]
fn an_interval_across_a_clock_change_contains_every_instant_between_its_local_times() {
    // Clock changes in 2026, with the local times before and after: in Amsterdam at 01:00Z on 29 March (02:00
    // to 03:00) and at 01:00Z on 25 October (03:00 to 02:00); in Cairo at 22:00Z on 23 April (midnight to
    // 01:00 on the 24th) and at 21:00Z on 29 October (midnight to 23:00 on the 29th).
    let (amsterdam, cairo) = ("Europe/Amsterdam", "Africa/Cairo");
    let spring = ("2026-03-28T12:00:00Z", "2026-03-29T12:00:00Z");
    let autumn = ("2026-10-24T12:00:00Z", "2026-10-25T12:00:00Z");
    let cairo_spring = ("2026-04-23T12:00:00Z", "2026-04-24T12:00:00Z");
    let cairo_autumn = ("2026-10-29T12:00:00Z", "2026-10-30T12:00:00Z");
    let cases: [(&str, Bounds<'_>, LocalInterval, Option<Bounds<'_>>); 17] = [
        (amsterdam, spring, ((1, 0), (4, 0)), Some(("2026-03-29T00:00:00Z", "2026-03-29T02:00:00Z"))),
        (amsterdam, spring, ((2, 0), (4, 0)), Some(("2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z"))),
        (amsterdam, spring, ((2, 30), (4, 0)), Some(("2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z"))),
        (amsterdam, spring, ((1, 0), (2, 30)), Some(("2026-03-29T00:00:00Z", "2026-03-29T01:00:00Z"))),
        (amsterdam, spring, ((2, 10), (2, 50)), None),
        (amsterdam, spring, ((22, 0), (6, 0)), Some(("2026-03-28T21:00:00Z", "2026-03-29T04:00:00Z"))),
        (amsterdam, autumn, ((2, 0), (3, 0)), Some(("2026-10-25T00:00:00Z", "2026-10-25T02:00:00Z"))),
        (amsterdam, autumn, ((2, 30), (2, 45)), Some(("2026-10-25T00:30:00Z", "2026-10-25T01:45:00Z"))),
        (amsterdam, autumn, ((3, 0), (4, 0)), Some(("2026-10-25T02:00:00Z", "2026-10-25T03:00:00Z"))),
        (amsterdam, autumn, ((22, 0), (6, 0)), Some(("2026-10-24T20:00:00Z", "2026-10-25T05:00:00Z"))),
        (cairo, cairo_spring, ((0, 0), (2, 0)), Some(("2026-04-23T22:00:00Z", "2026-04-23T23:00:00Z"))),
        (cairo, cairo_spring, ((0, 10), (0, 50)), None),
        (cairo, cairo_spring, ((23, 0), (24, 0)), Some(("2026-04-23T21:00:00Z", "2026-04-23T22:00:00Z"))),
        (cairo, cairo_spring, ((22, 0), (0, 30)), Some(("2026-04-23T20:00:00Z", "2026-04-23T22:00:00Z"))),
        (cairo, cairo_autumn, ((23, 0), (24, 0)), Some(("2026-10-29T20:00:00Z", "2026-10-29T22:00:00Z"))),
        (cairo, cairo_autumn, ((23, 30), (0, 30)), Some(("2026-10-29T20:30:00Z", "2026-10-29T22:30:00Z"))),
        (cairo, cairo_autumn, ((22, 0), (23, 30)), Some(("2026-10-29T19:00:00Z", "2026-10-29T21:30:00Z"))),
    ];
    for (zone, bounds, local_interval, expected) in cases {
        let found = recurring(zone, every_day(), local_interval, bounds).intervals(utc(bounds.0));
        let expected = match expected {
            Some((start, end)) => Ok(vec![Interval { start: utc(start), end: utc(end) }]),
            None => Err(Rejection { field: "when".into(), error: FieldError::Empty }),
        };
        assert_eq!(found, expected, "{zone} {bounds:?} {local_interval:?}");
    }
}

#[test]
fn a_24_hour_occurrence_does_not_overlap_the_next_in_a_repeated_hour() {
    let bounds = ("2026-10-22T00:00:00Z", "2026-10-28T12:00:00Z");
    let found =
        recurring("Europe/Amsterdam", every_day(), ((2, 30), (2, 30)), bounds).intervals(utc(bounds.0));
    let found = found.expect("valid schedule");
    assert_eq!(found.len(), 6);
    assert!(found.windows(2).all(|two| two[0].end == two[1].start), "{found:?}");
    assert_eq!(found[2].length(), 25 * HOUR, "from 02:30 on the 24th to the second 02:30 on the 25th");
    assert_eq!(found[3].length(), 24 * HOUR);
}

#[test]
fn days_of_the_month_count_from_both_ends_and_are_skipped_where_they_do_not_exist() {
    let bounds = ("2026-01-15T00:00:00Z", "2026-06-15T00:00:00Z");
    for (days, expected) in [
        (vec![-1], vec!["2026-01-31", "2026-02-28", "2026-03-31", "2026-04-30", "2026-05-31"]),
        (vec![30], vec!["2026-01-30", "2026-03-30", "2026-04-30", "2026-05-30"]),
        (
            vec![30, -2],
            vec!["2026-01-30", "2026-02-27", "2026-03-30", "2026-04-29", "2026-04-30", "2026-05-30"],
        ),
        (vec![-31], vec!["2026-03-01", "2026-05-01"]),
    ] {
        let monthly = recurring(
            "UTC",
            RecurrenceDays::MonthDays(days.iter().copied().collect()),
            ((8, 0), (9, 0)),
            bounds,
        );
        let starts: Vec<_> =
            monthly.intervals(utc(bounds.0)).expect("valid schedule").iter().map(|each| each.start).collect();
        let expected: Vec<_> = expected.iter().map(|day| utc(&format!("{day}T08:00:00Z"))).collect();
        assert_eq!(starts, expected, "{days:?}");
    }
}

#[test]
fn a_value_out_of_bounds_is_rejected_with_its_field() {
    let now = utc("2026-01-01T00:00:00Z");
    let valid = || Recurrence {
        zone: Name::new("UTC").expect("valid name"),
        days: RecurrenceDays::Weekdays([1].into()),
        start_minute: 480,
        end_minute: 540,
        not_before: now,
        until: now + 30 * DAY,
    };
    let once = |start, end| Schedule::Once(Interval { start, end });
    let range = |least, most| FieldError::OutOfRange { min: least, max: most };
    let instants = |least: UnixMillis, most: UnixMillis| range(least.0, most.0);
    let cases = [
        (once(now + 2 * MILLISECOND, now + MILLISECOND), "when.end", FieldError::Empty),
        (once(now - 2 * MILLISECOND, now), "when.end", FieldError::InThePast),
        (
            once(now, now + MAX_INTERVAL_LENGTH + MILLISECOND),
            "when.end",
            instants(now + MILLISECOND, now + MAX_INTERVAL_LENGTH),
        ),
        (
            once(UnixMillis::MIN, UnixMillis::MAX),
            "when.start",
            instants(UnixMillis::EPOCH, now + PLANNING_HORIZON),
        ),
        (once(now, UnixMillis::MAX), "when.end", instants(UnixMillis::EPOCH, now + PLANNING_HORIZON)),
        (
            Schedule::Recurring(Recurrence { zone: Name::new("Mars/Base").expect("valid name"), ..valid() }),
            "when.zone",
            FieldError::Unknown,
        ),
        (Schedule::Recurring(Recurrence { start_minute: 1_440, ..valid() }), "when.from", range(0, 1_439)),
        (Schedule::Recurring(Recurrence { end_minute: 1_441, ..valid() }), "when.to", range(0, 1_440)),
        (Schedule::Recurring(Recurrence { until: now, ..valid() }), "when.until", FieldError::Empty),
        (
            Schedule::Recurring(Recurrence { until: UnixMillis::MAX, ..valid() }),
            "when.until",
            instants(UnixMillis::EPOCH, now + PLANNING_HORIZON),
        ),
        (
            Schedule::Recurring(Recurrence { days: RecurrenceDays::Weekdays([8].into()), ..valid() }),
            "when.days.week",
            range(1, 7),
        ),
        (
            Schedule::Recurring(Recurrence { days: RecurrenceDays::MonthDays([0].into()), ..valid() }),
            "when.days.month",
            range(-31, 31),
        ),
        (
            Schedule::Recurring(Recurrence { days: RecurrenceDays::MonthDays([].into()), ..valid() }),
            "when.days.month",
            FieldError::Empty,
        ),
    ];
    for (schedule, field, error) in cases {
        let expected = Err(Rejection { field: field.into(), error });
        assert_eq!(schedule.intervals(now), expected, "{schedule:?}");
    }
    assert_eq!(Schedule::Recurring(valid()).intervals(now).map(|found| found.len()), Ok(4));
}
