//! One member's view of the cluster, and what it does about it.
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Message, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;

use crate::seal::{Key, MOST_BODY};
use crate::state::State;
use crate::timers::Timers;
use crate::{Member, Micros, SECOND};

/// Most that a member in trouble widens its own time-outs, in steps: Lifeguard's 8.
const HEALTH_MOST: u32 = 8;
/// Sends of one piece of news by each who has it: so many times the logarithm (base 10) of the members. Of 9 at
/// 30 % loss, 30 plays of 60 s gave 80 false deaths with Serf's 4, 6 with 8 and 8 intervals of suspicion, and
/// none with 14: with fewer some of those who wait for a refutation are never reached.
const SENDS_EACH: f64 = 14.0;
/// News goes out so many times in a probe interval besides on probes, to so many members: Serf's figures.
const GOSSIPS: u64 = 5;
const GOSSIP_TO: usize = 3;
/// Members besides the seeds that are asked while nobody has answered.
const ASKED: usize = 4;
/// How often members that pass for down are asked, so that a healed partition becomes one again.
const ASK_DOWN: Micros = 5 * SECOND;
/// How often a random member is asked for those that it knows, by a packet and, where one could not hold them,
/// by an exchange of whole states.
const ASK_STATE: Micros = 30 * SECOND;
/// How long a member that is down is remembered, so that old news does not bring it back.
const REMEMBER_DOWN: Duration = Duration::from_secs(24 * 3600);

/// How a member watches the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Between two probes; each is of one member, all in turn. Over 0.
    pub probe_interval: Micros,
    /// A direct answer takes no longer than this; then others are asked. Over 0, under the interval.
    pub probe_timeout: Micros,
    /// Through how many others a member is probed that did not answer.
    pub indirect: usize,
    /// A suspected member is dead after so many intervals times the logarithm (base 10) of the members, which
    /// counts as 1 at least. Over 0.
    pub suspicion: f64,
    /// Who is asked at the start, and as long as nobody is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    /// SWIM's usual figures: a probe a second, 0.3 s for an answer, 3 others, and 5 intervals of suspicion.
    fn default() -> Settings {
        let (probe_interval, probe_timeout) = (SECOND, 300_000);
        Settings { probe_interval, probe_timeout, indirect: 3, suspicion: 5.0, seeds: Vec::new() }
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
    State(&'a State),
    /// Time went on, to [`Cluster::next_due`] or past it. The driver hands in all packets that wait
    /// before it.
    Due,
}

/// What is to be done or known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A packet is to be sent.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The whole packet.
        packet: Vec<u8>,
    },
    /// Whole states are to be exchanged with the member at this address, over a stream: it is sent
    /// [`Cluster::state`], and what it answers comes in as [`Input::State`].
    Exchange(SocketAddr),
    /// A member is there.
    Up(Member),
    /// A member has died, or has left.
    Down(Member),
    /// A member restarted or came back: the second stands for the first.
    Replaced(Member, Member),
    /// The others had given this member up; it is back, as this.
    Refuted(Member),
}

/// Why a packet was not taken. Nothing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejected {
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
enum Alarm {
    Protocol(Timer<Member>),
    Seeds,
    Exchange,
}

type Protocol = Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>;

/// One member's part in the cluster.
pub struct Cluster {
    foca: Protocol,
    settings: Settings,
    key: Key,
    timers: Timers<Alarm>,
    /// Chance of its own, apart from the protocol's.
    chance: Pcg64Mcg,
    /// How much this member doubts itself, in steps from 0.
    doubt: u32,
    /// When it last heard of the time.
    heard: Micros,
    /// When the last packet with the cluster's key came.
    last_packet: Micros,
    /// Who sent the packet that is being taken.
    sender: Option<SocketAddr>,
    /// Others have answered it as it is now.
    joined: bool,
    /// Pauses that were noticed.
    pauses: u64,
}

/// Collects what the protocol wants, and stretches its timers by this member's doubt in itself.
struct Collect<'a> {
    now: Micros,
    key: &'a Key,
    timers: &'a mut Timers<Alarm>,
    doubt: &'a mut u32,
    effects: &'a mut Vec<Effect>,
    /// When the last packet of the cluster came, and after how long without one it is alone.
    last_packet: Micros,
    alone: Micros,
    sender: &'a mut Option<SocketAddr>,
    joined: &'a mut bool,
}

impl Runtime<Member> for Collect<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.effects.push(match notification {
            Notification::MemberUp(member) => Effect::Up(member.clone()),
            Notification::MemberDown(member) => Effect::Down(member.clone()),
            Notification::Rename(before, after) => Effect::Replaced(before.clone(), after.clone()),
            Notification::Rejoin(own) => {
                *self.joined = false;
                // Given up by the others while alive: slow, or hard to reach.
                *self.doubt = (*self.doubt + 1).min(HEALTH_MOST);
                Effect::Refuted(own.clone())
            }
            // Its own fault only where nobody else was heard of either: a cut between two halves, each of
            // which hears itself, must not stretch the time until the other is given up.
            Notification::ProbeFailed(..) if self.now.saturating_sub(self.last_packet) < self.alone => return,
            Notification::ProbeFailed(..) => {
                *self.doubt = (*self.doubt + 1).min(HEALTH_MOST);
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
        self.effects.push(Effect::Send { to: to.address, packet: self.key.close(data) });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        let stretched = match event {
            Timer::ProbeRandomMember(_)
            | Timer::SendIndirectProbe { .. }
            | Timer::ChangeSuspectToDown { .. } => after * (1 + *self.doubt),
            _ => after,
        };
        self.timers.add(self.now.saturating_add(stretched.as_micros() as Micros), Alarm::Protocol(event));
    }
}

impl Cluster {
    /// A member that knows nobody; `seed` settles all its chance. It asks its seeds at the first [`Input::Due`].
    ///
    /// # Errors
    /// Settings that contradict themselves.
    pub fn new(own: Member, settings: Settings, key: Key, seed: u64) -> Result<Cluster, SettingsError> {
        if settings.probe_timeout == 0 || settings.probe_timeout >= settings.probe_interval {
            return Err(SettingsError("the probe time-out is not above 0 and under the interval"));
        }
        if settings.indirect == 0 {
            return Err(SettingsError("no indirect probe"));
        }
        if !(settings.suspicion > 0.0 && settings.suspicion <= 1_000.0) {
            return Err(SettingsError("the suspicion is not above 0 and up to 1000 intervals"));
        }
        if !own.fits() {
            return Err(SettingsError("a name, zone or region of more than 64 bytes"));
        }
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let chance = Pcg64Mcg::seed_from_u64(!seed);
        let foca = Foca::new(own, protocol(&settings, 1), rng, PostcardCodec);
        let mut timers = Timers::new();
        timers.add(0, Alarm::Seeds);
        timers.add(ASK_STATE, Alarm::Exchange);
        Ok(Cluster {
            foca,
            settings,
            key,
            timers,
            chance,
            doubt: 0,
            heard: 0,
            last_packet: 0,
            sender: None,
            joined: false,
            pauses: 0,
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
    ) -> Result<(), Rejected> {
        self.notice_pause(now);
        let (before, joined) = (self.foca.num_members(), self.joined);
        self.sender = None;
        let done = match input {
            Input::Packet(packet) => {
                let body = self.key.open(packet)?;
                self.last_packet = now;
                let (foca, collect) = self.parts(now, effects);
                let taken = foca.handle_data(body, collect);
                match taken {
                    Err(foca::Error::Decode(_) | foca::Error::MalformedPacket) => Err(Rejected::Malformed),
                    Err(foca::Error::DataTooBig) => Err(Rejected::TooLarge),
                    // What foca says besides changes nothing, such as an echo of an own packet.
                    _ => Ok(()),
                }
            }
            Input::State(state) => {
                self.take(now, state, effects);
                Ok(())
            }
            Input::Due => {
                self.due(now, effects);
                Ok(())
            }
        };
        if self.joined && !joined {
            // A packet names some twenty members; a newcomer wants them all. From the one that surely is there:
            // after a breakdown others of whom it tells may not be.
            effects.extend(self.sender.map(Effect::Exchange));
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
        let late = self.timers.next().map_or(0, |due| now.saturating_sub(due.max(self.heard)));
        if late > self.settings.probe_timeout {
            self.timers.shift(late);
            self.doubt = (self.doubt + 1).min(HEALTH_MOST);
            self.pauses += 1;
        }
        self.heard = now;
    }

    /// The protocol, and what collects what it wants.
    fn parts<'a>(&'a mut self, now: Micros, effects: &'a mut Vec<Effect>) -> (&'a mut Protocol, Collect<'a>) {
        let Cluster { foca, settings, key, timers, doubt, last_packet, sender, joined, .. } = self;
        let (last_packet, alone) = (*last_packet, settings.probe_interval);
        (foca, Collect { now, key, timers, doubt, effects, last_packet, alone, sender, joined })
    }

    fn due(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some(alarm) = self.timers.pop(now) {
            match alarm {
                Alarm::Protocol(timer) => {
                    if self.refuted(&timer) {
                        continue;
                    }
                    let (foca, collect) = self.parts(now, effects);
                    // An error here is a timer of a probe that is over.
                    let _ = foca.handle_timer(timer, collect);
                }
                Alarm::Seeds => {
                    self.ask_seeds(now, effects);
                    self.timers.add(now.saturating_add(self.settings.probe_interval), Alarm::Seeds);
                }
                Alarm::Exchange => {
                    // Where a packet holds them all, the protocol's own asking is enough.
                    if self.state().size() > MOST_BODY / 2 {
                        let whom = self.foca.iter_members().choose(&mut self.chance);
                        effects.extend(whom.map(|member| Effect::Exchange(member.id().address)));
                    }
                    self.timers.add(now.saturating_add(ASK_STATE), Alarm::Exchange);
                }
            }
        }
    }

    /// Whether this is the end of a suspicion that is over.
    /// Guards against foca 2.0, which does not give the member up then, but tells it that it was: a member
    /// that had refuted in time came back under a new identity, for all to take in.
    fn refuted(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let suspected = |of: &foca::Member<Member>| of.id() == member_id && of.incarnation() == *incarnation;
        !self.foca.iter_members().any(suspected)
    }

    /// Until somebody answers it, all seeds are asked, and some members that it knew.
    /// Guards against a member that came back under a new identity and whose first packets were lost: the
    /// others go on writing to the old one, and foca waits for a packet to the new before it does anything.
    fn ask_seeds(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.joined {
            return;
        }
        let own = self.foca.identity().address;
        let known: Vec<Member> = self.members().cloned().collect();
        // Others each time.
        let start = now as usize % known.len().max(1);
        let known = known.iter().cycle().skip(start).take(known.len().min(ASKED)).cloned();
        let seeds = self.settings.seeds.iter().map(|&seed| Member::unknown(seed));
        for whom in seeds.chain(known).collect::<Vec<_>>() {
            let (foca, collect) = self.parts(now, effects);
            if whom.address != own {
                // Its errors are those of the codec, which writes to memory.
                let _ = foca.announce(whom, collect);
            }
        }
    }

    /// Takes what a peer knows.
    fn take(&mut self, now: Micros, state: &State, effects: &mut Vec<Effect>) {
        self.last_packet = now;
        let news = state.news_for(self.foca.identity(), self.foca.iter_membership_state());
        let (foca, collect) = self.parts(now, effects);
        // Its errors are those of the codec, which writes to memory.
        let _ = foca.apply_many(news.into_iter(), true, collect);
    }

    /// All that this member knows, for an exchange of whole states.
    pub fn state(&self) -> State {
        State::of(self.foca.identity(), self.foca.iter_membership_state())
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
    pub fn own(&self) -> &Member {
        self.foca.identity()
    }

    /// The others that are there, suspected ones among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// How much this member doubts itself, from 0 to 8; its time-outs are 1 more times as long.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }

    /// How often it was stopped and noticed.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}

/// The protocol's figures for so many members.
fn protocol(settings: &Settings, members: usize) -> foca::Config {
    let span = Duration::from_micros;
    let scale = (members.max(1) as f64).log10().max(1.0);
    let sends = (SENDS_EACH * ((members + 1) as f64).log10()).ceil().clamp(2.0, 60.0) as u8;
    let periodic = |every: Micros, members: usize| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency: span(every), num_members })
    };
    foca::Config {
        probe_period: span(settings.probe_interval),
        probe_rtt: span(settings.probe_timeout),
        num_indirect_probes: NonZeroUsize::new(settings.indirect).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(sends).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(settings.probe_interval).mul_f64(settings.suspicion * scale),
        remove_down_after: Some(REMEMBER_DOWN),
        max_packet_size: NonZeroUsize::new(MOST_BODY).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(ASK_STATE, 1),
        periodic_announce_to_down_members: periodic(ASK_DOWN, 1),
        periodic_gossip: periodic(settings.probe_interval / GOSSIPS, GOSSIP_TO),
    }
}
