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

fn repeat(days: Days) -> When {
    let (first, until) = (START, START + 7 * DAY);
    When::Repeat(Repeat { zone: name("Africa/Cairo"), days, from: 1_320, to: 360, first, until })
}

fn blackout(target: Target, effect: Effect) -> Body {
    Body::Blackout(common::blackout(target, effect, hours(8, 10)))
}

fn bodies() -> Vec<Body> {
    let accepts = Accepts { partial: Some(2), split: true };
    let of_federation = Reserve {
        owner: Owner::Federation(name("relief")),
        amount: Amount::Parts(250_000),
        when: repeat(Days::Week([1, 7].into())),
        give_back: 500,
        ..reserve(0, hours(0, 1), 3, accepts)
    };
    let monthly = Reserve { when: repeat(Days::Month([-1, 10].into())), ..reserve(4, hours(0, 1), 0, WHOLE) };
    vec![
        Body::Capacity { pool: name("cpu"), zone: name("north"), slots: 20 },
        Body::Reserve(reserve(5, hours(5, 7), 1, WHOLE)),
        Body::Reserve(of_federation),
        Body::Reserve(monthly),
        blackout(Target::Class(name("batch")), Effect::NoNewWork),
        blackout(Target::Tenant(name("food")), Effect::NoWork),
        blackout(Target::Pool(name("cpu")), Effect::NoWork),
        blackout(Target::Zone(name("north")), Effect::NoNewWork),
        Body::Confirm(id(2)),
        Body::Confirm(id(6)),
        Body::Withdraw(id(3)),
        Body::Advance,
    ]
}

fn commands() -> Vec<Command> {
    (1..).zip(bodies()).map(|(sequence, body)| Command { id: id(sequence), body }).collect()
}

fn moved(from: Option<State>, to: State, why: Reason) -> Change {
    Change::Moved { claim: id(2), from, to, why }
}

fn rejected(fault: Fault) -> Change {
    Change::Rejected(Refusal { field: "when.end".into(), fault })
}

fn changes() -> Vec<Change> {
    let granted =
        |pieces, why, offer| Change::Granted { claim: id(2), occurrence: hours(2, 4), pieces, why, offer };
    let infeasible = Reason::Infeasible { blocked: hours(2, 3), offer: Some(hours(5, 6)) };
    let needs_room = Reason::NeedsRoom(vec![id(3), id(4)]);
    let illegal = Illegal { from: State::Done, step: Step::Withdraw };
    let faults = [
        Fault::Range { least: 1, most: 7 },
        Fault::Empty,
        Fault::Past,
        Fault::TooMany(366),
        Fault::Unknown,
        Fault::LessThanASlot,
        Fault::MoreThanThePool(20),
        Fault::Life(illegal),
        Fault::TooOld,
    ];
    let mut changes = vec![
        moved(None, State::Proposed, needs_room),
        moved(Some(State::Proposed), State::Held, Reason::Fits),
        moved(Some(State::Held), State::Confirmed, Reason::Asked),
        moved(Some(State::Confirmed), State::Active, Reason::TimeCame),
        moved(Some(State::Active), State::Done, Reason::TimeCame),
        moved(None, State::Refused, infeasible),
        moved(Some(State::Confirmed), State::Displaced, Reason::RoomFor(id(5))),
        moved(Some(State::Active), State::Displaced, Reason::Blackout(id(6))),
        moved(Some(State::Held), State::Withdrawn, Reason::Asked),
        moved(Some(State::Held), State::Lapsed, Reason::HoldEnded),
        moved(Some(State::Proposed), State::Lapsed, Reason::Past),
        granted(vec![piece(2, 3, 5), piece(3, 4, 2)], Reason::LessFits, None),
        granted(Vec::new(), Reason::PoolChanged, Some(hours(5, 7))),
        Change::Capacity { pool: name("cpu"), zone: name("north"), slots: 20 },
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
    let settings = Settings { notice: HOUR };
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
    let next = Command { id: id(20), body: Body::Withdraw(id(4)) };
    assert_eq!(restored.apply(at, &next), calendar.apply(at, &next));
    assert_eq!(serde_json::to_string(&restored).ok(), serde_json::to_string(&calendar).ok());
}
