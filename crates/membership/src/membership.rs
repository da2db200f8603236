//! The membership protocol at one member. Passes packets, states and timers to the library `foca`.
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

/// The membership protocol at one member, with that member's view of the cluster. A single driver calls it,
/// with instants that never decrease.
pub struct Membership {
    protocol: Protocol,
    settings: Settings,
    key: Key,
    timers: TimerQueue<TimerEvent>,
    /// The random number generator that chooses the members for state exchanges. `foca` has a separate
    /// generator.
    rng: Pcg64Mcg,
    local_health: LocalHealth,
    /// The instant of the last input. The process was running at this instant, so any pause that is detected
    /// later began after it. The detection of pauses therefore counts how long a timer is overdue from the
    /// due time of the timer or from this instant, whichever is later.
    last_handled: Micros,
    /// The instant at which this member last received an authentic packet or state.
    last_received: Micros,
    /// The address of the member that sent the packet that is being handled.
    sender: Option<SocketAddr>,
    /// Whether another member has answered this member since this member last changed its identity. The
    /// identity changes when this member rejoins or raises its generation. Also becomes false when no other
    /// member is up.
    has_joined: bool,
    /// Whether another member has ever answered this process. Unlike `has_joined`, stays true when this
    /// member changes its identity, and when no other member is up.
    has_ever_joined: bool,
    detected_pauses: u64,
}

impl Membership {
    /// Creates a member that knows no other member. `seed` determines all random choices of the member. The
    /// member announces itself to its seeds at the first [`Input::TimerDue`].
    ///
    /// # Errors
    /// Returns [`SettingsError`] if a setting is out of its range, or if the member's name, zone or region is
    /// too long.
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

    /// Handles an input at the instant `now`, which must not be earlier than in previous calls. Appends the
    /// resulting effects to `effects`, in the order in which the driver has to carry them out.
    ///
    /// # Errors
    /// Returns [`PacketError`] if the input is a packet that is rejected. A packet that is too large, forged,
    /// of another version, or shorter than its version and tag has no effect on the membership. A packet with
    /// a valid tag but a malformed body was still made with the cluster's key. Like any valid packet, it
    /// shows that this member is not isolated from the cluster.
    ///
    /// The header of a malformed body may still be readable, and contains the identity to which the packet is
    /// addressed. That may be the identity of an earlier process of this member, with a higher generation
    /// ([`Member::generation`]). Other members would prefer that identity to the current one. This member
    /// therefore raises its own generation above it.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input<'_>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), PacketError> {
        self.detect_pause(now);
        let (member_count, had_joined) = (self.protocol.num_members(), self.has_joined);
        let first_new_effect = effects.len();
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
            // A member that joins needs the list of all members, but a packet holds only about twenty. The
            // member exchanges states with the sender of the packet, because the sender is certainly up. The
            // members that the packet names may be down after an outage.
            effects.extend(self.sender.map(Effect::ExchangeState));
        }
        self.has_ever_joined |= self.has_joined;
        let has_rejoined =
            effects[first_new_effect..].iter().any(|effect| matches!(effect, Effect::LocalMemberRejoined(_)));
        if has_rejoined && !self.has_ever_joined {
            // This process has never joined, but a peer declared it dead. The peer therefore remembers an
            // earlier process of this member, possibly with a later generation. The state of the peer tells
            // this member which generation it has to exceed.
            effects.extend(self.sender.map(Effect::ExchangeState));
        }
        if self.protocol.num_members() != member_count {
            // The transmission limit and the suspicion timeout depend on the number of members. The result of
            // `set_config` is ignored, because `foca` never rejects a change of these two parameters.
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
            self.raise_generation_above(now, &header.dst, effects);
        }
        let (protocol, collector) = self.protocol_and_collector(now, effects);
        match protocol.handle_data(body, collector) {
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket) => Err(PacketError::Malformed),
            Err(foca::Error::DataTooBig) => Err(PacketError::TooLarge),
            // Any error other than a malformed or too large packet means that `foca` has ignored the packet,
            // for example because this member itself has sent it.
            _ => Ok(()),
        }
    }

    /// Raises the generation of this member if `known`, the identity by which a peer knows it, takes
    /// precedence over the current identity. This happens if an earlier process of this member had a later
    /// generation, for example because the machine's clock was set back between the two starts. Without a
    /// later generation, the other members would take this process for the earlier one for as long as they
    /// remember it.
    fn raise_generation_above(&mut self, now: Micros, known: &Member, effects: &mut Vec<Effect>) {
        let Some(identity) = self.protocol.identity().with_generation_above(known) else { return };
        let (protocol, collector) = self.protocol_and_collector(now, effects);
        // `change_identity` does not fail here: the only possible error is that a packet cannot be encoded,
        // and encoding to memory always succeeds.
        if protocol.change_identity(identity.clone(), collector).is_ok() {
            self.has_joined = false;
            effects.push(Effect::LocalGenerationRaised(identity));
        }
    }

    /// Adds what the state of a peer says about members to this member's view of the cluster.
    fn apply_state(&mut self, now: Micros, state: &MembershipState, effects: &mut Vec<Effect>) {
        self.last_received = now;
        if let Some(known) = state.member_at(self.protocol.identity().address) {
            self.raise_generation_above(now, known, effects);
        }
        let updates = state.updates_for(self.protocol.identity(), self.protocol.iter_membership_state());
        let (protocol, collector) = self.protocol_and_collector(now, effects);
        // The result of `apply_many` is ignored: its only possible error is that a packet cannot be encoded,
        // and encoding to memory always succeeds.
        let _ = protocol.apply_many(updates.into_iter(), true, collector);
    }

    /// Detects a pause of this process. A pause is assumed if a timer is overdue by more than the probe
    /// timeout. After a pause, delays all timers by the time that this timer is overdue, and raises the local
    /// health multiplier.
    ///
    /// When a process resumes, its timers are overdue, but the answers of other members still wait to be
    /// read. Without the delay, this member would suspect those members.
    fn detect_pause(&mut self, now: Micros) {
        let overdue = self.timers.next_due().map_or(0, |due| now.saturating_sub(due.max(self.last_handled)));
        if overdue > self.settings.probe_timeout {
            self.timers.delay_all(overdue);
            self.local_health.record_failure();
            self.detected_pauses += 1;
        }
        self.last_handled = now;
    }

    /// Borrows the state of the library `foca`, which implements the protocol, and creates a collector. The
    /// methods of `foca` that send packets or start timers take the collector as an argument, and hand these
    /// effects and timers to the collector.
    fn protocol_and_collector<'a>(
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
                    self.request_large_state_exchange(effects);
                    self.timers.add(now.saturating_add(STATE_EXCHANGE_INTERVAL), TimerEvent::ExchangeState);
                }
            }
        }
    }

    fn handle_protocol_timer(&mut self, now: Micros, timer: Timer<Member>, effects: &mut Vec<Effect>) {
        if self.belongs_to_ended_suspicion(&timer) {
            return;
        }
        let (protocol, collector) = self.protocol_and_collector(now, effects);
        // An error means that the timer belongs to a probe that has already ended.
        let _ = protocol.handle_timer(timer, collector);
    }

    /// Whether a timer belongs to a suspicion that is over. The suspected member has then refuted the
    /// suspicion, or is no longer listed as up under the same identity.
    ///
    /// `foca` 2.0 must not receive such a timer. For such a timer, `foca` does not declare the member dead,
    /// but still sends the member the notification that is meant for dead members. The member would then
    /// rejoin under a new identity, which all other members would have to apply.
    fn belongs_to_ended_suspicion(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let is_unchanged =
            |member: &foca::Member<Member>| member.id() == member_id && member.incarnation() == *incarnation;
        !self.protocol.iter_members().any(is_unchanged)
    }

    fn announce_until_joined(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.has_joined {
            return;
        }
        let local = self.protocol.identity();
        for target in announce_targets(local, &self.settings.seeds, self.members(), now) {
            let (protocol, collector) = self.protocol_and_collector(now, effects);
            // The result of `announce` is ignored: its only possible error is that a packet cannot be
            // encoded, and encoding to memory always succeeds.
            let _ = protocol.announce(target, collector);
        }
    }

    /// Requests a state exchange with a random member, if this member's encoded state exceeds half a packet.
    /// A smaller state needs no exchange: it fits, with a margin, into a packet that answers one of the
    /// periodic announcements.
    fn request_large_state_exchange(&mut self, effects: &mut Vec<Effect>) {
        if self.state().encoded_bytes() > MAX_PACKET_BODY_BYTES / 2 {
            let partner = self.protocol.iter_members().choose(&mut self.rng);
            effects.extend(partner.map(|member| Effect::ExchangeState(member.id().address)));
        }
    }

    /// The state of this member, which is the list of all members that it knows, for a state exchange.
    pub fn state(&self) -> MembershipState {
        MembershipState::new(self.protocol.identity(), self.protocol.iter_membership_state())
    }

    /// Leaves the cluster. Notifies the other members, so that they do not have to detect that this member is
    /// gone.
    pub fn leave(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (protocol, collector) = self.protocol_and_collector(now, effects);
        // The result of `leave_cluster` is ignored: its only possible error is that a packet cannot be
        // encoded, and encoding to memory always succeeds.
        let _ = protocol.leave_cluster(collector);
    }

    /// The instant at which the driver has to pass in the next [`Input::TimerDue`]; `None` if no timer is
    /// pending.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// The present identity of this member. An identity consists of name, zone, region, address, generation
    /// and number of rejoins. The identity changes when this member rejoins or raises its generation.
    pub fn local_member(&self) -> &Member {
        self.protocol.identity()
    }

    /// The other members that are up as far as this member knows, including suspected ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.protocol.iter_members().map(foca::Member::id)
    }

    /// Lifeguard's local health multiplier, from 0 (healthy) to 8. The probe interval, probe timeout and
    /// suspicion timeout of this member are `1 + multiplier` times as long as configured.
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health.multiplier()
    }

    /// The number of pauses of its own process that this member has detected.
    pub fn detected_pauses(&self) -> u64 {
        self.detected_pauses
    }
}
