//! One member's view of the cluster, and what it does about it.
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Message, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;

use crate::seal::{Key, MAX_PACKET_BODY_BYTES};
use crate::state::MembershipState;
use crate::timers::TimerQueue;
use crate::{Member, Micros, SECOND};

/// Most that a member in trouble widens its own time-outs, in steps: Lifeguard's 8.
const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// Sends of one piece of news by each who has it: so many times the logarithm (base 10) of the members. Of 9 at
/// 30 % loss, 30 plays of 60 s gave 80 false deaths with Serf's 4, 6 with 8 and 8 intervals of suspicion, and
/// none with 14: with fewer some of those who wait for a refutation are never reached.
const UPDATE_SENDS_PER_LOG_MEMBER: f64 = 14.0;
/// News goes out so many times in a probe interval besides on probes, to so many members: Serf's figures.
const GOSSIPS_PER_PROBE_INTERVAL: u64 = 5;
const GOSSIP_FANOUT: usize = 3;
/// Members besides the seeds that are asked while nobody has answered.
const MAX_ANNOUNCES_BESIDES_SEEDS: usize = 4;
/// How often members that pass for down are asked, so that a healed partition becomes one again.
const DOWN_ANNOUNCE_INTERVAL: Micros = 5 * SECOND;
/// How often a random member is asked for those that it knows, by a packet and, where one could not hold them,
/// by an exchange of whole states.
const STATE_EXCHANGE_INTERVAL: Micros = 30 * SECOND;
/// How long a member that is down is remembered, so that old news does not bring it back.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// How a member watches the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Between two probes; each is of one member, all in turn. Over 0.
    pub probe_interval: Micros,
    /// A direct answer takes no longer than this; then others are asked. Over 0, under the interval.
    pub probe_timeout: Micros,
    /// Through how many others a member is probed that did not answer.
    pub indirect_probes: usize,
    /// A suspected member is dead after so many intervals times the logarithm (base 10) of the members, which
    /// counts as 1 at least. Over 0.
    pub suspicion_multiplier: f64,
    /// Who is asked at the start, and as long as nobody is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    /// SWIM's usual figures: a probe a second, 0.3 s for an answer, 3 others, and 5 intervals of suspicion.
    fn default() -> Settings {
        let (probe_interval, probe_timeout) = (SECOND, 300_000);
        Settings {
            probe_interval,
            probe_timeout,
            indirect_probes: 3,
            suspicion_multiplier: 5.0,
            seeds: Vec::new(),
        }
    }
}

/// Settings that contradict themselves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub &'static str);

/// What comes in.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A packet, from wherever.
    Packet(&'a [u8]),
    /// What a peer knows, which came over a stream.
    State(&'a MembershipState),
    /// Time went on, to [`Cluster::next_due`] or past it. The driver hands in all packets that wait
    /// before it.
    TimerDue,
}

/// What is to be done or known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A packet is to be sent.
    SendPacket {
        /// Where to.
        to: SocketAddr,
        /// The whole packet.
        packet: Vec<u8>,
    },
    /// Whole states are to be exchanged with the member at this address, over a stream: it is sent
    /// [`Cluster::state`], and what it answers comes in as [`Input::State`].
    ExchangeState(SocketAddr),
    /// A member is there.
    MemberUp(Member),
    /// A member has died, or has left.
    MemberDown(Member),
    /// A member restarted or came back: the second stands for the first.
    MemberReplaced(Member, Member),
    /// The others had given this member up; it is back, as this.
    SelfRefuted(Member),
}

/// Why a packet was not taken. Nothing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PacketError {
    /// Longer than any packet of this protocol.
    TooLarge,
    /// Too short, or its body is none.
    Malformed,
    /// Not made with the cluster's key.
    Forged,
    /// Of another version.
    OtherVersion,
}

#[derive(Clone)]
enum TimerEvent {
    Protocol(Timer<Member>),
    Seeds,
    Exchange,
}

type Protocol = Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>;

/// One member's part in the cluster.
pub struct Membership {
    foca: Protocol,
    settings: Settings,
    key: Key,
    timers: TimerQueue<TimerEvent>,
    /// Chance of its own, apart from the protocol's.
    rng: Pcg64Mcg,
    /// How much this member doubts itself, in steps from 0.
    local_health_multiplier: u32,
    /// When it last heard of the time.
    last_handled: Micros,
    /// When the last packet with the cluster's key came.
    last_packet: Micros,
    /// Who sent the packet that is being taken.
    sender: Option<SocketAddr>,
    /// Others have answered it as it is now.
    has_joined: bool,
    /// Pauses that were noticed.
    detected_pauses: u64,
}

/// Collects what the protocol wants, and stretches its timers by this member's doubt in itself.
struct EffectCollector<'a> {
    now: Micros,
    key: &'a Key,
    timers: &'a mut TimerQueue<TimerEvent>,
    doubt: &'a mut u32,
    effects: &'a mut Vec<Effect>,
    /// When the last packet of the cluster came, and after how long without one it is alone.
    last_packet: Micros,
    alone: Micros,
    sender: &'a mut Option<SocketAddr>,
    joined: &'a mut bool,
}

impl Runtime<Member> for EffectCollector<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.effects.push(match notification {
            Notification::MemberUp(member) => Effect::MemberUp(member.clone()),
            Notification::MemberDown(member) => Effect::MemberDown(member.clone()),
            Notification::Rename(before, after) => Effect::MemberReplaced(before.clone(), after.clone()),
            Notification::Rejoin(own) => {
                *self.joined = false;
                // Given up by the others while alive: slow, or hard to reach.
                *self.doubt = (*self.doubt + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
                Effect::SelfRefuted(own.clone())
            }
            // Its own fault only where nobody else was heard of either: a cut between two halves, each of
            // which hears itself, must not stretch the time until the other is given up.
            Notification::ProbeFailed(..) if self.now.saturating_sub(self.last_packet) < self.alone => return,
            Notification::ProbeFailed(..) => {
                *self.doubt = (*self.doubt + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
                return;
            }
            Notification::DataReceived(header) => {
                *self.sender = Some(header.src.address);
                if matches!(header.message, Message::Ack(_)) {
                    *self.doubt = self.doubt.saturating_sub(1);
                }
                return;
            }
            Notification::Active => {
                *self.joined = true;
                return;
            }
            Notification::Idle => {
                *self.joined = false;
                return;
            }
            Notification::Defunct | Notification::DataSent(_) => return,
        });
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.effects.push(Effect::SendPacket { to: to.address, packet: self.key.seal_packet(data) });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        let stretched = match event {
            Timer::ProbeRandomMember(_)
            | Timer::SendIndirectProbe { .. }
            | Timer::ChangeSuspectToDown { .. } => after * (1 + *self.doubt),
            _ => after,
        };
        self.timers
            .add(self.now.saturating_add(stretched.as_micros() as Micros), TimerEvent::Protocol(event));
    }
}

impl Membership {
    /// A member that knows nobody; `seed` settles all its chance. It asks its seeds at the first [`Input::Due`].
    ///
    /// # Errors
    /// Settings that contradict themselves.
    pub fn new(own: Member, settings: Settings, key: Key, seed: u64) -> Result<Membership, SettingsError> {
        if settings.probe_timeout == 0 || settings.probe_timeout >= settings.probe_interval {
            return Err(SettingsError("the probe time-out is not above 0 and under the interval"));
        }
        if settings.indirect_probes == 0 {
            return Err(SettingsError("no indirect probe"));
        }
        if !(settings.suspicion_multiplier > 0.0 && settings.suspicion_multiplier <= 1_000.0) {
            return Err(SettingsError("the suspicion is not above 0 and up to 1000 intervals"));
        }
        if !own.fits_in_packet() {
            return Err(SettingsError("a name, zone or region of more than 64 bytes"));
        }
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let chance = Pcg64Mcg::seed_from_u64(!seed);
        let foca = Foca::new(own, protocol(&settings, 1), rng, PostcardCodec);
        let mut timers = TimerQueue::new();
        timers.add(0, TimerEvent::Seeds);
        timers.add(STATE_EXCHANGE_INTERVAL, TimerEvent::Exchange);
        Ok(Membership {
            foca,
            settings,
            key,
            timers,
            rng: chance,
            local_health_multiplier: 0,
            last_handled: 0,
            last_packet: 0,
            sender: None,
            has_joined: false,
            detected_pauses: 0,
        })
    }

    /// Takes what comes in at an instant that never goes back, and appends what is to be done, in order.
    ///
    /// # Errors
    /// A packet that was not taken.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input<'_>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), PacketError> {
        self.notice_pause(now);
        let (before, joined) = (self.foca.num_members(), self.has_joined);
        self.sender = None;
        let done = match input {
            Input::Packet(packet) => {
                let body = self.key.open_packet(packet)?;
                self.last_packet = now;
                let (foca, collect) = self.parts(now, effects);
                let taken = foca.handle_data(body, collect);
                match taken {
                    Err(foca::Error::Decode(_) | foca::Error::MalformedPacket) => Err(PacketError::Malformed),
                    Err(foca::Error::DataTooBig) => Err(PacketError::TooLarge),
                    // What foca says besides changes nothing, such as an echo of an own packet.
                    _ => Ok(()),
                }
            }
            Input::State(state) => {
                self.apply_state(now, state, effects);
                Ok(())
            }
            Input::TimerDue => {
                self.run_due_timers(now, effects);
                Ok(())
            }
        };
        if self.has_joined && !joined {
            // A packet names some twenty members; a newcomer wants them all. From the one that surely is there:
            // after a breakdown others of whom it tells may not be.
            effects.extend(self.sender.map(Effect::ExchangeState));
        }
        if self.foca.num_members() != before {
            // Bounds and times follow the number of members; none that may change is refused.
            let _ = self.foca.set_config(protocol(&self.settings, self.foca.num_members() + 1));
        }
        done
    }

    /// Guards against a member that was stopped and then takes its overdue timers for the silence of
    /// others, whose answers still wait to be read.
    fn notice_pause(&mut self, now: Micros) {
        let late = self.timers.next().map_or(0, |due| now.saturating_sub(due.max(self.last_handled)));
        if late > self.settings.probe_timeout {
            self.timers.shift(late);
            self.local_health_multiplier =
                (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
            self.detected_pauses += 1;
        }
        self.last_handled = now;
    }

    /// The protocol, and what collects what it wants.
    fn parts<'a>(
        &'a mut self,
        now: Micros,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut Protocol, EffectCollector<'a>) {
        let Membership {
            foca,
            settings,
            key,
            timers,
            local_health_multiplier: doubt,
            last_packet,
            sender,
            has_joined: joined,
            ..
        } = self;
        let (last_packet, alone) = (*last_packet, settings.probe_interval);
        (foca, EffectCollector { now, key, timers, doubt, effects, last_packet, alone, sender, joined })
    }

    fn run_due_timers(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some(alarm) = self.timers.pop(now) {
            match alarm {
                TimerEvent::Protocol(timer) => {
                    if self.is_refuted_suspicion(&timer) {
                        continue;
                    }
                    let (foca, collect) = self.parts(now, effects);
                    // An error here is a timer of a probe that is over.
                    let _ = foca.handle_timer(timer, collect);
                }
                TimerEvent::Seeds => {
                    self.announce_to_seeds(now, effects);
                    self.timers.add(now.saturating_add(self.settings.probe_interval), TimerEvent::Seeds);
                }
                TimerEvent::Exchange => {
                    // Where a packet holds them all, the protocol's own asking is enough.
                    if self.state().encoded_bytes() > MAX_PACKET_BODY_BYTES / 2 {
                        let whom = self.foca.iter_members().choose(&mut self.rng);
                        effects.extend(whom.map(|member| Effect::ExchangeState(member.id().address)));
                    }
                    self.timers.add(now.saturating_add(STATE_EXCHANGE_INTERVAL), TimerEvent::Exchange);
                }
            }
        }
    }

    /// Whether this is the end of a suspicion that is over.
    /// Guards against foca 2.0, which does not give the member up then, but tells it that it was: a member
    /// that had refuted in time came back under a new identity, for all to take in.
    fn is_refuted_suspicion(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let suspected = |of: &foca::Member<Member>| of.id() == member_id && of.incarnation() == *incarnation;
        !self.foca.iter_members().any(suspected)
    }

    /// Until somebody answers it, all seeds are asked, and some members that it knew.
    /// Guards against a member that came back under a new identity and whose first packets were lost: the
    /// others go on writing to the old one, and foca waits for a packet to the new before it does anything.
    fn announce_to_seeds(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.has_joined {
            return;
        }
        let own = self.foca.identity().address;
        let known: Vec<Member> = self.members().cloned().collect();
        // Others each time.
        let start = now as usize % known.len().max(1);
        let known =
            known.iter().cycle().skip(start).take(known.len().min(MAX_ANNOUNCES_BESIDES_SEEDS)).cloned();
        let seeds = self.settings.seeds.iter().map(|&seed| Member::placeholder(seed));
        for whom in seeds.chain(known).collect::<Vec<_>>() {
            let (foca, collect) = self.parts(now, effects);
            if whom.address != own {
                // Its errors are those of the codec, which writes to memory.
                let _ = foca.announce(whom, collect);
            }
        }
    }

    /// Takes what a peer knows.
    fn apply_state(&mut self, now: Micros, state: &MembershipState, effects: &mut Vec<Effect>) {
        self.last_packet = now;
        let news = state.updates_for(self.foca.identity(), self.foca.iter_membership_state());
        let (foca, collect) = self.parts(now, effects);
        // Its errors are those of the codec, which writes to memory.
        let _ = foca.apply_many(news.into_iter(), true, collect);
    }

    /// All that this member knows, for an exchange of whole states.
    pub fn state(&self) -> MembershipState {
        MembershipState::of(self.foca.identity(), self.foca.iter_membership_state())
    }

    /// Leaves in good order: the others need not find out.
    pub fn leave(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (foca, collect) = self.parts(now, effects);
        let _ = foca.leave_cluster(collect);
    }

    /// When [`Input::Due`] is wanted next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// This member as the others should know it.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// The others that are there, suspected ones among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// How much this member doubts itself, from 0 to 8; its time-outs are 1 more times as long.
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health_multiplier
    }

    /// How often it was stopped and noticed.
    pub fn detected_pauses(&self) -> u64 {
        self.detected_pauses
    }
}

/// The protocol's figures for so many members.
fn protocol(settings: &Settings, members: usize) -> foca::Config {
    let span = Duration::from_micros;
    let scale = (members.max(1) as f64).log10().max(1.0);
    let sends = (UPDATE_SENDS_PER_LOG_MEMBER * ((members + 1) as f64).log10()).ceil().clamp(2.0, 60.0) as u8;
    let periodic = |every: Micros, members: usize| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency: span(every), num_members })
    };
    foca::Config {
        probe_period: span(settings.probe_interval),
        probe_rtt: span(settings.probe_timeout),
        num_indirect_probes: NonZeroUsize::new(settings.indirect_probes).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(sends).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(settings.probe_interval).mul_f64(settings.suspicion_multiplier * scale),
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: NonZeroUsize::new(MAX_PACKET_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(STATE_EXCHANGE_INTERVAL, 1),
        periodic_announce_to_down_members: periodic(DOWN_ANNOUNCE_INTERVAL, 1),
        periodic_gossip: periodic(settings.probe_interval / GOSSIPS_PER_PROBE_INTERVAL, GOSSIP_FANOUT),
    }
}
