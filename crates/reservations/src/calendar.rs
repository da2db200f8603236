//! The state machine over the agreed log.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::index::{Index, Key, PoolIndex, over};
use crate::place::{Candidate, MOST_CANDIDATES, Plan, Stretch, plan};
use crate::seen::{Seen, Sight};
use crate::*;

/// How far from where it was wanted a claim's nearest interval is looked for.
const NEAR: Millis = 30 * DAY;
/// How many blocked stretches that search passes, each way.
const PASSED: usize = 256;

/// What is the same for every member of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// An occurrence that begins sooner is not displaced by a claim: 0 to 30 days.
    pub notice: Millis,
}

impl Default for Settings {
    /// An hour's notice.
    fn default() -> Settings {
        Settings { notice: HOUR }
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
pub(crate) enum Wanted {
    Reserve(Reserve),
    Blackout(Blackout),
}

/// One interval of a claim, and what it has of it; a blackout has no pieces.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Occurrence {
    pub(crate) interval: Interval,
    pub(crate) pieces: Vec<Piece>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) state: State,
    /// When it got its rank: held, or confirmed if it never was.
    since: Millis,
    /// When it took its last step.
    moved: Millis,
    pub(crate) wanted: Wanted,
    /// What it asks for in slots of the pool as it is.
    slots: u32,
    pub(crate) occurrences: Vec<Occurrence>,
}

/// Who goes first: what has begun, then precedence, then the earlier confirmed, then the id.
type Rank = (bool, std::cmp::Reverse<u32>, Millis, Key);

impl Claim {
    /// When it is to be looked at next.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        let hold_end = match &self.wanted {
            Wanted::Reserve(reserve) => reserve.hold_end,
            Wanted::Blackout(blackout) => blackout.hold_end,
        };
        match self.state {
            State::Proposed | State::Held => Some(hold_end),
            State::Confirmed => self.spans().next().map(|span| span.start),
            State::Active => self.spans().next_back().map(|span| span.end),
            _ => Some(self.moved.saturating_add(REMEMBERED)),
        }
    }

    /// When it acts.
    pub(crate) fn spans(&self) -> impl DoubleEndedIterator<Item = Interval> {
        let blackout = matches!(self.wanted, Wanted::Blackout(_));
        let whole = self.occurrences.iter().filter(move |_| blackout).map(|each| each.interval);
        whole.chain(self.occurrences.iter().flat_map(|each| each.pieces.iter().map(|piece| piece.interval)))
    }

    fn reserve(&self) -> Option<&Reserve> {
        match &self.wanted {
            Wanted::Reserve(reserve) => Some(reserve),
            Wanted::Blackout(_) => None,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Inner {
    settings: Settings,
    now: Millis,
    pub(crate) pools: BTreeMap<Name, Pool>,
    #[serde(with = "pairs")]
    pub(crate) claims: BTreeMap<ClaimId, Claim>,
    seen: Seen,
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
    pub(crate) state: Inner,
    pub(crate) index: Index,
}

impl Serialize for Calendar {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.state.serialize(to)
    }
}

impl<'de> Deserialize<'de> for Calendar {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Calendar, D::Error> {
        let state = Inner::deserialize(from)?;
        let mut index = Index::default();
        state.claims.iter().for_each(|(id, claim)| index.attach(id, claim));
        Ok(Calendar { state, index })
    }
}

/// Where events go, with what they share.
struct Told<'a> {
    at: Millis,
    command: Option<&'a CommandId>,
    events: Vec<Event>,
}

impl Told<'_> {
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
        if !(0..=30 * DAY).contains(&settings.notice) {
            return Err(SettingsError("notice: not in 0 to 30 days"));
        }
        let (pools, claims, seen) = (BTreeMap::new(), BTreeMap::new(), Seen::default());
        let state = Inner { settings, now: 0, pools, claims, seen };
        Ok(Calendar { state, index: Index::default() })
    }

    /// The instant of the latest entry.
    pub fn now(&self) -> Millis {
        self.state.now
    }

    /// Where a claim stands; none if it is unknown or forgotten.
    pub fn state_of(&self, claim: &ClaimId) -> Option<State> {
        self.state.claims.get(claim).map(|claim| claim.state)
    }

    /// What a reservation has, in order.
    pub fn pieces_of(&self, claim: &ClaimId) -> Vec<Piece> {
        let claim = self.state.claims.get(claim).filter(|claim| claim.state.keeps_place());
        claim.into_iter().flat_map(|claim| &claim.occurrences).flat_map(|each| each.pieces.clone()).collect()
    }

    /// Takes an entry of the log at its instant, and tells what changed. Time never goes back: an entry with an
    /// earlier instant than the last counts as at the last.
    pub fn apply(&mut self, at: Millis, command: &Command) -> Vec<Event> {
        let (id, events) = (&command.id, Vec::new());
        let mut told = Told { at: self.state.now, command: Some(id), events };
        if !(0..=LAST_INSTANT).contains(&at) {
            told.tell(Change::Rejected(Refusal::of("at", Fault::Range { least: 0, most: LAST_INSTANT })));
            return told.events;
        }
        self.state.now = self.state.now.max(at);
        told.at = self.state.now;
        told.command = None;
        self.advance(&mut told);
        told.command = Some(id);
        let refused = match self.state.seen.mark(self.state.now, id) {
            Sight::Again => return told.events,
            Sight::First => self.act(command, &mut told).err(),
            Sight::Old => Some(Refusal::of("id.sequence", Fault::TooOld)),
            Sight::Full => Some(Refusal::of("id.member", Fault::TooMany(seen::MOST_MEMBERS as u64))),
        };
        if let Some(refusal) = refused {
            told.tell(Change::Rejected(refusal));
        }
        // What was confirmed may have begun.
        self.advance(&mut told);
        told.events
    }

    fn act(&mut self, command: &Command, told: &mut Told<'_>) -> Result<(), Refusal> {
        match &command.body {
            Body::Reserve(reserve) => self.propose_reservation(&command.id, reserve, told),
            Body::Blackout(blackout) => self.propose_blackout(&command.id, blackout, told),
            Body::Confirm(claim) => self.confirm(claim, told),
            Body::Withdraw(claim) => {
                self.step("withdraw", claim, Step::Withdraw, Reason::Asked, told)?;
                Ok(())
            }
            Body::Capacity { pool, zone, slots } => self.set_capacity(pool, zone, *slots, told),
            Body::Advance => Ok(()),
        }
    }

    /// What time did up to now.
    fn advance(&mut self, told: &mut Told<'_>) {
        while let Some((due, _)) = self.index.due.first().filter(|(due, _)| *due <= self.state.now) {
            let due = *due;
            let Some((_, id)) = self.index.due.pop_first() else { break };
            let Some(claim) = self.state.claims.get(&id).filter(|claim| claim.next_due() == Some(due)) else {
                continue;
            };
            let (step, why) = match claim.state {
                State::Proposed | State::Held => (Step::Lapse, Reason::HoldEnded),
                State::Confirmed => (Step::Begin, Reason::TimeCame),
                State::Active => (Step::End, Reason::TimeCame),
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
        step: Step,
        why: Reason,
        told: &mut Told<'_>,
    ) -> Result<State, Refusal> {
        let from = self.state_of(id).ok_or(Refusal::of(field, Fault::Unknown))?;
        let to = from.after(step).map_err(|illegal| Refusal::of(field, Fault::Life(illegal)))?;
        let now = self.state.now;
        let change = |claim: &mut Claim| {
            // A hold's rank is that of its beginning.
            if matches!(step, Step::Hold | Step::Confirm) && from == State::Proposed {
                claim.since = now;
            }
            (claim.state, claim.moved) = (to, now);
        };
        if from.keeps_place() != to.keeps_place() {
            self.edit(id, change);
        } else if let Some(claim) = self.state.claims.get_mut(id) {
            self.index.restate(id, claim, change);
        }
        told.tell(Change::Moved { claim: id.clone(), from: Some(from), to, why });
        Ok(to)
    }

    fn has_room(&self, more: usize) -> Result<(), Refusal> {
        if self.state.claims.len() >= MOST_CLAIMS {
            return Err(Refusal::of("claim", Fault::TooMany(MOST_CLAIMS as u64)));
        }
        if self.index.occurrences + more > MOST_IN_ALL {
            return Err(Refusal::of("when", Fault::TooMany(MOST_IN_ALL as u64)));
        }
        Ok(())
    }

    /// Puts a new claim down as proposed.
    fn put(&mut self, id: &ClaimId, wanted: Wanted, slots: u32, intervals: &[Interval]) {
        let occurrence = |&interval: &Interval| Occurrence { interval, pieces: Vec::new() };
        let occurrences = intervals.iter().map(occurrence).collect();
        let now = self.state.now;
        let claim = Claim { state: State::Proposed, since: now, moved: now, wanted, slots, occurrences };
        self.index.attach(id, &claim);
        self.state.claims.insert(id.clone(), claim);
    }

    fn propose_blackout(
        &mut self,
        id: &ClaimId,
        blackout: &Blackout,
        told: &mut Told<'_>,
    ) -> Result<(), Refusal> {
        let intervals = blackout.check(self.state.now)?;
        self.has_room(intervals.len())?;
        self.put(id, Wanted::Blackout(blackout.clone()), 0, &intervals);
        told.tell(Change::Moved { claim: id.clone(), from: None, to: State::Proposed, why: Reason::Asked });
        self.step("claim", id, Step::Hold, Reason::Fits, told)?;
        Ok(())
    }

    fn propose_reservation(
        &mut self,
        id: &ClaimId,
        reserve: &Reserve,
        told: &mut Told<'_>,
    ) -> Result<(), Refusal> {
        let intervals = reserve.check(self.state.now)?;
        let pool = self.state.pools.get(&reserve.pool).ok_or(Refusal::of("pool", Fault::Unknown))?;
        let slots = in_slots(reserve.amount, pool.slots);
        if slots == 0 {
            return Err(Refusal::of("amount", Fault::LessThanASlot));
        }
        if slots > pool.slots && reserve.accepts.partial.is_none() {
            return Err(Refusal::of("amount", Fault::MoreThanThePool(pool.slots)));
        }
        self.has_room(intervals.len())?;
        self.put(id, Wanted::Reserve(reserve.clone()), slots, &intervals);
        told.tell(Change::Moved { claim: id.clone(), from: None, to: State::Proposed, why: Reason::Asked });
        match self.plan_claim(id) {
            Ok(found) if found.victims.is_empty() => {
                self.grant(id, &found, told);
                let why = if found.whole { Reason::Fits } else { Reason::LessFits };
                self.step("claim", id, Step::Hold, why, told)?;
            }
            Ok(found) => {
                let (claim, from) = (id.clone(), Some(State::Proposed));
                let victims: BTreeSet<ClaimId> = found.victims.into_iter().map(|(id, _)| id).collect();
                let why = Reason::NeedsRoom(victims.into_iter().collect());
                told.tell(Change::Moved { claim, from, to: State::Proposed, why });
            }
            Err(why) => {
                self.step("claim", id, Step::Refuse, why, told)?;
            }
        }
        Ok(())
    }

    fn confirm(&mut self, id: &ClaimId, told: &mut Told<'_>) -> Result<(), Refusal> {
        let from = self.state_of(id).ok_or(Refusal::of("confirm", Fault::Unknown))?;
        from.after(Step::Confirm).map_err(|illegal| Refusal::of("confirm", Fault::Life(illegal)))?;
        if from == State::Proposed {
            return self.confirm_with_room(id, told);
        }
        self.step("confirm", id, Step::Confirm, Reason::Asked, told)?;
        let claim = self.state.claims.get(id);
        if let Some((Wanted::Blackout(blackout), claim)) = claim.map(|claim| (claim.wanted.clone(), claim)) {
            let intervals: Vec<_> = claim.occurrences.iter().map(|each| each.interval).collect();
            self.black_out(id, &blackout.target, &intervals, told);
        }
        Ok(())
    }

    /// A claim that fits only if others make room.
    fn confirm_with_room(&mut self, id: &ClaimId, told: &mut Told<'_>) -> Result<(), Refusal> {
        let now = self.state.now;
        self.edit(id, |claim| {
            claim.occurrences.retain(|each| each.interval.end > now);
            claim.occurrences.iter_mut().for_each(|each| each.interval.start = each.interval.start.max(now));
        });
        if self.state.claims.get(id).is_some_and(|claim| claim.occurrences.is_empty()) {
            self.step("confirm", id, Step::Refuse, Reason::Past, told)?;
            return Ok(());
        }
        let found = match self.plan_claim(id) {
            Ok(found) => found,
            Err(why) => {
                self.step("confirm", id, Step::Refuse, why, told)?;
                return Ok(());
            }
        };
        let before = self.lift(&found.victims);
        self.grant(id, &found, told);
        let why = if found.whole { Reason::Asked } else { Reason::LessFits };
        self.step("confirm", id, Step::Confirm, why, told)?;
        self.settle(before, &Reason::RoomFor(id.clone()), told);
        Ok(())
    }

    fn grant(&mut self, id: &ClaimId, found: &Placed, told: &mut Told<'_>) {
        self.edit(id, |claim| {
            for (occurrence, pieces) in claim.occurrences.iter_mut().zip(&found.pieces) {
                occurrence.pieces.clone_from(pieces);
            }
        });
        let Some(claim) = self.state.claims.get(id).filter(|_| !found.whole) else { return };
        for occurrence in &claim.occurrences {
            let (claim, occurrence, pieces) = (id.clone(), occurrence.interval, occurrence.pieces.clone());
            told.tell(Change::Granted { claim, occurrence, pieces, why: Reason::LessFits, offer: None });
        }
    }

    /// Plans a claim occurrence by occurrence, in the order of time, with those that may make room for it.
    fn plan_claim(&self, id: &ClaimId) -> Result<Placed, Reason> {
        let nothing = Reason::Infeasible { blocked: Interval { start: 0, end: 0 }, offer: None };
        let claim = self.state.claims.get(id).ok_or(nothing.clone())?;
        let reserve = claim.reserve().ok_or(nothing.clone())?;
        let mut placed = Placed { pieces: Vec::new(), victims: Vec::new(), whole: true };
        let mut first_blocked = None;
        for occurrence in &claim.occurrences {
            // Where all of it is free nobody need be asked.
            let stretches = self.stretches(reserve, occurrence.interval, &[], &placed.victims);
            if let Ok(Plan { pieces, .. }) = plan(claim.slots, Accepts::default(), &stretches, &[]) {
                placed.pieces.push(pieces);
                continue;
            }
            let candidates = self.candidates(reserve, occurrence.interval, &placed.victims);
            let stretches = self.stretches(reserve, occurrence.interval, &candidates, &placed.victims);
            let keys: Vec<_> = candidates.iter().map(|(key, _)| key.clone()).collect();
            let candidates = self.takes(&candidates, &stretches);
            match plan(claim.slots, reserve.accepts, &stretches, &candidates) {
                Ok(Plan { pieces, victims, whole }) => {
                    placed.whole &= whole;
                    placed.pieces.push(pieces);
                    placed.victims.extend(victims.into_iter().map(|index| keys[index].clone()));
                }
                Err(blocked) => {
                    let offer = || self.nearest(reserve, claim.slots, occurrence.interval);
                    if !reserve.accepts.split {
                        return Err(Reason::Infeasible { blocked, offer: offer() });
                    }
                    first_blocked.get_or_insert((blocked, occurrence.interval));
                    placed.whole = false;
                    placed.pieces.push(Vec::new());
                }
            }
        }
        if placed.pieces.iter().all(Vec::is_empty) {
            return Err(first_blocked.map_or(nothing, |(blocked, wanted)| Reason::Infeasible {
                blocked,
                offer: self.nearest(reserve, claim.slots, wanted),
            }));
        }
        Ok(placed)
    }

    /// Occurrences that a claim may displace, those that make room first first, with what they have.
    fn candidates(&self, reserve: &Reserve, interval: Interval, but: &[Key]) -> Vec<(Key, &Occurrence)> {
        let soonest = self.state.now.saturating_add(self.state.settings.notice).max(self.state.now + 1);
        let but: BTreeSet<&Key> = but.iter().collect();
        let lower = |(id, _): &Key| {
            let theirs = self.state.claims.get(id).and_then(Claim::reserve);
            theirs.is_some_and(|theirs| theirs.precedence < reserve.precedence)
        };
        let pieces = self.index.pools.get(&reserve.pool).map(|pool| over(&pool.pieces, interval));
        let keys = pieces.into_iter().flatten().map(|(_, key)| key);
        let keys: BTreeSet<&Key> = keys.filter(|key| lower(key) && !but.contains(key)).collect();
        let mut found: Vec<(Rank, &Occurrence)> = Vec::new();
        for key in keys {
            let Some((claim, occurrence)) = self.occurrence(key) else { continue };
            if occurrence.interval.start >= soonest {
                found.push((self.rank(key, claim, occurrence), occurrence));
            }
        }
        found.sort_unstable_by(|a, b| b.0.cmp(&a.0));
        found.truncate(MOST_CANDIDATES);
        found.into_iter().map(|((_, _, _, key), occurrence)| (key, occurrence)).collect()
    }

    fn takes(&self, candidates: &[(Key, &Occurrence)], stretches: &[Stretch]) -> Vec<Candidate> {
        let place = |at: Millis| stretches.partition_point(|each| each.interval.start < at);
        let take =
            |piece: &Piece| (place(piece.interval.start), place(piece.interval.end), i64::from(piece.slots));
        let of = |(_, occurrence): &(Key, &Occurrence)| Candidate {
            cost: occurrence.pieces.iter().fold(0, |sum, piece| piece.work().saturating_add(sum)),
            takes: occurrence.pieces.iter().map(take).filter(|(from, to, _)| from < to).collect(),
        };
        candidates.iter().map(of).collect()
    }

    fn occurrence(&self, (id, number): &Key) -> Option<(&Claim, &Occurrence)> {
        let claim = self.state.claims.get(id)?;
        Some((claim, claim.occurrences.get(*number)?))
    }

    fn rank(&self, key: &Key, claim: &Claim, occurrence: &Occurrence) -> Rank {
        let begun = occurrence.interval.start <= self.state.now;
        let precedence = claim.reserve().map_or(0, |reserve| reserve.precedence);
        (!begun, std::cmp::Reverse(precedence), claim.since, key.clone())
    }

    /// The stretches of an interval in which nothing changes, with what is free, counting as free what those in
    /// `gone` have.
    fn stretches(
        &self,
        reserve: &Reserve,
        interval: Interval,
        candidates: &[(Key, &Occurrence)],
        gone: &[Key],
    ) -> Vec<Stretch> {
        let slots = self.state.pools.get(&reserve.pool).map_or(0, |pool| i64::from(pool.slots));
        let empty = PoolIndex::default();
        let levels = self.index.pools.get(&reserve.pool).unwrap_or(&empty).stretches(interval);
        // What begins and ends at each edge: slots that come free, and blackouts.
        let mut edges: BTreeMap<Millis, (i64, i64)> = BTreeMap::new();
        let mut edge = |at: Millis, slots: i64, blackouts: i64| {
            let sums = edges.entry(at.clamp(interval.start, interval.end)).or_default();
            *sums = (sums.0 + slots, sums.1 + blackouts);
        };
        edge(interval.end, 0, 0);
        levels.iter().for_each(|(stretch, _)| edge(stretch.start, 0, 0));
        for piece in candidates.iter().flat_map(|(_, each)| &each.pieces) {
            edge(piece.interval.start, 0, 0);
            edge(piece.interval.end, 0, 0);
        }
        for piece in gone.iter().filter_map(|key| self.occurrence(key)).flat_map(|(_, each)| &each.pieces) {
            edge(piece.interval.start, piece.slots.into(), 0);
            edge(piece.interval.end, -i64::from(piece.slots), 0);
        }
        for blocked in self.blocked(reserve, interval) {
            edge(blocked.start, 0, 1);
            edge(blocked.end, 0, -1);
        }
        let mut level = levels.iter().peekable();
        let mut found: Vec<Stretch> = Vec::with_capacity(edges.len());
        let (mut gone, mut blackouts) = (0, 0);
        let ends = edges.keys().skip(1).copied().chain([interval.end]);
        for ((&start, sums), end) in edges.iter().zip(ends).filter(|((start, _), end)| *start < end) {
            (gone, blackouts) = (gone + sums.0, blackouts + sums.1);
            while level.peek().is_some_and(|(each, _)| each.end <= start) {
                level.next();
            }
            let kept = level.peek().map_or(0, |(_, level)| *level);
            let (interval, blocked) = (Interval { start, end }, blackouts > 0);
            found.push(Stretch { interval, free: slots - kept + gone, blocked });
        }
        found
    }

    /// Blackouts over a reservation of this pool and owner within an interval.
    fn blocked(&self, reserve: &Reserve, interval: Interval) -> Vec<Interval> {
        let mut targets = vec![Target::Pool(reserve.pool.clone())];
        targets.extend(self.state.pools.get(&reserve.pool).map(|pool| Target::Zone(pool.zone.clone())));
        if let Owner::Tenant(tenant) = &reserve.owner {
            targets.push(Target::Tenant(tenant.clone()));
        }
        let maps = targets.iter().filter_map(|target| self.index.blackouts.get(target));
        maps.flat_map(|map| over(map, interval)).map(|(span, _)| span).collect()
    }

    /// The interval nearest to a wanted one in which so many slots are free now; of two the earlier.
    fn nearest(&self, reserve: &Reserve, slots: u32, wanted: Interval) -> Option<Interval> {
        let (now, length) = (self.state.now, wanted.length());
        let at = |start: Millis| Interval { start, end: start.saturating_add(length) };
        let blocks = |interval| -> Vec<Stretch> {
            let mut all = self.stretches(reserve, interval, &[], &[]);
            all.retain(|each| each.blocked || each.free < slots.into());
            all
        };
        let mut later = wanted.start.max(now);
        let mut after = None;
        for _ in 0..PASSED {
            if later > wanted.start.saturating_add(NEAR) || at(later).end > now.saturating_add(HORIZON) {
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
    fn lift(&mut self, keys: &[Key]) -> Vec<(Key, Vec<Piece>)> {
        let now = self.state.now;
        let mut before = Vec::new();
        for (id, number) in keys {
            self.edit(id, |claim| {
                if let Some(occurrence) = claim.occurrences.get_mut(*number) {
                    let had = occurrence.pieces.clone();
                    cut(&mut occurrence.pieces, now);
                    before.push(((id.clone(), *number), had));
                }
            });
        }
        before
    }

    /// Seats lifted occurrences anew, by rank, in what is free, and tells who has less or nothing.
    fn settle(&mut self, before: Vec<(Key, Vec<Piece>)>, why: &Reason, told: &mut Told<'_>) {
        let mut ranked: Vec<(Rank, Vec<Piece>)> = Vec::new();
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
            let by_parts = claim.reserve().is_some_and(|each| matches!(each.amount, Amount::Parts(_)));
            if by_parts && claim.slots > most && !occurrence.pieces.is_empty() {
                let slots = claim.slots;
                self.seat(key, slots, true);
            }
        }
        let mut touched = BTreeSet::new();
        for ((.., key), had) in ranked {
            let Some((claim, occurrence)) = self.occurrence(&key) else { continue };
            touched.insert(key.0.clone());
            if occurrence.pieces == had {
                continue;
            }
            let now = self.state.now;
            let nothing = occurrence.pieces.iter().all(|piece| piece.interval.end <= now);
            let offer = claim.reserve().filter(|_| nothing);
            let offer = offer.and_then(|reserve| self.nearest(reserve, claim.slots, occurrence.interval));
            let (claim, occurrence, pieces) = (key.0, occurrence.interval, occurrence.pieces.clone());
            told.tell(Change::Granted { claim, occurrence, pieces, why: why.clone(), offer });
        }
        for id in touched {
            let left = self.state.claims.get(&id).and_then(|claim| claim.spans().map(|span| span.end).max());
            if left.is_none_or(|end| end <= self.state.now) {
                // A claim that keeps its place may be displaced.
                let _ = self.step("", &id, Step::Displace, why.clone(), told);
            }
        }
    }

    /// Gives an occurrence that was lifted what is free, up to so many slots; one that grows gets all or stays.
    fn seat(&mut self, (id, number): &Key, slots: u32, grow: bool) {
        let now = self.state.now;
        let Some((claim, occurrence)) = self.occurrence(&(id.clone(), *number)) else { return };
        let Some(reserve) = claim.reserve() else { return };
        let Interval { start, end } = occurrence.interval;
        let rest = Interval { start: start.max(now), end };
        let mut accepts = reserve.accepts;
        // What has begun goes on wherever it can.
        accepts.split |= start <= now;
        let own: &[Key] = &[(id.clone(), *number)];
        let stretches = self.stretches(reserve, rest, &[], if grow { own } else { &[] });
        let accepts = if grow { Accepts::default() } else { accepts };
        let slots = slots.min(claim.slots);
        if slots == 0 || rest.length() == 0 {
            return;
        }
        let Ok(found) = plan(slots, accepts, &stretches, &[]) else { return };
        self.edit(id, |claim| {
            if let Some(occurrence) = claim.occurrences.get_mut(*number) {
                cut(&mut occurrence.pieces, now);
                occurrence.pieces.extend(found.pieces);
                occurrence.pieces = joined(&occurrence.pieces);
            }
        });
    }

    fn black_out(&mut self, id: &ClaimId, target: &Target, intervals: &[Interval], told: &mut Told<'_>) {
        let now = self.state.now;
        let mut keys: BTreeSet<Key> = BTreeSet::new();
        for (name, pool) in &self.index.pools {
            let concerned = match target {
                Target::Class(_) => false,
                Target::Tenant(_) => true,
                Target::Pool(pool) => pool == name,
                Target::Zone(zone) => self.state.pools.get(name).is_some_and(|pool| pool.zone == *zone),
            };
            for interval in intervals.iter().filter(|_| concerned) {
                let rest = Interval { start: interval.start.max(now), end: interval.end };
                let found = over(&pool.pieces, rest).map(|(_, key)| key);
                keys.extend(found.filter(|key| self.is_under(target, key)).cloned());
            }
        }
        let before = self.lift(&keys.into_iter().collect::<Vec<_>>());
        self.settle(before, &Reason::Blackout(id.clone()), told);
    }

    fn is_under(&self, target: &Target, key: &Key) -> bool {
        let Target::Tenant(tenant) = target else { return true };
        let owner = self.state.claims.get(&key.0).and_then(Claim::reserve).map(|reserve| &reserve.owner);
        owner == Some(&Owner::Tenant(tenant.clone()))
    }

    fn set_capacity(
        &mut self,
        name: &Name,
        zone: &Name,
        slots: u32,
        told: &mut Told<'_>,
    ) -> Result<(), Refusal> {
        if slots > command::MOST_SLOTS {
            return Err(Refusal::of("slots", Fault::Range { least: 0, most: command::MOST_SLOTS.into() }));
        }
        if self.state.pools.len() >= MOST_POOLS && !self.state.pools.contains_key(name) {
            return Err(Refusal::of("pool", Fault::TooMany(MOST_POOLS as u64)));
        }
        let now = self.state.now;
        self.state.pools.insert(name.clone(), Pool { zone: zone.clone(), slots });
        told.tell(Change::Capacity { pool: name.clone(), zone: zone.clone(), slots });
        let Some(index) = self.index.pools.get(name) else { return Ok(()) };
        // Those in stretches that are too full now or blacked out in the new zone, and those by parts.
        let mut keys: BTreeSet<Key> = BTreeSet::new();
        let mut stretches = index.above(now, slots.into());
        let zone_map = self.index.blackouts.get(&Target::Zone(zone.clone()));
        let spans = zone_map.into_iter().flat_map(|map| map.intervals(now..));
        stretches.extend(spans.map(|span| Interval { start: span.start.max(now), end: span.end }));
        for stretch in stretches {
            keys.extend(over(&index.pieces, stretch).map(|(_, key)| key.clone()));
        }
        let mut resized: BTreeMap<ClaimId, u32> = BTreeMap::new();
        for key in index.pieces.values(now..) {
            let amount = self.state.claims.get(&key.0).and_then(Claim::reserve).map(|reserve| reserve.amount);
            if let Some(Amount::Parts(_)) = amount {
                resized.insert(key.0.clone(), amount.map_or(0, |amount| in_slots(amount, slots)));
                keys.insert(key.clone());
            }
        }
        for (id, slots) in resized {
            self.edit(&id, |claim| claim.slots = slots);
        }
        let before = self.lift(&keys.into_iter().collect::<Vec<_>>());
        self.settle(before, &Reason::PoolChanged, told);
        Ok(())
    }
}

/// A claim's plan over all its occurrences.
struct Placed {
    pieces: Vec<Vec<Piece>>,
    victims: Vec<Key>,
    whole: bool,
}

fn in_slots(amount: Amount, pool: u32) -> u32 {
    match amount {
        Amount::Slots(slots) => slots,
        Amount::Parts(parts) => {
            u32::try_from(u64::from(pool) * u64::from(parts) / u64::from(MILLION)).unwrap_or(u32::MAX)
        }
    }
}

/// Leaves only what has passed.
fn cut(pieces: &mut Vec<Piece>, now: Millis) {
    pieces.retain(|piece| piece.interval.start < now);
    pieces.iter_mut().for_each(|piece| piece.interval.end = piece.interval.end.min(now));
}

/// Pieces that meet with as many slots as one, so that only what differs differs.
fn joined(pieces: &[Piece]) -> Vec<Piece> {
    let mut found: Vec<Piece> = Vec::new();
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
