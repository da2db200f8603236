//! The state machine over the agreed log.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::deduplication::{DeduplicationWindows, DuplicateCheck};
use crate::index::{Index, OccurrenceKey, PoolIndex, overlapping};
use crate::planner::{AllocationPlan, Candidate, MAX_CANDIDATES, Segment, plan};
use crate::*;

/// How far from where it was wanted a claim's nearest interval is looked for.
const NEAR: Millis = 30 * DAY;
/// How many blocked stretches that search passes, each way.
const PASSED: usize = 256;

/// What is the same for every member of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// An occurrence that begins sooner is not displaced by a claim: 0 to 30 days.
    #[serde(rename = "notice")]
    pub displacement_notice: Millis,
}

impl Default for Settings {
    /// An hour's notice.
    fn default() -> Settings {
        Settings { displacement_notice: HOUR }
    }
}

/// Settings that are out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub &'static str);

/// A pool as the log tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Pool {
    pub(crate) zone: Name,
    pub(crate) slots: u32,
}

/// What a claim asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Wanted")]
pub(crate) enum ClaimRequest {
    #[serde(rename = "Reserve")]
    Reservation(ReservationRequest),
    Blackout(BlackoutRequest),
}

/// One interval of a claim, and what it has of it; a blackout has no pieces.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Occurrence {
    pub(crate) interval: Interval,
    #[serde(rename = "pieces")]
    pub(crate) allocations: Vec<Allocation>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) state: ClaimState,
    /// When it got its rank: held, or confirmed if it never was.
    #[serde(rename = "since")]
    ranked_at: Millis,
    /// When it took its last step.
    #[serde(rename = "moved")]
    last_transition_at: Millis,
    #[serde(rename = "wanted")]
    pub(crate) request: ClaimRequest,
    /// What it asks for in slots of the pool as it is.
    #[serde(rename = "slots")]
    requested_slots: u32,
    pub(crate) occurrences: Vec<Occurrence>,
}

/// Who goes first: what has begun, then precedence, then the earlier confirmed, then the id.
type Rank = (bool, std::cmp::Reverse<u32>, Millis, OccurrenceKey);

impl Claim {
    /// When it is to be looked at next.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        let hold_end = match &self.request {
            ClaimRequest::Reservation(reserve) => reserve.hold_end,
            ClaimRequest::Blackout(blackout) => blackout.hold_end,
        };
        match self.state {
            ClaimState::Proposed | ClaimState::Held => Some(hold_end),
            ClaimState::Confirmed => self.active_intervals().next().map(|span| span.start),
            ClaimState::Active => self.active_intervals().next_back().map(|span| span.end),
            _ => Some(self.last_transition_at.saturating_add(CLAIM_RETENTION)),
        }
    }

    /// When it acts.
    pub(crate) fn active_intervals(&self) -> impl DoubleEndedIterator<Item = Interval> {
        let blackout = matches!(self.request, ClaimRequest::Blackout(_));
        let whole = self.occurrences.iter().filter(move |_| blackout).map(|each| each.interval);
        whole.chain(
            self.occurrences.iter().flat_map(|each| each.allocations.iter().map(|piece| piece.interval)),
        )
    }

    fn reserve(&self) -> Option<&ReservationRequest> {
        match &self.request {
            ClaimRequest::Reservation(reserve) => Some(reserve),
            ClaimRequest::Blackout(_) => None,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Inner")]
pub(crate) struct CalendarState {
    settings: Settings,
    now: Millis,
    pub(crate) pools: BTreeMap<Name, Pool>,
    #[serde(with = "pairs")]
    pub(crate) claims: BTreeMap<ClaimId, Claim>,
    #[serde(rename = "seen")]
    deduplication: DeduplicationWindows,
}

/// A map as pairs in its order, for formats whose keys are texts.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<K: Serialize, V: Serialize, S: Serializer>(
        map: &BTreeMap<K, V>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(map)
    }

    pub(super) fn deserialize<'de, K: Deserialize<'de> + Ord, V: Deserialize<'de>, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<K, V>, D::Error> {
        Ok(Vec::<(K, V)>::deserialize(from)?.into_iter().collect())
    }
}

/// Reservations and blackouts as the log's entries up to now make them. Its serde form is a snapshot: one taken
/// and read goes on alike.
#[derive(Clone, Debug)]
pub struct Calendar {
    pub(crate) state: CalendarState,
    pub(crate) index: Index,
}

impl Serialize for Calendar {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.state.serialize(to)
    }
}

impl<'de> Deserialize<'de> for Calendar {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Calendar, D::Error> {
        let state = CalendarState::deserialize(from)?;
        let mut index = Index::default();
        state.claims.iter().for_each(|(id, claim)| index.attach(id, claim));
        Ok(Calendar { state, index })
    }
}

/// Where events go, with what they share.
struct EventSink<'a> {
    at: Millis,
    command: Option<&'a CommandId>,
    events: Vec<Event>,
}

impl EventSink<'_> {
    fn tell(&mut self, change: Change) {
        self.events.push(Event { at: self.at, command: self.command.cloned(), change });
    }
}

impl Calendar {
    /// An empty calendar: no pools, no claims.
    ///
    /// # Errors
    /// Settings that are out of bounds.
    pub fn new(settings: Settings) -> Result<Calendar, SettingsError> {
        if !(0..=30 * DAY).contains(&settings.displacement_notice) {
            return Err(SettingsError("notice: not in 0 to 30 days"));
        }
        let (pools, claims, seen) = (BTreeMap::new(), BTreeMap::new(), DeduplicationWindows::default());
        let state = CalendarState { settings, now: 0, pools, claims, deduplication: seen };
        Ok(Calendar { state, index: Index::default() })
    }

    /// The instant of the latest entry.
    pub fn now(&self) -> Millis {
        self.state.now
    }

    /// Where a claim stands; none if it is unknown or forgotten.
    pub fn state_of(&self, claim: &ClaimId) -> Option<ClaimState> {
        self.state.claims.get(claim).map(|claim| claim.state)
    }

    /// What a reservation has, in order.
    pub fn allocations_of(&self, claim: &ClaimId) -> Vec<Allocation> {
        let claim = self.state.claims.get(claim).filter(|claim| claim.state.occupies_capacity());
        claim
            .into_iter()
            .flat_map(|claim| &claim.occurrences)
            .flat_map(|each| each.allocations.clone())
            .collect()
    }

    /// Takes an entry of the log at its instant, and tells what changed. Time never goes back: an entry with an
    /// earlier instant than the last counts as at the last.
    pub fn apply(&mut self, at: Millis, command: &Command) -> Vec<Event> {
        let (id, events) = (&command.id, Vec::new());
        let mut told = EventSink { at: self.state.now, command: Some(id), events };
        if !(0..=MAX_INSTANT).contains(&at) {
            told.tell(Change::Rejected(Rejection::new(
                "at",
                FieldError::OutOfRange { min: 0, max: MAX_INSTANT },
            )));
            return told.events;
        }
        self.state.now = self.state.now.max(at);
        told.at = self.state.now;
        told.command = None;
        self.advance(&mut told);
        told.command = Some(id);
        let refused = match self.state.deduplication.record(self.state.now, id) {
            DuplicateCheck::Duplicate => return told.events,
            DuplicateCheck::New => self.act(command, &mut told).err(),
            DuplicateCheck::TooOld => Some(Rejection::new("id.sequence", FieldError::TooOld)),
            DuplicateCheck::NoCapacity => Some(Rejection::new(
                "id.member",
                FieldError::LimitExceeded(deduplication::MAX_MEMBERS as u64),
            )),
        };
        if let Some(refusal) = refused {
            told.tell(Change::Rejected(refusal));
        }
        // What was confirmed may have begun.
        self.advance(&mut told);
        told.events
    }

    fn act(&mut self, command: &Command, told: &mut EventSink<'_>) -> Result<(), Rejection> {
        match &command.body {
            CommandBody::Reserve(reserve) => self.propose_reservation(&command.id, reserve, told),
            CommandBody::Blackout(blackout) => self.propose_blackout(&command.id, blackout, told),
            CommandBody::Confirm(claim) => self.confirm(claim, told),
            CommandBody::Withdraw(claim) => {
                self.step("withdraw", claim, Transition::Withdraw, Reason::Requested, told)?;
                Ok(())
            }
            CommandBody::SetCapacity { pool, zone, slots } => self.set_capacity(pool, zone, *slots, told),
            CommandBody::AdvanceTime => Ok(()),
        }
    }

    /// What time did up to now.
    fn advance(&mut self, told: &mut EventSink<'_>) {
        while let Some((due, _)) = self.index.due_claims.first().filter(|(due, _)| *due <= self.state.now) {
            let due = *due;
            let Some((_, id)) = self.index.due_claims.pop_first() else { break };
            let Some(claim) = self.state.claims.get(&id).filter(|claim| claim.next_due() == Some(due)) else {
                continue;
            };
            let (step, why) = match claim.state {
                ClaimState::Proposed | ClaimState::Held => (Transition::Lapse, Reason::HoldExpired),
                ClaimState::Confirmed => (Transition::Begin, Reason::TimeReached),
                ClaimState::Active => (Transition::End, Reason::TimeReached),
                _ => {
                    if let Some(claim) = self.state.claims.remove(&id) {
                        self.index.detach(&id, &claim);
                    }
                    continue;
                }
            };
            // None of these is illegal, by the match.
            let _ = self.step("", &id, step, why, told);
        }
    }

    /// Changes a claim with the index kept in step.
    fn edit(&mut self, id: &ClaimId, change: impl FnOnce(&mut Claim)) {
        if let Some(claim) = self.state.claims.get_mut(id) {
            self.index.detach(id, claim);
            change(claim);
            self.index.attach(id, claim);
        }
    }

    fn step(
        &mut self,
        field: &'static str,
        id: &ClaimId,
        step: Transition,
        why: Reason,
        told: &mut EventSink<'_>,
    ) -> Result<ClaimState, Rejection> {
        let from = self.state_of(id).ok_or(Rejection::new(field, FieldError::Unknown))?;
        let to = from
            .apply(step)
            .map_err(|illegal| Rejection::new(field, FieldError::InvalidTransition(illegal)))?;
        let now = self.state.now;
        let change = |claim: &mut Claim| {
            // A hold's rank is that of its beginning.
            if matches!(step, Transition::Hold | Transition::Confirm) && from == ClaimState::Proposed {
                claim.ranked_at = now;
            }
            (claim.state, claim.last_transition_at) = (to, now);
        };
        if from.occupies_capacity() != to.occupies_capacity() {
            self.edit(id, change);
        } else if let Some(claim) = self.state.claims.get_mut(id) {
            self.index.update_state(id, claim, change);
        }
        told.tell(Change::StateChanged { claim: id.clone(), from: Some(from), to, reason: why });
        Ok(to)
    }

    fn has_room(&self, more: usize) -> Result<(), Rejection> {
        if self.state.claims.len() >= MAX_CLAIMS {
            return Err(Rejection::new("claim", FieldError::LimitExceeded(MAX_CLAIMS as u64)));
        }
        if self.index.occurrence_count + more > MAX_TOTAL_OCCURRENCES {
            return Err(Rejection::new("when", FieldError::LimitExceeded(MAX_TOTAL_OCCURRENCES as u64)));
        }
        Ok(())
    }

    /// Puts a new claim down as proposed.
    fn put(&mut self, id: &ClaimId, wanted: ClaimRequest, slots: u32, intervals: &[Interval]) {
        let occurrence = |&interval: &Interval| Occurrence { interval, allocations: Vec::new() };
        let occurrences = intervals.iter().map(occurrence).collect();
        let now = self.state.now;
        let claim = Claim {
            state: ClaimState::Proposed,
            ranked_at: now,
            last_transition_at: now,
            request: wanted,
            requested_slots: slots,
            occurrences,
        };
        self.index.attach(id, &claim);
        self.state.claims.insert(id.clone(), claim);
    }

    fn propose_blackout(
        &mut self,
        id: &ClaimId,
        blackout: &BlackoutRequest,
        told: &mut EventSink<'_>,
    ) -> Result<(), Rejection> {
        let intervals = blackout.check(self.state.now)?;
        self.has_room(intervals.len())?;
        self.put(id, ClaimRequest::Blackout(blackout.clone()), 0, &intervals);
        told.tell(Change::StateChanged {
            claim: id.clone(),
            from: None,
            to: ClaimState::Proposed,
            reason: Reason::Requested,
        });
        self.step("claim", id, Transition::Hold, Reason::Fits, told)?;
        Ok(())
    }

    fn propose_reservation(
        &mut self,
        id: &ClaimId,
        reserve: &ReservationRequest,
        told: &mut EventSink<'_>,
    ) -> Result<(), Rejection> {
        let intervals = reserve.check(self.state.now)?;
        let pool = self.state.pools.get(&reserve.pool).ok_or(Rejection::new("pool", FieldError::Unknown))?;
        let slots = in_slots(reserve.amount, pool.slots);
        if slots == 0 {
            return Err(Rejection::new("amount", FieldError::BelowOneSlot));
        }
        if slots > pool.slots && reserve.flexibility.min_slots.is_none() {
            return Err(Rejection::new("amount", FieldError::ExceedsPool(pool.slots)));
        }
        self.has_room(intervals.len())?;
        self.put(id, ClaimRequest::Reservation(reserve.clone()), slots, &intervals);
        told.tell(Change::StateChanged {
            claim: id.clone(),
            from: None,
            to: ClaimState::Proposed,
            reason: Reason::Requested,
        });
        match self.plan_claim(id) {
            Ok(found) if found.victims.is_empty() => {
                self.grant(id, &found, told);
                let why = if found.is_complete { Reason::Fits } else { Reason::FitsPartially };
                self.step("claim", id, Transition::Hold, why, told)?;
            }
            Ok(found) => {
                let (claim, from) = (id.clone(), Some(ClaimState::Proposed));
                let victims: BTreeSet<ClaimId> = found.victims.into_iter().map(|(id, _)| id).collect();
                let why = Reason::RequiresDisplacement(victims.into_iter().collect());
                told.tell(Change::StateChanged { claim, from, to: ClaimState::Proposed, reason: why });
            }
            Err(why) => {
                self.step("claim", id, Transition::Reject, why, told)?;
            }
        }
        Ok(())
    }

    fn confirm(&mut self, id: &ClaimId, told: &mut EventSink<'_>) -> Result<(), Rejection> {
        let from = self.state_of(id).ok_or(Rejection::new("confirm", FieldError::Unknown))?;
        from.apply(Transition::Confirm)
            .map_err(|illegal| Rejection::new("confirm", FieldError::InvalidTransition(illegal)))?;
        if from == ClaimState::Proposed {
            return self.confirm_with_room(id, told);
        }
        self.step("confirm", id, Transition::Confirm, Reason::Requested, told)?;
        let claim = self.state.claims.get(id);
        if let Some((ClaimRequest::Blackout(blackout), claim)) =
            claim.map(|claim| (claim.request.clone(), claim))
        {
            let intervals: Vec<_> = claim.occurrences.iter().map(|each| each.interval).collect();
            self.black_out(id, &blackout.target, &intervals, told);
        }
        Ok(())
    }

    /// A claim that fits only if others make room.
    fn confirm_with_room(&mut self, id: &ClaimId, told: &mut EventSink<'_>) -> Result<(), Rejection> {
        let now = self.state.now;
        self.edit(id, |claim| {
            claim.occurrences.retain(|each| each.interval.end > now);
            claim.occurrences.iter_mut().for_each(|each| each.interval.start = each.interval.start.max(now));
        });
        if self.state.claims.get(id).is_some_and(|claim| claim.occurrences.is_empty()) {
            self.step("confirm", id, Transition::Reject, Reason::InThePast, told)?;
            return Ok(());
        }
        let found = match self.plan_claim(id) {
            Ok(found) => found,
            Err(why) => {
                self.step("confirm", id, Transition::Reject, why, told)?;
                return Ok(());
            }
        };
        let before = self.lift(&found.victims);
        self.grant(id, &found, told);
        let why = if found.is_complete { Reason::Requested } else { Reason::FitsPartially };
        self.step("confirm", id, Transition::Confirm, why, told)?;
        self.settle(before, &Reason::DisplacedBy(id.clone()), told);
        Ok(())
    }

    fn grant(&mut self, id: &ClaimId, found: &ClaimPlan, told: &mut EventSink<'_>) {
        self.edit(id, |claim| {
            for (occurrence, pieces) in claim.occurrences.iter_mut().zip(&found.allocations) {
                occurrence.allocations.clone_from(pieces);
            }
        });
        let Some(claim) = self.state.claims.get(id).filter(|_| !found.is_complete) else { return };
        for occurrence in &claim.occurrences {
            let (claim, occurrence, pieces) =
                (id.clone(), occurrence.interval, occurrence.allocations.clone());
            told.tell(Change::Granted {
                claim,
                occurrence,
                allocations: pieces,
                reason: Reason::FitsPartially,
                alternative: None,
            });
        }
    }

    /// Plans a claim occurrence by occurrence, in the order of time, with those that may make room for it.
    fn plan_claim(&self, id: &ClaimId) -> Result<ClaimPlan, Reason> {
        let nothing = Reason::Infeasible { blocked: Interval { start: 0, end: 0 }, alternative: None };
        let claim = self.state.claims.get(id).ok_or(nothing.clone())?;
        let reserve = claim.reserve().ok_or(nothing.clone())?;
        let mut placed = ClaimPlan { allocations: Vec::new(), victims: Vec::new(), is_complete: true };
        let mut first_blocked = None;
        for occurrence in &claim.occurrences {
            // Where all of it is free nobody need be asked.
            let stretches = self.stretches(reserve, occurrence.interval, &[], &placed.victims);
            if let Ok(AllocationPlan { allocations: pieces, .. }) =
                plan(claim.requested_slots, Flexibility::default(), &stretches, &[])
            {
                placed.allocations.push(pieces);
                continue;
            }
            let candidates = self.candidates(reserve, occurrence.interval, &placed.victims);
            let stretches = self.stretches(reserve, occurrence.interval, &candidates, &placed.victims);
            let keys: Vec<_> = candidates.iter().map(|(key, _)| key.clone()).collect();
            let candidates = self.takes(&candidates, &stretches);
            match plan(claim.requested_slots, reserve.flexibility, &stretches, &candidates) {
                Ok(AllocationPlan { allocations: pieces, victims, is_complete: whole }) => {
                    placed.is_complete &= whole;
                    placed.allocations.push(pieces);
                    placed.victims.extend(victims.into_iter().map(|index| keys[index].clone()));
                }
                Err(blocked) => {
                    let offer = || self.nearest(reserve, claim.requested_slots, occurrence.interval);
                    if !reserve.flexibility.allows_split {
                        return Err(Reason::Infeasible { blocked, alternative: offer() });
                    }
                    first_blocked.get_or_insert((blocked, occurrence.interval));
                    placed.is_complete = false;
                    placed.allocations.push(Vec::new());
                }
            }
        }
        if placed.allocations.iter().all(Vec::is_empty) {
            return Err(first_blocked.map_or(nothing, |(blocked, wanted)| Reason::Infeasible {
                blocked,
                alternative: self.nearest(reserve, claim.requested_slots, wanted),
            }));
        }
        Ok(placed)
    }

    /// Occurrences that a claim may displace, those that make room first first, with what they have.
    fn candidates(
        &self,
        reserve: &ReservationRequest,
        interval: Interval,
        but: &[OccurrenceKey],
    ) -> Vec<(OccurrenceKey, &Occurrence)> {
        let soonest =
            self.state.now.saturating_add(self.state.settings.displacement_notice).max(self.state.now + 1);
        let but: BTreeSet<&OccurrenceKey> = but.iter().collect();
        let lower = |(id, _): &OccurrenceKey| {
            let theirs = self.state.claims.get(id).and_then(Claim::reserve);
            theirs.is_some_and(|theirs| theirs.precedence < reserve.precedence)
        };
        let pieces = self.index.pools.get(&reserve.pool).map(|pool| overlapping(&pool.allocations, interval));
        let keys = pieces.into_iter().flatten().map(|(_, key)| key);
        let keys: BTreeSet<&OccurrenceKey> = keys.filter(|key| lower(key) && !but.contains(key)).collect();
        let mut found: Vec<(Rank, &Occurrence)> = Vec::new();
        for key in keys {
            let Some((claim, occurrence)) = self.occurrence(key) else { continue };
            if occurrence.interval.start >= soonest {
                found.push((self.rank(key, claim, occurrence), occurrence));
            }
        }
        found.sort_unstable_by(|a, b| b.0.cmp(&a.0));
        found.truncate(MAX_CANDIDATES);
        found.into_iter().map(|((_, _, _, key), occurrence)| (key, occurrence)).collect()
    }

    fn takes(&self, candidates: &[(OccurrenceKey, &Occurrence)], stretches: &[Segment]) -> Vec<Candidate> {
        let place = |at: Millis| stretches.partition_point(|each| each.interval.start < at);
        let take = |piece: &Allocation| {
            (place(piece.interval.start), place(piece.interval.end), i64::from(piece.slots))
        };
        let of = |(_, occurrence): &(OccurrenceKey, &Occurrence)| Candidate {
            cost: occurrence.allocations.iter().fold(0, |sum, piece| piece.slot_millis().saturating_add(sum)),
            usages: occurrence.allocations.iter().map(take).filter(|(from, to, _)| from < to).collect(),
        };
        candidates.iter().map(of).collect()
    }

    fn occurrence(&self, (id, number): &OccurrenceKey) -> Option<(&Claim, &Occurrence)> {
        let claim = self.state.claims.get(id)?;
        Some((claim, claim.occurrences.get(*number)?))
    }

    fn rank(&self, key: &OccurrenceKey, claim: &Claim, occurrence: &Occurrence) -> Rank {
        let begun = occurrence.interval.start <= self.state.now;
        let precedence = claim.reserve().map_or(0, |reserve| reserve.precedence);
        (!begun, std::cmp::Reverse(precedence), claim.ranked_at, key.clone())
    }

    /// The stretches of an interval in which nothing changes, with what is free, counting as free what those in
    /// `gone` have.
    fn stretches(
        &self,
        reserve: &ReservationRequest,
        interval: Interval,
        candidates: &[(OccurrenceKey, &Occurrence)],
        gone: &[OccurrenceKey],
    ) -> Vec<Segment> {
        let slots = self.state.pools.get(&reserve.pool).map_or(0, |pool| i64::from(pool.slots));
        let empty = PoolIndex::default();
        let levels = self.index.pools.get(&reserve.pool).unwrap_or(&empty).segments(interval);
        // What begins and ends at each edge: slots that come free, and blackouts.
        let mut edges: BTreeMap<Millis, (i64, i64)> = BTreeMap::new();
        let mut edge = |at: Millis, slots: i64, blackouts: i64| {
            let sums = edges.entry(at.clamp(interval.start, interval.end)).or_default();
            *sums = (sums.0 + slots, sums.1 + blackouts);
        };
        edge(interval.end, 0, 0);
        levels.iter().for_each(|(stretch, _)| edge(stretch.start, 0, 0));
        for piece in candidates.iter().flat_map(|(_, each)| &each.allocations) {
            edge(piece.interval.start, 0, 0);
            edge(piece.interval.end, 0, 0);
        }
        for piece in
            gone.iter().filter_map(|key| self.occurrence(key)).flat_map(|(_, each)| &each.allocations)
        {
            edge(piece.interval.start, piece.slots.into(), 0);
            edge(piece.interval.end, -i64::from(piece.slots), 0);
        }
        for blocked in self.blocked(reserve, interval) {
            edge(blocked.start, 0, 1);
            edge(blocked.end, 0, -1);
        }
        let mut level = levels.iter().peekable();
        let mut found: Vec<Segment> = Vec::with_capacity(edges.len());
        let (mut gone, mut blackouts) = (0, 0);
        let ends = edges.keys().skip(1).copied().chain([interval.end]);
        for ((&start, sums), end) in edges.iter().zip(ends).filter(|((start, _), end)| *start < end) {
            (gone, blackouts) = (gone + sums.0, blackouts + sums.1);
            while level.peek().is_some_and(|(each, _)| each.end <= start) {
                level.next();
            }
            let kept = level.peek().map_or(0, |(_, level)| *level);
            let (interval, blocked) = (Interval { start, end }, blackouts > 0);
            found.push(Segment { interval, free: slots - kept + gone, blocked });
        }
        found
    }

    /// Blackouts over a reservation of this pool and owner within an interval.
    fn blocked(&self, reserve: &ReservationRequest, interval: Interval) -> Vec<Interval> {
        let mut targets = vec![BlackoutTarget::Pool(reserve.pool.clone())];
        targets
            .extend(self.state.pools.get(&reserve.pool).map(|pool| BlackoutTarget::Zone(pool.zone.clone())));
        if let Owner::Tenant(tenant) = &reserve.owner {
            targets.push(BlackoutTarget::Tenant(tenant.clone()));
        }
        let maps = targets.iter().filter_map(|target| self.index.blackouts.get(target));
        maps.flat_map(|map| overlapping(map, interval)).map(|(span, _)| span).collect()
    }

    /// The interval nearest to a wanted one in which so many slots are free now; of two the earlier.
    fn nearest(&self, reserve: &ReservationRequest, slots: u32, wanted: Interval) -> Option<Interval> {
        let (now, length) = (self.state.now, wanted.length());
        let at = |start: Millis| Interval { start, end: start.saturating_add(length) };
        let blocks = |interval| -> Vec<Segment> {
            let mut all = self.stretches(reserve, interval, &[], &[]);
            all.retain(|each| each.blocked || each.free < slots.into());
            all
        };
        let mut later = wanted.start.max(now);
        let mut after = None;
        for _ in 0..PASSED {
            if later > wanted.start.saturating_add(NEAR)
                || at(later).end > now.saturating_add(PLANNING_HORIZON)
            {
                break;
            }
            match blocks(at(later)).last() {
                Some(block) => later = block.interval.end,
                None => {
                    after = Some(later);
                    break;
                }
            }
        }
        let mut earlier = wanted.start;
        let mut before = None;
        let least = now.max(wanted.start.saturating_sub(NEAR));
        for _ in 0..PASSED {
            if earlier < least || after.is_some_and(|after| wanted.start - earlier > after - wanted.start) {
                break;
            }
            match blocks(at(earlier)).first() {
                Some(block) => earlier = block.interval.start.saturating_sub(length),
                None => {
                    before = Some(earlier);
                    break;
                }
            }
        }
        before.or(after).map(at)
    }

    /// Takes from occurrences what they have from now on, and returns what they had.
    fn lift(&mut self, keys: &[OccurrenceKey]) -> Vec<(OccurrenceKey, Vec<Allocation>)> {
        let now = self.state.now;
        let mut before = Vec::new();
        for (id, number) in keys {
            self.edit(id, |claim| {
                if let Some(occurrence) = claim.occurrences.get_mut(*number) {
                    let had = occurrence.allocations.clone();
                    cut(&mut occurrence.allocations, now);
                    before.push(((id.clone(), *number), had));
                }
            });
        }
        before
    }

    /// Seats lifted occurrences anew, by rank, in what is free, and tells who has less or nothing.
    fn settle(
        &mut self,
        before: Vec<(OccurrenceKey, Vec<Allocation>)>,
        why: &Reason,
        told: &mut EventSink<'_>,
    ) {
        let mut ranked: Vec<(Rank, Vec<Allocation>)> = Vec::new();
        for (key, had) in before {
            if let Some((claim, occurrence)) = self.occurrence(&key) {
                ranked.push((self.rank(&key, claim, occurrence), had));
            }
        }
        ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for ((.., key), had) in &ranked {
            let most = had.iter().map(|piece| piece.slots).max().unwrap_or(0);
            self.seat(key, most, false);
        }
        // What grows with its pool takes nothing from those who stand.
        for ((.., key), had) in &ranked {
            let most = had.iter().map(|piece| piece.slots).max().unwrap_or(0);
            let Some((claim, occurrence)) = self.occurrence(key) else { continue };
            let by_parts =
                claim.reserve().is_some_and(|each| matches!(each.amount, Amount::PartsPerMillion(_)));
            if by_parts && claim.requested_slots > most && !occurrence.allocations.is_empty() {
                let slots = claim.requested_slots;
                self.seat(key, slots, true);
            }
        }
        let mut touched = BTreeSet::new();
        for ((.., key), had) in ranked {
            let Some((claim, occurrence)) = self.occurrence(&key) else { continue };
            touched.insert(key.0.clone());
            if occurrence.allocations == had {
                continue;
            }
            let now = self.state.now;
            let nothing = occurrence.allocations.iter().all(|piece| piece.interval.end <= now);
            let offer = claim.reserve().filter(|_| nothing);
            let offer =
                offer.and_then(|reserve| self.nearest(reserve, claim.requested_slots, occurrence.interval));
            let (claim, occurrence, pieces) = (key.0, occurrence.interval, occurrence.allocations.clone());
            told.tell(Change::Granted {
                claim,
                occurrence,
                allocations: pieces,
                reason: why.clone(),
                alternative: offer,
            });
        }
        for id in touched {
            let left = self
                .state
                .claims
                .get(&id)
                .and_then(|claim| claim.active_intervals().map(|span| span.end).max());
            if left.is_none_or(|end| end <= self.state.now) {
                // A claim that keeps its place may be displaced.
                let _ = self.step("", &id, Transition::Displace, why.clone(), told);
            }
        }
    }

    /// Gives an occurrence that was lifted what is free, up to so many slots; one that grows gets all or stays.
    fn seat(&mut self, (id, number): &OccurrenceKey, slots: u32, grow: bool) {
        let now = self.state.now;
        let Some((claim, occurrence)) = self.occurrence(&(id.clone(), *number)) else { return };
        let Some(reserve) = claim.reserve() else { return };
        let Interval { start, end } = occurrence.interval;
        let rest = Interval { start: start.max(now), end };
        let mut accepts = reserve.flexibility;
        // What has begun goes on wherever it can.
        accepts.allows_split |= start <= now;
        let own: &[OccurrenceKey] = &[(id.clone(), *number)];
        let stretches = self.stretches(reserve, rest, &[], if grow { own } else { &[] });
        let accepts = if grow { Flexibility::default() } else { accepts };
        let slots = slots.min(claim.requested_slots);
        if slots == 0 || rest.length() == 0 {
            return;
        }
        let Ok(found) = plan(slots, accepts, &stretches, &[]) else { return };
        self.edit(id, |claim| {
            if let Some(occurrence) = claim.occurrences.get_mut(*number) {
                cut(&mut occurrence.allocations, now);
                occurrence.allocations.extend(found.allocations);
                occurrence.allocations = joined(&occurrence.allocations);
            }
        });
    }

    fn black_out(
        &mut self,
        id: &ClaimId,
        target: &BlackoutTarget,
        intervals: &[Interval],
        told: &mut EventSink<'_>,
    ) {
        let now = self.state.now;
        let mut keys: BTreeSet<OccurrenceKey> = BTreeSet::new();
        for (name, pool) in &self.index.pools {
            let concerned = match target {
                BlackoutTarget::Class(_) => false,
                BlackoutTarget::Tenant(_) => true,
                BlackoutTarget::Pool(pool) => pool == name,
                BlackoutTarget::Zone(zone) => {
                    self.state.pools.get(name).is_some_and(|pool| pool.zone == *zone)
                }
            };
            for interval in intervals.iter().filter(|_| concerned) {
                let rest = Interval { start: interval.start.max(now), end: interval.end };
                let found = overlapping(&pool.allocations, rest).map(|(_, key)| key);
                keys.extend(found.filter(|key| self.is_under(target, key)).cloned());
            }
        }
        let before = self.lift(&keys.into_iter().collect::<Vec<_>>());
        self.settle(before, &Reason::UnderBlackout(id.clone()), told);
    }

    fn is_under(&self, target: &BlackoutTarget, key: &OccurrenceKey) -> bool {
        let BlackoutTarget::Tenant(tenant) = target else { return true };
        let owner = self.state.claims.get(&key.0).and_then(Claim::reserve).map(|reserve| &reserve.owner);
        owner == Some(&Owner::Tenant(tenant.clone()))
    }

    fn set_capacity(
        &mut self,
        name: &Name,
        zone: &Name,
        slots: u32,
        told: &mut EventSink<'_>,
    ) -> Result<(), Rejection> {
        if slots > command::MAX_POOL_SLOTS {
            return Err(Rejection::new(
                "slots",
                FieldError::OutOfRange { min: 0, max: command::MAX_POOL_SLOTS.into() },
            ));
        }
        if self.state.pools.len() >= MAX_POOLS && !self.state.pools.contains_key(name) {
            return Err(Rejection::new("pool", FieldError::LimitExceeded(MAX_POOLS as u64)));
        }
        let now = self.state.now;
        self.state.pools.insert(name.clone(), Pool { zone: zone.clone(), slots });
        told.tell(Change::CapacityChanged { pool: name.clone(), zone: zone.clone(), slots });
        let Some(index) = self.index.pools.get(name) else { return Ok(()) };
        // Those in stretches that are too full now or blacked out in the new zone, and those by parts.
        let mut keys: BTreeSet<OccurrenceKey> = BTreeSet::new();
        let mut stretches = index.segments_above(now, slots.into());
        let zone_map = self.index.blackouts.get(&BlackoutTarget::Zone(zone.clone()));
        let spans = zone_map.into_iter().flat_map(|map| map.intervals(now..));
        stretches.extend(spans.map(|span| Interval { start: span.start.max(now), end: span.end }));
        for stretch in stretches {
            keys.extend(overlapping(&index.allocations, stretch).map(|(_, key)| key.clone()));
        }
        let mut resized: BTreeMap<ClaimId, u32> = BTreeMap::new();
        for key in index.allocations.values(now..) {
            let amount = self.state.claims.get(&key.0).and_then(Claim::reserve).map(|reserve| reserve.amount);
            if let Some(Amount::PartsPerMillion(_)) = amount {
                resized.insert(key.0.clone(), amount.map_or(0, |amount| in_slots(amount, slots)));
                keys.insert(key.clone());
            }
        }
        for (id, slots) in resized {
            self.edit(&id, |claim| claim.requested_slots = slots);
        }
        let before = self.lift(&keys.into_iter().collect::<Vec<_>>());
        self.settle(before, &Reason::PoolChanged, told);
        Ok(())
    }
}

/// A claim's plan over all its occurrences.
struct ClaimPlan {
    allocations: Vec<Vec<Allocation>>,
    victims: Vec<OccurrenceKey>,
    is_complete: bool,
}

fn in_slots(amount: Amount, pool: u32) -> u32 {
    match amount {
        Amount::Slots(slots) => slots,
        Amount::PartsPerMillion(parts) => {
            u32::try_from(u64::from(pool) * u64::from(parts) / u64::from(PARTS_PER_MILLION))
                .unwrap_or(u32::MAX)
        }
    }
}

/// Leaves only what has passed.
fn cut(pieces: &mut Vec<Allocation>, now: Millis) {
    pieces.retain(|piece| piece.interval.start < now);
    pieces.iter_mut().for_each(|piece| piece.interval.end = piece.interval.end.min(now));
}

/// Pieces that meet with as many slots as one, so that only what differs differs.
fn joined(pieces: &[Allocation]) -> Vec<Allocation> {
    let mut found: Vec<Allocation> = Vec::new();
    for piece in pieces {
        match found.last_mut() {
            Some(last) if last.slots == piece.slots && last.interval.end == piece.interval.start => {
                last.interval.end = piece.interval.end;
            }
            _ => found.push(*piece),
        }
    }
    found
}
