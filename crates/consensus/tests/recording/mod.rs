//! A small deterministic simulation that records all messages and writes.
mod kinds;

use std::collections::BTreeMap;

use copperspread_consensus::{
    Effect, Input, MILLISECOND, MemberIdentity, Micros, Node, SECOND, Settings, StartState, StorageWrite,
    StoredState, Version, WriteToken,
};

use crate::simulation::{TestRules, member_name};
pub(crate) use kinds::{COMMANDS, PACKETS, RAFT_MESSAGES};
use kinds::{packet_kind, write_kind};

pub(crate) const VOTERS: usize = 3;
/// The number of members: the voters and one non-voter.
pub(crate) const MEMBERS: usize = 4;
/// The delay of every message and every write.
const DELAY: Micros = 5 * MILLISECOND;
/// A clock drift beyond the clock bound.
const EXCESSIVE_DRIFT_PPM: u64 = 200_000;
const MILLION: u64 = 1_000_000;

enum Event {
    Message { from: usize, bytes: Vec<u8> },
    Persisted { token: WriteToken, write: StorageWrite },
    Tick,
}

struct ScheduledEvent {
    member: usize,
    /// The number of the member's process that the event belongs to.
    process_number: u64,
    event: Event,
}

struct FastClock {
    member: usize,
    since: Micros,
}

/// Members on a network without faults, and a record of the bytes that they send and store.
pub(crate) struct Recording {
    /// The stored state of each member; a non-voter's stays empty.
    pub(crate) stored: Vec<StoredState>,
    /// The first message of each kind, in hexadecimal.
    pub(crate) packets: BTreeMap<String, String>,
    /// The first write of each kind, in hexadecimal.
    pub(crate) writes: BTreeMap<String, String>,
    /// The digest of all messages and writes, in order.
    pub(crate) digest: blake3::Hasher,
    now: Micros,
    settings: Settings,
    nodes: Vec<Option<Node<TestRules>>>,
    /// A number for each member that changes with each start and stop of its process, by which events of an
    /// earlier process are recognized and dropped.
    process_numbers: Vec<u64>,
    fast_clock: Option<FastClock>,
    /// The scheduled events by their time, then by their number.
    events: BTreeMap<(Micros, u64), ScheduledEvent>,
    last_event: u64,
}

/// Formats bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Recording {
    pub(crate) fn new() -> Recording {
        let voters = (0..VOTERS).map(member_name).collect();
        Recording {
            stored: vec![StoredState::default(); MEMBERS],
            packets: BTreeMap::new(),
            writes: BTreeMap::new(),
            digest: blake3::Hasher::new(),
            now: SECOND,
            settings: Settings { voters, max_log_entries: 8, ..Settings::default() },
            nodes: (0..MEMBERS).map(|_| None).collect(),
            process_numbers: vec![0; MEMBERS],
            fast_clock: None,
            events: BTreeMap::new(),
            last_event: 0,
        }
    }

    pub(crate) fn start(&mut self, member: usize, start: StartState) {
        self.process_numbers[member] += 1;
        let identity = MemberIdentity { name: member_name(member), generation: self.process_numbers[member] };
        let seed = 10 * self.process_numbers[member] + member as u64;
        let node = Node::new(identity, self.settings.clone(), start, TestRules::new(4, &[]), seed);
        self.nodes[member] = Some(node.expect("the settings and the stored state are valid"));
        let others: Vec<String> = (0..MEMBERS).filter(|&other| other != member).map(member_name).collect();
        self.handle(member, Input::Members(&others));
        self.schedule(MILLISECOND * member as u64, member, Event::Tick);
    }

    pub(crate) fn stop(&mut self, member: usize) {
        self.process_numbers[member] += 1;
        self.nodes[member] = None;
    }

    /// Makes a member's clock run faster than the clock bound allows, from now on.
    pub(crate) fn speed_up_clock(&mut self, member: usize) {
        self.fast_clock = Some(FastClock { member, since: self.now });
    }

    fn schedule(&mut self, delay: Micros, member: usize, event: Event) {
        self.last_event += 1;
        let scheduled = ScheduledEvent { member, process_number: self.process_numbers[member], event };
        self.events.insert((self.now + delay, self.last_event), scheduled);
    }

    fn clock(&self, member: usize) -> Micros {
        match &self.fast_clock {
            Some(clock) if clock.member == member => {
                self.now + (self.now - clock.since) * EXCESSIVE_DRIFT_PPM / MILLION
            }
            _ => self.now,
        }
    }

    fn handle(&mut self, member: usize, input: Input<'_, TestRules>) {
        let now = self.clock(member);
        let Some(node) = &mut self.nodes[member] else { return };
        let mut effects = Vec::new();
        node.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send(member, &to, bytes),
                Effect::Persist { token, write } => self.persist(member, token, write),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, bytes: Vec<u8>) {
        self.digest.update(&bytes);
        self.packets.entry(packet_kind(&bytes)).or_insert_with(|| hex(&bytes));
        let to = (0..MEMBERS).find(|&member| member_name(member) == to).expect("the recipient is a member");
        self.schedule(DELAY, to, Event::Message { from, bytes });
    }

    fn persist(&mut self, member: usize, token: WriteToken, write: StorageWrite) {
        let bytes = postcard::to_allocvec(&write).expect("the write can be serialized");
        self.digest.update(&bytes);
        self.writes.entry(write_kind(&write)).or_insert(hex(&bytes));
        self.schedule(DELAY, member, Event::Persisted { token, write });
    }

    pub(crate) fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, _), _)) = self.events.first_key_value()
            && at <= end
        {
            self.now = at;
            let (_, ScheduledEvent { member, process_number, event }) =
                self.events.pop_first().expect("an event is scheduled");
            if process_number == self.process_numbers[member] {
                self.on_event(member, event);
            }
        }
        self.now = end;
    }

    fn on_event(&mut self, member: usize, event: Event) {
        match event {
            Event::Message { from, bytes } => {
                self.handle(member, Input::Message { from: &member_name(from), bytes: &bytes });
            }
            Event::Persisted { token, write } => {
                self.stored[member].apply(write);
                self.handle(member, Input::Persisted(token));
            }
            Event::Tick => {
                self.handle(member, Input::Tick);
                self.schedule(self.settings.tick_interval, member, Event::Tick);
            }
        }
    }

    pub(crate) fn propose(&mut self, member: usize, base_version: Version, rules: TestRules) {
        self.handle(member, Input::Propose { base_version, rules });
    }

    /// Proposes rules at a member, runs for a second, and asserts that they are committed.
    pub(crate) fn change_rules(&mut self, member: usize, limit: u32) {
        let base_version = self.newest(member);
        self.propose(member, base_version, TestRules::new(limit, &[3]));
        self.run_for(SECOND);
        assert!(self.newest(member) > base_version, "the proposal must be committed");
    }

    pub(crate) fn newest(&self, member: usize) -> Version {
        self.nodes[member].as_ref().expect("the member is running").leased_rules().newest()
    }

    pub(crate) fn leader(&self) -> usize {
        let is_leader = |&member: &usize| self.nodes[member].as_ref().is_some_and(Node::is_leader);
        (0..VOTERS).find(is_leader).expect("a leader was elected")
    }
}
