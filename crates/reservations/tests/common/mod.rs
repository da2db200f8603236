//! Builders of requests, and a calendar that records the log entries applied to it.
#![allow(dead_code, reason = "each test binary uses only some of these items")]
use copperspread_reservations::{
    Allocation, Amount, BlackoutEffect, BlackoutRequest, BlackoutTarget, Calendar, Change, ClaimId,
    ClaimState, Command, CommandBody, CommandId, DAY, Event, Flexibility, HOUR, Interval, Name, Owner,
    Reason, ReservationRequest, Schedule, Settings, SpanMillis, UnixMillis,
};

/// Monday, 7 December 2026, 00:00 UTC.
pub(crate) const START: UnixMillis = UnixMillis(1_796_601_600_000);

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("valid name")
}

pub(crate) fn id(sequence: u64) -> CommandId {
    CommandId { member: name("m"), incarnation: 1, sequence }
}

/// The interval between two instants, given in hours since [`START`].
pub(crate) fn hours(start: i64, end: i64) -> Interval {
    Interval { start: START + start * HOUR, end: START + end * HOUR }
}

pub(crate) fn allocation(start: i64, end: i64, slots: u32) -> Allocation {
    Allocation { interval: hours(start, end), slots }
}

pub(crate) fn reservation_request(
    slots: u32,
    interval: Interval,
    precedence: u32,
    flexibility: Flexibility,
) -> ReservationRequest {
    ReservationRequest {
        owner: Owner::Tenant(name("food")),
        pool: name("cpu"),
        amount: Amount::Slots(slots),
        schedule: Schedule::Once(interval),
        precedence,
        flexibility,
        lending_rate_ppm: 0,
        hold_end: START + DAY,
    }
}

pub(crate) fn blackout_request(
    target: BlackoutTarget,
    effect: BlackoutEffect,
    interval: Interval,
) -> BlackoutRequest {
    BlackoutRequest { target, effect, schedule: Schedule::Once(interval), hold_end: START + DAY }
}

pub(crate) const INFLEXIBLE: Flexibility = Flexibility { min_slots: None, allows_split: false };
pub(crate) const SPLITTABLE: Flexibility = Flexibility { min_slots: None, allows_split: true };
pub(crate) const PARTIAL: Flexibility = Flexibility { min_slots: Some(1), allows_split: false };

/// Appends commands to a log and applies them to a calendar with the pool `cpu` in the zone `north`.
pub(crate) struct TestLog {
    pub(crate) calendar: Calendar,
    /// The instant at which the next entry is applied.
    pub(crate) at: UnixMillis,
    sequence: u64,
    pub(crate) entries: Vec<(UnixMillis, Command)>,
    /// The events of the last entry.
    pub(crate) events: Vec<Event>,
}

impl TestLog {
    pub(crate) fn new(displacement_notice: SpanMillis, slots: u32) -> TestLog {
        let calendar = Calendar::new(Settings { displacement_notice }).expect("valid settings");
        let (entries, events) = (Vec::new(), Vec::new());
        let mut log = TestLog { calendar, at: START, sequence: 0, entries, events };
        log.set_capacity(slots);
        log
    }

    pub(crate) fn append(&mut self, body: CommandBody) -> CommandId {
        self.sequence += 1;
        let command = Command { id: id(self.sequence), body };
        self.events = self.calendar.apply(self.at, &command);
        self.entries.push((self.at, command));
        id(self.sequence)
    }

    pub(crate) fn set_capacity(&mut self, slots: u32) {
        self.append(CommandBody::SetCapacity { pool: name("cpu"), zone: name("north"), slots });
    }

    pub(crate) fn propose(
        &mut self,
        slots: u32,
        interval: Interval,
        precedence: u32,
        flexibility: Flexibility,
    ) -> ClaimId {
        self.append(CommandBody::Reserve(reservation_request(slots, interval, precedence, flexibility)))
    }

    pub(crate) fn propose_and_confirm(
        &mut self,
        slots: u32,
        interval: Interval,
        precedence: u32,
        flexibility: Flexibility,
    ) -> ClaimId {
        let claim = self.propose(slots, interval, precedence, flexibility);
        self.append(CommandBody::Confirm(claim.clone()));
        claim
    }

    pub(crate) fn confirm_blackout(
        &mut self,
        target: BlackoutTarget,
        effect: BlackoutEffect,
        interval: Interval,
    ) -> ClaimId {
        let claim = self.append(CommandBody::Blackout(blackout_request(target, effect, interval)));
        self.append(CommandBody::Confirm(claim.clone()));
        claim
    }

    pub(crate) fn advance_to_hour(&mut self, hour: i64) {
        self.at = START + hour * HOUR;
        self.append(CommandBody::AdvanceTime);
    }

    pub(crate) fn state_of(&self, claim: &ClaimId) -> ClaimState {
        self.calendar.state_of(claim).expect("the claim is in the calendar")
    }

    /// The reason for a claim's last state change among the events of the last entry.
    pub(crate) fn last_reason(&self, claim: &ClaimId) -> Reason {
        let reason = self.events.iter().rev().find_map(|event| match &event.change {
            Change::StateChanged(change) if change.claim == *claim => Some(change.reason.clone()),
            _ => None,
        });
        reason.expect("the last entry changed the state of the claim")
    }
}
