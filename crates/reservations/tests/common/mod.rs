//! A calendar with a short way to write its log.
#![allow(dead_code)]
use copperspread_reservations::*;

/// A Monday's midnight.
pub const START: Millis = 1_796_601_600_000;

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

pub fn id(sequence: u64) -> CommandId {
    CommandId { member: name("m"), incarnation: 1, sequence }
}

/// From so many hours after [`START`] to so many.
pub fn hours(start: i64, end: i64) -> Interval {
    Interval { start: START + start * HOUR, end: START + end * HOUR }
}

pub fn piece(start: i64, end: i64, slots: u32) -> Allocation {
    Allocation { interval: hours(start, end), slots }
}

pub fn reserve(slots: u32, interval: Interval, precedence: u32, accepts: Flexibility) -> ReservationRequest {
    ReservationRequest {
        owner: Owner::Tenant(name("food")),
        pool: name("cpu"),
        amount: Amount::Slots(slots),
        schedule: Schedule::Once(interval),
        precedence,
        flexibility: accepts,
        lending_rate_ppm: 0,
        hold_end: START + DAY,
    }
}

pub fn blackout(target: BlackoutTarget, effect: BlackoutEffect, interval: Interval) -> BlackoutRequest {
    BlackoutRequest { target, effect, schedule: Schedule::Once(interval), hold_end: START + DAY }
}

pub const WHOLE: Flexibility = Flexibility { min_slots: None, allows_split: false };
pub const SPLIT: Flexibility = Flexibility { min_slots: None, allows_split: true };
pub const PART: Flexibility = Flexibility { min_slots: Some(1), allows_split: false };

pub struct Log {
    pub calendar: Calendar,
    pub at: Millis,
    sequence: u64,
    pub entries: Vec<(Millis, Command)>,
    pub events: Vec<Event>,
}

impl Log {
    pub fn new(notice: Millis, slots: u32) -> Log {
        let calendar = Calendar::new(Settings { displacement_notice: notice }).expect("good settings");
        let (entries, events) = (Vec::new(), Vec::new());
        let mut log = Log { calendar, at: START, sequence: 0, entries, events };
        log.capacity(slots);
        log
    }

    pub fn put(&mut self, body: CommandBody) -> CommandId {
        self.sequence += 1;
        let command = Command { id: id(self.sequence), body };
        self.events = self.calendar.apply(self.at, &command);
        self.entries.push((self.at, command));
        id(self.sequence)
    }

    pub fn capacity(&mut self, slots: u32) {
        self.put(CommandBody::SetCapacity { pool: name("cpu"), zone: name("north"), slots });
    }

    pub fn propose(
        &mut self,
        slots: u32,
        interval: Interval,
        precedence: u32,
        accepts: Flexibility,
    ) -> ClaimId {
        self.put(CommandBody::Reserve(reserve(slots, interval, precedence, accepts)))
    }

    pub fn confirmed(
        &mut self,
        slots: u32,
        span: Interval,
        precedence: u32,
        accepts: Flexibility,
    ) -> ClaimId {
        let claim = self.propose(slots, span, precedence, accepts);
        self.put(CommandBody::Confirm(claim.clone()));
        claim
    }

    pub fn black_out(
        &mut self,
        target: BlackoutTarget,
        effect: BlackoutEffect,
        interval: Interval,
    ) -> ClaimId {
        let claim = self.put(CommandBody::Blackout(blackout(target, effect, interval)));
        self.put(CommandBody::Confirm(claim.clone()));
        claim
    }

    pub fn to(&mut self, hour: i64) {
        self.at = START + hour * HOUR;
        self.put(CommandBody::AdvanceTime);
    }

    pub fn state(&self, claim: &ClaimId) -> ClaimState {
        self.calendar.state_of(claim).expect("known")
    }

    /// Why a claim came where it stands, in the last events.
    pub fn why(&self, claim: &ClaimId) -> Reason {
        let moved = self.events.iter().rev().find_map(|event| match &event.change {
            Change::StateChanged(change) if change.claim == *claim => Some(change.reason.clone()),
            _ => None,
        });
        moved.expect("moved")
    }
}
