//! Approved transcripts: the JSON of commands, of events and of the calendar that is restored from it.
mod common;

use std::fmt::Debug;

use common::{START, WHOLE, hours, id, name, piece, reserve};
use copperspread_reservations::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The JSON of each value, a line each; every line is read back as the same value.
fn json_lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T]) -> String {
    let line = |value: &T| {
        let line = serde_json::to_string(value).expect("JSON");
        assert_eq!(&serde_json::from_str::<T>(&line).expect("a value"), value);
        line + "\n"
    };
    values.iter().map(line).collect()
}

fn repeat(days: RecurrenceDays) -> Schedule {
    let (first, until) = (START, START + 7 * DAY);
    Schedule::Recurring(Recurrence {
        zone: name("Africa/Cairo"),
        days,
        start_minute: 1_320,
        end_minute: 360,
        not_before: first,
        until,
    })
}

fn blackout(target: BlackoutTarget, effect: BlackoutEffect) -> CommandBody {
    CommandBody::Blackout(common::blackout(target, effect, hours(8, 10)))
}

fn bodies() -> Vec<CommandBody> {
    let accepts = Flexibility { min_slots: Some(2), allows_split: true };
    let of_federation = ReservationRequest {
        owner: Owner::Federation(name("relief")),
        amount: Amount::PartsPerMillion(250_000),
        schedule: repeat(RecurrenceDays::Weekdays([1, 7].into())),
        lending_rate_ppm: 500,
        ..reserve(0, hours(0, 1), 3, accepts)
    };
    let monthly = ReservationRequest {
        schedule: repeat(RecurrenceDays::MonthDays([-1, 10].into())),
        ..reserve(4, hours(0, 1), 0, WHOLE)
    };
    vec![
        CommandBody::SetCapacity { pool: name("cpu"), zone: name("north"), slots: 20 },
        CommandBody::Reserve(reserve(5, hours(5, 7), 1, WHOLE)),
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

fn moved(from: Option<ClaimState>, to: ClaimState, reason: Reason) -> Change {
    Change::StateChanged(StateChange { claim: id(2), from, to, reason })
}

fn rejected(fault: FieldError) -> Change {
    Change::Rejected(Rejection { field: "when.end".into(), error: fault })
}

fn changes() -> Vec<Change> {
    let granted = |allocations, reason, alternative| {
        let (claim, occurrence) = (id(2), hours(2, 4));
        Change::AllocationsChanged(AllocationChange { claim, occurrence, allocations, reason, alternative })
    };
    let infeasible = Reason::Infeasible { blocked: hours(2, 3), alternative: Some(hours(5, 6)) };
    let needs_room = Reason::RequiresDisplacement(vec![id(3), id(4)]);
    let illegal = InvalidTransition { from: ClaimState::Done, transition: Transition::Withdraw };
    let faults = [
        FieldError::OutOfRange { min: 1, max: 7 },
        FieldError::Empty,
        FieldError::InThePast,
        FieldError::LimitExceeded(366),
        FieldError::Unknown,
        FieldError::BelowOneSlot,
        FieldError::ExceedsPool(20),
        FieldError::InvalidTransition(illegal),
        FieldError::TooOld,
    ];
    let mut changes = vec![
        moved(None, ClaimState::Proposed, needs_room),
        moved(Some(ClaimState::Proposed), ClaimState::Held, Reason::Fits),
        moved(Some(ClaimState::Held), ClaimState::Confirmed, Reason::Requested),
        moved(Some(ClaimState::Confirmed), ClaimState::Active, Reason::TimeReached),
        moved(Some(ClaimState::Active), ClaimState::Done, Reason::TimeReached),
        moved(None, ClaimState::Rejected, infeasible),
        moved(Some(ClaimState::Confirmed), ClaimState::Displaced, Reason::DisplacedBy(id(5))),
        moved(Some(ClaimState::Active), ClaimState::Displaced, Reason::UnderBlackout(id(6))),
        moved(Some(ClaimState::Held), ClaimState::Withdrawn, Reason::Requested),
        moved(Some(ClaimState::Held), ClaimState::Lapsed, Reason::HoldExpired),
        moved(Some(ClaimState::Proposed), ClaimState::Lapsed, Reason::InThePast),
        granted(vec![piece(2, 3, 5), piece(3, 4, 2)], Reason::FitsPartially, None),
        granted(Vec::new(), Reason::PoolChanged, Some(hours(5, 7))),
        Change::CapacityChanged(CapacityChange { pool: name("cpu"), zone: name("north"), slots: 20 }),
    ];
    changes.extend(faults.map(rejected));
    changes
}

#[test]
fn commands_and_events_are_as_approved_and_are_read_back() {
    insta::assert_snapshot!("commands", json_lines(&commands()));
    let event = |(number, change): (usize, Change)| {
        let command = (number % 2 == 0).then(|| id(9));
        Event { at: START, command, change }
    };
    let events: Vec<Event> = changes().into_iter().enumerate().map(event).collect();
    insta::assert_snapshot!("events", json_lines(&events));
}

#[test]
fn a_calendar_and_what_it_allows_are_as_approved_and_go_on_when_restored() {
    let settings = Settings { displacement_notice: HOUR };
    insta::assert_snapshot!("settings", json_lines(&[settings]));
    let mut calendar = Calendar::new(settings).expect("good settings");
    let apply = |(number, command): (i64, Command)| calendar.apply(START + number * HOUR / 2, &command);
    let events: Vec<Event> = (0..).zip(commands()).flat_map(apply).collect();
    insta::assert_snapshot!("run", json_lines(&events));
    let text = serde_json::to_string_pretty(&calendar).expect("JSON");
    insta::assert_snapshot!("calendar", text);
    let at = START + 6 * HOUR;
    let allowances = calendar.allowances(at);
    insta::assert_snapshot!("allowances", json_lines(&[allowances]));

    let mut restored: Calendar = serde_json::from_str(&text).expect("a calendar");
    let next = Command { id: id(20), body: CommandBody::Withdraw(id(4)) };
    assert_eq!(restored.apply(at, &next), calendar.apply(at, &next));
    assert_eq!(serde_json::to_string(&restored).ok(), serde_json::to_string(&calendar).ok());
}
