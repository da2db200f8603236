//! Tests of the rules for conflicts between claims, blackouts and pool sizes.
mod common;

use common::{INFLEXIBLE, PARTIAL, SPLITTABLE, START, TestLog, allocation, hours, name, reservation_request};
use copperspread_reservations::{
    AllocationChange, Amount, BlackoutEffect, BlackoutTarget, Change, ClaimState, CommandBody, DAY,
    FieldError, Flexibility, HOUR, InvalidTransition, MILLISECOND, Reason, Recurrence, RecurrenceDays,
    Rejection, ReservationRequest, Schedule, SpanMillis, Transition,
};

#[test]
fn a_claim_that_fits_is_held_then_confirmed_active_done_and_removed() {
    let mut log = TestLog::new(HOUR, 10);
    let claim = log.propose(10, hours(2, 4), 0, INFLEXIBLE);
    assert_eq!((log.state_of(&claim), log.last_reason(&claim)), (ClaimState::Held, Reason::Fits));
    log.append(CommandBody::Confirm(claim.clone()));
    assert_eq!(log.state_of(&claim), ClaimState::Confirmed);
    for (hour, expected) in
        [(1, ClaimState::Confirmed), (2, ClaimState::Active), (3, ClaimState::Active), (4, ClaimState::Done)]
    {
        log.advance_to_hour(hour);
        assert_eq!(log.state_of(&claim), expected, "at hour {hour}");
    }
    log.advance_to_hour(29);
    assert_eq!(log.calendar.state_of(&claim), None);
}

#[test]
fn a_hold_occupies_capacity_only_until_it_lapses() {
    let mut log = TestLog::new(HOUR, 10);
    let held = log.propose(10, hours(30, 32), 0, INFLEXIBLE);
    let conflicting = log.propose(1, hours(31, 33), 0, INFLEXIBLE);
    let blocked = hours(31, 32);
    let alternative = Some(hours(32, 34));
    assert_eq!(
        (log.state_of(&conflicting), log.last_reason(&conflicting)),
        (ClaimState::Rejected, Reason::Infeasible { blocked, alternative })
    );
    log.advance_to_hour(24);
    assert_eq!((log.state_of(&held), log.last_reason(&held)), (ClaimState::Lapsed, Reason::HoldExpired));
    log.append(CommandBody::Confirm(held.clone()));
    let invalid_transition = InvalidTransition { from: ClaimState::Lapsed, transition: Transition::Confirm };
    let rejection =
        Rejection { field: "confirm".into(), error: FieldError::InvalidTransition(invalid_transition) };
    assert_eq!(log.events.last().expect("the command was rejected").change, Change::Rejected(rejection));
    let later_request = ReservationRequest {
        hold_end: START + 25 * HOUR,
        ..reservation_request(10, hours(31, 33), 0, INFLEXIBLE)
    };
    let later = log.append(CommandBody::Reserve(later_request));
    assert_eq!(log.state_of(&later), ClaimState::Held);
}

#[test]
fn a_request_that_does_not_fit_gets_the_nearest_alternative_and_of_two_equally_near_the_earlier() {
    // Columns: the hours during which one slot is taken, and the expected alternative for a request of the
    // whole pool over hours 10 to 12.
    for (taken, expected) in [
        (vec![(9, 13)], Some(hours(7, 9))),
        (vec![(10, 13)], Some(hours(8, 10))),
        (vec![(9, 12)], Some(hours(12, 14))),
        (vec![(9, 11)], Some(hours(11, 13))),
        (vec![(8, 9), (10, 11), (12, 13)], Some(hours(13, 15))),
        (vec![(1, 11), (12, 13)], Some(hours(13, 15))),
        (vec![(0, 12), (13, 800)], None),
    ] {
        let mut log = TestLog::new(HOUR, 10);
        for &(start, end) in &taken {
            log.propose_and_confirm(1, hours(start, end), 0, INFLEXIBLE);
        }
        let claim = log.propose(10, hours(10, 12), 0, INFLEXIBLE);
        let Reason::Infeasible { alternative, .. } = log.last_reason(&claim) else {
            panic!("the request fits beside {taken:?}")
        };
        assert_eq!(alternative, expected, "{taken:?}");
    }
}

#[test]
fn confirmation_displaces_lower_precedence_with_notice_but_no_started_occurrence() {
    // Columns: interval and precedence of the other claim, the displacement notice, and whether a claim of
    // precedence 5 over hours 0 to 6 displaces it.
    for (interval, precedence, notice, is_displaced) in [
        (hours(2, 4), 4, HOUR, true),
        (hours(2, 4), 5, HOUR, false),
        (hours(2, 4), 6, HOUR, false),
        (hours(2, 4), 4, 2 * HOUR, true),
        (hours(2, 4), 4, 2 * HOUR + MILLISECOND, false),
        (hours(0, 4), 0, SpanMillis::ZERO, false),
    ] {
        let mut log = TestLog::new(notice, 10);
        let other = log.propose_and_confirm(6, interval, precedence, INFLEXIBLE);
        let state_before = log.state_of(&other);
        let claim = log.propose(6, hours(0, 6), 5, INFLEXIBLE);
        assert_eq!(log.state_of(&other), state_before, "a proposal displaces no claim");
        if is_displaced {
            assert_eq!(log.last_reason(&claim), Reason::RequiresDisplacement(vec![other.clone()]));
            log.append(CommandBody::Confirm(claim.clone()));
            assert_eq!(log.state_of(&other), ClaimState::Displaced);
            assert_eq!(log.last_reason(&other), Reason::DisplacedBy(claim.clone()));
            let has_alternative = log.events.iter().any(|event| {
                matches!(&event.change, Change::AllocationsChanged(AllocationChange { claim, alternative, .. })
                    if *claim == other && *alternative == Some(hours(6, 8)))
            });
            assert!(has_alternative, "{:?}", log.events);
            assert_eq!(log.state_of(&claim), ClaimState::Active);
        } else {
            assert_eq!(log.state_of(&claim), ClaimState::Rejected, "{interval:?} {precedence} {notice}");
        }
    }
}

#[test]
fn a_claim_is_granted_partially_or_split_only_if_it_accepts_that() {
    let both = Flexibility { min_slots: Some(3), allows_split: true };
    let cases = [
        (INFLEXIBLE, None),
        (PARTIAL, Some(vec![allocation(0, 6, 2)])),
        (SPLITTABLE, Some(vec![allocation(0, 2, 8), allocation(5, 6, 8)])),
        (both, Some(vec![allocation(0, 2, 8), allocation(4, 5, 5), allocation(5, 6, 8)])),
        (Flexibility { min_slots: Some(3), allows_split: false }, None),
    ];
    for (flexibility, expected) in cases {
        let mut log = TestLog::new(HOUR, 10);
        log.propose_and_confirm(8, hours(2, 4), 9, INFLEXIBLE);
        log.propose_and_confirm(5, hours(4, 5), 9, INFLEXIBLE);
        let claim = log.propose(8, hours(0, 6), 0, flexibility);
        let found = Some(log.calendar.allocations_of(&claim)).filter(|allocations| !allocations.is_empty());
        assert_eq!(found, expected, "{flexibility:?}");
        let reason = log.last_reason(&claim);
        assert_eq!(reason == Reason::FitsPartially, expected.is_some(), "{reason:?}");
        assert_eq!(
            log.state_of(&claim),
            if expected.is_some() { ClaimState::Held } else { ClaimState::Rejected }
        );
    }
}

#[test]
fn a_blackout_cuts_started_and_splittable_reservations_and_displaces_the_others() {
    for target in [
        BlackoutTarget::Pool(name("cpu")),
        BlackoutTarget::Zone(name("north")),
        BlackoutTarget::Tenant(name("food")),
    ] {
        let mut log = TestLog::new(HOUR, 30);
        let started = log.propose_and_confirm(10, hours(0, 6), 0, INFLEXIBLE);
        let upcoming = log.propose_and_confirm(10, hours(1, 6), 9, INFLEXIBLE);
        let split = log.propose_and_confirm(10, hours(1, 6), 0, SPLITTABLE);
        let outside = log.propose_and_confirm(10, hours(7, 8), 0, INFLEXIBLE);
        log.confirm_blackout(target.clone(), BlackoutEffect::NoWork, hours(3, 4));
        let allocations_of = |claim| log.calendar.allocations_of(claim);
        assert_eq!(allocations_of(&started), [allocation(0, 3, 10), allocation(4, 6, 10)], "{target:?}");
        assert_eq!(allocations_of(&split), [allocation(1, 3, 10), allocation(4, 6, 10)]);
        assert_eq!(allocations_of(&outside), [allocation(7, 8, 10)]);
        assert_eq!(log.state_of(&upcoming), ClaimState::Displaced);
        let late = log.propose(1, hours(2, 5), 99, INFLEXIBLE);
        assert_eq!(log.state_of(&late), ClaimState::Rejected, "no precedence overrides a blackout");
    }
    for target in [
        BlackoutTarget::Class(name("batch")),
        BlackoutTarget::Tenant(name("shelter")),
        BlackoutTarget::Pool(name("gpu")),
    ] {
        let mut log = TestLog::new(HOUR, 10);
        let claim = log.propose_and_confirm(10, hours(1, 6), 0, INFLEXIBLE);
        log.confirm_blackout(target, BlackoutEffect::NoWork, hours(3, 4));
        assert_eq!(log.calendar.allocations_of(&claim), [allocation(1, 6, 10)]);
    }
}

#[test]
fn when_a_pool_is_resized_the_last_in_rank_are_displaced_and_relative_amounts_are_adjusted() {
    let mut log = TestLog::new(HOUR, 12);
    let started = log.propose_and_confirm(3, hours(0, 6), 0, INFLEXIBLE);
    let early = log.propose_and_confirm(3, hours(1, 6), 1, INFLEXIBLE);
    let late = log.propose_and_confirm(3, hours(1, 6), 1, INFLEXIBLE);
    let high = log.propose_and_confirm(3, hours(1, 6), 2, INFLEXIBLE);
    log.set_capacity(9);
    let states = |log: &TestLog| [&started, &high, &early, &late].map(|claim| log.state_of(claim));
    let (active, confirmed, displaced) = (ClaimState::Active, ClaimState::Confirmed, ClaimState::Displaced);
    assert_eq!(states(&log), [active, confirmed, confirmed, displaced]);
    assert_eq!(log.last_reason(&late), Reason::PoolChanged);
    log.set_capacity(3);
    assert_eq!(states(&log), [active, displaced, displaced, displaced]);

    let mut log = TestLog::new(HOUR, 10);
    let relative = ReservationRequest {
        amount: Amount::PartsPerMillion(500_000),
        ..reservation_request(0, hours(1, 6), 0, INFLEXIBLE)
    };
    let relative = log.append(CommandBody::Reserve(relative));
    let fixed = log.propose_and_confirm(5, hours(1, 6), 0, INFLEXIBLE);
    for (slots, expected_slots) in [(8, 3), (20, 10), (13, 6)] {
        log.set_capacity(slots);
        let allocations = log.calendar.allocations_of(&relative);
        // Half of 8 slots is 4, and this claim ranks before the one for 5 slots, which was held later.
        if slots == 8 {
            assert_eq!(
                (log.state_of(&fixed), allocations),
                (ClaimState::Displaced, vec![allocation(1, 6, 4)])
            );
        } else {
            assert_eq!(allocations, [allocation(1, 6, expected_slots)], "of {slots}");
        }
    }
}

#[test]
fn only_the_conflicting_occurrences_of_a_recurrence_are_displaced() {
    let mut log = TestLog::new(HOUR, 10);
    let daily = Recurrence {
        zone: name("Europe/Amsterdam"),
        days: RecurrenceDays::Weekdays((1..=5).collect()),
        start_minute: 8 * 60,
        end_minute: 9 * 60,
        not_before: START,
        until: START + 5 * DAY,
    };
    let request = ReservationRequest {
        schedule: Schedule::Recurring(daily),
        ..reservation_request(8, hours(0, 1), 0, INFLEXIBLE)
    };
    let recurring = log.append(CommandBody::Reserve(request));
    log.append(CommandBody::Confirm(recurring.clone()));
    let allocations = |log: &TestLog| log.calendar.allocations_of(&recurring);
    assert_eq!(allocations(&log), [7, 31, 55, 79, 103].map(|hour| allocation(hour, hour + 1, 8)));
    log.propose_and_confirm(8, hours(30, 33), 1, INFLEXIBLE);
    assert_eq!(allocations(&log), [7, 55, 79, 103].map(|hour| allocation(hour, hour + 1, 8)));
    assert_eq!(log.state_of(&recurring), ClaimState::Confirmed);
    log.propose_and_confirm(8, hours(50, 110), 1, INFLEXIBLE);
    log.advance_to_hour(8);
    assert_eq!((log.state_of(&recurring), allocations(&log)), (ClaimState::Done, vec![]));
}
