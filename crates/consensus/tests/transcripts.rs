//! Approved transcripts: the bytes of every kind of packet, and of what voters store, from a small run in virtual time.
mod net;

use std::collections::BTreeMap;

use copperspread_consensus::*;
use net::{Doc, name};

const VOTERS: usize = 3;
/// The voters, and one that only holds copies.
const MEMBERS: usize = 4;
/// How long every packet, and every store, takes.
const DELAY: Micros = 5 * MILLISECOND;
/// By this many parts in a million a clock is off that must not be trusted.
const CLOCK_OFF: u64 = 200_000;

/// The kinds of packets and of consensus messages in the order of their numbers on the wire.
const PACKETS: [&str; 10] =
    ["raft", "renew", "grant", "news", "leader", "propose", "answered", "ask", "empty", "caught"];
const RAFT_MESSAGES: [&str; 10] = [
    "append",
    "append response",
    "request vote",
    "request vote response",
    "snapshot",
    "heartbeat",
    "heartbeat response",
    "timeout now",
    "request pre-vote",
    "request pre-vote response",
];

/// The kinds of commands in the log's entries.
const COMMANDS: [&str; 4] = ["found", "propose", "in force", "returned"];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The kind of a packet: after the form's version comes the kind's number, then its fields.
fn packet_kind(packet: &[u8]) -> String {
    let (kind, fields) = (PACKETS[usize::from(packet[1])], &packet[2..]);
    match kind {
        "raft" => format!("raft {}", RAFT_MESSAGES[usize::from(fields[0])]),
        "renew" => {
            type Renew = (u64, Micros, Version, Version, Option<ClockDrift>);
            let renew: Renew = postcard::from_bytes(fields).expect("its fields");
            if renew.4.is_some() { "renew with drift".to_owned() } else { kind.to_owned() }
        }
        "answered" => {
            let (_, outcome): (ProposalId, ProposalOutcome) =
                postcard::from_bytes(fields).expect("its fields");
            let outcome = if matches!(outcome, ProposalOutcome::Accepted(_)) { "ordered" } else { "refused" };
            format!("{kind}: {outcome}")
        }
        _ => kind.to_owned(),
    }
}

/// What an entry of the log holds: a command, or nothing where a leader begins.
fn entry_kind(entry: &LogEntry) -> String {
    let command = entry.data.first().map_or("empty", |&number| COMMANDS[usize::from(number)]);
    format!("entry: {command}")
}

fn change_kind(change: &StorageWrite) -> String {
    let snapshot =
        change.snapshot.as_ref().map(|of| if of.replaces_log { "whole snapshot" } else { "snapshot" });
    let entries = change.entries.iter().map(entry_kind);
    let vote = change.vote.map(|_| "vote");
    let parts = snapshot.into_iter().chain(vote).map(str::to_owned).chain(entries);
    parts.collect::<Vec<_>>().join(", ")
}

enum Event {
    Message { from: usize, bytes: Vec<u8> },
    Persisted { token: u64, change: StorageWrite },
    Tick,
}

/// A few members without chance in their network.
struct Run {
    now: Micros,
    settings: Settings,
    nodes: Vec<Option<Node<Doc>>>,
    saved: Vec<StoredState>,
    /// Counts each member's starts: what was under way for an earlier one is dropped.
    starts: Vec<u64>,
    /// Whose clock is fast, and since when.
    fast: Option<(usize, Micros)>,
    events: BTreeMap<(Micros, u64), (usize, u64, Event)>,
    count: u64,
    /// The first of each kind.
    packets: BTreeMap<String, String>,
    changes: BTreeMap<String, String>,
    /// Of all packets and changes, in order.
    digest: blake3::Hasher,
}

impl Run {
    fn new() -> Run {
        let voters = (0..VOTERS).map(name).collect();
        Run {
            now: SECOND,
            settings: Settings { voters, max_log_entries: 8, ..Settings::default() },
            nodes: (0..MEMBERS).map(|_| None).collect(),
            saved: vec![StoredState::default(); MEMBERS],
            starts: vec![0; MEMBERS],
            fast: None,
            events: BTreeMap::new(),
            count: 0,
            packets: BTreeMap::new(),
            changes: BTreeMap::new(),
            digest: blake3::Hasher::new(),
        }
    }

    fn start(&mut self, number: usize, start: StartState) {
        self.starts[number] += 1;
        let own = MemberIdentity { name: name(number), generation: self.starts[number] };
        let seed = 10 * self.starts[number] + number as u64;
        let node = Node::new(own, self.settings.clone(), start, Doc::new(4, &[]), seed);
        self.nodes[number] = Some(node.expect("settings and store"));
        let others: Vec<String> = (0..MEMBERS).filter(|&other| other != number).map(name).collect();
        self.give(number, Input::Members(&others));
        self.after(MILLISECOND * number as u64, number, Event::Tick);
    }

    fn stop(&mut self, number: usize) {
        self.starts[number] += 1;
        self.nodes[number] = None;
    }

    fn after(&mut self, span: Micros, whom: usize, event: Event) {
        self.count += 1;
        self.events.insert((self.now + span, self.count), (whom, self.starts[whom], event));
    }

    fn clock(&self, number: usize) -> Micros {
        match self.fast {
            Some((whom, since)) if whom == number => self.now + (self.now - since) * CLOCK_OFF / 1_000_000,
            _ => self.now,
        }
    }

    fn give(&mut self, number: usize, input: Input<'_, Doc>) {
        let now = self.clock(number);
        let Some(node) = &mut self.nodes[number] else { return };
        let mut effects = Vec::new();
        node.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send(number, &to, bytes),
                Effect::Persist { token, write: change } => {
                    let bytes = postcard::to_allocvec(&change).expect("bytes");
                    self.digest.update(&bytes);
                    self.changes.entry(change_kind(&change)).or_insert(hex(&bytes));
                    self.after(DELAY, number, Event::Persisted { token, change });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, bytes: Vec<u8>) {
        self.digest.update(&bytes);
        self.packets.entry(packet_kind(&bytes)).or_insert_with(|| hex(&bytes));
        let to = (0..MEMBERS).find(|&number| name(number) == to).expect("a member");
        self.after(DELAY, to, Event::Message { from, bytes });
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, _), _)) = self.events.first_key_value()
            && at <= end
        {
            self.now = at;
            let (_, (whom, start, event)) = self.events.pop_first().expect("an event");
            if start != self.starts[whom] {
                continue;
            }
            match event {
                Event::Message { from, bytes } => {
                    self.give(whom, Input::Message { from: &name(from), bytes: &bytes })
                }
                Event::Persisted { token, change } => {
                    self.saved[whom].apply(change);
                    self.give(whom, Input::Persisted(token));
                }
                Event::Tick => {
                    self.give(whom, Input::Tick);
                    self.after(self.settings.tick_interval, whom, Event::Tick);
                }
            }
        }
        self.now = end;
    }

    fn newest(&self, number: usize) -> Version {
        self.nodes[number].as_ref().expect("it runs").leased_rules().newest()
    }

    /// A member proposes rules, which then take effect.
    fn change(&mut self, number: usize, limit: u32) {
        let made_from = self.newest(number);
        self.give(number, Input::Propose { base_version: made_from, rules: Doc::new(limit, &[3]) });
        self.run(SECOND);
        assert!(self.newest(number) > made_from, "the proposal was ordered");
    }

    fn leader(&self) -> usize {
        let leads = |&number: &usize| self.nodes[number].as_ref().is_some_and(Node::is_leader);
        (0..VOTERS).find(leads).expect("a leader")
    }
}

/// The founding, changes, a voter that was away too long for the log, one that lost its memory, and a leader whose
/// clock goes wrong.
fn played() -> Run {
    let mut run = Run::new();
    (0..MEMBERS).for_each(|number| run.start(number, StartState::Empty));
    run.run(10 * SECOND);
    run.change(3, 2);
    // Two at once, of whom one is refused.
    let made_from = run.newest(0);
    for number in [0, 3] {
        run.give(number, Input::Propose { base_version: made_from, rules: Doc::new(3, &[]) });
    }
    run.run(SECOND);
    let away = (run.leader() + 1) % VOTERS;
    run.stop(away);
    (1..=6).for_each(|limit| run.change(3, limit));
    run.start(away, StartState::Stored(run.saved[away].clone()));
    run.run(5 * SECOND);
    run.stop(away);
    run.saved[away] = StoredState::default();
    run.start(away, StartState::Empty);
    run.run(5 * SECOND);
    let leader = run.leader();
    run.fast = Some((leader, run.now));
    run.run(10 * SECOND);
    assert_ne!(run.leader(), leader, "it handed over");
    run
}

fn listed(lines: &BTreeMap<String, String>) -> String {
    lines.iter().map(|(kind, line)| format!("{kind}\n  {line}\n")).collect()
}

#[test]
fn packets_and_stored_forms_are_as_approved_and_what_is_stored_restores() {
    let run = played();
    insta::assert_snapshot!("packets", listed(&run.packets));
    insta::assert_snapshot!("changes", listed(&run.changes));
    insta::assert_snapshot!("digest", run.digest.finalize().to_string());
    // All but "raft", with two kinds of questions and two of answers.
    let kinds = PACKETS.len() + 1 + RAFT_MESSAGES.len();
    assert_eq!(run.packets.len(), kinds, "every kind was sent: {:?}", run.packets.keys());
    for command in COMMANDS {
        let entry = format!("entry: {command}");
        assert!(run.changes.keys().any(|kind| kind.contains(&entry)), "{command} was stored");
    }

    let stored: Vec<Vec<u8>> =
        run.saved[..VOTERS].iter().map(|saved| postcard::to_allocvec(saved).expect("bytes")).collect();
    let lines: String = stored.iter().map(|bytes| hex(bytes) + "\n").collect();
    insta::assert_snapshot!("saved", lines);
    let snapshot = run.saved[0].snapshot.as_ref().expect("the log was folded");
    let state: ReplicatedState = postcard::from_bytes(&snapshot.state).expect("a state");
    assert_eq!(postcard::to_allocvec(&state).ok().as_ref(), Some(&snapshot.state));

    let mut restored = Run::new();
    for (number, bytes) in stored.iter().enumerate() {
        let saved: StoredState = postcard::from_bytes(bytes).expect("what was stored");
        assert_eq!(saved, run.saved[number]);
        restored.saved[number] = saved.clone();
        restored.start(number, StartState::Stored(saved));
    }
    restored.start(3, StartState::Empty);
    restored.run(10 * SECOND);
    (0..MEMBERS).for_each(|number| assert_eq!(restored.newest(number), run.newest(3)));
}
