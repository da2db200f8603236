//! Snapshot tests of the JSON of commands, events, settings, allowances and the calendar. Each value must
//! also be restored unchanged from its JSON.
mod common;

use std::fmt::Debug;

use common::{INFLEXIBLE, START, allocation, hours, id, name, reservation_request};
use copperspread_reservations::{
    AllocationChange, Amount, BlackoutEffect, BlackoutTarget, Calendar, CapacityChange, Change, ClaimState,
    Command, CommandBody, DAY, Event, FieldError, Flexibility, HOUR, InvalidTransition, Owner, Reason,
    Recurrence, RecurrenceDays, Rejection, ReservationRequest, Schedule, Settings, StateChange, Transition,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The JSON of each value on a line of its own. Asserts that each line deserializes to the same value.
fn json_lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T]) -> String {
    let line = |value: &T| {
        let line = serde_json::to_string(value).expect("the value serializes");
        assert_eq!(&serde_json::from_str::<T>(&line).expect("the line deserializes"), value);
        line + "\n"
    };
    values.iter().map(line).collect()
}

fn recurring(days: RecurrenceDays) -> Schedule {
    Schedule::Recurring(Recurrence {
        zone: name("Africa/Cairo"),
        days,
        start_minute: 1_320,
        end_minute: 360,
        not_before: START,
        until: START + 7 * DAY,
    })
}

fn blackout(target: BlackoutTarget, effect: BlackoutEffect) -> CommandBody {
    CommandBody::Blackout(common::blackout_request(target, effect, hours(8, 10)))
}

fn bodies() -> Vec<CommandBody> {
    let flexibility = Flexibility { min_slots: Some(2), allows_split: true };
    let of_federation = ReservationRequest {
        owner: Owner::Federation(name("relief")),
        amount: Amount::PartsPerMillion(250_000),
        schedule: recurring(RecurrenceDays::Weekdays([1, 7].into())),
        lending_rate_ppm: 500,
        ..reservation_request(0, hours(0, 1), 3, flexibility)
    };
    let monthly = ReservationRequest {
        schedule: recurring(RecurrenceDays::MonthDays([-1, 10].into())),
        ..reservation_request(4, hours(0, 1), 0, INFLEXIBLE)
    };
    vec![
        CommandBody::SetCapacity { pool: name("cpu"), zone: name("north"), slots: 20 },
        CommandBody::Reserve(reservation_request(5, hours(5, 7), 1, INFLEXIBLE)),
        CommandBody::Reserve(of_federation),
        CommandBody::Reserve(monthly),
        blackout(BlackoutTarget::Class(name("batch")), BlackoutEffect::NoNewWork),
        blackout(BlackoutTarget::Tenant(name("food")), BlackoutEffect::NoWork),
        blackout(BlackoutTarget::Pool(name("cpu")), BlackoutEffect::NoWork),
        blackout(BlackoutTarget::Zone(name("north")), BlackoutEffect::NoNewWork),
        CommandBody::Confirm(id(2)),
        CommandBody::Confirm(id(6)),
        CommandBody::Withdraw(id(3)),
        CommandBody::AdvanceTime,
    ]
}

fn commands() -> Vec<Command> {
    (1..).zip(bodies()).map(|(sequence, body)| Command { id: id(sequence), body }).collect()
}

fn state_changed(from: Option<ClaimState>, to: ClaimState, reason: Reason) -> Change {
    Change::StateChanged(StateChange { claim: id(2), from, to, reason })
}

fn rejected(error: FieldError) -> Change {
    Change::Rejected(Rejection { field: "when.end".into(), error })
}

fn changes() -> Vec<Change> {
    let allocations_changed = |allocations, reason, alternative| {
        let (claim, occurrence) = (id(2), hours(2, 4));
        Change::AllocationsChanged(AllocationChange { claim, occurrence, allocations, reason, alternative })
    };
    let infeasible = Reason::Infeasible { blocked: hours(2, 3), alternative: Some(hours(5, 6)) };
    let requires_displacement = Reason::RequiresDisplacement(vec![id(3), id(4)]);
    let invalid_transition = InvalidTransition { from: ClaimState::Done, transition: Transition::Withdraw };
    let errors = [
        FieldError::OutOfRange { min: 1, max: 7 },
        FieldError::Empty,
        FieldError::InThePast,
        FieldError::LimitExceeded(366),
        FieldError::Unknown,
        FieldError::BelowOneSlot,
        FieldError::ExceedsPool(20),
        FieldError::InvalidTransition(invalid_transition),
        FieldError::TooOld,
    ];
    let mut changes = vec![
        state_changed(None, ClaimState::Proposed, requires_displacement),
        state_changed(Some(ClaimState::Proposed), ClaimState::Held, Reason::Fits),
        state_changed(Some(ClaimState::Held), ClaimState::Confirmed, Reason::Requested),
        state_changed(Some(ClaimState::Confirmed), ClaimState::Active, Reason::TimeReached),
        state_changed(Some(ClaimState::Active), ClaimState::Done, Reason::TimeReached),
        state_changed(None, ClaimState::Rejected, infeasible),
        state_changed(Some(ClaimState::Confirmed), ClaimState::Displaced, Reason::DisplacedBy(id(5))),
        state_changed(Some(ClaimState::Active), ClaimState::Displaced, Reason::DisplacedByBlackout(id(6))),
        state_changed(Some(ClaimState::Held), ClaimState::Withdrawn, Reason::Requested),
        state_changed(Some(ClaimState::Held), ClaimState::Lapsed, Reason::HoldExpired),
        state_changed(Some(ClaimState::Proposed), ClaimState::Lapsed, Reason::InThePast),
        allocations_changed(vec![allocation(2, 3, 5), allocation(3, 4, 2)], Reason::FitsPartially, None),
        allocations_changed(Vec::new(), Reason::PoolChanged, Some(hours(5, 7))),
        Change::CapacityChanged(CapacityChange { pool: name("cpu"), zone: name("north"), slots: 20 }),
    ];
    changes.extend(errors.map(rejected));
    changes
}

#[test]
fn commands_and_events_match_their_snapshots_and_deserialize() {
    insta::assert_snapshot!("commands", json_lines(&commands()));
    let event = |(number, change): (usize, Change)| {
        let command = (number % 2 == 0).then(|| id(9));
        Event { at: START, command, change }
    };
    let events: Vec<Event> = changes().into_iter().enumerate().map(event).collect();
    insta::assert_snapshot!("events", json_lines(&events));
}

#[test]
fn calendar_and_allowances_match_their_snapshots_and_a_restored_calendar_continues() {
    let settings = Settings { displacement_notice: HOUR };
    insta::assert_snapshot!("settings", json_lines(&[settings]));
    let mut calendar = Calendar::new(settings).expect("valid settings");
    let apply = |(number, command): (i64, Command)| calendar.apply(START + number * HOUR / 2, &command);
    let events: Vec<Event> = (0..).zip(commands()).flat_map(apply).collect();
    insta::assert_snapshot!("run", json_lines(&events));
    let text = serde_json::to_string_pretty(&calendar).expect("the calendar serializes");
    insta::assert_snapshot!("calendar", text);
    let at = START + 6 * HOUR;
    let allowances = calendar.allowances(at);
    insta::assert_snapshot!("allowances", json_lines(&[allowances]));

    let mut restored: Calendar = serde_json::from_str(&text).expect("the calendar deserializes");
    let next = Command { id: id(20), body: CommandBody::Withdraw(id(4)) };
    assert_eq!(restored.apply(at, &next), calendar.apply(at, &next));
    assert_eq!(serde_json::to_string(&restored).ok(), serde_json::to_string(&calendar).ok());
}
