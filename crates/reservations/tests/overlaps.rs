//! Overlaps: the rules one by one, and the least displacement against brute force.
mod common;

use common::*;
use copperspread_reservations::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn a_claim_that_fits_is_held_confirmed_active_done_and_forgotten() {
    let mut log = Log::new(HOUR, 10);
    let claim = log.propose(10, hours(2, 4), 0, WHOLE);
    assert_eq!((log.state(&claim), log.why(&claim)), (ClaimState::Held, Reason::Fits));
    log.put(CommandBody::Confirm(claim.clone()));
    assert_eq!(log.state(&claim), ClaimState::Confirmed);
    for (hour, expected) in
        [(1, ClaimState::Confirmed), (2, ClaimState::Active), (3, ClaimState::Active), (4, ClaimState::Done)]
    {
        log.to(hour);
        assert_eq!(log.state(&claim), expected, "at hour {hour}");
    }
    log.to(29);
    assert_eq!(log.calendar.state_of(&claim), None);
}

#[test]
fn a_hold_keeps_its_place_until_it_lapses_and_then_no_more() {
    let mut log = Log::new(HOUR, 10);
    let held = log.propose(10, hours(30, 32), 0, WHOLE);
    let same = log.propose(1, hours(31, 33), 0, WHOLE);
    let blocked = hours(31, 32);
    let offer = Some(hours(32, 34));
    assert_eq!(
        (log.state(&same), log.why(&same)),
        (ClaimState::Rejected, Reason::Infeasible { blocked, alternative: offer })
    );
    log.to(24);
    assert_eq!((log.state(&held), log.why(&held)), (ClaimState::Lapsed, Reason::HoldExpired));
    log.put(CommandBody::Confirm(held.clone()));
    let illegal = InvalidTransition { from: ClaimState::Lapsed, transition: Transition::Confirm };
    let refusal = Rejection { field: "confirm".into(), error: FieldError::InvalidTransition(illegal) };
    assert_eq!(log.events.last().expect("refused").change, Change::Rejected(refusal));
    let again = ReservationRequest { hold_end: START + 25 * HOUR, ..reserve(10, hours(31, 33), 0, WHOLE) };
    let again = log.put(CommandBody::Reserve(again));
    assert_eq!(log.state(&again), ClaimState::Held);
}

#[test]
fn what_does_not_fit_is_offered_the_nearest_interval_that_does_of_two_the_earlier() {
    // (what is taken of 10 slots) and the offer to one who wants 10 over hours 10 to 12.
    for (taken, offer) in [
        (vec![(9, 13)], Some(hours(7, 9))),
        (vec![(10, 13)], Some(hours(8, 10))),
        (vec![(9, 12)], Some(hours(12, 14))),
        (vec![(9, 11)], Some(hours(11, 13))),
        (vec![(8, 9), (10, 11), (12, 13)], Some(hours(13, 15))),
        (vec![(1, 11), (12, 13)], Some(hours(13, 15))),
        (vec![(0, 12), (13, 800)], None),
    ] {
        let mut log = Log::new(HOUR, 10);
        for &(start, end) in &taken {
            log.confirmed(1, hours(start, end), 0, WHOLE);
        }
        let claim = log.propose(10, hours(10, 12), 0, WHOLE);
        let Reason::Infeasible { alternative: found, .. } = log.why(&claim) else { panic!("{taken:?} fits") };
        assert_eq!(found, offer, "{taken:?}");
    }
}

#[test]
fn precedence_displaces_at_confirmation_and_only_with_notice_and_never_what_has_begun() {
    // (the other's hours, its precedence, notice) and whether it makes room for precedence 5 over hours 0 to 6.
    for (span, precedence, notice, displaced) in [
        (hours(2, 4), 4, HOUR, true),
        (hours(2, 4), 5, HOUR, false),
        (hours(2, 4), 6, HOUR, false),
        (hours(2, 4), 4, 2 * HOUR, true),
        (hours(2, 4), 4, 2 * HOUR + 1, false),
        (hours(0, 4), 0, 0, false),
    ] {
        let mut log = Log::new(notice, 10);
        let other = log.confirmed(6, span, precedence, WHOLE);
        let before = log.state(&other);
        let claim = log.propose(6, hours(0, 6), 5, WHOLE);
        assert_eq!(log.state(&other), before, "a proposal displaces nobody");
        if displaced {
            assert_eq!(log.why(&claim), Reason::RequiresDisplacement(vec![other.clone()]));
            log.put(CommandBody::Confirm(claim.clone()));
            assert_eq!(log.state(&other), ClaimState::Displaced);
            assert_eq!(log.why(&other), Reason::DisplacedBy(claim.clone()));
            let offers = log.events.iter().any(|event| {
                matches!(&event.change, Change::AllocationsChanged(AllocationChange { claim: of, alternative: Some(offer), .. })
                    if *of == other && *offer == hours(6, 8))
            });
            assert!(offers, "{:?}", log.events);
            assert_eq!(log.state(&claim), ClaimState::Active);
        } else {
            assert_eq!(log.state(&claim), ClaimState::Rejected, "{span:?} {precedence} {notice}");
        }
    }
}

#[test]
fn a_claim_takes_part_or_is_split_only_if_it_accepts_that() {
    let both = Flexibility { min_slots: Some(3), allows_split: true };
    let cases = [
        (WHOLE, None),
        (PART, Some(vec![piece(0, 6, 2)])),
        (SPLIT, Some(vec![piece(0, 2, 8), piece(5, 6, 8)])),
        (both, Some(vec![piece(0, 2, 8), piece(4, 5, 5), piece(5, 6, 8)])),
        (Flexibility { min_slots: Some(3), allows_split: false }, None),
    ];
    for (accepts, expected) in cases {
        let mut log = Log::new(HOUR, 10);
        log.confirmed(8, hours(2, 4), 9, WHOLE);
        log.confirmed(5, hours(4, 5), 9, WHOLE);
        let claim = log.propose(8, hours(0, 6), 0, accepts);
        let found = Some(log.calendar.allocations_of(&claim)).filter(|pieces| !pieces.is_empty());
        assert_eq!(found, expected, "{accepts:?}");
        let reason = log.why(&claim);
        assert_eq!(reason == Reason::FitsPartially, expected.is_some(), "{reason:?}");
        assert_eq!(
            log.state(&claim),
            if expected.is_some() { ClaimState::Held } else { ClaimState::Rejected }
        );
    }
}

#[test]
fn a_blackout_goes_over_all_cuts_what_has_begun_and_displaces_what_takes_no_split() {
    for target in [
        BlackoutTarget::Pool(name("cpu")),
        BlackoutTarget::Zone(name("north")),
        BlackoutTarget::Tenant(name("food")),
    ] {
        let mut log = Log::new(HOUR, 30);
        let begun = log.confirmed(10, hours(0, 6), 0, WHOLE);
        let ahead = log.confirmed(10, hours(1, 6), 9, WHOLE);
        let split = log.confirmed(10, hours(1, 6), 0, SPLIT);
        let clear = log.confirmed(10, hours(7, 8), 0, WHOLE);
        log.black_out(target.clone(), BlackoutEffect::NoWork, hours(3, 4));
        let pieces = |claim| log.calendar.allocations_of(claim);
        assert_eq!(pieces(&begun), [piece(0, 3, 10), piece(4, 6, 10)], "{target:?}");
        assert_eq!(pieces(&split), [piece(1, 3, 10), piece(4, 6, 10)]);
        assert_eq!(pieces(&clear), [piece(7, 8, 10)]);
        assert_eq!(log.state(&ahead), ClaimState::Displaced);
        let late = log.propose(1, hours(2, 5), 99, WHOLE);
        assert_eq!(log.state(&late), ClaimState::Rejected, "no precedence goes over a blackout");
    }
    for target in [
        BlackoutTarget::Class(name("batch")),
        BlackoutTarget::Tenant(name("shelter")),
        BlackoutTarget::Pool(name("gpu")),
    ] {
        let mut log = Log::new(HOUR, 10);
        let claim = log.confirmed(10, hours(1, 6), 0, WHOLE);
        log.black_out(target, BlackoutEffect::NoWork, hours(3, 4));
        assert_eq!(log.calendar.allocations_of(&claim), [piece(1, 6, 10)]);
    }
}

#[test]
fn when_slots_go_the_last_in_rank_go_and_shares_follow_their_pool() {
    let mut log = Log::new(HOUR, 12);
    let begun = log.confirmed(3, hours(0, 6), 0, WHOLE);
    let early = log.confirmed(3, hours(1, 6), 1, WHOLE);
    let late = log.confirmed(3, hours(1, 6), 1, WHOLE);
    let high = log.confirmed(3, hours(1, 6), 2, WHOLE);
    log.capacity(9);
    let states = |log: &Log| [&begun, &high, &early, &late].map(|claim| log.state(claim));
    let (active, confirmed, displaced) = (ClaimState::Active, ClaimState::Confirmed, ClaimState::Displaced);
    assert_eq!(states(&log), [active, confirmed, confirmed, displaced]);
    assert_eq!(log.why(&late), Reason::PoolChanged);
    log.capacity(3);
    assert_eq!(states(&log), [active, displaced, displaced, displaced]);

    let mut log = Log::new(HOUR, 10);
    let share =
        ReservationRequest { amount: Amount::PartsPerMillion(500_000), ..reserve(0, hours(1, 6), 0, WHOLE) };
    let share = log.put(CommandBody::Reserve(share));
    let fixed = log.confirmed(5, hours(1, 6), 0, WHOLE);
    for (slots, has) in [(8, 3), (20, 10), (13, 6)] {
        log.capacity(slots);
        let pieces = log.calendar.allocations_of(&share);
        // With 8 slots a share of 4 stands before the 5 that were held after it.
        if slots == 8 {
            assert_eq!((log.state(&fixed), pieces), (ClaimState::Displaced, vec![piece(1, 6, 4)]));
        } else {
            assert_eq!(pieces, [piece(1, 6, has)], "of {slots}");
        }
    }
}

#[test]
fn of_a_repeat_only_the_occurrence_in_the_way_makes_room() {
    let mut log = Log::new(HOUR, 10);
    let daily = Recurrence {
        zone: name("Europe/Amsterdam"),
        days: RecurrenceDays::Weekdays((1..=5).collect()),
        start_minute: 8 * 60,
        end_minute: 9 * 60,
        not_before: START,
        until: START + 5 * DAY,
    };
    let repeat =
        ReservationRequest { schedule: Schedule::Recurring(daily), ..reserve(8, hours(0, 1), 0, WHOLE) };
    let repeat = log.put(CommandBody::Reserve(repeat));
    log.put(CommandBody::Confirm(repeat.clone()));
    let has = |log: &Log| log.calendar.allocations_of(&repeat);
    assert_eq!(has(&log), [7, 31, 55, 79, 103].map(|hour| piece(hour, hour + 1, 8)));
    log.confirmed(8, hours(30, 33), 1, WHOLE);
    assert_eq!(has(&log), [7, 55, 79, 103].map(|hour| piece(hour, hour + 1, 8)));
    assert_eq!(log.state(&repeat), ClaimState::Confirmed);
    log.confirmed(8, hours(50, 110), 1, WHOLE);
    log.to(8);
    assert_eq!((log.state(&repeat), has(&log)), (ClaimState::Done, vec![]));
}

const CELLS: usize = 6;

#[derive(Clone, Debug)]
struct Small {
    slots: u32,
    from: usize,
    cells: usize,
    precedence: u32,
    accepts: Flexibility,
    confirm: bool,
}

fn small() -> impl Strategy<Value = Small> {
    let accepts = (prop::option::of(1..4_u32), any::<bool>());
    (1..5_u32, 0..CELLS, 1..4_usize, 0..4_u32, accepts, prop::bool::weighted(0.8)).prop_map(
        |(slots, from, cells, precedence, (partial, split), confirm)| {
            let cells = cells.min(CELLS - from);
            Small {
                slots,
                from,
                cells,
                precedence,
                accepts: Flexibility { min_slots: partial, allows_split: split },
                confirm,
            }
        },
    )
}

impl Small {
    fn span(&self) -> Interval {
        hours(self.from as i64, (self.from + self.cells) as i64)
    }
}

fn cells(pieces: &[Allocation]) -> [u32; CELLS] {
    std::array::from_fn(|cell| {
        let cell = hours(cell as i64, cell as i64 + 1);
        pieces.iter().filter(|piece| piece.interval.overlaps(cell)).map(|piece| piece.slots).sum()
    })
}

/// Every shape that the claim accepts, by whole cells.
fn shapes(claim: &Small) -> Vec<Vec<u32>> {
    let Small { slots, cells, accepts, .. } = *claim;
    let least = accepts.min_slots.map_or(slots, |least| least.min(slots));
    if !accepts.allows_split {
        return (least..=slots).map(|level| vec![level; cells]).collect();
    }
    let mut all: Vec<Vec<u32>> = vec![Vec::new()];
    for _ in 0..cells {
        let levels = || std::iter::once(0).chain(least..=slots);
        all =
            all.iter().flat_map(|shape| levels().map(move |level| [&shape[..], &[level]].concat())).collect();
    }
    all.retain(|shape| shape.iter().any(|&level| level > 0));
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default()
    })]

    // Most slots granted, then fewest slot-milliseconds displaced, then fewest claims, then the last in rank.
    #[test]
    fn what_is_granted_and_who_makes_room_equals_a_search_of_all_ways(
        others in prop::collection::vec(small(), 1..7), claim in small(), capacity in 3..7_u32,
    ) {
        let mut log = Log::new(2 * HOUR, capacity);
        let mut stand = Vec::new();
        for other in &others {
            let id = log.propose(other.slots, other.span(), other.precedence, other.accepts);
            if other.confirm {
                log.put(CommandBody::Confirm(id.clone()));
            }
            stand.push(id);
        }
        let has: Vec<[u32; CELLS]> = stand.iter().map(|id| cells(&log.calendar.allocations_of(id))).collect();
        let taken = |without: u32| -> [u32; CELLS] {
            std::array::from_fn(|cell| {
                let kept = has.iter().enumerate().filter(|(index, _)| without & 1 << index == 0);
                kept.map(|(_, has)| has[cell]).sum()
            })
        };
        prop_assert!(taken(0).iter().all(|&sum| sum <= capacity));

        let claims_cells = claim.from..claim.from + claim.cells;
        let may_go = |index: usize| {
            let other = &others[index];
            other.precedence < claim.precedence && other.from >= 2
                && has[index][claims_cells.clone()].iter().any(|&slots| slots > 0)
        };
        // Those that go first have the lower precedence, then the later rank.
        let mut order: Vec<usize> = (0..others.len()).filter(|&index| may_go(index)).collect();
        order.sort_by_key(|&index| (others[index].precedence, std::cmp::Reverse(index)));
        let mut best = None;
        for set in 0..1_u32 << order.len() {
            let victims: Vec<usize> = (0..order.len()).filter(|index| set & 1 << index != 0).collect();
            let without = victims.iter().fold(0, |all, &index| all | 1 << order[index]);
            let cost: u32 = victims.iter().map(|&index| has[order[index]].iter().sum::<u32>()).sum();
            let free = taken(without).map(|sum| capacity - sum);
            for shape in shapes(&claim) {
                if shape.iter().zip(&free[claims_cells.clone()]).all(|(level, free)| level <= free) {
                    let granted = shape.iter().sum::<u32>();
                    let key = (std::cmp::Reverse(granted), cost, victims.len(), victims.clone());
                    if best.as_ref().is_none_or(|(least, _)| key < *least) {
                        best = Some((key, shape));
                    }
                }
            }
        }

        let id = log.propose(claim.slots, claim.span(), claim.precedence, claim.accepts);
        let Some(((_, _, _, victims), shape)) = best else {
            // What asks for more than the whole pool is none.
            let known = claim.slots <= capacity || claim.accepts.min_slots.is_some();
            prop_assert_eq!(log.calendar.state_of(&id), known.then_some(ClaimState::Rejected));
            return Ok(());
        };
        let mut victims: Vec<ClaimId> = victims.iter().map(|&index| stand[order[index]].clone()).collect();
        victims.sort();
        if victims.is_empty() {
            prop_assert_eq!(log.state(&id), ClaimState::Held);
        } else {
            prop_assert_eq!(log.why(&id), Reason::RequiresDisplacement(victims.clone()));
            log.put(CommandBody::Confirm(id.clone()));
        }
        let granted = cells(&log.calendar.allocations_of(&id));
        prop_assert_eq!(&granted[claims_cells], &shape[..]);
        let now: Vec<_> = stand.iter().map(|id| cells(&log.calendar.allocations_of(id))).collect();
        for (index, id) in stand.iter().enumerate() {
            prop_assert_eq!(now[index] != has[index], victims.contains(id), "{}", id);
        }
        for cell in 0..CELLS {
            prop_assert!(now.iter().map(|has| has[cell]).sum::<u32>() + granted[cell] <= capacity);
        }
    }
}
