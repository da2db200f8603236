//! Compares the bytes of packets and states with snapshots, so that a change of the wire format does not go
//! unnoticed. Three members send each other every kind of packet that the protocol uses.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use copperspread_membership::{
    Effect, Input, Key, Member, Membership, MembershipState, Micros, SECOND, Settings,
};
use foca::{Header, Message};
use sha2::{Digest, Sha256};

/// Transit time of every packet.
const PACKET_DELAY: Micros = SECOND / 1_000;
/// Length of the version, which a sealed packet has before its body.
const VERSION_BYTES: usize = 1;
/// Length of the tag, which a sealed packet has after its body.
const TAG_BYTES: usize = 32;

fn key() -> Key {
    Key::new(b"a key for the transcripts").expect("the key should be long enough")
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7_946).into()
}

fn new_member(number: usize) -> Membership {
    let name = format!("scheduler-{number}");
    let (zone, region) = (format!("zone-{number}"), "north".into());
    let local = Member { name, zone, region, address: address(number), generation: 1, rejoins: 0 };
    let settings = Settings { seeds: vec![address(0)], ..Settings::default() };
    Membership::new(local, settings, key(), number as u64).expect("the settings should be valid")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The kind of a packet, with a note if the packet carries updates about members.
fn packet_kind(packet: &[u8]) -> String {
    let body = &packet[VERSION_BYTES..packet.len() - TAG_BYTES];
    let (header, updates) =
        postcard::take_from_bytes::<Header<Member>>(body).expect("the packet should start with a header");
    let kind = match header.message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping request",
        Message::IndirectPing { .. } => "indirect ping",
        Message::IndirectAck { .. } => "indirect ack",
        Message::ForwardedAck { .. } => "forwarded ack",
        Message::Gossip => "gossip",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn undead",
    };
    if updates.is_empty() { kind.to_owned() } else { format!("{kind} with updates") }
}

/// Three members in virtual time. The links between pairs of them can be blocked.
struct SimulatedCluster {
    now: Micros,
    members: Vec<Membership>,
    /// The receiver and the bytes of each packet in transit, by time of arrival and number of the packet.
    in_transit: BTreeMap<(Micros, u64), (usize, Vec<u8>)>,
    packets_sent: u64,
    /// Digest of all packets sent.
    digest: Sha256,
    /// Pairs of sender and receiver between which packets are lost.
    blocked: BTreeSet<(usize, usize)>,
    /// The transcript line of the first packet of each kind.
    first_of_kind: BTreeMap<String, String>,
}

impl SimulatedCluster {
    fn new() -> SimulatedCluster {
        SimulatedCluster {
            now: 0,
            members: (0..3).map(new_member).collect(),
            in_transit: BTreeMap::new(),
            packets_sent: 0,
            digest: Sha256::new(),
            blocked: BTreeSet::new(),
            first_of_kind: BTreeMap::new(),
        }
    }

    fn block(&mut self, pairs: &[(usize, usize)]) {
        self.blocked = pairs.iter().flat_map(|&(a, b)| [(a, b), (b, a)]).collect();
    }

    fn member_at(&self, wanted: SocketAddr) -> usize {
        (0..self.members.len())
            .find(|&number| address(number) == wanted)
            .expect("a member should have this address")
    }

    fn carry_out(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendPacket { to, packet } => self.send(from, to, packet),
                Effect::ExchangeState(with) => self.exchange_states(from, with),
                Effect::MemberUp(_)
                | Effect::MemberDown(_)
                | Effect::MemberReplaced { .. }
                | Effect::LocalGenerationRaised(_)
                | Effect::LocalMemberRejoined(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Vec<u8>) {
        let to = self.member_at(to);
        self.packets_sent += 1;
        self.digest.update(&packet);
        let line = format!("{} us, {from} to {to}: {}", self.now, hex(&packet));
        self.first_of_kind.entry(packet_kind(&packet)).or_insert(line);
        if !self.blocked.contains(&(from, to)) {
            self.in_transit.insert((self.now + PACKET_DELAY, self.packets_sent), (to, packet));
        }
    }

    fn exchange_states(&mut self, from: usize, with: SocketAddr) {
        let with = self.member_at(with);
        let frames = [from, with].map(|number| self.members[number].state().seal(&key()));
        let [request, reply] =
            frames.map(|frame| MembershipState::open(&key(), &frame).expect("the state should be readable"));
        self.handle_input(with, Input::State(&request));
        self.handle_input(from, Input::State(&reply));
    }

    fn handle_input(&mut self, to: usize, input: Input<'_>) {
        let mut effects = Vec::new();
        self.members[to].handle(self.now, input, &mut effects).expect("the input should be accepted");
        self.carry_out(to, effects);
    }

    fn run_until(&mut self, end: Micros) {
        loop {
            let arrival = self.in_transit.first_key_value().map(|(&(at, _), _)| at);
            let timers = self.members.iter().enumerate();
            let due = timers.filter_map(|(number, member)| Some((member.next_due()?, number))).min();
            match (arrival, due) {
                (Some(at), due) if at <= end && due.is_none_or(|(due, _)| at <= due) => {
                    self.now = at;
                    let (_, (to, packet)) =
                        self.in_transit.pop_first().expect("a packet should be in transit");
                    self.handle_input(to, Input::Packet(&packet));
                }
                (_, Some((at, number))) if at <= end => {
                    self.now = at;
                    self.handle_input(number, Input::TimerDue);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Makes a member leave. The packets that it sends then are listed separately, with a prefix.
    fn leave(&mut self, number: usize) {
        let mut effects = Vec::new();
        self.members[number].leave(self.now, &mut effects);
        let before = std::mem::take(&mut self.first_of_kind);
        self.carry_out(number, effects);
        let leave_packets = std::mem::replace(&mut self.first_of_kind, before);
        self.first_of_kind
            .extend(leave_packets.into_iter().map(|(kind, line)| (format!("leave: {kind}"), line)));
    }

    fn transcript(&self) -> String {
        let lines: String =
            self.first_of_kind.iter().map(|(kind, line)| format!("{kind}\n  {line}\n")).collect();
        let digest = hex(&self.digest.clone().finalize());
        format!("{lines}all {} packets, SHA-256\n  {digest}\n", self.packets_sent)
    }
}

#[test]
fn packets_and_states_match_snapshots() {
    let mut cluster = SimulatedCluster::new();
    cluster.run_until(5 * SECOND);
    cluster.block(&[(0, 1)]);
    cluster.run_until(9 * SECOND);
    cluster.block(&[(0, 1), (1, 2)]);
    cluster.run_until(25 * SECOND);
    let state = cluster.members[0].state();
    let frame = state.seal(&key());
    assert_eq!(
        MembershipState::open(&key(), &frame),
        Ok(state),
        "opening a sealed state should return the same state"
    );
    insta::assert_snapshot!("state", hex(&frame));
    cluster.block(&[]);
    cluster.run_until(45 * SECOND);
    cluster.leave(2);
    cluster.run_until(46 * SECOND);
    insta::assert_snapshot!("packets", cluster.transcript());
}
