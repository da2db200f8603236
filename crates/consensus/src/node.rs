//! The state machine of one member, which turns inputs into effects.
//!
//! [`Node`] owns all state of a member. Each submodule adds the methods for one task. `messages` passes each
//! received packet to the method that handles it. After each input, `process_until_idle` runs Raft and the
//! leader's duties.
mod leader_duties;
mod lease_client;
mod messages;
mod proposals;
mod rejoin;
mod replication;
mod role;

use std::collections::VecDeque;

use lease_client::LeaseClient;
use proposals::ProposalClient;
use role::{Rejoin, Role};

use crate::effect::Effect;
use crate::input::Input;
use crate::leader::LeaderState;
use crate::leased_rules::{EffectiveRules, LeasedRules};
use crate::packet::Packet;
use crate::raft_voter::{RaftVoter, VoterOutput};
use crate::replicated_state::ReplicatedState;
use crate::rules::Rules;
use crate::settings::{Settings, is_valid_name};
use crate::start::{MemberIdentity, StartError, StartState};
use crate::storage::{StoredState, WriteToken};
use crate::time::Micros;
use crate::voter_id::VoterId;

/// A member of the consensus group: a voter or a non-voter. The voters agree on the versions of the fleet's
/// rules, which allow or forbid requests. A non-voter only holds a copy of these rules under a lease.
pub struct Node<R> {
    identity: MemberIdentity,
    settings: Settings,
    rng: fastrand::Rng,
    /// A random number that distinguishes this process of the member from earlier processes of the same name.
    session: u64,
    leased_rules: LeasedRules<R>,
    /// The serialized rules of this member's configuration. If this member leads the voters while no version
    /// of the fleet's rules exists, these rules become the first version.
    initial_rules: Vec<u8>,
    /// This member's ID as a voter; `None` if the member is a non-voter.
    voter_id: Option<VoterId>,
    role: Role,
    /// The token of this member's last storage write. The next write takes the token after this one.
    last_token: WriteToken,
    state: ReplicatedState,
    /// The largest generation of any voter that this member knows. A generation is a number that increases
    /// with every start of a process ([`MemberIdentity::generation`]).
    ///
    /// If this member leads the voters while no version of the fleet's rules exists, this number becomes the
    /// epoch of the first version ([`crate::Version::epoch`]). After the voters have lost their storage, the
    /// new epoch must have a higher number than the old one. The current generation is normally higher than
    /// the old epoch, because the voters have restarted since.
    max_generation: u64,
    /// The state that this member keeps while it leads the voters; `None` while it does not lead.
    leader: Option<LeaderState>,
    next_tick_at: Micros,
    lease: LeaseClient,
    proposals: ProposalClient,
    /// The names of the other members on the membership list.
    members: Vec<String>,
    /// Packets that this member has sent to itself and has not handled yet.
    local_packets: VecDeque<Packet>,
}

impl<R: Rules> Node<R> {
    /// Creates a member without a lease. The argument `rules` contains the rules of the member's own
    /// configuration, which say which requests are allowed. Until the first lease grant, the member follows a
    /// restricted form of `rules`, which allows less.
    ///
    /// `seed` determines all random numbers of the member. The seed must differ for each start of each
    /// process, because it also determines the session number. By the session number, a member recognizes
    /// responses to requests of an earlier process.
    ///
    /// # Errors
    /// Returns an error if the settings, the name, `rules` or the stored state are invalid.
    pub fn new(
        identity: MemberIdentity,
        settings: Settings,
        start: StartState,
        rules: R,
        seed: u64,
    ) -> Result<Node<R>, StartError> {
        settings.validate()?;
        if !is_valid_name(&identity.name) {
            return Err(StartError::Name);
        }
        let initial_rules = serialize_initial_rules(&rules, &settings)?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let session = rng.u64(..);
        let voter_id = settings.voter_id(&identity.name);
        let (role, state) = match (voter_id, start) {
            (None, _) => (Role::NonVoter, ReplicatedState::default()),
            (_, StartState::Empty) => (Role::Rejoining(Rejoin::new(session)), ReplicatedState::default()),
            (Some(voter_id), StartState::Stored(stored)) => {
                restore_voter(voter_id, &settings, &stored, &mut rng)?
            }
        };
        let first_target_voter = VoterId::new(rng.u64(1..=settings.voter_count()));
        Ok(Node {
            max_generation: identity.generation,
            identity,
            settings,
            rng,
            session,
            leased_rules: LeasedRules::new(rules),
            initial_rules,
            voter_id,
            role,
            last_token: WriteToken::default(),
            state,
            leader: None,
            next_tick_at: 0,
            lease: LeaseClient::new(first_target_voter),
            proposals: ProposalClient::default(),
            members: Vec::new(),
            local_packets: VecDeque::new(),
        })
    }

    /// Disables the lease check in decisions, for tests. These tests verify that they detect the conflicting
    /// decisions that a missing lease check causes.
    #[doc(hidden)]
    pub fn without_lease_check(mut self) -> Node<R> {
        self.leased_rules.disable_lease_check();
        self
    }

    /// Returns the rules that a decision at the time `now` must follow; see [`LeasedRules::effective_rules`].
    pub fn effective_rules(&self, now: Micros) -> EffectiveRules<'_, R> {
        self.leased_rules.effective_rules(now)
    }

    /// The versions of the fleet's rules that this member knows, and its lease. The value can be cloned at
    /// little cost, as a snapshot for other threads.
    pub fn leased_rules(&self) -> &LeasedRules<R> {
        &self.leased_rules
    }

    /// Whether this member leads the voters, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Whether this member is a voter that takes part in votes. False for a non-voter, and for a voter that
    /// started without stored state and has not caught up yet.
    pub fn is_voting(&self) -> bool {
        matches!(self.role, Role::Voting(_))
    }

    /// Handles an input at the time `now`, and appends the resulting effects to `effects` in order. `now`
    /// must never decrease from call to call.
    pub fn handle(&mut self, now: Micros, input: Input<'_, R>, effects: &mut Vec<Effect>) {
        match input {
            Input::Tick => self.tick(now, effects),
            Input::Message { from, bytes } => {
                if let Some(packet) = Packet::parse(bytes) {
                    self.on_packet(now, from, packet, effects);
                }
            }
            Input::Propose { base_version, rules } => self.propose(now, base_version, &rules, effects),
            Input::Persisted(token) => self.on_persisted(token, effects),
            Input::Members(names) => self.members = names.to_vec(),
        }
        self.process_until_idle(now, effects);
    }

    fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.report_lease_expiry(now, effects);
        if now >= self.next_tick_at {
            // A late timer counts as a single tick. Otherwise the ticks that were missed during a pause could
            // start an election before the waiting messages have been handled.
            self.next_tick_at = now.saturating_add(self.settings.tick_interval);
            match &mut self.role {
                Role::Voting(voter) => voter.tick(),
                Role::Rejoining(_) => self.request_rejoin(now, effects),
                Role::NonVoter | Role::Installing { .. } => {}
            }
        }
        self.renew_lease_if_due(now, effects);
        self.resend_proposals(now, effects);
    }

    /// Runs Raft, the leader's duties and the packets from this member to itself, until they produce nothing
    /// more.
    fn process_until_idle(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        loop {
            while let Some(packet) = self.local_packets.pop_front() {
                let own_name = self.identity.name.clone();
                self.on_packet(now, &own_name, packet, effects);
            }
            let Role::Voting(voter) = &mut self.role else {
                self.leader = None;
                return;
            };
            let mut output = VoterOutput::default();
            let has_output = voter.drain(&mut output);
            let leader_term = voter.leader_term();
            if self.leader.as_ref().map(LeaderState::term) != leader_term {
                // If this member was just elected, its own wait for the expiry of earlier leases begins at
                // `now`. `LeaderState::next_activation` puts no version in force before the lease expiry wait
                // has passed. All leases of earlier leaders have expired by then:
                // 1. An earlier leader grants a lease only if a quorum of the voters confirms that it still
                //    leads. The quorum must confirm this after the lease request has arrived.
                // 2. The voters that elected this member no longer confirm an earlier leader. Every quorum
                //    contains at least one of these voters.
                // 3. Every lease request that an earlier leader granted was therefore sent before `now`. A
                //    lease begins when it is requested.
                self.leader = leader_term.map(|term| LeaderState::new(term, now));
            }
            self.apply_output(output, effects);
            self.run_leader_duties(now, effects);
            if !has_output && self.local_packets.is_empty() {
                return;
            }
        }
    }

    fn send_to_voter(&mut self, voter_id: VoterId, packet: Packet, effects: &mut Vec<Effect>) {
        if Some(voter_id) == self.voter_id {
            self.local_packets.push_back(packet);
        } else if let Some(name) = self.settings.voter_name(voter_id) {
            effects.push(Effect::Send { to: name.to_owned(), bytes: packet.serialize() });
        }
    }

    fn send_to_member(&mut self, name: &str, packet: Packet, effects: &mut Vec<Effect>) {
        if name == self.identity.name {
            self.local_packets.push_back(packet);
        } else {
            effects.push(Effect::Send { to: name.to_owned(), bytes: packet.serialize() });
        }
    }
}

fn serialize_initial_rules<R: Rules>(rules: &R, settings: &Settings) -> Result<Vec<u8>, StartError> {
    let bytes = postcard::to_allocvec(rules).map_err(StartError::UnserializableRules)?;
    if bytes.len() > settings.max_document_bytes {
        return Err(StartError::RulesTooLarge);
    }
    Ok(bytes)
}

fn restore_voter(
    voter_id: VoterId,
    settings: &Settings,
    stored: &StoredState,
    rng: &mut fastrand::Rng,
) -> Result<(Role, ReplicatedState), StartError> {
    if !stored.is_consistent() {
        return Err(StartError::InconsistentLog);
    }
    let state = match &stored.snapshot {
        Some(snapshot) => postcard::from_bytes(&snapshot.state).map_err(StartError::UnreadableSnapshot)?,
        None => ReplicatedState::default(),
    };
    let voter = RaftVoter::new(voter_id, settings, stored, rng.u64(..), WriteToken::default());
    let voter = voter.map_err(StartError::UnreadableLog)?;
    Ok((Role::Voting(Box::new(voter)), state))
}
