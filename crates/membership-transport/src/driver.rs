//! The thread that holds the protocol: its sockets, its clock and its queues.
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use copperspread_membership::*;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use mio::{Events, Interest, Poll, Token, Waker};
use tracing::{info, warn};

use crate::counts::{Counts, MembershipView};
use crate::streams::{self, Mail, Way};
use crate::{MembershipTransport, StartError, TransportConfig};

const RUNS: u8 = 0;
/// It says that it goes, and ends.
pub(crate) const LEAVES: u8 = 1;
/// It ends.
pub(crate) const STOPS: u8 = 2;

/// Room wanted for packets that wait, such as those of a pause, in bytes; the system may give less.
const WAITING_PACKETS: usize = 1 << 20;
/// Packets read before the time is told: more than the socket's buffer holds, so that after a
/// pause all that waited is read, and a flood does not keep the time from being told.
const MOST_AT_ONCE: usize = 4_096;
/// Longest wait for anything, in case the protocol wants no time told.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Streams taken and not yet served. Full, a further one is closed (`streams_refused`).
const STREAMS_WAIT: usize = 4;
/// States from streams that the protocol has not taken yet. Full, their threads wait within the time
/// limit of their stream, then give up (`states_dropped`).
const MAIL_WAITS: usize = 8;
/// Exchanges wanted and not yet begun. Full, a further one is left out (`exchanges_skipped`).
const EXCHANGES_WAIT: usize = 2;
/// Tries to have one port for packets and streams where the system chooses it.
const PORT_TRIES: usize = 16;

const PACKETS: Token = Token(0);
const STREAMS: Token = Token(1);
const WAKES: Token = Token(2);

/// What changes less often than the counts.
struct Known {
    own: Member,
    members: Arc<[Member]>,
    doubt: u32,
    pauses: u64,
}

/// What all threads and the owner share.
pub(crate) struct Shared {
    known: ArcSwap<Known>,
    pub(crate) counts: Counts,
    ending: AtomicU8,
    waker: Waker,
}

impl Shared {
    pub(crate) fn view(&self) -> MembershipView {
        let (known, counts) = (self.known.load(), &self.counts);
        MembershipView {
            local_member: known.own.clone(),
            members: Arc::clone(&known.members),
            local_health_multiplier: known.doubt,
            detected_pauses: known.pauses,
            rejected: counts.rejects(),
            packets_in: counts.packets_in.load(Ordering::Relaxed),
            packets_out: counts.packets_out.load(Ordering::Relaxed),
            bytes_in: counts.bytes_in.load(Ordering::Relaxed),
            bytes_out: counts.bytes_out.load(Ordering::Relaxed),
        }
    }

    /// Begins the end; one that leaves goes on to do so.
    pub(crate) fn end(&self, how: u8) {
        if self.ending.compare_exchange(RUNS, how, Ordering::Relaxed, Ordering::Relaxed).is_ok() {
            self.wake();
        }
    }

    pub(crate) fn ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed) != RUNS
    }

    pub(crate) fn wake(&self) {
        // It fails where the thread is gone.
        let _ = self.waker.wake();
    }
}

/// One port for packets and streams.
fn bind(wanted: SocketAddr) -> Result<(UdpSocket, TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Bind(wanted, error);
    let mut tries = if wanted.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        let packets = UdpSocket::bind(wanted).map_err(failed)?;
        let address = packets.local_addr().map_err(failed)?;
        match TcpListener::bind(address) {
            Ok(streams) => return Ok((packets, streams, address)),
            Err(error) if tries <= 1 => return Err(failed(error)),
            Err(_) => tries -= 1,
        }
    }
}

pub(crate) fn begin(spec: TransportConfig, generation: u64) -> Result<MembershipTransport, StartError> {
    let system = StartError::System;
    let (packets, streams, address) = bind(spec.bind_address)?;
    let TransportConfig {
        advertised_address: advertise,
        name,
        zone,
        region,
        membership_settings: settings,
        key,
        seed,
        ..
    } = spec;
    let own = Member { name, zone, region, address: advertise.unwrap_or(address), generation, rejoins: 0 };
    let cluster = Membership::new(own.clone(), settings, key.clone(), seed).map_err(StartError::Settings)?;
    // Less does as well, with more packets lost where the process is stopped.
    let _ = socket2::SockRef::from(&packets).set_recv_buffer_size(WAITING_PACKETS);
    packets.set_nonblocking(true).map_err(system)?;
    streams.set_nonblocking(true).map_err(system)?;
    let mut packets = mio::net::UdpSocket::from_std(packets);
    let mut streams = mio::net::TcpListener::from_std(streams);
    let poll = Poll::new().map_err(system)?;
    poll.registry().register(&mut packets, PACKETS, Interest::READABLE).map_err(system)?;
    poll.registry().register(&mut streams, STREAMS, Interest::READABLE).map_err(system)?;
    let waker = Waker::new(poll.registry(), WAKES).map_err(system)?;
    let known = Known { own, members: Arc::default(), doubt: 0, pauses: 0 };
    let shared = Arc::new(Shared {
        known: ArcSwap::from_pointee(known),
        counts: Counts::new(),
        ending: AtomicU8::new(RUNS),
        waker,
    });
    // Its drop ends what has begun, should a thread be refused. Before the queues, so that their ends go first.
    let mut peers = MembershipTransport { shared: Arc::clone(&shared), address, threads: Vec::new() };
    let (accepted, to_serve) = bounded(STREAMS_WAIT);
    let (mail, letters) = bounded(MAIL_WAITS);
    let (exchanges, to_begin) = bounded(EXCHANGES_WAIT);
    let way = Way { shared: Arc::clone(&shared), key, mail, bound: address.ip() };
    for number in 0..streams::SERVED_AT_ONCE {
        let (way, to_serve) = (way.clone(), to_serve.clone());
        let serve = move || streams::serve_all(&way, &to_serve);
        peers.threads.push(thread(&format!("peers-in-{number}"), serve)?);
    }
    peers.threads.push(thread("peers-out", move || streams::begin_all(&way, &to_begin))?);
    let mut driver = Driver {
        cluster,
        poll,
        packets,
        streams,
        accepted,
        letters,
        exchanges,
        shared,
        started: Instant::now(),
        effects: Vec::new(),
        changed: false,
    };
    peers.threads.push(thread("peers", move || driver.run())?);
    Ok(peers)
}

fn thread(name: &str, what: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartError> {
    Builder::new().name(name.into()).spawn(what).map_err(StartError::System)
}

struct Driver {
    cluster: Membership,
    poll: Poll,
    packets: mio::net::UdpSocket,
    streams: mio::net::TcpListener,
    accepted: Sender<std::net::TcpStream>,
    letters: Receiver<Mail>,
    exchanges: Sender<(SocketAddr, MembershipState)>,
    shared: Arc<Shared>,
    started: Instant,
    effects: Vec<Effect>,
    /// The members have changed since the last view.
    changed: bool,
}

impl Driver {
    fn now(&self) -> Micros {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    fn run(&mut self) {
        let mut events = Events::with_capacity(8);
        let mut all_read = true;
        loop {
            let wait = match self.cluster.next_due() {
                _ if !all_read => Duration::ZERO,
                None => LONGEST_WAIT,
                Some(due) => Duration::from_micros(due.saturating_sub(self.now())).min(LONGEST_WAIT),
            };
            if let Err(error) = self.poll.poll(&mut events, Some(wait))
                && error.kind() != io::ErrorKind::Interrupted
            {
                // Not known to happen; guards against a busy loop if it does.
                warn!(%error, "peers: waiting failed");
                std::thread::sleep(LONGEST_WAIT);
            }
            // All is looked at whatever woke it: a look costs little, and nothing is missed.
            all_read = self.read_packets();
            self.read_mail();
            all_read &= self.take_streams();
            let now = self.now();
            if self.cluster.next_due().is_some_and(|due| due <= now) {
                self.hand_in(Input::TimerDue);
            }
            self.publish();
            match self.shared.ending.load(Ordering::Relaxed) {
                RUNS => {}
                LEAVES => {
                    let now = self.now();
                    self.cluster.leave(now, &mut self.effects);
                    self.carry_out();
                    return info!("left the cluster");
                }
                _ => return,
            }
        }
    }

    /// Hands in all packets that wait, up to a bound; whether that was all.
    fn read_packets(&mut self) -> bool {
        // One byte more shows that a packet is too large.
        let mut buffer = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..MOST_AT_ONCE {
            match self.packets.recv_from(&mut buffer) {
                Ok((size, _)) => {
                    let counts = &self.shared.counts;
                    counts.packets_in.fetch_add(1, Ordering::Relaxed);
                    counts.bytes_in.fetch_add(size as u64, Ordering::Relaxed);
                    self.hand_in(Input::Packet(&buffer[..size]));
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Nothing more, or an error of the network that the next look leaves behind.
                Err(_) => return true,
            }
        }
        false
    }

    fn read_mail(&mut self) {
        while let Ok(Mail { state, answer }) = self.letters.try_recv() {
            self.hand_in(Input::State(&state));
            if let Some(answer) = answer {
                // Room for one, and one is sent. Its reader may have given up.
                let _ = answer.try_send(self.cluster.state());
            }
        }
    }

    /// Takes the streams that wait, up to a bound; whether that was all.
    fn take_streams(&mut self) -> bool {
        for _ in 0..STREAMS_WAIT * 4 {
            match self.streams.accept() {
                Ok((stream, _)) => match self.accepted.try_send(stream.into()) {
                    Ok(()) => {}
                    // Closed by its drop.
                    Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                        self.shared.counts.streams_refused.add();
                    }
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => {
                    // Such as one that was reset, or want of descriptors.
                    self.shared.counts.streams_failed.add();
                    return true;
                }
            }
        }
        false
    }

    fn hand_in(&mut self, input: Input<'_>) {
        let now = self.now();
        if let Err(why) = self.cluster.handle(now, input, &mut self.effects) {
            self.shared.counts.reject(why);
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            self.changed |= !matches!(effect, Effect::SendPacket { .. } | Effect::ExchangeState(_));
            match effect {
                Effect::SendPacket { to, packet } => match self.packets.send_to(&packet, to) {
                    Ok(_) => {
                        let counts = &self.shared.counts;
                        counts.packets_out.fetch_add(1, Ordering::Relaxed);
                        counts.bytes_out.fetch_add(packet.len() as u64, Ordering::Relaxed);
                    }
                    // The same to the protocol as one that is lost on its way.
                    Err(_) => self.shared.counts.unsent.add(),
                },
                Effect::ExchangeState(with) => {
                    if self.exchanges.try_send((with, self.cluster.state())).is_err() {
                        self.shared.counts.exchanges_skipped.add();
                    }
                }
                Effect::MemberUp(of) => tell("member up", &of),
                Effect::MemberDown(of) => tell("member down", &of),
                Effect::MemberReplaced(_, of) => tell("member replaced", &of),
                Effect::SelfRefuted(own) => tell("given up by the others, back", &own),
            }
        }
        // Its room is kept.
        self.effects = effects;
    }

    /// Puts a new view out where something changed.
    fn publish(&mut self) {
        let known = self.shared.known.load();
        let (doubt, pauses) = (self.cluster.local_health_multiplier(), self.cluster.detected_pauses());
        let members = if std::mem::take(&mut self.changed) {
            let mut members: Vec<Member> = self.cluster.members().cloned().collect();
            members.sort_unstable_by(|a, b| (&a.name, a.address).cmp(&(&b.name, b.address)));
            members.into()
        } else if (known.doubt, known.pauses) != (doubt, pauses) {
            Arc::clone(&known.members)
        } else {
            return;
        };
        let own = self.cluster.local_member().clone();
        self.shared.known.store(Arc::new(Known { own, members, doubt, pauses }));
    }
}

fn tell(what: &str, of: &Member) {
    let Member { name, zone, region, address, generation, rejoins: returned } = of;
    info!(name, zone, region, %address, generation, returned, "{what}");
}
