//! One member: what comes in, what goes out, and the lease that it holds.
use std::collections::{BTreeMap, VecDeque};

use crate::clock_comparison::{ClockComparison, ClockDrift};
use crate::leader::LeaderState;
use crate::packet::{Packet, VersionUpdate};
use crate::raft_voter::{RaftVoter, VoterOutput};
use crate::replicated_state::Command;
use crate::settings::named;
use crate::{
    EffectiveRules, LeasedRules, LogEntry, Micros, ProposalId, ProposalOutcome, ReplicatedState, Rules,
    Settings, SettingsError, Snapshot, StorageWrite, StoredState, TermVote, Version,
};

/// Own proposals that may be under way at once.
const MAX_PENDING_PROPOSALS: usize = 8;
/// Questions without an answer after which another voter is asked.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Its name, of 1 to 64 bytes; a voter if [`Settings::voters`] has it.
    pub name: String,
    /// Grows with every start of its process, such as the start's Unix time in milliseconds.
    pub generation: u64,
}

/// What a voter has from its life before. It means nothing to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartState {
    /// Nothing: the first start, or the memory is lost, which it cannot tell apart. It takes no part until it has
    /// caught up with what was committed after its return, or until all voters say that they have nothing.
    Empty,
    /// All that `Persisted` was said for.
    Stored(StoredState),
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
        base_version: Version,
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
pub enum RejectionReason {
    /// It was made from another version than the newest, or too many wait to take effect.
    StaleBase,
    /// The document has more bytes than [`Settings::most_rules`], or cannot be written.
    TooLarge,
    /// Eight proposals of this member are under way.
    TooManyPending,
}

/// What is to be done or known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Bytes for the member of this name; they may be lost, come twice, late and in any order.
    Send(String, Vec<u8>),
    /// To be stored, in the order of the tokens, and then said with [`Input::Persisted`].
    Persist(u64, StorageWrite),
    /// An own proposal changed nothing.
    ProposalRejected {
        /// The one that it was made from.
        base_version: Version,
        /// The one in force.
        in_force: Version,
        /// Why.
        reason: RejectionReason,
    },
    /// An own proposal is this version; it takes effect later.
    ProposalAccepted {
        /// The one that it was made from.
        base_version: Version,
        /// Its own.
        version: Version,
    },
    /// This version was ordered, and waits to take effect: until then what it forbids is forbidden here.
    VersionCommitted(Version),
    /// This version took effect.
    VersionInForce(Version),
    /// True: no leader with a majority was heard for a lease; the safe rules hold here and versions stand still,
    /// as far as this member can tell. False: it is over.
    Frozen(bool),
    /// This member's clock and the leader's do not keep the same time within the bound; said by the member, and by
    /// the leader of itself where most members say so of it. Such a member acts on the safe rules.
    ClockDriftDetected(ClockDrift),
    /// Its clock has been found within the bound again.
    ClockDriftCleared,
}

/// An own proposal under way.
struct PendingProposal {
    made_from: Version,
    bytes: Vec<u8>,
    said: Micros,
}

/// A voter's place.
enum Role {
    /// It is none.
    Follower,
    /// Without memory: it asks the others.
    Mute { nonce: u64, since: Micros, asked: Micros, empty: BTreeMap<u64, u64> },
    /// What it begins from is being stored.
    Installing { token: u64, saved: StoredState },
    /// It votes.
    Voting(Box<RaftVoter>),
}

/// One member's part in the agreement.
pub struct Node<R> {
    own: MemberIdentity,
    settings: Settings,
    chance: fastrand::Rng,
    session: u64,
    held: LeasedRules<R>,
    initial: Vec<u8>,
    /// Its number among the voters, from 1; 0 for none.
    id: u64,
    part: Role,
    token: u64,
    state: ReplicatedState,
    /// The largest generation of a voter that was heard; the epoch of a founding.
    generation: u64,
    lead: Option<LeaderState>,
    next_tick: Micros,
    /// Which voter is asked for the lease, and how often in vain.
    asks: u64,
    vain: u32,
    next_renew: Micros,
    /// The last grant's leader and term, and how its clock compares.
    clock: ClockComparison,
    clock_of: (u64, u64),
    doubted: bool,
    proposals: BTreeMap<u64, PendingProposal>,
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
        own: MemberIdentity,
        settings: Settings,
        start: StartState,
        rules: R,
        seed: u64,
    ) -> Result<Node<R>, SettingsError> {
        settings.validate()?;
        if !named(&own.name) {
            return Err(SettingsError("name: not of 1 to 64 bytes"));
        }
        let initial = postcard::to_allocvec(&rules).map_err(|_| SettingsError("rules: cannot be written"))?;
        if initial.len() > settings.max_document_bytes {
            return Err(SettingsError("rules: more than most_rules bytes"));
        }
        let mut chance = fastrand::Rng::with_seed(seed);
        let session = chance.u64(..);
        let id = settings.voters.iter().position(|name| *name == own.name).map_or(0, |at| at as u64 + 1);
        let mut state = ReplicatedState::default();
        let part = match start {
            _ if id == 0 => Role::Follower,
            StartState::Empty => Role::Mute { nonce: session, since: 0, asked: 0, empty: BTreeMap::new() },
            StartState::Stored(saved) => {
                if !saved.is_consistent() {
                    return Err(SettingsError("store: entries do not follow each other"));
                }
                if let Some(snapshot) = &saved.snapshot {
                    state = postcard::from_bytes(&snapshot.state)
                        .map_err(|_| SettingsError("store: the snapshot cannot be read"))?;
                }
                let voter = RaftVoter::new(id, &settings, &saved, chance.u64(..), 0)
                    .map_err(|_| SettingsError("store: the log cannot be read"))?;
                Role::Voting(Box::new(voter))
            }
        };
        let asks = chance.u64(1..=settings.voters.len() as u64);
        Ok(Node {
            generation: own.generation,
            own,
            chance,
            session,
            held: LeasedRules::new(rules),
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
            clock: ClockComparison::default(),
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
    pub fn without_lease_check(mut self) -> Node<R> {
        self.held.blind();
        self
    }

    /// What a decision at this instant is to act on: see [`LeasedRules::rules`].
    pub fn effective_rules(&self, now: Micros) -> EffectiveRules<'_, R> {
        self.held.effective_rules(now)
    }

    /// What this member holds, for a snapshot that others read.
    pub fn leased_rules(&self) -> &LeasedRules<R> {
        &self.held
    }

    /// Whether it leads the voters, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.lead.is_some()
    }

    /// Whether it is a voter that takes part: not one without memory that has not caught up.
    pub fn is_voting(&self) -> bool {
        matches!(self.part, Role::Voting(_))
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
            Input::Propose { base_version: made_from, rules } => self.propose(now, made_from, rules, effects),
            Input::Persisted(token) => self.persisted(token, effects),
            Input::Members(names) => self.members = names.to_vec(),
        }
        self.settle(now, effects);
    }

    fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let frozen = !self.held.has_lease(now) && (self.held.newest() > Version::default() || self.frozen);
        if frozen != self.frozen {
            self.frozen = frozen;
            effects.push(Effect::Frozen(frozen));
        }
        if now >= self.next_tick {
            // One step, however late: after a pause the messages that wait count before the silence does.
            self.next_tick = now.saturating_add(self.settings.tick_interval);
            match &mut self.part {
                Role::Voting(voter) => voter.tick(),
                Role::Mute { .. } => self.ask(now, effects),
                Role::Follower | Role::Installing { .. } => {}
            }
        }
        if now >= self.next_renew {
            self.vain += 1;
            self.renew(now, effects);
        }
        let retry = self.settings.retry_interval();
        let late = self.proposals.iter().filter(|(_, of)| now.saturating_sub(of.said) >= retry);
        for number in late.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.say(now, number, effects);
        }
    }

    /// Asks the leader, or whoever may know it, for the lease.
    fn renew(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        // Its own knowledge first; else, after some silence, the next voter.
        let known = match &self.part {
            Role::Voting(voter) => voter.leader(),
            _ => 0,
        };
        if known != 0 {
            self.asks = known;
        } else if self.vain > MAX_UNANSWERED_REQUESTS {
            self.asks = self.asks % self.settings.voters.len() as u64 + 1;
            self.vain = 0;
        }
        self.next_renew = now.saturating_add(self.settings.retry_interval());
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
        let refused = |why| Effect::ProposalRejected { base_version: made_from, in_force, reason: why };
        // What is older than this member knows is refused here; what is not, by the log.
        if made_from < self.held.newest() {
            return effects.push(refused(RejectionReason::StaleBase));
        }
        if self.proposals.len() >= MAX_PENDING_PROPOSALS {
            return effects.push(refused(RejectionReason::TooManyPending));
        }
        match postcard::to_allocvec(&rules) {
            Ok(bytes) if bytes.len() <= self.settings.max_document_bytes => {
                self.proposed += 1;
                self.proposals.insert(self.proposed, PendingProposal { made_from, bytes, said: now });
                self.say(now, self.proposed, effects);
            }
            _ => effects.push(refused(RejectionReason::TooLarge)),
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
            Role::Voting(voter) => {
                let mut out = VoterOutput::default();
                voter.persisted(token, &mut out);
                self.send_all(out.send, effects);
            }
            Role::Installing { token: wanted, .. } if *wanted <= token => {
                let Role::Installing { saved, .. } = std::mem::replace(&mut self.part, Role::Follower) else {
                    return;
                };
                let state = saved.snapshot.as_ref().map(|of| postcard::from_bytes(&of.state));
                let seed = self.chance.u64(..);
                let voter = RaftVoter::new(self.id, &self.settings, &saved, seed, self.token);
                // Both were checked before they were stored.
                if let (Ok(state), Ok(voter)) =
                    (state.unwrap_or_else(|| Ok(ReplicatedState::default())), voter)
                {
                    self.state = state;
                    self.part = Role::Voting(Box::new(voter));
                }
            }
            _ => {}
        }
    }

    fn send_all(&mut self, messages: Vec<(u64, crate::packet::Raft)>, effects: &mut Vec<Effect>) {
        for (to, message) in messages {
            self.tell_voter(to, Packet::Raft(message), effects);
        }
    }

    /// A voter without memory asks the others, and founds with them once all say that they have none.
    fn ask(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (voters, wait, retry) = (
            self.settings.voters.len() as u64,
            self.settings.lease_expiry_wait(),
            self.settings.retry_interval(),
        );
        let Role::Mute { nonce, since, asked, empty } = &mut self.part else { return };
        if *since == 0 {
            *since = now.max(1);
        }
        // Leases that leaders granted before all was lost have run out by then.
        if empty.len() as u64 == voters - 1 && now.saturating_sub(*since) >= wait {
            self.generation = empty.values().copied().fold(self.generation, u64::max);
            self.install(StoredState::default(), effects);
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
    fn install(&mut self, saved: StoredState, effects: &mut Vec<Effect>) {
        self.token += 1;
        let change =
            StorageWrite { snapshot: saved.snapshot.clone(), vote: Some(saved.vote), entries: Vec::new() };
        self.part = Role::Installing { token: self.token, saved };
        effects.push(Effect::Persist(self.token, change));
    }

    fn packet(&mut self, now: Micros, from: &str, packet: Packet, effects: &mut Vec<Effect>) {
        let voter = self.settings.voters.iter().position(|name| name == from).map_or(0, |at| at as u64 + 1);
        match packet {
            Packet::Raft(message) if voter != 0 && voter != self.id => {
                if let Role::Voting(part) = &mut self.part {
                    part.step(voter, message);
                }
            }
            Packet::Renew { session, sent, in_force, newest, drift } => {
                let leader = match &self.part {
                    Role::Voting(part) => part.leader(),
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
                } else if bytes.len() <= self.settings.max_document_bytes
                    && lead.puts(now, &id, &self.settings)
                {
                    self.put(Command::Propose { id, made_from, bytes });
                }
            }
            Packet::Answered { id, outcome } if voter != 0 => {
                if id.member != self.own.name || id.session != self.session {
                    return;
                }
                let Some(PendingProposal { made_from, .. }) = self.proposals.remove(&id.number) else {
                    return;
                };
                effects.push(match outcome {
                    ProposalOutcome::Accepted(version) => {
                        Effect::ProposalAccepted { base_version: made_from, version }
                    }
                    ProposalOutcome::Rejected(in_force) => Effect::ProposalRejected {
                        base_version: made_from,
                        in_force,
                        reason: RejectionReason::StaleBase,
                    },
                });
            }
            Packet::Ask { nonce, generation } if voter != 0 => {
                self.generation = self.generation.max(generation);
                match &self.part {
                    Role::Mute { .. } => {
                        let generation = self.own.generation;
                        self.tell(from, Packet::Empty { nonce, generation }, effects);
                    }
                    Role::Voting(_) if self.lead.is_some() => self.put(Command::Returned { voter, nonce }),
                    _ => {}
                }
            }
            Packet::Empty { nonce, generation } if voter != 0 => {
                if let Role::Mute { nonce: own, empty, .. } = &mut self.part
                    && nonce == *own
                {
                    empty.insert(voter, generation);
                }
            }
            Packet::Caught { nonce, leader, snapshot } if voter != 0 && leader == voter => {
                let Role::Mute { nonce: own, .. } = &self.part else { return };
                let readable = postcard::from_bytes::<ReplicatedState>(&snapshot.state).is_ok();
                if nonce == *own && readable && snapshot.index > 0 && snapshot.term > 0 {
                    // In this term it may have voted before; the leader is there, and a vote for it is no other.
                    let vote = TermVote { term: snapshot.term, voted_for: leader };
                    self.install(
                        StoredState { snapshot: Some(snapshot), entries: Vec::new(), vote },
                        effects,
                    );
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
        facts: VersionUpdate,
        effects: &mut Vec<Effect>,
    ) {
        // From a time before this process, or too late to count.
        if sent > now || now - sent > self.settings.max_round_trip || from.1 < self.clock_of.1 {
            return;
        }
        if self.clock_of != from {
            (self.clock, self.clock_of) = (ClockComparison::default(), from);
        }
        if let Some(drift) = self.clock.record_sample(&self.settings, sent, now, there) {
            if !self.doubted {
                self.doubted = true;
                effects.push(Effect::ClockDriftDetected(drift));
            }
        } else if self.doubted && self.clock.is_cleared(now) {
            self.doubted = false;
            effects.push(Effect::ClockDriftCleared);
        }
        self.held.doubt(self.doubted);
        if !self.learn(facts, effects) {
            return;
        }
        (self.asks, self.vain) = (from.0, 0);
        self.next_renew = sent.saturating_add(self.settings.renewal_interval()).max(now);
        self.held.extend(sent.saturating_add(self.settings.lease_duration));
        if self.frozen && self.held.has_lease(now) {
            self.frozen = false;
            effects.push(Effect::Frozen(false));
        }
    }

    fn learn(&mut self, facts: VersionUpdate, effects: &mut Vec<Effect>) -> bool {
        let (in_force, newest) = (self.held.in_force(), self.held.newest());
        let learned = self.held.learn(&facts.versions, &facts.documents);
        if self.held.newest() > newest {
            effects.push(Effect::VersionCommitted(self.held.newest()));
        }
        if self.held.in_force() > in_force {
            effects.push(Effect::VersionInForce(self.held.in_force()));
        }
        learned
    }

    /// Puts a command into the log, if this member leads.
    fn put(&mut self, command: Command) {
        if let (Role::Voting(voter), Ok(bytes)) = (&mut self.part, postcard::to_allocvec(&command)) {
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
            let Role::Voting(voter) = &mut self.part else {
                self.lead = None;
                return;
            };
            let mut out = VoterOutput::default();
            let any = voter.drain(&mut out);
            let leads = voter.leads();
            if self.lead.as_ref().map(|lead| lead.term) != leads {
                // Whatever an earlier leader granted, it was asked for before now.
                self.lead = leads.map(|term| LeaderState::new(term, now));
            }
            self.take(out, effects);
            self.duties(now, effects);
            if !any && self.local.is_empty() {
                return;
            }
        }
    }

    /// Does what the consensus said.
    fn take(&mut self, out: VoterOutput, effects: &mut Vec<Effect>) {
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
        let Role::Voting(voter) = &mut self.part else { return };
        if voter.unfolded() >= self.settings.max_log_entries
            && let Ok(state) = postcard::to_allocvec(&self.state)
            && let Some((token, change)) = voter.fold(state)
        {
            self.token = token;
            effects.push(Effect::Persist(token, change));
        }
    }

    fn apply(&mut self, entry: &LogEntry, effects: &mut Vec<Effect>) {
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
        self.state.apply(command, self.settings.max_pending_versions, self.settings.max_document_bytes);
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
            let snapshot = Snapshot { index: entry.index, term: entry.term, state, replaces_log: true };
            self.tell_voter(voter, Packet::Caught { nonce, leader: self.id, snapshot }, effects);
        }
    }

    /// What a leader does besides: asks for confirmation, grants, tells, and puts into force.
    fn duties(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (Some(lead), Role::Voting(voter)) = (&mut self.lead, &mut self.part) else { return };
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
                effects.push(Effect::ClockDriftDetected(drift));
                voter.hand_over(self.id % self.settings.voters.len() as u64 + 1);
            }
        }
        for command in commands {
            self.put(command);
        }
    }
}

/// What is so by the log, for a member that knows up to a version.
fn facts(state: &ReplicatedState, known: Version) -> VersionUpdate {
    let versions = state.chain.iter().map(|document| document.version).collect();
    let documents = state.chain.iter().filter(|document| document.version > known).cloned().collect();
    VersionUpdate { versions, documents }
}
