//! One member's part in the protocol: drives `foca` with packets, states and timers.
use std::net::SocketAddr;

use foca::{Codec, Foca, NoCustomBroadcast, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;

use crate::effect_collector::{EffectCollector, TimerEvent};
use crate::interface::{Effect, Input};
use crate::joining::announce_targets;
use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::seal::{Key, MAX_PACKET_BODY_BYTES, PACKET_FORMAT, PacketError};
use crate::settings::{STATE_EXCHANGE_INTERVAL, Settings, SettingsError};
use crate::state::MembershipState;
use crate::time::Micros;
use crate::timer_queue::TimerQueue;

type Protocol = Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>;

/// One member's view of the cluster, and its part in the protocol. It has one owner, the driver, which calls it with
/// instants that never go back.
pub struct Membership {
    protocol: Protocol,
    settings: Settings,
    key: Key,
    timers: TimerQueue<TimerEvent>,
    /// Chooses partners for state exchanges; apart from the protocol's own generator.
    rng: Pcg64Mcg,
    local_health: LocalHealth,
    /// The instant of the last input.
    last_handled: Micros,
    /// When the last authentic packet or state arrived.
    last_received: Micros,
    /// Who sent the packet that is being handled.
    sender: Option<SocketAddr>,
    /// Whether others have answered this member under its present identity.
    has_joined: bool,
    /// Whether others have answered this process under any identity.
    has_ever_joined: bool,
    detected_pauses: u64,
}

impl Membership {
    /// A member that knows nobody; `seed` determines all its random choices. It announces itself to its seeds at the
    /// first [`Input::TimerDue`].
    ///
    /// # Errors
    /// Settings or an identity that the protocol cannot run with.
    pub fn new(local: Member, settings: Settings, key: Key, seed: u64) -> Result<Membership, SettingsError> {
        settings.validate()?;
        if !local.fits_in_packet() {
            return Err(SettingsError::IdentityTooLong);
        }
        let protocol_rng = Pcg64Mcg::seed_from_u64(seed);
        let mut timers = TimerQueue::new();
        timers.add(0, TimerEvent::AnnounceToSeeds);
        timers.add(STATE_EXCHANGE_INTERVAL, TimerEvent::ExchangeState);
        Ok(Membership {
            protocol: Foca::new(local, settings.foca_config(1), protocol_rng, PostcardCodec),
            settings,
            key,
            timers,
            rng: Pcg64Mcg::seed_from_u64(!seed),
            local_health: LocalHealth::default(),
            last_handled: 0,
            last_received: 0,
            sender: None,
            has_joined: false,
            has_ever_joined: false,
            detected_pauses: 0,
        })
    }

    /// Handles an input at an instant that never goes back, and appends what has to be done, in order.
    ///
    /// # Errors
    /// A packet that was rejected.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input<'_>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), PacketError> {
        self.detect_pause(now);
        let (member_count, had_joined) = (self.protocol.num_members(), self.has_joined);
        let earlier_effects = effects.len();
        self.sender = None;
        let result = match input {
            Input::Packet(packet) => self.handle_packet(now, packet, effects),
            Input::State(state) => {
                self.apply_state(now, state, effects);
                Ok(())
            }
            Input::TimerDue => {
                self.run_due_timers(now, effects);
                Ok(())
            }
        };
        if self.has_joined && !had_joined {
            // A packet names some twenty members, and a newcomer needs them all. The sender is the one member that
            // is certainly up: after a breakdown others that it names may not be.
            effects.extend(self.sender.map(Effect::ExchangeState));
        }
        self.has_ever_joined |= self.has_joined;
        let was_refuted = effects[earlier_effects..].iter().any(|of| matches!(of, Effect::SelfRefuted(_)));
        if was_refuted && !self.has_ever_joined {
            // A new process that passes for dead: its peer remembers an earlier one, maybe of a later generation.
            effects.extend(self.sender.map(Effect::ExchangeState));
        }
        if self.protocol.num_members() != member_count {
            // Limits and time-outs follow the number of members; `foca` accepts a change of each that may differ.
            let _ = self.protocol.set_config(self.settings.foca_config(self.protocol.num_members() + 1));
        }
        result
    }

    fn handle_packet(
        &mut self,
        now: Micros,
        packet: &[u8],
        effects: &mut Vec<Effect>,
    ) -> Result<(), PacketError> {
        let body = self.key.open(PACKET_FORMAT, packet)?;
        self.last_received = now;
        if let Ok(header) = PostcardCodec.decode_header(body) {
            self.supersede(now, &header.dst, effects);
        }
        let (protocol, collector) = self.split(now, effects);
        match protocol.handle_data(body, collector) {
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket) => Err(PacketError::Malformed),
            Err(foca::Error::DataTooBig) => Err(PacketError::TooLarge),
            // The other errors change nothing, such as an echo of a packet of its own.
            _ => Ok(()),
        }
    }

    /// Takes an identity that counts over the one by which a peer knows this member, if that is of an earlier
    /// process with a later generation: the machine's clock was set back in between. The others would otherwise
    /// take this process for the earlier one for as long as they remember it.
    fn supersede(&mut self, now: Micros, known: &Member, effects: &mut Vec<Effect>) {
        let Some(identity) = self.protocol.identity().superseding(known) else { return };
        let (protocol, collector) = self.split(now, effects);
        // Only the codec can fail, and it writes to memory.
        if protocol.change_identity(identity.clone(), collector).is_ok() {
            self.has_joined = false;
            effects.push(Effect::GenerationRaised(identity));
        }
    }

    /// Applies what a peer knows.
    fn apply_state(&mut self, now: Micros, state: &MembershipState, effects: &mut Vec<Effect>) {
        self.last_received = now;
        if let Some(known) = state.member_at(self.protocol.identity().address) {
            self.supersede(now, known, effects);
        }
        let updates = state.updates_for(self.protocol.identity(), self.protocol.iter_membership_state());
        let (protocol, collector) = self.split(now, effects);
        // Only the codec can fail, and it writes to memory.
        let _ = protocol.apply_many(updates.into_iter(), true, collector);
    }

    /// Delays all timers by the length of a pause of this process, if there was one. A member that was stopped would
    /// otherwise take its overdue timers for the silence of others, whose answers still wait to be read.
    fn detect_pause(&mut self, now: Micros) {
        let overdue = self.timers.next_due().map_or(0, |due| now.saturating_sub(due.max(self.last_handled)));
        if overdue > self.settings.probe_timeout {
            self.timers.delay_all(overdue);
            self.local_health.record_failure();
            self.detected_pauses += 1;
        }
        self.last_handled = now;
    }

    /// Splits the borrow into the protocol and the collector that it runs with.
    fn split<'a>(
        &'a mut self,
        now: Micros,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut Protocol, EffectCollector<'a>) {
        let collector = EffectCollector {
            now,
            key: &self.key,
            timers: &mut self.timers,
            local_health: &mut self.local_health,
            effects,
            last_received: self.last_received,
            isolation_timeout: self.settings.probe_interval,
            sender: &mut self.sender,
            has_joined: &mut self.has_joined,
        };
        (&mut self.protocol, collector)
    }

    fn run_due_timers(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Protocol(timer) => self.handle_protocol_timer(now, timer, effects),
                TimerEvent::AnnounceToSeeds => {
                    self.announce_until_joined(now, effects);
                    let next = now.saturating_add(self.settings.probe_interval);
                    self.timers.add(next, TimerEvent::AnnounceToSeeds);
                }
                TimerEvent::ExchangeState => {
                    self.exchange_large_state(effects);
                    self.timers.add(now.saturating_add(STATE_EXCHANGE_INTERVAL), TimerEvent::ExchangeState);
                }
            }
        }
    }

    fn handle_protocol_timer(&mut self, now: Micros, timer: Timer<Member>, effects: &mut Vec<Effect>) {
        if self.is_refuted_suspicion(&timer) {
            return;
        }
        let (protocol, collector) = self.split(now, effects);
        // An error here is a timer of a probe that is over.
        let _ = protocol.handle_timer(timer, collector);
    }

    /// Whether a timer ends a suspicion that was refuted in time. `foca` 2.0 does not declare the member dead then,
    /// but notifies it that it was: the member came back under a new identity, which all others had to apply.
    fn is_refuted_suspicion(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let is_suspect =
            |member: &foca::Member<Member>| member.id() == member_id && member.incarnation() == *incarnation;
        !self.protocol.iter_members().any(is_suspect)
    }

    fn announce_until_joined(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.has_joined {
            return;
        }
        let local = self.protocol.identity();
        for target in announce_targets(local, &self.settings.seeds, self.members(), now) {
            let (protocol, collector) = self.split(now, effects);
            // Only the codec can fail, and it writes to memory.
            let _ = protocol.announce(target, collector);
        }
    }

    /// Asks for an exchange with a random member, unless a packet holds all members: then the protocol's own
    /// announcements are enough.
    fn exchange_large_state(&mut self, effects: &mut Vec<Effect>) {
        if self.state().encoded_bytes() > MAX_PACKET_BODY_BYTES / 2 {
            let partner = self.protocol.iter_members().choose(&mut self.rng);
            effects.extend(partner.map(|member| Effect::ExchangeState(member.id().address)));
        }
    }

    /// All that this member knows, for an exchange of whole states.
    pub fn state(&self) -> MembershipState {
        MembershipState::new(self.protocol.identity(), self.protocol.iter_membership_state())
    }

    /// Leaves the cluster: the others are notified, and need not detect it.
    pub fn leave(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (protocol, collector) = self.split(now, effects);
        // Only the codec can fail, and it writes to memory.
        let _ = protocol.leave_cluster(collector);
    }

    /// When [`Input::TimerDue`] has to be handed in next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// This member's present identity.
    pub fn local_member(&self) -> &Member {
        self.protocol.identity()
    }

    /// The other members that are up, suspected ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.protocol.iter_members().map(foca::Member::id)
    }

    /// Lifeguard's local health multiplier, from 0 (healthy) to 8: this member's time-outs are
    /// `1 + multiplier` times as long.
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health.multiplier()
    }

    /// How many pauses of its own process this member has detected.
    pub fn detected_pauses(&self) -> u64 {
        self.detected_pauses
    }
}
