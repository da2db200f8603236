//! Tests that replaying a log gives the same events and bytes, also with duplicate commands and from a
//! snapshot.
mod common;

use common::{START, TestLog, blackout_request, id, name, reservation_request};
use copperspread_reservations::{
    Amount, BlackoutEffect, BlackoutRequest, BlackoutTarget, Calendar, Change, ClaimId, Command, CommandBody,
    CommandId, Event, FieldError, Flexibility, HOUR, Interval, MAX_INSTANT, MILLISECOND, Name,
    ReservationRequest, Settings, SpanMillis, StateChange, UnixMillis,
};

/// A random log with commands of every kind except `AdvanceTime`, some of which are rejected.
fn entries(seed: u64) -> Vec<(UnixMillis, Command)> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut log = TestLog::new(HOUR, 20);
    let mut claims = Vec::new();
    for _ in 0..400 {
        log.at += SpanMillis(random.i64(0..HOUR.0));
        let start = log.at + random.i64(-2..30) * HOUR;
        let interval = Interval { start, end: start + random.i64(0..12) * HOUR };
        let flexibility = Flexibility { min_slots: random.bool().then_some(2), allows_split: random.bool() };
        let hold_end = log.at + random.i64(1..20) * HOUR;
        let body = match random.u32(0..10) {
            0..=4 => {
                let amount = match random.bool() {
                    true => Amount::Slots(random.u32(0..15)),
                    false => Amount::PartsPerMillion(random.u32(0..700_000)),
                };
                let request = reservation_request(0, interval, random.u32(0..4), flexibility);
                CommandBody::Reserve(ReservationRequest { amount, hold_end, ..request })
            }
            5..=7 if !claims.is_empty() => {
                let claim: ClaimId = random.choice(&claims).cloned().expect("there is a claim");
                if random.u32(0..5) == 0 { CommandBody::Withdraw(claim) } else { CommandBody::Confirm(claim) }
            }
            8 => {
                let target = BlackoutTarget::Tenant(name(if random.bool() { "food" } else { "shelter" }));
                CommandBody::Blackout(BlackoutRequest {
                    hold_end,
                    ..blackout_request(target, BlackoutEffect::NoWork, interval)
                })
            }
            _ => {
                CommandBody::SetCapacity { pool: name("cpu"), zone: name("north"), slots: random.u32(10..30) }
            }
        };
        let is_claim = matches!(body, CommandBody::Reserve(_) | CommandBody::Blackout(_));
        let id = log.append(body);
        if is_claim {
            claims.push(id);
        }
    }
    log.entries
}

fn bytes(calendar: &Calendar) -> String {
    serde_json::to_string(calendar).expect("the calendar serializes")
}

#[test]
fn a_replayed_log_gives_the_same_events_and_bytes_even_if_every_command_is_duplicated() {
    let mut outcomes = std::collections::BTreeSet::new();
    for seed in 0..4 {
        let entries = entries(seed);
        let new = || Calendar::new(Settings { displacement_notice: HOUR }).expect("valid settings");
        let (mut once, mut twice, mut restored) = (new(), new(), new());
        for (index, (at, command)) in entries.iter().enumerate() {
            let events = once.apply(*at, command);
            assert_eq!(twice.apply(*at, command), events);
            assert_eq!(twice.apply(*at, command), [], "a duplicate changes nothing");
            let (earlier, repeated) = &entries[index.saturating_sub(100)];
            assert_eq!(twice.apply(*earlier, repeated), [], "a late duplicate changes nothing");
            if index % 10 == 0 {
                restored = serde_json::from_str(&bytes(&restored)).expect("the snapshot deserializes");
            }
            assert_eq!(restored.apply(*at, command), events);
            for event in &events {
                match &event.change {
                    Change::StateChanged(StateChange { to, .. }) => outcomes.insert(format!("{to:?}")),
                    Change::Rejected(_) => outcomes.insert("rejected".into()),
                    _ => false,
                };
            }
        }
        assert_eq!(bytes(&twice), bytes(&once));
        assert_eq!(bytes(&restored), bytes(&once));
        for at in entries.iter().map(|(at, _)| *at) {
            assert_eq!(restored.allowances(at), once.allowances(at));
            assert_eq!(restored.next_change_after(at), once.next_change_after(at));
        }
    }
    assert_eq!(outcomes.len(), 10, "the logs reach every state, and have rejections: {outcomes:?}");
}

#[test]
fn allocations_never_exceed_the_pool_nor_overlap_blackouts() {
    for seed in 100..104 {
        let mut calendar = Calendar::new(Settings { displacement_notice: HOUR }).expect("valid settings");
        for (at, command) in entries(seed) {
            calendar.apply(at, &command);
            let mut next = Some(calendar.now());
            while let Some(now) = next {
                let allowances = calendar.allowances(now);
                let cpu = &allowances.pools[&name("cpu")];
                let reserved: u32 = cpu.reservations.iter().map(|reservation| reservation.slots).sum();
                assert_eq!(reserved + cpu.unreserved_slots, cpu.slots, "at {now}");
                let food = allowances.tenant_blackouts.get(&name("food"));
                if food.is_some_and(|food| food.no_new_work_until.is_some()) {
                    assert_eq!(reserved, 0, "every reservation belongs to the tenant under the blackout");
                }
                next = calendar.next_change_after(now);
            }
        }
    }
}

#[test]
fn an_entry_with_an_invalid_instant_or_from_an_earlier_incarnation_changes_nothing() {
    let mut log = TestLog::new(HOUR, 10);
    let before = bytes(&log.calendar);
    for at in [UnixMillis(-1), MAX_INSTANT + MILLISECOND, UnixMillis::MIN, UnixMillis::MAX] {
        let events = log.calendar.apply(at, &Command { id: id(9), body: CommandBody::AdvanceTime });
        assert!(
            matches!(&events[..], [Event { change: Change::Rejected(rejection), .. }] if rejection.field == "at")
        );
    }
    let old = CommandId { incarnation: 0, ..id(9) };
    let events = log.calendar.apply(START, &Command { id: old, body: CommandBody::AdvanceTime });
    assert!(matches!(&events[..], [Event { change: Change::Rejected(rejection), .. }]
        if rejection.error == FieldError::TooOld));
    assert_eq!(bytes(&log.calendar), before);
}

#[test]
fn an_invalid_name_does_not_deserialize() {
    for (text, is_valid) in
        [("a", true), (&"a".repeat(64), true), (&"a".repeat(65), false), ("", false), ("a\n", false)]
    {
        let json = serde_json::to_string(text).expect("the text serializes");
        assert_eq!(serde_json::from_str::<Name>(&json).is_ok(), is_valid, "{text:?}");
    }
}
