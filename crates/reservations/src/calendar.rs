//! The calendar, a state machine over the replicated log. It applies commands, returns events and answers
//! queries.
use serde::{Deserialize, Serialize};

use crate::allowance_query;
use crate::allowances::Allowances;
use crate::capacity::set_capacity;
use crate::claim::Pool;
use crate::claim_state::{ClaimState, Transition};
use crate::command::{Command, CommandBody};
use crate::command_id::ClaimId;
use crate::confirmation::confirm;
use crate::deduplication::{DuplicateCheck, MAX_MEMBERS};
use crate::event::{Change, Event, EventBuffer, Reason};
use crate::interval::Allocation;
use crate::limits::MAX_INSTANT;
use crate::proposal::{propose_blackout, propose_reservation};
use crate::rejection::{FieldError, Rejection, check_instant};
use crate::settings::{Settings, SettingsError};
use crate::store::ClaimStore;
use crate::time::UnixMillis;

/// A calendar of reservations and blackouts, as they result from the log entries applied so far.
///
/// The serialized form is a snapshot: a calendar deserialized from it behaves as the original does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Calendar {
    store: ClaimStore,
}

impl Calendar {
    /// Creates a calendar without pools and claims.
    ///
    /// # Errors
    /// A setting is out of its bounds.
    pub fn new(settings: Settings) -> Result<Calendar, SettingsError> {
        settings.validate()?;
        Ok(Calendar { store: ClaimStore::new(settings) })
    }

    /// The current time of the calendar: the latest instant of the applied log entries.
    pub fn now(&self) -> UnixMillis {
        self.store.now()
    }

    /// The state of a claim. `None` if the claim is unknown, or was removed because its retention time has
    /// ended.
    pub fn state_of(&self, claim: &ClaimId) -> Option<ClaimState> {
        self.store.claim(claim).map(|claim| claim.state)
    }

    /// The allocations of the reservation whose claim id is `claim`, in order of time. The list is empty if
    /// there is no such reservation, or if its state is not held, confirmed or active.
    pub fn allocations_of(&self, claim: &ClaimId) -> Vec<Allocation> {
        let claim = self.store.claim(claim).filter(|claim| claim.state.occupies_capacity());
        let occurrences = claim.into_iter().flat_map(|claim| &claim.occurrences);
        occurrences.flat_map(|occurrence| occurrence.allocations.clone()).collect()
    }

    /// The reservations and blackouts that are in effect at an instant, and the blackouts that start soon
    /// after it. The result reflects the log entries applied so far.
    pub fn allowances(&self, at: UnixMillis) -> Allowances {
        allowance_query::allowances(&self.store, at)
    }

    /// The first instant later than `after` at which [`Calendar::allowances`] may return a different result.
    /// `None` if no such instant is known. The result reflects the log entries applied so far.
    pub fn next_change_after(&self, after: UnixMillis) -> Option<UnixMillis> {
        allowance_query::next_change_after(&self.store, after)
    }

    /// Applies a log entry at its instant and returns the events that the entry caused.
    ///
    /// The calendar's time never goes back: an entry whose instant is before [`now`](Calendar::now) is
    /// applied at `now`. An entry whose instant is before the Unix epoch or after [`MAX_INSTANT`] is
    /// rejected, and changes nothing. A duplicate command only advances the time, as
    /// [`CommandBody::AdvanceTime`] does.
    pub fn apply(&mut self, at: UnixMillis, command: &Command) -> Vec<Event> {
        let mut events = EventBuffer { at: self.store.now(), command: Some(&command.id), events: Vec::new() };
        if let Err(rejection) = check_instant("at", at, UnixMillis::EPOCH, MAX_INSTANT) {
            events.push(Change::Rejected(rejection));
            return events.events;
        }
        self.store.advance_to(at);
        events.at = self.store.now();
        events.command = None;
        self.apply_due_transitions(&mut events);
        events.command = Some(&command.id);
        let result = match self.store.record_command(&command.id) {
            DuplicateCheck::Duplicate => return events.events,
            DuplicateCheck::New => self.execute(command, &mut events),
            DuplicateCheck::TooOld => Err(Rejection::new("id.sequence", FieldError::TooOld)),
            DuplicateCheck::MemberLimitReached => {
                Err(Rejection::new("id.member", FieldError::LimitExceeded(MAX_MEMBERS as u64)))
            }
        };
        if let Err(rejection) = result {
            events.push(Change::Rejected(rejection));
        }
        // Due transitions are applied a second time. This command may have confirmed a claim whose first
        // interval had already started, and such a claim must become active at once.
        self.apply_due_transitions(&mut events);
        events.events
    }

    fn execute(&mut self, command: &Command, events: &mut EventBuffer<'_>) -> Result<(), Rejection> {
        let store = &mut self.store;
        match &command.body {
            CommandBody::Reserve(reservation) => propose_reservation(store, &command.id, reservation, events),
            CommandBody::Blackout(blackout) => propose_blackout(store, &command.id, blackout, events),
            CommandBody::Confirm(claim) => confirm(store, claim, events),
            CommandBody::Withdraw(claim) => store
                .transition(claim, Transition::Withdraw, Reason::Requested, events)
                .map_err(|error| Rejection::new("withdraw", error)),
            CommandBody::SetCapacity { pool, zone, slots } => {
                set_capacity(store, pool, Pool { zone: zone.clone(), slots: *slots }, events)
            }
            CommandBody::AdvanceTime => Ok(()),
        }
    }

    /// Applies the state transitions of claims that are due by now. Also removes the claims in a terminal
    /// state whose retention time has ended.
    fn apply_due_transitions(&mut self, events: &mut EventBuffer<'_>) {
        while let Some(id) = self.store.pop_due_claim() {
            let Some(state) = self.state_of(&id) else { continue };
            let (transition, reason) = match state {
                ClaimState::Proposed | ClaimState::Held => (Transition::Lapse, Reason::HoldExpired),
                ClaimState::Confirmed => (Transition::Begin, Reason::TimeReached),
                ClaimState::Active => (Transition::End, Reason::TimeReached),
                _ => {
                    self.store.remove(&id);
                    continue;
                }
            };
            // The transition cannot fail, because the match above pairs each state with a transition that the
            // state allows.
            let _ = self.store.transition(&id, transition, reason, events);
        }
    }
}
