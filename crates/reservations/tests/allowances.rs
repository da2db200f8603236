//! Tests of allowances: the reservations and blackouts that the calendar reports at an instant.
mod common;

use common::{INFLEXIBLE, START, TestLog, hours, name};
use copperspread_reservations::{
    ActiveReservation, BlackoutEffect, BlackoutStatus, BlackoutTarget, HOUR, Interval, MILLISECOND,
    PARTS_PER_MILLION, SpanMillis, UpcomingBlackout, lendable_slots,
};

#[test]
fn allowances_list_reservations_in_effect_and_change_only_at_reported_instants() {
    let mut log = TestLog::new(HOUR, 10);
    let claim = log.propose_and_confirm(4, hours(2, 4), 0, INFLEXIBLE);
    let held = log.propose(3, hours(3, 5), 0, INFLEXIBLE);
    log.propose_and_confirm(1, hours(4, 6), 0, INFLEXIBLE);
    log.confirm_blackout(BlackoutTarget::Zone(name("north")), BlackoutEffect::NoNewWork, hours(40, 41));
    log.confirm_blackout(BlackoutTarget::Class(name("batch")), BlackoutEffect::NoWork, hours(30, 32));
    let cpu = |at| log.calendar.allowances(at).pools[&name("cpu")].clone();
    for (hour, unreserved) in [(1, 10), (2, 6), (3, 6), (4, 9), (5, 9), (6, 10)] {
        assert_eq!(cpu(START + hour * HOUR).unreserved_slots, unreserved, "at hour {hour}");
    }
    let reservations = &cpu(START + 3 * HOUR).reservations;
    assert_eq!(reservations.len(), 1, "the held claim {held} is not listed");
    let ActiveReservation { start, end, slots, .. } = reservations[0];
    assert_eq!((&reservations[0].claim, start, end, slots), (&claim, hours(2, 4).start, hours(2, 4).end, 4));

    let mut reported = Vec::new();
    let mut after = START;
    while let Some(next) = log.calendar.next_change_after(after) {
        reported.push((next - START) / HOUR);
        after = next;
    }
    assert_eq!(reported, [2, 4, 6, 30, 32, 40, 41]);
    let mut changes = Vec::new();
    for hour in 1..50 {
        let [before, now] = [MILLISECOND, SpanMillis::ZERO]
            .map(|earlier_by| log.calendar.allowances(START + hour * HOUR - earlier_by));
        if before != now {
            changes.push(hour);
        }
    }
    assert_eq!(changes, reported);
}

#[test]
fn a_blackout_status_has_the_end_of_the_blackout_and_the_instant_until_which_work_must_wait() {
    let mut log = TestLog::new(HOUR, 10);
    let target = BlackoutTarget::Tenant(name("food"));
    log.confirm_blackout(target.clone(), BlackoutEffect::NoWork, hours(10, 11));
    log.confirm_blackout(target.clone(), BlackoutEffect::NoWork, hours(11, 13));
    log.confirm_blackout(target.clone(), BlackoutEffect::NoNewWork, hours(12, 15));
    log.confirm_blackout(target.clone(), BlackoutEffect::NoNewWork, hours(20, 21));
    log.confirm_blackout(target, BlackoutEffect::NoWork, hours(60, 61));
    let status_at =
        |hour| log.calendar.allowances(START + hour * HOUR).tenant_blackouts.get(&name("food")).copied();
    let until = |hour: i64| Some(START + hour * HOUR);
    let upcoming = |start, end| {
        let Interval { start, end } = hours(start, end);
        Some(UpcomingBlackout { start, end })
    };
    let status = |no_new_work_until, no_work_until, upcoming| {
        Some(BlackoutStatus { no_new_work_until, no_work_until, upcoming })
    };
    for (hour, expected) in [
        (9, status(None, None, upcoming(10, 13))),
        (10, status(until(15), until(13), None)),
        (14, status(until(15), None, None)),
        (16, None),
        (20, status(until(21), None, None)),
        (35, None),
        (36, status(None, None, upcoming(60, 61))),
    ] {
        assert_eq!(status_at(hour), expected, "at hour {hour}");
    }
    let status_at_hour_9 = status_at(9).expect("a blackout is upcoming");
    for (max_duration, expected) in [
        (SpanMillis::ZERO, None),
        (HOUR, None),
        (HOUR + MILLISECOND, until(13)),
        (SpanMillis::MAX, until(13)),
    ] {
        assert_eq!(
            status_at_hour_9.wait_until(START + 9 * HOUR, max_duration),
            expected,
            "{max_duration} ms"
        );
    }
    assert_eq!(
        status_at(14).expect("a blackout applies").wait_until(START + 14 * HOUR, SpanMillis::ZERO),
        until(15)
    );
}

#[test]
fn only_unused_slots_are_lendable_and_at_the_lending_rate() {
    // Columns: slots reserved, slots used, milliseconds unused, lending rate in parts per million per second,
    // expected lendable slots.
    for (reserved, used, unused_for, rate, expected) in [
        (100, 0, 1_000, 10_000, 1),
        (100, 0, 999, 10_000, 0),
        (100, 0, 50_000, 10_000, 50),
        (100, 70, 50_000, 10_000, 30),
        (100, 100, 50_000, 10_000, 0),
        (100, 170, 50_000, 10_000, 0),
        (100, 0, 50_000, 0, 0),
        (100, 0, -5, 10_000, 0),
        (100, 40, 1_000, PARTS_PER_MILLION, 60),
        (u32::MAX, 0, i64::MAX, u32::MAX, u32::MAX),
    ] {
        let found = lendable_slots(reserved, used, SpanMillis(unused_for), rate);
        assert_eq!(found, expected, "{reserved} {used} {unused_for} {rate}");
    }
}
