//! Members on a network in virtual time that loses, delays, doubles and cuts, with clocks of their own, disks
//! that take time, and processes that pause, die and come back. The same seed gives the same play.
#![allow(dead_code, reason = "each test binary uses some of it")]
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet};

use copperspread_consensus::*;
use serde::{Deserialize, Serialize};

/// A stand-in for the rules: a limit, and classes that are closed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doc {
    /// At least 1 in every version.
    pub limit: u32,
    /// Of 0 to 7.
    pub closed: BTreeSet<u8>,
}

impl Rules for Doc {
    fn intersection(&self, other: &Doc) -> Doc {
        let closed = self.closed.union(&other.closed).copied().collect();
        Doc { limit: self.limit.min(other.limit), closed }
    }

    fn without_lease(&self) -> Doc {
        Doc { limit: self.limit.min(1), closed: (0..8).collect() }
    }
}

/// What a decision asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Asked {
    Slots(u32),
    Class(u8),
}

impl Doc {
    pub fn new(limit: u32, closed: &[u8]) -> Doc {
        Doc { limit, closed: closed.iter().copied().collect() }
    }

    /// A document that forbids something of what any of the others allows.
    pub fn numbered(number: u64) -> Doc {
        Doc::new(1 + (number * 5 % 8) as u32, &[(number % 8) as u8])
    }

    fn allows(&self, asked: Asked) -> bool {
        match asked {
            Asked::Slots(slots) => slots <= self.limit,
            Asked::Class(class) => !self.closed.contains(&class),
        }
    }
}

struct Process {
    node: Node<Doc>,
    paused: bool,
    waiting: Vec<(usize, Vec<u8>)>,
}

enum Ev {
    Arrives(usize, Vec<u8>),
    Persisted(u64, StorageWrite),
    Tick,
    Wakes,
}

/// The network and all processes on it.
pub struct Net {
    pub now: Micros,
    pub settings: Settings,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, (usize, u64, Ev)>,
    count: u64,
    processes: Vec<Option<Process>>,
    /// How often each was started: what a process before asked for does not reach the next.
    starts: Vec<u64>,
    saved: Vec<StoredState>,
    begun: Vec<bool>,
    /// Parts in a million by which a member's clock is fast.
    pub fast: Vec<i64>,
    /// When its clock was last set to a rate, and what it showed.
    set: Vec<(Micros, Micros)>,
    pub chance: fastrand::Rng,
    /// Of a hundred packets so many are lost, and come twice.
    pub loss: u32,
    pub twice: u32,
    /// Each packet comes once more, cut or with some bytes changed.
    pub garble: bool,
    /// A way takes 0.5 ms and up to so much more.
    pub way: Micros,
    pub cut: HashSet<(usize, usize)>,
    /// Whether decisions are made with the look at the lease taken out.
    pub blind: bool,
    pub said: Vec<(Micros, usize, Effect)>,
    /// First and last instant of each kind of decision.
    pub decisions: BTreeMap<(DecisionBasis, Asked, bool), (Micros, Micros)>,
    /// The newest version that each member acted by.
    acted: Vec<Version>,
    pub bytes: u64,
    pub packets: u64,
    pub proposed: u64,
}

pub fn name(number: usize) -> String {
    format!("m{number}")
}

impl Net {
    /// So many members, of whom the first are voters, none of which runs.
    pub fn new(voters: usize, members: usize, seed: u64) -> Net {
        let settings = Settings { voters: (0..voters).map(name).collect(), ..Settings::default() };
        Net {
            now: SECOND,
            settings,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            processes: (0..members).map(|_| None).collect(),
            starts: vec![0; members],
            saved: vec![StoredState::default(); members],
            begun: vec![false; members],
            fast: vec![0; members],
            set: (0..members as u64).map(|of| (0, 77 * SECOND * of)).collect(),
            chance: fastrand::Rng::with_seed(seed),
            loss: 0,
            twice: 0,
            garble: false,
            way: 10 * MILLISECOND,
            cut: HashSet::new(),
            blind: false,
            said: Vec::new(),
            decisions: BTreeMap::new(),
            acted: vec![Version::default(); members],
            bytes: 0,
            packets: 0,
            proposed: 0,
        }
    }

    /// All started, and agreed on a first version.
    pub fn agreed(voters: usize, members: usize, seed: u64) -> Net {
        Net::agreed_with(voters, members, seed, |_| {})
    }

    pub fn agreed_with(voters: usize, members: usize, seed: u64, set: impl FnOnce(&mut Net)) -> Net {
        let mut net = Net::new(voters, members, seed);
        set(&mut net);
        (0..members).for_each(|number| net.start(number));
        let found = net.until(20 * SECOND, |net| {
            (0..members).all(|of| net.acts_by(of).is_some_and(|version| version.number == 1))
        });
        assert!(found.is_some(), "no first version in 20 s");
        net.said.clear();
        net
    }

    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// A member's clock.
    pub fn clock(&self, number: usize) -> Micros {
        let (from, shown) = self.set[number];
        let moved = i128::from(self.now - from) * i128::from(1_000_000 + self.fast[number]) / 1_000_000;
        shown + moved as Micros
    }

    /// From now on a member's clock is fast by so many parts in a million.
    pub fn set_fast(&mut self, number: usize, parts: i64) {
        self.set[number] = (self.now, self.clock(number));
        self.fast[number] = parts;
    }

    /// A process starts, with what its disk has.
    pub fn start(&mut self, number: usize) {
        let own = MemberIdentity { name: name(number), generation: self.now };
        let from = if self.begun[number] {
            StartState::Stored(self.saved[number].clone())
        } else {
            StartState::Empty
        };
        let seed = self.chance.u64(..);
        let rules = Doc::new(4, &[]);
        let node = Node::new(own, self.settings.clone(), from, rules, seed).expect("settings and store");
        let node = if self.blind { node.without_lease_check() } else { node };
        self.starts[number] += 1;
        self.processes[number] = Some(Process { node, paused: false, waiting: Vec::new() });
        let first = self.now + 1 + self.chance.u64(0..20 * MILLISECOND);
        self.at(first, number, Ev::Tick);
    }

    /// A process ends, and says nothing.
    pub fn kill(&mut self, number: usize) {
        self.processes[number] = None;
        self.starts[number] += 1;
    }

    /// Its disk is empty.
    pub fn wipe(&mut self, number: usize) {
        (self.saved[number], self.begun[number]) = (StoredState::default(), false);
    }

    pub fn runs(&self, number: usize) -> bool {
        self.processes[number].as_ref().is_some_and(|process| !process.paused)
    }

    pub fn pause(&mut self, number: usize, span: Micros) {
        if let Some(process) = self.processes[number].as_mut().filter(|process| !process.paused) {
            process.paused = true;
            self.at(self.now + span, number, Ev::Wakes);
        }
    }

    /// Cuts all between a group and the others, both ways.
    pub fn part(&mut self, group: &[usize]) {
        for a in 0..self.size() {
            for b in (0..self.size()).filter(|b| group.contains(&a) != group.contains(b)) {
                self.cut.insert((a, b));
            }
        }
    }

    fn at(&mut self, at: Micros, whom: usize, event: Ev) {
        self.count += 1;
        self.events.insert(self.count, (whom, self.starts[whom], event));
        self.heap.push(Reverse((at, self.count)));
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(&Reverse((at, number))) = self.heap.peek() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at;
            let Some((whom, start, event)) = self.events.remove(&number) else { continue };
            // Packets reach whoever listens; the rest is of one process.
            if start == self.starts[whom] || matches!(event, Ev::Arrives(..)) {
                self.happens(whom, event);
            }
        }
        self.now = until;
    }

    /// How long it took until something was so, if it was within a span.
    pub fn until(&mut self, span: Micros, so: impl Fn(&Net) -> bool) -> Option<Micros> {
        let from = self.now;
        while self.now - from < span {
            self.run(10 * MILLISECOND);
            if so(self) {
                return Some(self.now - from);
            }
        }
        None
    }

    fn happens(&mut self, whom: usize, event: Ev) {
        let Some(process) = &mut self.processes[whom] else { return };
        match event {
            Ev::Arrives(from, bytes) if process.paused => process.waiting.push((from, bytes)),
            Ev::Arrives(from, bytes) => self.give(whom, Input::Message { from: &name(from), bytes: &bytes }),
            Ev::Persisted(token, change) if process.paused => {
                self.at(self.now + MILLISECOND, whom, Ev::Persisted(token, change));
            }
            Ev::Persisted(token, change) => {
                self.begun[whom] = true;
                self.saved[whom].apply(change);
                self.give(whom, Input::Persisted(token));
            }
            Ev::Tick => {
                if !process.paused {
                    self.decide(whom);
                    self.give(whom, Input::Tick);
                }
                let tick =
                    self.settings.tick_interval - 2 * MILLISECOND + self.chance.u64(0..4 * MILLISECOND);
                self.at(self.now + tick, whom, Ev::Tick);
            }
            Ev::Wakes => {
                process.paused = false;
                // A burst of work that waited, before any packet is read and any timer runs.
                (0..8).for_each(|_| self.decide(whom));
                let Some(process) = &mut self.processes[whom] else { return };
                for (from, bytes) in std::mem::take(&mut process.waiting) {
                    self.give(whom, Input::Message { from: &name(from), bytes: &bytes });
                }
            }
        }
    }

    /// A member decides on everything that can be asked.
    pub fn decide(&mut self, whom: usize) {
        let now = self.clock(whom);
        let Some(process) = &self.processes[whom] else { return };
        let held = process.node.leased_rules();
        let (basis, acting) = (held.basis(now), held.effective_rules(now));
        assert_eq!(matches!(basis, DecisionBasis::InForce(_)), matches!(acting, EffectiveRules::InForce(_)));
        if let DecisionBasis::InForce(version) = basis {
            assert!(self.blind || version >= self.acted[whom], "m{whom} went back to {version}");
            self.acted[whom] = version;
        }
        for asked in (1..=8).map(Asked::Slots).chain((0..8).map(Asked::Class)) {
            let key = (basis, asked, acting.rules().allows(asked));
            self.decisions.entry(key).or_insert((self.now, self.now)).1 = self.now;
        }
    }

    pub fn propose(&mut self, whom: usize, made_from: Version, rules: Doc) {
        self.proposed += 1;
        self.give(whom, Input::Propose { base_version: made_from, rules });
    }

    /// Proposes the next numbered document, made from the newest that the member knows.
    pub fn change(&mut self, whom: usize) {
        let Some(made_from) = self.node(whom).map(|node| node.leased_rules().newest()) else { return };
        let rules = Doc::numbered(self.proposed + 1);
        self.propose(whom, made_from, rules);
    }

    pub fn give(&mut self, whom: usize, input: Input<'_, Doc>) {
        let now = self.clock(whom);
        let Some(process) = &mut self.processes[whom] else { return };
        let mut effects = Vec::new();
        process.node.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send(whom, &to, bytes),
                Effect::Persist { token, write: change } => {
                    let done = self.now + 5 * MILLISECOND;
                    self.at(done, whom, Ev::Persisted(token, change));
                }
                effect => self.said.push((self.now, whom, effect)),
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, bytes: Vec<u8>) {
        let Some(to) = (0..self.size()).find(|&at| name(at) == to) else { return };
        (self.packets, self.bytes) = (self.packets + 1, self.bytes + bytes.len() as u64);
        if self.garble && !bytes.is_empty() {
            let mut broken = bytes.clone();
            let at = self.chance.usize(0..broken.len());
            if self.chance.bool() {
                broken.truncate(at);
            } else {
                broken[at] = self.chance.u8(..);
            }
            // Garbled on the way: what carries packets proves who sent them, and so that they are whole. What
            // passes all the same must not stop a member; only the form is broken here, not the sense.
            if broken.first() != Some(&1) || broken.len() < bytes.len() {
                self.at(self.now + MILLISECOND, to, Ev::Arrives(from, broken));
            }
        }
        let copies = 1 + u32::from(self.chance.u32(0..100) < self.twice);
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.chance.u32(0..100) < self.loss {
                continue;
            }
            let way = MILLISECOND / 2 + self.chance.u64(0..self.way);
            self.at(self.now + way, to, Ev::Arrives(from, bytes.clone()));
        }
    }

    pub fn node(&self, number: usize) -> Option<&Node<Doc>> {
        self.processes[number].as_ref().map(|process| &process.node)
    }

    /// The version that a member acts by, if it does by one.
    pub fn acts_by(&self, number: usize) -> Option<Version> {
        match self.node(number)?.leased_rules().basis(self.clock(number)) {
            DecisionBasis::InForce(version) => Some(version),
            DecisionBasis::Restricted { .. } => None,
        }
    }

    pub fn all_act_by(&self, version: Version) -> bool {
        (0..self.size()).all(|of| self.acts_by(of) == Some(version))
    }

    /// The one that leads, of those that do not pause.
    pub fn leader(&self) -> Option<usize> {
        (0..self.size()).find(|&of| self.runs(of) && self.node(of).is_some_and(Node::is_leader))
    }

    pub fn newest(&self) -> Version {
        let newest =
            (0..self.size()).filter_map(|of| self.node(of)).map(|node| node.leased_rules().in_force());
        newest.max().unwrap_or_default()
    }

    /// The longest contradiction of all decisions: from the first by the newer side to the last by the older.
    ///
    /// # Panics
    /// Two acted by one version and not alike.
    pub fn longest(&self) -> Micros {
        let mut longest = 0;
        let decision =
            |key: &(DecisionBasis, Asked, bool)| Decision { basis: key.0, request: key.1, is_allowed: key.2 };
        for (a, (first_a, last_a)) in &self.decisions {
            for (b, (first_b, last_b)) in &self.decisions {
                let alike = a.2 == b.2 || a.1 != b.1 || a.0 != b.0;
                assert!(alike || !matches!(a.0, DecisionBasis::InForce(_)), "{a:?} and {b:?}");
                if !decisions_conflict(&decision(a), &decision(b)) {
                    continue;
                }
                // What each acts by: of the safe rules, the end that is nearer.
                let (older, newer) = match (a.0, b.0) {
                    (DecisionBasis::InForce(v), DecisionBasis::InForce(w)) => (v, w),
                    (
                        DecisionBasis::Restricted { in_force: from, newest: to, .. },
                        DecisionBasis::InForce(w),
                    ) => (if w > to { to } else { from }, w),
                    (
                        DecisionBasis::InForce(v),
                        DecisionBasis::Restricted { in_force: from, newest: to, .. },
                    ) => (v, if v > to { to } else { from }),
                    _ => continue,
                };
                let span =
                    if older < newer { last_a.checked_sub(*first_b) } else { last_b.checked_sub(*first_a) };
                longest = longest.max(span.map_or(0, |span| span + 1));
            }
        }
        longest
    }

    pub fn heard(&self, what: impl Fn(&Effect) -> bool) -> Vec<(Micros, usize)> {
        self.said.iter().filter(|(_, _, effect)| what(effect)).map(|(at, whom, _)| (*at, *whom)).collect()
    }

    /// The last proof that a member said of a clock that is off.
    pub fn clock_off(&self, whom: usize) -> Option<ClockDrift> {
        self.said.iter().rev().find_map(|(_, by, effect)| match effect {
            Effect::ClockDriftDetected(drift) if *by == whom => Some(*drift),
            _ => None,
        })
    }
}
