//! Tests of the texts of errors and reasons, and of the errors for malformed JSON. States, transitions and
//! types are named as in the serialized form, so that the texts match the stored data.
mod common;

use common::{hours, id};
use copperspread_reservations::{
    Calendar, ClaimState, Command, DAY, Event, FieldError, InvalidTransition, MILLISECOND, Reason, Rejection,
    Settings, SpanMillis, Transition,
};

#[test]
fn a_rejection_names_the_field_and_the_serialized_names_of_state_and_transition() {
    let invalid = |from, transition| FieldError::InvalidTransition(InvalidTransition { from, transition });
    for (error, expected) in [
        (FieldError::OutOfRange { min: 1, max: 7 }, "when.end: not in the range 1 to 7"),
        (FieldError::Empty, "when.end: empty"),
        (FieldError::InThePast, "when.end: in the past"),
        (FieldError::LimitExceeded(512), "when.end: exceeds the limit of 512"),
        (FieldError::Unknown, "when.end: unknown"),
        (FieldError::BelowOneSlot, "when.end: less than one slot"),
        (FieldError::ExceedsPool(20), "when.end: more than the pool's 20 slots"),
        (FieldError::TooOld, "when.end: too old for duplicate detection"),
        (
            invalid(ClaimState::Rejected, Transition::Withdraw),
            "when.end: a claim in state Refused does not allow the transition Withdraw",
        ),
        (
            invalid(ClaimState::Lapsed, Transition::Reject),
            "when.end: a claim in state Lapsed does not allow the transition Refuse",
        ),
    ] {
        assert_eq!(Rejection { field: "when.end".into(), error }.to_string(), expected);
    }
}

#[test]
fn every_reason_has_its_text() {
    let infeasible = Reason::Infeasible { blocked: hours(0, 1), alternative: None };
    for (reason, expected) in [
        (Reason::Requested, "asked for"),
        (Reason::Fits, "fits as requested"),
        (Reason::FitsPartially, "fits partially, as the request accepts"),
        (
            Reason::RequiresDisplacement(vec![id(1), id(2)]),
            "fits only by displacement (claims to displace: 2)",
        ),
        (infeasible, "infeasible: blocked from 1796601600000 to 1796605200000"),
        (Reason::InThePast, "in the past"),
        (Reason::HoldExpired, "not confirmed before its hold ended"),
        (Reason::TimeReached, "start or end reached"),
        (Reason::DisplacedBy(id(3)), "displaced by claim m/1/3"),
        (Reason::DisplacedByBlackout(id(4)), "displaced by blackout m/1/4"),
        (Reason::PoolChanged, "the pool's slots or zone changed"),
    ] {
        assert_eq!(reason.to_string(), expected);
    }
}

#[test]
fn a_notice_out_of_bounds_has_its_error_text() {
    for displacement_notice in [SpanMillis(-1), 30 * DAY + MILLISECOND] {
        let error = Calendar::new(Settings { displacement_notice }).expect_err("the notice is out of bounds");
        assert_eq!(error.to_string(), "notice: not in the range 0 to 30 days");
    }
}

#[test]
fn malformed_json_is_reported_with_the_serialized_type_names() {
    let command_error = |body: &str| {
        let json = format!(r#"{{"id":{{"member":"m","generation":1,"sequence":1}},"body":{body}}}"#);
        serde_json::from_str::<Command>(&json).expect_err("the command is malformed").to_string()
    };
    for (body, expected) in [
        (r#"{"Reserve":5}"#, "expected struct Reserve"),
        (r#"{"Blackout":5}"#, "expected struct Blackout"),
        (r#"{"Capacity":5}"#, "expected struct variant Body::Capacity"),
        (r#"{"SetCapacity":5}"#, "unknown variant `SetCapacity`, expected one of `Reserve`"),
        (r#"{"Capacity":{"zone":"north","slots":5}}"#, "missing field `pool`"),
    ] {
        let error = command_error(body);
        assert!(error.contains(expected), "{error}");
    }
    let event = r#"{"at":1,"command":null,"change":{"Moved":5}}"#;
    let error = serde_json::from_str::<Event>(event).expect_err("the event is malformed").to_string();
    assert!(error.contains("expected struct variant Change::Moved"), "{error}");
    let error = serde_json::from_str::<Calendar>("5").expect_err("the calendar is malformed").to_string();
    assert!(error.contains("expected struct Inner"), "{error}");
}
