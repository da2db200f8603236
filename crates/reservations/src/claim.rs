//! Pools and claims as the calendar stores them, and the rank, which is the order in which the intervals of
//! claims get slots.
use std::cmp::Reverse;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::claim_state::ClaimState;
use crate::command::{BlackoutRequest, ReservationRequest};
use crate::command_id::ClaimId;
use crate::interval::{Allocation, Interval};
use crate::limits::CLAIM_RETENTION;
use crate::time::UnixMillis;

/// The number of slots and the zone of a pool, as set by the last capacity command for this pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Pool {
    pub(crate) zone: Name,
    pub(crate) slots: u32,
}

/// The request of a claim, as it was proposed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Wanted")]
pub(crate) enum ClaimRequest {
    #[serde(rename = "Reserve")]
    Reservation(ReservationRequest),
    Blackout(BlackoutRequest),
}

/// An occurrence, which is one interval of a claim, with the slots allocated over it. An occurrence of a
/// blackout has no allocations.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Occurrence {
    pub(crate) interval: Interval,
    #[serde(rename = "pieces")]
    pub(crate) allocations: Vec<Allocation>,
}

/// Identifies an occurrence, which is one interval of a claim, by the claim's id and the index of the
/// interval in that claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OccurrenceKey {
    pub(crate) claim: ClaimId,
    pub(crate) position: usize,
}

/// A reservation or a blackout, in any state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) state: ClaimState,
    /// The instant that decides between claims of equal precedence: the claim with the earlier instant gets
    /// slots first. At first this is the instant at which the claim was proposed. When the claim becomes
    /// held, or is confirmed without having been held, the instant of that transition takes its place.
    #[serde(rename = "since")]
    pub(crate) ranked_at: UnixMillis,
    #[serde(rename = "moved")]
    pub(crate) last_transition_at: UnixMillis,
    #[serde(rename = "wanted")]
    pub(crate) request: ClaimRequest,
    /// The requested number of slots; 0 for a blackout. A fraction of the pool is converted to slots when the
    /// claim is proposed. Each command that sets the pool's number of slots converts the fraction again, if
    /// the claim then has allocations that have not ended.
    #[serde(rename = "slots")]
    pub(crate) requested_slots: u32,
    pub(crate) occurrences: Vec<Occurrence>,
}

/// The rank of an occurrence, which is one interval of a claim. Slots go to the occurrence with the lesser
/// value first. Occurrences that have started come first, then those of higher precedence. At equal
/// precedence, the earlier instant in [`Claim::ranked_at`] decides, which usually is when the claim became
/// held. The lesser [`OccurrenceKey`] decides last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_not_started: bool,
    precedence: Reverse<u32>,
    ranked_at: UnixMillis,
    pub(crate) key: OccurrenceKey,
}

impl Claim {
    /// The instant at which the passing of time next changes the claim's state, or at which the claim is
    /// removed. `None` for a confirmed or active claim that has neither allocations nor blackout intervals.
    pub(crate) fn next_due(&self) -> Option<UnixMillis> {
        match self.state {
            ClaimState::Proposed | ClaimState::Held => Some(self.hold_end()),
            ClaimState::Confirmed => self.effective_intervals().next().map(|interval| interval.start),
            ClaimState::Active => self.effective_intervals().next_back().map(|interval| interval.end),
            _ => Some(self.last_transition_at.saturating_add(CLAIM_RETENTION)),
        }
    }

    /// The intervals in which the claim has an effect. They are the intervals of a reservation's allocations,
    /// or the requested intervals of a blackout.
    pub(crate) fn effective_intervals(&self) -> impl DoubleEndedIterator<Item = Interval> {
        let is_blackout = matches!(self.request, ClaimRequest::Blackout(_));
        let blackouts =
            self.occurrences.iter().filter(move |_| is_blackout).map(|occurrence| occurrence.interval);
        let allocations = self.occurrences.iter().flat_map(|occurrence| &occurrence.allocations);
        blackouts.chain(allocations.map(|allocation| allocation.interval))
    }

    /// The request of a reservation; `None` if the claim is a blackout.
    pub(crate) fn reservation(&self) -> Option<&ReservationRequest> {
        match &self.request {
            ClaimRequest::Reservation(reservation) => Some(reservation),
            ClaimRequest::Blackout(_) => None,
        }
    }

    /// The rank at `now` of an occurrence, which is one interval of this claim. `key` must be the key of that
    /// occurrence. Slots go to the occurrence with the lesser rank first.
    pub(crate) fn rank(&self, key: &OccurrenceKey, occurrence: &Occurrence, now: UnixMillis) -> Rank {
        let precedence = self.reservation().map_or(0, |reservation| reservation.precedence);
        Rank {
            is_not_started: occurrence.interval.start > now,
            precedence: Reverse(precedence),
            ranked_at: self.ranked_at,
            key: key.clone(),
        }
    }

    fn hold_end(&self) -> UnixMillis {
        match &self.request {
            ClaimRequest::Reservation(reservation) => reservation.hold_end,
            ClaimRequest::Blackout(blackout) => blackout.hold_end,
        }
    }
}
