//! What the module is handed.
mod common;

use common::*;
use copperspread_reservations::*;

#[test]
fn allowances_tell_what_is_reserved_and_change_only_where_next_change_says() {
    let mut log = Log::new(HOUR, 10);
    let claim = log.confirmed(4, hours(2, 4), 0, WHOLE);
    let held = log.propose(3, hours(3, 5), 0, WHOLE);
    log.confirmed(1, hours(4, 6), 0, WHOLE);
    log.black_out(BlackoutTarget::Zone(name("north")), BlackoutEffect::NoNewWork, hours(40, 41));
    log.black_out(BlackoutTarget::Class(name("batch")), BlackoutEffect::NoWork, hours(30, 32));
    let cpu = |at| log.calendar.allowances(at).pools[&name("cpu")].clone();
    for (hour, open) in [(1, 10), (2, 6), (3, 6), (4, 9), (5, 9), (6, 10)] {
        assert_eq!(cpu(START + hour * HOUR).unreserved_slots, open, "at hour {hour}");
    }
    let reserved = &cpu(START + 3 * HOUR).reservations;
    assert_eq!(reserved.len(), 1, "{held} is not confirmed");
    let ActiveReservation { start: since, end: until, slots, .. } = reserved[0];
    assert_eq!((&reserved[0].claim, since, until, slots), (&claim, hours(2, 4).start, hours(2, 4).end, 4));

    let mut edges = Vec::new();
    let mut after = START;
    while let Some(next) = log.calendar.next_change_after(after) {
        edges.push((next - START) / HOUR);
        after = next;
    }
    assert_eq!(edges, [2, 4, 6, 30, 32, 40, 41]);
    let mut changes = Vec::new();
    for hour in 1..50 {
        let [before, now] = [1, 0].map(|less| log.calendar.allowances(START + hour * HOUR - less));
        if before != now {
            changes.push(hour);
        }
    }
    assert_eq!(changes, edges);
}

#[test]
fn a_blackout_names_its_end_and_how_early_work_must_not_begin() {
    let mut log = Log::new(HOUR, 10);
    let target = BlackoutTarget::Tenant(name("food"));
    log.black_out(target.clone(), BlackoutEffect::NoWork, hours(10, 11));
    log.black_out(target.clone(), BlackoutEffect::NoWork, hours(11, 13));
    log.black_out(target.clone(), BlackoutEffect::NoNewWork, hours(12, 15));
    log.black_out(target.clone(), BlackoutEffect::NoNewWork, hours(20, 21));
    log.black_out(target, BlackoutEffect::NoWork, hours(60, 61));
    let of = |hour| log.calendar.allowances(START + hour * HOUR).tenant_blackouts.get(&name("food")).copied();
    let until = |hour: i64| Some(START + hour * HOUR);
    let ahead = |start, end| {
        let Interval { start, end } = hours(start, end);
        Some(UpcomingBlackout { start, end })
    };
    let blacked = |no_new, no, ahead| {
        Some(BlackoutStatus { no_new_work_until: no_new, no_work_until: no, upcoming: ahead })
    };
    for (hour, expected) in [
        (9, blacked(None, None, ahead(10, 13))),
        (10, blacked(until(15), until(13), None)),
        (14, blacked(until(15), None, None)),
        (16, None),
        (20, blacked(until(21), None, None)),
        (35, None),
        (36, blacked(None, None, ahead(60, 61))),
    ] {
        assert_eq!(of(hour), expected, "at hour {hour}");
    }
    let nine = of(9).expect("ahead");
    for (longest, expected) in [(0, None), (HOUR, None), (HOUR + 1, until(13)), (i64::MAX, until(13))] {
        assert_eq!(nine.wait_until(START + 9 * HOUR, longest), expected, "longest {longest}");
    }
    assert_eq!(of(14).expect("now").wait_until(START + 14 * HOUR, 0), until(15));
}

#[test]
fn what_is_unused_is_lent_at_the_stated_speed_and_no_more_than_that() {
    // (reserved, used, unused for so many ms, parts in a million a second) and what is lent.
    for (reserved, used, since, speed, expected) in [
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
        let found = lendable_slots(reserved, used, since, speed);
        assert_eq!(found, expected, "{reserved} {used} {since} {speed}");
    }
}
