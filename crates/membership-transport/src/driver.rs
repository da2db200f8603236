//! The thread that holds the protocol: reads the sockets and the clock, and carries out the protocol's effects.
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

/// Streams that were accepted and not yet served. While it is full, further ones are closed
/// ([`DropCounts::streams_rejected`](crate::DropCounts::streams_rejected)).
pub(crate) const MAX_ACCEPTED_STREAMS: usize = 4;
/// Streams accepted before the other inputs are looked at again.
const MAX_ACCEPTS_PER_TURN: usize = 4 * MAX_ACCEPTED_STREAMS;
/// Packets read before timers run: more than the socket's buffer holds, so that after a pause all that waited is read
/// first, while a flood does not keep the timers from running.
const MAX_PACKETS_PER_TURN: usize = 4_096;
/// Longest wait for an event, also where the protocol has no timer.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Events that one poll reports: above the number of sources.
const EVENT_CAPACITY: usize = 8;

/// The queues' ends that the driver uses. Their drop ends the streams' threads.
pub(crate) struct DriverQueues {
    pub(crate) accepted_streams: Sender<TcpStream>,
    pub(crate) received_states: Receiver<ReceivedState>,
    pub(crate) exchange_requests: Sender<ExchangeRequest>,
}

/// The driver of one member. It owns the protocol and the sockets; its thread runs until the transport ends the run.
pub(crate) struct Driver {
    membership: Membership,
    sockets: PolledSockets,
    queues: DriverQueues,
    shared: Arc<Shared>,
    /// The protocol's instants count from here.
    started: Instant,
    /// Empty between two inputs; kept for its capacity.
    effects: Vec<Effect>,
    /// Whether members have changed since the last snapshot.
    members_changed: bool,
}

/// Whether a source of input was read to its end, or has more.
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

    /// Runs until the transport ends the run.
    pub(crate) fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut more_waiting = false;
        loop {
            let timeout = if more_waiting { Duration::ZERO } else { self.poll_timeout() };
            self.wait_for_events(&mut events, timeout);
            // All sources are read whichever woke the thread: that costs little, and nothing is missed.
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
            // Not known to happen; keeps the loop from being busy if it does.
            std::thread::sleep(MAX_POLL_TIMEOUT);
        }
    }

    /// Hands in the packets that wait, up to a bound.
    fn read_packets(&mut self) -> ReadProgress {
        // One byte more shows that a packet is too large.
        let mut buffer = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..MAX_PACKETS_PER_TURN {
            match self.sockets.udp.recv_from(&mut buffer) {
                Ok((size, _)) => {
                    self.shared.counters.packets.record_received(size);
                    self.handle(Input::Packet(&buffer[..size]));
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Nothing more, or an error of the network that the next read leaves behind.
                Err(_) => return ReadProgress::Drained,
            }
        }
        ReadProgress::MoreWaiting
    }

    fn apply_received_states(&mut self) {
        while let Ok(ReceivedState { state, reply }) = self.queues.received_states.try_recv() {
            self.handle(Input::State(&state));
            if let Some(reply) = reply {
                // The queue holds one reply, and one is sent. Its reader may have given up.
                let _ = reply.try_send(self.membership.state());
            }
        }
    }

    /// Accepts the streams that wait, up to a bound.
    fn accept_streams(&mut self) -> ReadProgress {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.sockets.tcp.accept() {
                Ok((stream, _)) => {
                    // One that does not fit is closed by its drop.
                    if self.queues.accepted_streams.try_send(stream.into()).is_err() {
                        self.shared.counters.streams_rejected.increment();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadProgress::Drained,
                Err(_) => {
                    // Such as a stream that was reset, or a lack of descriptors.
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
            Effect::GenerationRaised(local) => {
                log_member("known by a later generation to others, generation raised", &local);
            }
            Effect::SelfRefuted(local) => log_member("declared dead by others, rejoined", &local),
        }
    }

    fn send_packet(&self, to: SocketAddr, packet: &[u8]) {
        match self.sockets.udp.send_to(packet, to) {
            Ok(_) => self.shared.counters.packets.record_sent(packet.len()),
            // To the protocol it is the same as a packet that is lost on its way.
            Err(_) => self.shared.counters.packets_unsent.increment(),
        }
    }

    fn request_exchange(&self, peer: SocketAddr) {
        let request = ExchangeRequest { peer, state: self.membership.state() };
        if self.queues.exchange_requests.try_send(request).is_err() {
            self.shared.counters.exchanges_skipped.increment();
        }
    }

    /// Publishes a new snapshot where something has changed.
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
