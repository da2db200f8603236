//! What the calendar reports as reserved and blacked out.
mod common;

use common::{INFLEXIBLE, START, TestLog, hours, name};
use copperspread_reservations::{
    ActiveReservation, BlackoutEffect, BlackoutStatus, BlackoutTarget, HOUR, Interval, MILLISECOND,
    PARTS_PER_MILLION, SpanMillis, UpcomingBlackout, lendable_slots,
};

#[test]
fn allowances_list_active_reservations_and_differ_only_after_a_reported_change() {
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
    assert_eq!(reservations.len(), 1, "{held} is not confirmed");
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
fn a_blackout_reports_its_end_and_until_when_work_must_wait() {
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
    let nine = status_at(9).expect("a blackout ahead");
    for (max_duration, expected) in [
        (SpanMillis::ZERO, None),
        (HOUR, None),
        (HOUR + MILLISECOND, until(13)),
        (SpanMillis::MAX, until(13)),
    ] {
        assert_eq!(nine.wait_until(START + 9 * HOUR, max_duration), expected, "{max_duration} ms");
    }
    assert_eq!(
        status_at(14).expect("a current blackout").wait_until(START + 14 * HOUR, SpanMillis::ZERO),
        until(15)
    );
}

#[test]
fn unused_slots_are_lent_at_the_lending_rate_and_no_others() {
    // Slots reserved and used, milliseconds unused, lending rate in parts per million a second, and slots
    // lent.
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
