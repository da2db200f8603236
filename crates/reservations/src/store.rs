//! Stored state of the calendar, with lookup structures over the claims. Every change of a claim goes through
//! [`ClaimStore`], which updates the lookup structures together with the claim.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::claim::{Claim, ClaimRequest, Occurrence, OccurrenceKey, Pool};
use crate::claim_state::{ClaimState, Transition};
use crate::command::ReservationRequest;
use crate::command_id::{ClaimId, CommandId};
use crate::deduplication::{DeduplicationWindows, DuplicateCheck};
use crate::event::{EventBuffer, Reason};
use crate::index::Index;
use crate::interval::Interval;
use crate::limits::{MAX_CLAIMS, MAX_TOTAL_OCCURRENCES};
use crate::rejection::{FieldError, Rejection};
use crate::settings::Settings;
use crate::time::{MILLISECOND, UnixMillis};

/// The state of the calendar that is serialized into a snapshot. The maps are ordered, so that members that
/// apply the same log get the same bytes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Inner", expecting = "struct Inner")]
struct CalendarState {
    settings: Settings,
    now: UnixMillis,
    pools: BTreeMap<Name, Pool>,
    #[serde(with = "map_as_pairs")]
    claims: BTreeMap<ClaimId, Claim>,
    #[serde(rename = "seen")]
    deduplication: DeduplicationWindows,
}

/// Serializes a map as a sequence of pairs of key and value. In some formats the keys of a map must be
/// strings, and claim ids are not.
mod map_as_pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<K: Serialize, V: Serialize, S: Serializer>(
        map: &BTreeMap<K, V>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(map)
    }

    pub(super) fn deserialize<'de, K: Deserialize<'de> + Ord, V: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<K, V>, D::Error> {
        Ok(Vec::<(K, V)>::deserialize(deserializer)?.into_iter().collect())
    }
}

/// The stored state of a [`Calendar`](crate::Calendar), with lookup structures over its claims. Only the
/// state is serialized; the lookup structures are rebuilt on deserialization.
#[derive(Clone, Debug)]
pub(crate) struct ClaimStore {
    state: CalendarState,
    index: Index,
}

impl Serialize for ClaimStore {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.state.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ClaimStore {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ClaimStore, D::Error> {
        let state = CalendarState::deserialize(deserializer)?;
        let mut index = Index::default();
        for (id, claim) in &state.claims {
            index.insert_claim(id, claim);
        }
        Ok(ClaimStore { state, index })
    }
}

impl ClaimStore {
    /// Creates a store without pools and claims. Its time is the Unix epoch.
    pub(crate) fn new(settings: Settings) -> ClaimStore {
        let state = CalendarState {
            settings,
            now: UnixMillis::EPOCH,
            pools: BTreeMap::new(),
            claims: BTreeMap::new(),
            deduplication: DeduplicationWindows::default(),
        };
        ClaimStore { state, index: Index::default() }
    }

    pub(crate) fn now(&self) -> UnixMillis {
        self.state.now
    }

    /// The earliest start of those occurrences of other reservations that a new reservation may displace. An
    /// occurrence is one interval of a reservation. Occurrences with an earlier start have started, or start
    /// within the displacement notice ([`Settings::displacement_notice`]).
    pub(crate) fn displaceable_from(&self) -> UnixMillis {
        let now = self.state.now;
        now.saturating_add(self.state.settings.displacement_notice).max(now + MILLISECOND)
    }

    pub(crate) fn index(&self) -> &Index {
        &self.index
    }

    pub(crate) fn pools(&self) -> &BTreeMap<Name, Pool> {
        &self.state.pools
    }

    pub(crate) fn claim(&self, id: &ClaimId) -> Option<&Claim> {
        self.state.claims.get(id)
    }

    /// The reservation request of a claim. `None` if the claim is unknown or is a blackout.
    pub(crate) fn reservation(&self, id: &ClaimId) -> Option<&ReservationRequest> {
        self.claim(id)?.reservation()
    }

    pub(crate) fn occurrence(&self, key: &OccurrenceKey) -> Option<(&Claim, &Occurrence)> {
        let claim = self.claim(&key.claim)?;
        Some((claim, claim.occurrences.get(key.position)?))
    }

    /// Advances the calendar's time to an instant. An instant before the calendar's time has no effect.
    pub(crate) fn advance_to(&mut self, at: UnixMillis) {
        self.state.now = self.state.now.max(at);
    }

    /// Checks whether a command was applied before, and records a new command as applied.
    pub(crate) fn record_command(&mut self, id: &CommandId) -> DuplicateCheck {
        self.state.deduplication.record(self.state.now, id)
    }

    pub(crate) fn set_pool(&mut self, name: &Name, pool: Pool) {
        self.state.pools.insert(name.clone(), pool);
    }

    /// Checks that the limits allow one more claim, with `new_occurrences` intervals.
    ///
    /// # Errors
    /// The limit that would be exceeded.
    pub(crate) fn check_limits(&self, new_occurrences: usize) -> Result<(), Rejection> {
        if self.state.claims.len() >= MAX_CLAIMS {
            return Err(Rejection::new("claim", FieldError::LimitExceeded(MAX_CLAIMS as u64)));
        }
        if self.index.occurrence_count + new_occurrences > MAX_TOTAL_OCCURRENCES {
            let limit = MAX_TOTAL_OCCURRENCES as u64;
            return Err(Rejection::new("when", FieldError::LimitExceeded(limit)));
        }
        Ok(())
    }

    /// Inserts a new claim, in the state `Proposed` and without allocations.
    pub(crate) fn insert_proposed(
        &mut self,
        id: &ClaimId,
        request: ClaimRequest,
        requested_slots: u32,
        intervals: &[Interval],
    ) {
        let unallocated = |&interval: &Interval| Occurrence { interval, allocations: Vec::new() };
        let claim = Claim {
            state: ClaimState::Proposed,
            ranked_at: self.state.now,
            last_transition_at: self.state.now,
            request,
            requested_slots,
            occurrences: intervals.iter().map(unallocated).collect(),
        };
        self.index.insert_claim(id, &claim);
        self.state.claims.insert(id.clone(), claim);
    }

    pub(crate) fn remove(&mut self, id: &ClaimId) {
        if let Some(claim) = self.state.claims.remove(id) {
            self.index.remove_claim(id, &claim);
        }
    }

    /// Returns the id of the first claim that is due by now, either for a state transition or to be removed.
    /// The claim's entry in the queue of due claims is removed. Returns `None` if no claim is due by now.
    pub(crate) fn pop_due_claim(&mut self) -> Option<ClaimId> {
        while self.index.due_claims.first()?.0 <= self.state.now {
            let (due, id) = self.index.due_claims.pop_first()?;
            if self.claim(&id).is_some_and(|claim| claim.next_due() == Some(due)) {
                return Some(id);
            }
        }
        None
    }

    /// Changes a claim and updates its entries in the lookup structures. An unknown claim is ignored.
    pub(crate) fn update_claim(&mut self, id: &ClaimId, change: impl FnOnce(&mut Claim)) {
        if let Some(claim) = self.state.claims.get_mut(id) {
            self.index.remove_claim(id, claim);
            change(claim);
            self.index.insert_claim(id, claim);
        }
    }

    /// Changes a claim's state and adds the event that reports the change.
    ///
    /// # Errors
    /// The claim is unknown, or its state does not allow the transition. After an error, nothing has changed.
    pub(crate) fn transition(
        &mut self,
        id: &ClaimId,
        transition: Transition,
        reason: Reason,
        events: &mut EventBuffer<'_>,
    ) -> Result<(), FieldError> {
        let from = self.claim(id).ok_or(FieldError::Unknown)?.state;
        let to = from.apply(transition)?;
        let now = self.state.now;
        // `ranked_at` decides which of two claims of equal precedence gets slots first. It is set when the
        // claim becomes held, or is confirmed without having been held. Therefore a held claim keeps its
        // place when it is confirmed.
        let sets_rank = matches!(transition, Transition::Hold | Transition::Confirm);
        let change = |claim: &mut Claim| {
            if sets_rank && from == ClaimState::Proposed {
                claim.ranked_at = now;
            }
            claim.state = to;
            claim.last_transition_at = now;
        };
        if from.occupies_capacity() != to.occupies_capacity() {
            self.update_claim(id, change);
        } else if let Some(claim) = self.state.claims.get_mut(id) {
            self.index.update_state(id, claim, change);
        }
        events.push_state_change(id, Some(from), to, reason);
        Ok(())
    }
}
