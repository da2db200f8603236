//! The driver thread of a member, which runs the membership protocol. It reads the sockets and the clock, and
//! carries out the effects that the protocol returns.
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use copperspread_membership::{Effect, Input, MAX_PACKET_BYTES, Member, Membership, Micros};
use crossbeam_channel::{Receiver, Sender};
use mio::Events;
use tracing::{info, warn};

use crate::messages::{ExchangeRequest, ReceivedState};
use crate::shared::{RunState, Shared, Snapshot};
use crate::sockets::PolledSockets;

/// Maximum number of accepted streams that wait for a stream thread. While this many wait, further streams
/// are closed ([`DropCounts::streams_rejected`](crate::DropCounts::streams_rejected)).
pub(crate) const MAX_ACCEPTED_STREAMS: usize = 4;
/// Maximum number of streams that the driver accepts in one turn of its loop, before it reads its other
/// inputs again.
const MAX_ACCEPTS_PER_TURN: usize = 4 * MAX_ACCEPTED_STREAMS;
/// Maximum number of packets that the driver reads in one turn of its loop, before it runs the due timers. It
/// exceeds what the socket's buffer holds, so that after a pause all waiting packets are read first. The
/// limit lets timers run during a flood of packets.
const MAX_PACKETS_PER_TURN: usize = 4_096;
/// Maximum time for which the driver waits for an event, even if the protocol has no timer pending.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of events that one call of `mio::Poll::poll` reports. There are fewer sources of events
/// than this.
const EVENT_CAPACITY: usize = 8;

/// The driver's ends of the queues between the driver and the stream threads. When these ends are dropped,
/// the stream threads end.
pub(crate) struct DriverQueues {
    pub(crate) accepted_streams: Sender<TcpStream>,
    pub(crate) received_states: Receiver<ReceivedState>,
    pub(crate) exchange_requests: Sender<ExchangeRequest>,
}

/// The driver of a member, which owns the protocol and the sockets. It runs until the transport ends the
/// member.
pub(crate) struct Driver {
    membership: Membership,
    sockets: PolledSockets,
    queues: DriverQueues,
    shared: Arc<Shared>,
    /// The instant from which the instants of the membership protocol are counted.
    started: Instant,
    /// The buffer for the effects of one input. It is empty between inputs, and kept so that its memory is
    /// reused.
    effects: Vec<Effect>,
    /// Whether this member's identity or its list of other members has changed since the last published
    /// snapshot.
    members_changed: bool,
}

/// Whether the driver has read everything that waited at a socket, or more may be waiting.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadProgress {
    Drained,
    MoreWaiting,
}

impl Driver {
    pub(crate) fn new(
        membership: Membership,
        sockets: PolledSockets,
        queues: DriverQueues,
        shared: Arc<Shared>,
    ) -> Driver {
        Driver {
            membership,
            sockets,
            queues,
            shared,
            started: Instant::now(),
            effects: Vec::new(),
            members_changed: false,
        }
    }

    fn now(&self) -> Micros {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Runs the loop of the driver until the transport ends the member.
    pub(crate) fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut more_waiting = false;
        loop {
            let timeout = if more_waiting { Duration::ZERO } else { self.poll_timeout() };
            self.wait_for_events(&mut events, timeout);
            // All sources of input are read, whichever of them woke the thread. This costs little, and no
            // input is missed.
            let packets = self.read_packets();
            self.apply_received_states();
            let streams = self.accept_streams();
            more_waiting = [packets, streams].contains(&ReadProgress::MoreWaiting);
            self.run_due_timers();
            self.publish_snapshot();
            match self.shared.run_state() {
                RunState::Running => {}
                RunState::Leaving => return self.leave(),
                RunState::Stopping => return,
            }
        }
    }

    fn poll_timeout(&self) -> Duration {
        match self.membership.next_due() {
            None => MAX_POLL_TIMEOUT,
            Some(due) => Duration::from_micros(due.saturating_sub(self.now())).min(MAX_POLL_TIMEOUT),
        }
    }

    fn wait_for_events(&mut self, events: &mut Events, timeout: Duration) {
        if let Err(error) = self.sockets.poll.poll(events, Some(timeout))
            && error.kind() != io::ErrorKind::Interrupted
        {
            warn!(%error, "membership poll failed");
            // The sleep prevents a busy loop if `poll` fails again and again. No lasting error of `poll` is
            // known.
            std::thread::sleep(MAX_POLL_TIMEOUT);
        }
    }

    /// Reads the packets that wait at the socket, at most [`MAX_PACKETS_PER_TURN`], and passes them to the
    /// protocol.
    fn read_packets(&mut self) -> ReadProgress {
        // The buffer is one byte longer than the largest valid packet. Otherwise a packet that is too large
        // would be cut to a valid size.
        let mut buffer = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..MAX_PACKETS_PER_TURN {
            match self.sockets.udp.recv_from(&mut buffer) {
                Ok((size, _)) => {
                    self.shared.counters.packets.record_received(size);
                    self.handle(Input::Packet(&buffer[..size]));
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Either the socket has no more packets, or the read failed with a network error. Packets
                // that are still waiting after an error are read in the next turn of the loop, at most
                // `MAX_POLL_TIMEOUT` later.
                Err(_) => return ReadProgress::Drained,
            }
        }
        ReadProgress::MoreWaiting
    }

    fn apply_received_states(&mut self) {
        while let Ok(ReceivedState { state, reply }) = self.queues.received_states.try_recv() {
            self.handle(Input::State(&state));
            if let Some(reply) = reply {
                // The queue for the reply has room for one state, and only one is sent. Sending fails only if
                // the stream thread no longer waits for the reply.
                let _ = reply.try_send(self.membership.state());
            }
        }
    }

    /// Accepts the waiting streams, at most [`MAX_ACCEPTS_PER_TURN`], and queues them for the stream threads.
    fn accept_streams(&mut self) -> ReadProgress {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.sockets.tcp.accept() {
                Ok((stream, _)) => {
                    // If the queue is full, the stream is dropped, which closes it.
                    if self.queues.accepted_streams.try_send(stream.into()).is_err() {
                        self.shared.counters.streams_rejected.increment();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadProgress::Drained,
                Err(_) => {
                    // Accepting failed, for example because the stream was reset or no file descriptor is
                    // available.
                    self.shared.counters.streams_failed.increment();
                    return ReadProgress::Drained;
                }
            }
        }
        ReadProgress::MoreWaiting
    }

    fn run_due_timers(&mut self) {
        let now = self.now();
        if self.membership.next_due().is_some_and(|due| due <= now) {
            self.handle(Input::TimerDue);
        }
    }

    fn leave(mut self) {
        let now = self.now();
        self.membership.leave(now, &mut self.effects);
        self.carry_out_effects();
        info!("left the cluster");
    }

    fn handle(&mut self, input: Input<'_>) {
        let now = self.now();
        if let Err(error) = self.membership.handle(now, input, &mut self.effects) {
            self.shared.counters.record_rejection(error);
        }
        self.carry_out_effects();
    }

    fn carry_out_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
    }

    fn carry_out(&mut self, effect: Effect) {
        self.members_changed |= !matches!(effect, Effect::SendPacket { .. } | Effect::ExchangeState(_));
        match effect {
            Effect::SendPacket { to, packet } => self.send_packet(to, &packet),
            Effect::ExchangeState(peer) => self.request_exchange(peer),
            Effect::MemberUp(member) => log_member("member up", &member),
            Effect::MemberDown(member) => log_member("member down", &member),
            Effect::MemberReplaced { after, .. } => log_member("member replaced", &after),
            Effect::LocalGenerationRaised(local) => {
                log_member("known by a later generation to others, generation raised", &local);
            }
            Effect::LocalMemberRejoined(local) => log_member("declared dead by others, rejoined", &local),
        }
    }

    fn send_packet(&self, to: SocketAddr, packet: &[u8]) {
        match self.sockets.udp.send_to(packet, to) {
            Ok(_) => self.shared.counters.packets.record_sent(packet.len()),
            // For the protocol, a packet that cannot be sent is the same as one that is lost in the network.
            Err(_) => self.shared.counters.packets_unsent.increment(),
        }
    }

    fn request_exchange(&self, peer: SocketAddr) {
        let request = ExchangeRequest { peer, state: self.membership.state() };
        if self.queues.exchange_requests.try_send(request).is_err() {
            self.shared.counters.exchanges_skipped.increment();
        }
    }

    /// Publishes a new snapshot of this member's view, if the view has changed since the last snapshot.
    fn publish_snapshot(&mut self) {
        let last = self.shared.snapshot();
        let local_health_multiplier = self.membership.local_health_multiplier();
        let detected_pauses = self.membership.detected_pauses();
        let members = if std::mem::take(&mut self.members_changed) {
            self.sorted_members()
        } else if (last.local_health_multiplier, last.detected_pauses)
            != (local_health_multiplier, detected_pauses)
        {
            Arc::clone(&last.members)
        } else {
            return;
        };
        let local_member = self.membership.local_member().clone();
        self.shared.publish(Snapshot { local_member, members, local_health_multiplier, detected_pauses });
    }

    fn sorted_members(&self) -> Arc<[Member]> {
        let mut members: Vec<Member> = self.membership.members().cloned().collect();
        members.sort_unstable_by(|a, b| (&a.name, a.address).cmp(&(&b.name, b.address)));
        members.into()
    }
}

fn log_member(message: &str, member: &Member) {
    let Member { name, zone, region, address, generation, rejoins } = member;
    info!(name, zone, region, %address, generation, rejoins, "{message}");
}
