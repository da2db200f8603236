//! One member: what comes in, what goes out, and the lease that it holds.
use std::collections::{BTreeMap, VecDeque};

use crate::clock::{Clock, Drift};
use crate::lead::Lead;
use crate::settings::named;
use crate::state::Command;
use crate::voter::{Out, Voter};
use crate::wire::{Facts, Packet};
use crate::{
    Acting, Change, Entry, Held, Micros, Outcome, ProposalId, Rules, Saved, Settings, SettingsError,
    Snapshot, State, Version, Vote,
};

/// Own proposals that may be under way at once.
const MOST_PROPOSALS: usize = 8;
/// Questions without an answer after which another voter is asked.
const UNANSWERED: u32 = 2;

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Own {
    /// Its name, of 1 to 64 bytes; a voter if [`Settings::voters`] has it.
    pub name: String,
    /// Grows with every start of its process, such as the start's Unix time in milliseconds.
    pub generation: u64,
}

/// What a voter has from its life before. It means nothing to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing: the first start, or the memory is lost, which it cannot tell apart. It takes no part until it has
    /// caught up with what was committed after its return, or until all voters say that they have nothing.
    Empty,
    /// All that `Persisted` was said for.
    Saved(Saved),
}

/// What comes in.
#[derive(Clone, Debug)]
pub enum Input<'a, R> {
    /// Time went on. Wanted every [`Settings::tick`].
    Tick,
    /// From the member of this name, proved by whoever carries it.
    Message(&'a str, &'a [u8]),
    /// Rules are to follow those of a version.
    Propose {
        /// The one that they were made from.
        made_from: Version,
        /// What they say.
        rules: R,
    },
    /// All that was to be stored up to this token is, and lasts as long as this voter is to remember it.
    Persisted(u64),
    /// The names of all members that are there, without this one, by membership. Told news at once; nothing
    /// rests on it.
    Members(&'a [String]),
}

/// Why a proposal was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// It was made from another version than the newest, or too many wait to take effect.
    Older,
    /// The document has more bytes than [`Settings::most_rules`], or cannot be written.
    TooLarge,
    /// Eight proposals of this member are under way.
    Busy,
}

/// What is to be done or known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Bytes for the member of this name; they may be lost, come twice, late and in any order.
    Send(String, Vec<u8>),
    /// To be stored, in the order of the tokens, and then said with [`Input::Persisted`].
    Persist(u64, Change),
    /// An own proposal changed nothing.
    Refused {
        /// The one that it was made from.
        made_from: Version,
        /// The one in force.
        in_force: Version,
        /// Why.
        why: Why,
    },
    /// An own proposal is this version; it takes effect later.
    Accepted {
        /// The one that it was made from.
        made_from: Version,
        /// Its own.
        version: Version,
    },
    /// This version was ordered, and waits to take effect: until then what it forbids is forbidden here.
    Ordered(Version),
    /// This version took effect.
    InForce(Version),
    /// True: no leader with a majority was heard for a lease; the safe rules hold here and versions stand still,
    /// as far as this member can tell. False: it is over.
    Frozen(bool),
    /// This member's clock and the leader's do not keep the same time within the bound; said by the member, and by
    /// the leader of itself where most members say so of it. Such a member acts on the safe rules.
    ClockOff(Drift),
    /// Its clock has been found within the bound again.
    ClockBack,
}

/// An own proposal under way.
struct Pending {
    made_from: Version,
    bytes: Vec<u8>,
    said: Micros,
}

/// A voter's place.
enum Part {
    /// It is none.
    Follower,
    /// Without memory: it asks the others.
    Mute { nonce: u64, since: Micros, asked: Micros, empty: BTreeMap<u64, u64> },
    /// What it begins from is being stored.
    Installing { token: u64, saved: Saved },
    /// It votes.
    Voting(Box<Voter>),
}

/// One member's part in the agreement.
pub struct Node<R> {
    own: Own,
    settings: Settings,
    chance: fastrand::Rng,
    session: u64,
    held: Held<R>,
    initial: Vec<u8>,
    /// Its number among the voters, from 1; 0 for none.
    id: u64,
    part: Part,
    token: u64,
    state: State,
    /// The largest generation of a voter that was heard; the epoch of a founding.
    generation: u64,
    lead: Option<Lead>,
    next_tick: Micros,
    /// Which voter is asked for the lease, and how often in vain.
    asks: u64,
    vain: u32,
    next_renew: Micros,
    /// The last grant's leader and term, and how its clock compares.
    clock: Clock,
    clock_of: (u64, u64),
    doubted: bool,
    proposals: BTreeMap<u64, Pending>,
    proposed: u64,
    members: Vec<String>,
    frozen: bool,
    /// Messages to itself.
    local: VecDeque<Packet>,
}

impl<R: Rules> Node<R> {
    /// A member that holds its own configuration's rules and no lease. `seed` settles all its chance, and must be
    /// another for each start of each process: answers to a process before it are told by it.
    ///
    /// # Errors
    /// Settings, a name, own rules or a store that do not fit.
    pub fn new(
        own: Own,
        settings: Settings,
        start: Start,
        rules: R,
        seed: u64,
    ) -> Result<Node<R>, SettingsError> {
        settings.check()?;
        if !named(&own.name) {
            return Err(SettingsError("name: not of 1 to 64 bytes"));
        }
        let initial = postcard::to_allocvec(&rules).map_err(|_| SettingsError("rules: cannot be written"))?;
        if initial.len() > settings.most_rules {
            return Err(SettingsError("rules: more than most_rules bytes"));
        }
        let mut chance = fastrand::Rng::with_seed(seed);
        let session = chance.u64(..);
        let id = settings.voters.iter().position(|name| *name == own.name).map_or(0, |at| at as u64 + 1);
        let mut state = State::default();
        let part = match start {
            _ if id == 0 => Part::Follower,
            Start::Empty => Part::Mute { nonce: session, since: 0, asked: 0, empty: BTreeMap::new() },
            Start::Saved(saved) => {
                if !saved.sound() {
                    return Err(SettingsError("store: entries do not follow each other"));
                }
                if let Some(snapshot) = &saved.snapshot {
                    state = postcard::from_bytes(&snapshot.state)
                        .map_err(|_| SettingsError("store: the snapshot cannot be read"))?;
                }
                let voter = Voter::new(id, &settings, &saved, chance.u64(..), 0)
                    .map_err(|_| SettingsError("store: the log cannot be read"))?;
                Part::Voting(Box::new(voter))
            }
        };
        let asks = chance.u64(1..=settings.voters.len() as u64);
        Ok(Node {
            generation: own.generation,
            own,
            chance,
            session,
            held: Held::new(rules),
            initial,
            id,
            part,
            token: 0,
            state,
            lead: None,
            next_tick: 0,
            asks,
            vain: 0,
            next_renew: 0,
            clock: Clock::default(),
            clock_of: (0, 0),
            doubted: false,
            proposals: BTreeMap::new(),
            proposed: 0,
            members: Vec::new(),
            frozen: false,
            local: VecDeque::new(),
            settings,
        })
    }

    /// Without the look at the lease in the decision: to show that a checker notices it, and for nothing else.
    #[doc(hidden)]
    pub fn blinded(mut self) -> Node<R> {
        self.held.blind();
        self
    }

    /// What a decision at this instant is to act on: see [`Held::rules`].
    pub fn rules(&self, now: Micros) -> Acting<'_, R> {
        self.held.rules(now)
    }

    /// What this member holds, for a snapshot that others read.
    pub fn held(&self) -> &Held<R> {
        &self.held
    }

    /// Whether it leads the voters, as far as it knows.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// Whether it is a voter that takes part: not one without memory that has not caught up.
    pub fn votes(&self) -> bool {
        matches!(self.part, Part::Voting(_))
    }

    /// Takes what comes in at an instant that never goes back, and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, input: Input<'_, R>, effects: &mut Vec<Effect>) {
        match input {
            Input::Tick => self.tick(now, effects),
            Input::Message(from, bytes) => {
                if let Some(packet) = Packet::read(bytes) {
                    self.packet(now, from, packet, effects);
                }
            }
            Input::Propose { made_from, rules } => self.propose(now, made_from, rules, effects),
            Input::Persisted(token) => self.persisted(token, effects),
            Input::Members(names) => self.members = names.to_vec(),
        }
        self.settle(now, effects);
    }

    fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let frozen = !self.held.leased(now) && (self.held.newest() > Version::default() || self.frozen);
        if frozen != self.frozen {
            self.frozen = frozen;
            effects.push(Effect::Frozen(frozen));
        }
        if now >= self.next_tick {
            // One step, however late: after a pause the messages that wait count before the silence does.
            self.next_tick = now.saturating_add(self.settings.tick);
            match &mut self.part {
                Part::Voting(voter) => voter.tick(),
                Part::Mute { .. } => self.ask(now, effects),
                Part::Follower | Part::Installing { .. } => {}
            }
        }
        if now >= self.next_renew {
            self.vain += 1;
            self.renew(now, effects);
        }
        let retry = self.settings.retry();
        let late = self.proposals.iter().filter(|(_, of)| now.saturating_sub(of.said) >= retry);
        for number in late.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.say(now, number, effects);
        }
    }

    /// Asks the leader, or whoever may know it, for the lease.
    fn renew(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        // Its own knowledge first; else, after some silence, the next voter.
        let known = match &self.part {
            Part::Voting(voter) => voter.leader(),
            _ => 0,
        };
        if known != 0 {
            self.asks = known;
        } else if self.vain > UNANSWERED {
            self.asks = self.asks % self.settings.voters.len() as u64 + 1;
            self.vain = 0;
        }
        self.next_renew = now.saturating_add(self.settings.retry());
        let (in_force, newest) = (self.held.in_force(), self.held.newest());
        let drift = self.clock.drift();
        let packet = Packet::Renew { session: self.session, sent: now, in_force, newest, drift };
        self.tell_voter(self.asks, packet, effects);
    }

    fn tell_voter(&mut self, voter: u64, packet: Packet, effects: &mut Vec<Effect>) {
        if voter == self.id {
            self.local.push_back(packet);
        } else if let Some(name) = self.settings.voters.get((voter as usize).wrapping_sub(1)) {
            effects.push(Effect::Send(name.clone(), packet.write()));
        }
    }

    fn tell(&mut self, name: &str, packet: Packet, effects: &mut Vec<Effect>) {
        if name == self.own.name {
            self.local.push_back(packet);
        } else {
            effects.push(Effect::Send(name.to_owned(), packet.write()));
        }
    }

    fn propose(&mut self, now: Micros, made_from: Version, rules: R, effects: &mut Vec<Effect>) {
        let in_force = self.held.in_force();
        let refused = |why| Effect::Refused { made_from, in_force, why };
        // What is older than this member knows is refused here; what is not, by the log.
        if made_from < self.held.newest() {
            return effects.push(refused(Why::Older));
        }
        if self.proposals.len() >= MOST_PROPOSALS {
            return effects.push(refused(Why::Busy));
        }
        match postcard::to_allocvec(&rules) {
            Ok(bytes) if bytes.len() <= self.settings.most_rules => {
                self.proposed += 1;
                self.proposals.insert(self.proposed, Pending { made_from, bytes, said: now });
                self.say(now, self.proposed, effects);
            }
            _ => effects.push(refused(Why::TooLarge)),
        }
    }

    /// Says an own proposal to the leader, as often as it takes.
    fn say(&mut self, now: Micros, number: u64, effects: &mut Vec<Effect>) {
        let id = ProposalId { member: self.own.name.clone(), session: self.session, number };
        let Some(pending) = self.proposals.get_mut(&number) else { return };
        pending.said = now;
        let (made_from, bytes) = (pending.made_from, pending.bytes.clone());
        self.tell_voter(self.asks, Packet::Propose { id, made_from, bytes }, effects);
    }

    fn persisted(&mut self, token: u64, effects: &mut Vec<Effect>) {
        match &mut self.part {
            Part::Voting(voter) => {
                let mut out = Out::default();
                voter.persisted(token, &mut out);
                self.send_all(out.send, effects);
            }
            Part::Installing { token: wanted, .. } if *wanted <= token => {
                let Part::Installing { saved, .. } = std::mem::replace(&mut self.part, Part::Follower) else {
                    return;
                };
                let state = saved.snapshot.as_ref().map(|of| postcard::from_bytes(&of.state));
                let seed = self.chance.u64(..);
                let voter = Voter::new(self.id, &self.settings, &saved, seed, self.token);
                // Both were checked before they were stored.
                if let (Ok(state), Ok(voter)) = (state.unwrap_or_else(|| Ok(State::default())), voter) {
                    self.state = state;
                    self.part = Part::Voting(Box::new(voter));
                }
            }
            _ => {}
        }
    }

    fn send_all(&mut self, messages: Vec<(u64, crate::wire::Raft)>, effects: &mut Vec<Effect>) {
        for (to, message) in messages {
            self.tell_voter(to, Packet::Raft(message), effects);
        }
    }

    /// A voter without memory asks the others, and founds with them once all say that they have none.
    fn ask(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (voters, wait, retry) =
            (self.settings.voters.len() as u64, self.settings.wait(), self.settings.retry());
        let Part::Mute { nonce, since, asked, empty } = &mut self.part else { return };
        if *since == 0 {
            *since = now.max(1);
        }
        // Leases that leaders granted before all was lost have run out by then.
        if empty.len() as u64 == voters - 1 && now.saturating_sub(*since) >= wait {
            self.generation = empty.values().copied().fold(self.generation, u64::max);
            self.install(Saved::default(), effects);
            return;
        }
        if *asked != 0 && now.saturating_sub(*asked) < retry {
            return;
        }
        *asked = now.max(1);
        let packet = Packet::Ask { nonce: *nonce, generation: self.own.generation };
        let own = self.id;
        for voter in (1..=voters).filter(|voter| *voter != own) {
            self.tell_voter(voter, packet.clone(), effects);
        }
    }

    /// Stores what this voter begins from, before it takes part.
    fn install(&mut self, saved: Saved, effects: &mut Vec<Effect>) {
        self.token += 1;
        let change = Change { snapshot: saved.snapshot.clone(), vote: Some(saved.vote), entries: Vec::new() };
        self.part = Part::Installing { token: self.token, saved };
        effects.push(Effect::Persist(self.token, change));
    }

    fn packet(&mut self, now: Micros, from: &str, packet: Packet, effects: &mut Vec<Effect>) {
        let voter = self.settings.voters.iter().position(|name| name == from).map_or(0, |at| at as u64 + 1);
        match packet {
            Packet::Raft(message) if voter != 0 && voter != self.id => {
                if let Part::Voting(part) = &mut self.part {
                    part.step(voter, message);
                }
            }
            Packet::Renew { session, sent, in_force, newest, drift } => {
                let leader = match &self.part {
                    Part::Voting(part) => part.leader(),
                    _ => 0,
                };
                if let Some(lead) = &mut self.lead {
                    lead.asked(now, from, session, sent, (in_force, newest), drift);
                } else if leader != 0 && from != self.own.name {
                    self.tell(from, Packet::Leader { session, voter: leader }, effects);
                }
            }
            Packet::Grant { session, sent, term, there, facts } if voter != 0 && session == self.session => {
                self.granted(now, (voter, term), sent, there, facts, effects);
            }
            Packet::News { facts } if voter != 0 => {
                let before = (self.held.in_force(), self.held.newest());
                if self.learn(facts, effects) {
                    self.asks = voter;
                }
                if before != (self.held.in_force(), self.held.newest()) {
                    self.renew(now, effects);
                }
            }
            Packet::Leader { session, voter: leads }
                if voter != 0 && session == self.session && leads != self.asks && self.numbered(leads) =>
            {
                (self.asks, self.vain) = (leads, 0);
                self.renew(now, effects);
            }
            Packet::Propose { id, made_from, bytes } if id.member == from => {
                let Some(lead) = &mut self.lead else { return };
                if let Some(outcome) = self.state.outcome(&id) {
                    self.tell(from, Packet::Answered { id, outcome }, effects);
                } else if bytes.len() <= self.settings.most_rules && lead.puts(now, &id, &self.settings) {
                    self.put(Command::Propose { id, made_from, bytes });
                }
            }
            Packet::Answered { id, outcome } if voter != 0 => {
                if id.member != self.own.name || id.session != self.session {
                    return;
                }
                let Some(Pending { made_from, .. }) = self.proposals.remove(&id.number) else { return };
                effects.push(match outcome {
                    Outcome::Ordered(version) => Effect::Accepted { made_from, version },
                    Outcome::Refused(in_force) => Effect::Refused { made_from, in_force, why: Why::Older },
                });
            }
            Packet::Ask { nonce, generation } if voter != 0 => {
                self.generation = self.generation.max(generation);
                match &self.part {
                    Part::Mute { .. } => {
                        let generation = self.own.generation;
                        self.tell(from, Packet::Empty { nonce, generation }, effects);
                    }
                    Part::Voting(_) if self.lead.is_some() => self.put(Command::Returned { voter, nonce }),
                    _ => {}
                }
            }
            Packet::Empty { nonce, generation } if voter != 0 => {
                if let Part::Mute { nonce: own, empty, .. } = &mut self.part
                    && nonce == *own
                {
                    empty.insert(voter, generation);
                }
            }
            Packet::Caught { nonce, leader, snapshot } if voter != 0 && leader == voter => {
                let Part::Mute { nonce: own, .. } = &self.part else { return };
                let readable = postcard::from_bytes::<State>(&snapshot.state).is_ok();
                if nonce == *own && readable && snapshot.index > 0 && snapshot.term > 0 {
                    // In this term it may have voted before; the leader is there, and a vote for it is no other.
                    let vote = Vote { term: snapshot.term, vote: leader };
                    self.install(Saved { snapshot: Some(snapshot), entries: Vec::new(), vote }, effects);
                }
            }
            _ => {}
        }
    }

    fn numbered(&self, voter: u64) -> bool {
        (1..=self.settings.voters.len() as u64).contains(&voter)
    }

    /// A lease from the leader of a term, counted from when it was asked for.
    fn granted(
        &mut self,
        now: Micros,
        from: (u64, u64),
        sent: Micros,
        there: Micros,
        facts: Facts,
        effects: &mut Vec<Effect>,
    ) {
        // From a time before this process, or too late to count.
        if sent > now || now - sent > self.settings.way || from.1 < self.clock_of.1 {
            return;
        }
        if self.clock_of != from {
            (self.clock, self.clock_of) = (Clock::default(), from);
        }
        if let Some(drift) = self.clock.sample(&self.settings, sent, now, there) {
            if !self.doubted {
                self.doubted = true;
                effects.push(Effect::ClockOff(drift));
            }
        } else if self.doubted && self.clock.cleared(now) {
            self.doubted = false;
            effects.push(Effect::ClockBack);
        }
        self.held.doubt(self.doubted);
        if !self.learn(facts, effects) {
            return;
        }
        (self.asks, self.vain) = (from.0, 0);
        self.next_renew = sent.saturating_add(self.settings.renew()).max(now);
        self.held.extend(sent.saturating_add(self.settings.lease));
        if self.frozen && self.held.leased(now) {
            self.frozen = false;
            effects.push(Effect::Frozen(false));
        }
    }

    fn learn(&mut self, facts: Facts, effects: &mut Vec<Effect>) -> bool {
        let (in_force, newest) = (self.held.in_force(), self.held.newest());
        let learned = self.held.learn(&facts.versions, &facts.documents);
        if self.held.newest() > newest {
            effects.push(Effect::Ordered(self.held.newest()));
        }
        if self.held.in_force() > in_force {
            effects.push(Effect::InForce(self.held.in_force()));
        }
        learned
    }

    /// Puts a command into the log, if this member leads.
    fn put(&mut self, command: Command) {
        if let (Part::Voting(voter), Ok(bytes)) = (&mut self.part, postcard::to_allocvec(&command)) {
            voter.propose(bytes);
        }
    }

    /// Does what follows from what came in, until nothing does.
    fn settle(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        loop {
            while let Some(packet) = self.local.pop_front() {
                let own = self.own.name.clone();
                self.packet(now, &own, packet, effects);
            }
            let Part::Voting(voter) = &mut self.part else {
                self.lead = None;
                return;
            };
            let mut out = Out::default();
            let any = voter.drain(&mut out);
            let leads = voter.leads();
            if self.lead.as_ref().map(|lead| lead.term) != leads {
                // Whatever an earlier leader granted, it was asked for before now.
                self.lead = leads.map(|term| Lead::new(term, now));
            }
            self.take(out, effects);
            self.duties(now, effects);
            if !any && self.local.is_empty() {
                return;
            }
        }
    }

    /// Does what the consensus said.
    fn take(&mut self, out: Out, effects: &mut Vec<Effect>) {
        for (token, change) in out.persist {
            self.token = token;
            effects.push(Effect::Persist(token, change));
        }
        self.send_all(out.send, effects);
        if let Some(Snapshot { state, .. }) = out.installed {
            // The leader that sent it has applied the same.
            self.state = postcard::from_bytes(&state).unwrap_or_default();
        }
        for entry in out.committed {
            self.apply(&entry, effects);
        }
        if let Some(lead) = &mut self.lead {
            out.confirmed.into_iter().for_each(|(question, index)| lead.confirmed(question, index));
        }
        let Part::Voting(voter) = &mut self.part else { return };
        if voter.unfolded() >= self.settings.most_log
            && let Ok(state) = postcard::to_allocvec(&self.state)
            && let Some((token, change)) = voter.fold(state)
        {
            self.token = token;
            effects.push(Effect::Persist(token, change));
        }
    }

    fn apply(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        // Empty where a leader begins.
        let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { return };
        let asked = match &command {
            Command::Propose { id, .. } => Some(id.clone()),
            _ => None,
        };
        let returned = match &command {
            Command::Returned { voter, nonce } => Some((*voter, *nonce)),
            _ => None,
        };
        self.state.apply(command, self.settings.most_waiting, self.settings.most_rules);
        let Some(lead) = &self.lead else { return };
        let leads = lead.term;
        if let Some(id) = asked
            && let Some(outcome) = self.state.outcome(&id)
        {
            let whom = id.member.clone();
            self.tell(&whom, Packet::Answered { id, outcome }, effects);
        }
        // Only of the own term: then a majority without that voter has taken this entry from this leader.
        if let Some((voter, nonce)) = returned.filter(|_| leads == entry.term)
            && let Ok(state) = postcard::to_allocvec(&self.state)
        {
            let snapshot = Snapshot { index: entry.index, term: entry.term, state, whole: true };
            self.tell_voter(voter, Packet::Caught { nonce, leader: self.id, snapshot }, effects);
        }
    }

    /// What a leader does besides: asks for confirmation, grants, tells, and puts into force.
    fn duties(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (Some(lead), Part::Voting(voter)) = (&mut self.lead, &mut self.part) else { return };
        // Guards against a leader that has its log from before but has not applied it: it would found anew.
        if !voter.caught_up() {
            return;
        }
        let newest = self.state.newest();
        if let Some(question) = lead.question(now, &self.settings) {
            voter.confirm(question);
        }
        let mut commands = Vec::new();
        if newest == Version::default() {
            if lead.founds(now, &self.settings) {
                commands.push(Command::Found { epoch: self.generation.max(1), bytes: self.initial.clone() });
            }
        } else {
            for (name, asked) in lead.grants(now, voter.applied(), newest, &self.settings) {
                if asked.newest.epoch > newest.epoch && lead.founds(now, &self.settings) {
                    // Its epoch was later than this one: an earlier founding with a clock that ran ahead.
                    let epoch = asked.newest.epoch.saturating_add(1);
                    commands.push(Command::Found { epoch, bytes: Vec::new() });
                }
                let facts = facts(&self.state, asked.newest);
                let (session, sent, term) = (asked.session, asked.sent, lead.term);
                let packet = Packet::Grant { session, sent, term, there: now, facts };
                if name == self.own.name {
                    self.local.push_back(packet);
                } else {
                    effects.push(Effect::Send(name, packet.write()));
                }
            }
            if let Some(version) = lead.activates(now, &self.state, &self.settings) {
                commands.push(Command::InForce(version));
            }
            for (name, known) in lead.uninformed(now, &self.state, &self.members, &self.settings) {
                let packet = Packet::News { facts: facts(&self.state, known) };
                if name == self.own.name {
                    self.local.push_back(packet);
                } else {
                    effects.push(Effect::Send(name, packet.write()));
                }
            }
            if let Some(drift) = lead.distrusted(now, &self.settings) {
                effects.push(Effect::ClockOff(drift));
                voter.hand_over(self.id % self.settings.voters.len() as u64 + 1);
            }
        }
        for command in commands {
            self.put(command);
        }
    }
}

/// What is so by the log, for a member that knows up to a version.
fn facts(state: &State, known: Version) -> Facts {
    let versions = state.chain.iter().map(|document| document.version).collect();
    let documents = state.chain.iter().filter(|document| document.version > known).cloned().collect();
    Facts { versions, documents }
}
