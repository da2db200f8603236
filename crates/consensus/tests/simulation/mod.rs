//! Members on a network in virtual time that loses, delays, duplicates and cuts, with clocks of their own, disks that
//! take time, and processes that pause, crash and restart. One seed always gives the same run.
#![allow(dead_code, reason = "each test binary uses some of it")]
mod decisions;
mod network;
mod process;
pub(crate) mod queries;
mod rules;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use copperspread_consensus::{
    DecisionBasis, Effect, EffectiveRules, Input, MILLISECOND, MemberIdentity, Micros, Node, SECOND,
    Settings, StartState, Version,
};

use decisions::DecisionLog;
pub(crate) use network::Network;
use process::{Disk, Event, Message, Process, ScheduledEvent, SimulatedClock};
pub(crate) use queries::Report;
pub(crate) use rules::{Request, TestRules};

const DISK_DELAY: Micros = 5 * MILLISECOND;

/// The network and all processes on it.
pub(crate) struct Simulation {
    pub(crate) now: Micros,
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) network: Network,
    /// Whether decisions are made without checking the lease.
    pub(crate) skips_lease_check: bool,
    pub(crate) reports: Vec<Report>,
    /// Events by instant, and by number where the instant is the same.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
    last_event: u64,
    processes: Vec<Option<Process>>,
    /// How often each process was started: the events of one process do not reach the next.
    starts: Vec<u64>,
    disks: Vec<Disk>,
    clocks: Vec<SimulatedClock>,
    decisions: DecisionLog,
    /// The newest version that each member has followed.
    newest_followed: Vec<Version>,
    proposal_count: u64,
}

/// The name of a member.
pub(crate) fn name(member: usize) -> String {
    format!("m{member}")
}

/// The version after this one, in the same epoch.
pub(crate) fn next_version(version: Version) -> Version {
    Version { number: version.number + 1, ..version }
}

impl Simulation {
    /// So many members, of whom the first are voters, none of which runs.
    pub(crate) fn new(voters: usize, members: usize, seed: u64) -> Simulation {
        let clock = |member: u64| SimulatedClock { ppm: 0, set_at: 0, shown_when_set: 77 * SECOND * member };
        Simulation {
            now: SECOND,
            settings: Settings { voters: (0..voters).map(name).collect(), ..Settings::default() },
            rng: fastrand::Rng::with_seed(seed),
            network: Network::default(),
            skips_lease_check: false,
            reports: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            processes: (0..members).map(|_| None).collect(),
            starts: vec![0; members],
            disks: vec![Disk::default(); members],
            clocks: (0..members as u64).map(clock).collect(),
            decisions: DecisionLog::default(),
            newest_followed: vec![Version::default(); members],
            proposal_count: 0,
        }
    }

    /// All members run, and follow the first version.
    pub(crate) fn with_first_version(voters: usize, members: usize, seed: u64) -> Simulation {
        Simulation::configured(voters, members, seed, |_| {})
    }

    /// As [`Simulation::with_first_version`], and the leader has led for longer than any lease.
    pub(crate) fn settled(voters: usize, members: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation::with_first_version(voters, members, seed);
        simulation.run_for(3 * SECOND);
        simulation
    }

    /// As [`Simulation::with_first_version`], configured before the members start.
    pub(crate) fn configured(
        voters: usize,
        members: usize,
        seed: u64,
        configure: impl FnOnce(&mut Simulation),
    ) -> Simulation {
        let mut simulation = Simulation::new(voters, members, seed);
        configure(&mut simulation);
        (0..members).for_each(|member| simulation.start(member));
        let first_version = simulation.run_until(20 * SECOND, |simulation| {
            (0..members)
                .all(|member| simulation.followed_version(member).is_some_and(|version| version.number == 1))
        });
        assert!(first_version.is_some(), "no first version in 20 s");
        simulation.reports.clear();
        simulation
    }

    /// What a member's clock shows.
    pub(crate) fn clock(&self, member: usize) -> Micros {
        self.clocks[member].shows(self.now)
    }

    /// From now on a member's clock is fast by so many parts per million.
    pub(crate) fn set_clock_ppm(&mut self, member: usize, ppm: i64) {
        let shown_when_set = self.clock(member);
        self.clocks[member] = SimulatedClock { ppm, set_at: self.now, shown_when_set };
    }

    /// A member's clock has been fast by so many parts per million from the beginning.
    pub(crate) fn set_initial_clock_ppm(&mut self, member: usize, ppm: i64) {
        self.clocks[member].ppm = ppm;
    }

    /// Starts a process, with what its disk has.
    pub(crate) fn start(&mut self, member: usize) {
        let identity = MemberIdentity { name: name(member), generation: self.now };
        let disk = &self.disks[member];
        let start = if disk.is_written { StartState::Stored(disk.stored.clone()) } else { StartState::Empty };
        let seed = self.rng.u64(..);
        let node = Node::new(identity, self.settings.clone(), start, TestRules::new(4, &[]), seed);
        let node = node.expect("settings and storage are valid");
        let node = if self.skips_lease_check { node.without_lease_check() } else { node };
        self.starts[member] += 1;
        self.processes[member] = Some(Process { node, is_paused: false, queued: Vec::new() });
        let first_tick = self.now + 1 + self.rng.u64(0..20 * MILLISECOND);
        self.schedule(first_tick, member, Event::Tick);
    }

    /// Starts every process that does not run.
    pub(crate) fn start_all(&mut self) {
        let stopped: Vec<usize> =
            (0..self.member_count()).filter(|member| self.node(*member).is_none()).collect();
        stopped.into_iter().for_each(|member| self.start(member));
    }

    /// Ends a process without notice.
    pub(crate) fn crash(&mut self, member: usize) {
        self.processes[member] = None;
        self.starts[member] += 1;
    }

    pub(crate) fn erase_disk(&mut self, member: usize) {
        self.disks[member] = Disk::default();
    }

    pub(crate) fn pause(&mut self, member: usize, span: Micros) {
        if let Some(process) = self.processes[member].as_mut().filter(|process| !process.is_paused) {
            process.is_paused = true;
            self.schedule(self.now + span, member, Event::Resume);
        }
    }

    /// Cuts all links between a group and the others, both ways.
    pub(crate) fn partition(&mut self, group: &[usize]) {
        self.network.partition(group, self.processes.len());
    }

    fn schedule(&mut self, at: Micros, member: usize, event: Event) {
        self.last_event += 1;
        let scheduled = ScheduledEvent { member, start: self.starts[member], event };
        self.events.insert(self.last_event, scheduled);
        self.queue.push(Reverse((at, self.last_event)));
    }

    pub(crate) fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(&Reverse((at, number))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(ScheduledEvent { member, start, event }) = self.events.remove(&number) else { continue };
            // Messages reach whichever process listens; the other events belong to one process.
            if start == self.starts[member] || matches!(event, Event::Arrival(_)) {
                self.on_event(member, event);
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds, and returns how long that took; `None` if it took longer than the span.
    pub(crate) fn run_until(
        &mut self,
        span: Micros,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Micros> {
        let started_at = self.now;
        while self.now - started_at < span {
            self.run_for(10 * MILLISECOND);
            if condition(self) {
                return Some(self.now - started_at);
            }
        }
        None
    }

    fn on_event(&mut self, member: usize, event: Event) {
        let Some(process) = &mut self.processes[member] else { return };
        match event {
            Event::Arrival(message) if process.is_paused => process.queued.push(message),
            Event::Arrival(message) => self.deliver(member, &message),
            Event::Persisted(token, write) if process.is_paused => {
                self.schedule(self.now + MILLISECOND, member, Event::Persisted(token, write));
            }
            Event::Persisted(token, write) => {
                self.disks[member].is_written = true;
                self.disks[member].stored.apply(write);
                self.handle(member, Input::Persisted(token));
            }
            Event::Tick => self.on_tick(member),
            Event::Resume => self.on_resume(member),
        }
    }

    fn on_tick(&mut self, member: usize) {
        if self.is_running(member) {
            self.record_decisions(member);
            self.handle(member, Input::Tick);
        }
        let jitter = self.rng.u64(0..4 * MILLISECOND);
        let interval = self.settings.tick_interval - 2 * MILLISECOND + jitter;
        self.schedule(self.now + interval, member, Event::Tick);
    }

    fn on_resume(&mut self, member: usize) {
        let Some(process) = &mut self.processes[member] else { return };
        process.is_paused = false;
        let queued = std::mem::take(&mut process.queued);
        // A burst of requests that waited, before any message is read and any timer runs.
        (0..8).for_each(|_| self.record_decisions(member));
        for message in queued {
            self.deliver(member, &message);
        }
    }

    fn deliver(&mut self, member: usize, message: &Message) {
        self.handle(member, Input::Message { from: &name(message.from), bytes: &message.bytes });
    }

    /// Lets a member decide on every request.
    fn record_decisions(&mut self, member: usize) {
        let now = self.clock(member);
        let Some(process) = &self.processes[member] else { return };
        let leased_rules = process.node.leased_rules();
        let (basis, effective) = (leased_rules.basis(now), leased_rules.effective_rules(now));
        let is_in_force = matches!(basis, DecisionBasis::InForce(_));
        assert_eq!(is_in_force, matches!(effective, EffectiveRules::InForce(_)));
        if let DecisionBasis::InForce(version) = basis {
            let is_newer = version >= self.newest_followed[member];
            assert!(self.skips_lease_check || is_newer, "m{member} went back to {version}");
            self.newest_followed[member] = version;
        }
        for request in Request::all() {
            self.decisions.record(self.now, basis, request, effective.rules().allows(request));
        }
    }

    pub(crate) fn propose(&mut self, member: usize, base_version: Version, rules: TestRules) {
        self.proposal_count += 1;
        self.handle(member, Input::Propose { base_version, rules });
    }

    /// Proposes the next numbered rules, derived from the newest version that the member knows.
    pub(crate) fn propose_next(&mut self, member: usize) {
        let Some(node) = self.node(member) else { return };
        let base_version = node.leased_rules().newest();
        let rules = TestRules::numbered(self.proposal_count + 1);
        self.propose(member, base_version, rules);
    }

    fn handle(&mut self, member: usize, input: Input<'_, TestRules>) {
        let now = self.clock(member);
        let Some(process) = &mut self.processes[member] else { return };
        let mut effects = Vec::new();
        process.node.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send(member, &to, bytes),
                Effect::Persist { token, write } => {
                    self.schedule(self.now + DISK_DELAY, member, Event::Persisted(token, write));
                }
                effect => self.reports.push(Report { at: self.now, member, effect }),
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, bytes: Vec<u8>) {
        let Some(to) = (0..self.member_count()).find(|&member| name(member) == to) else { return };
        for copy in self.network.transmit(&mut self.rng, from, to, &bytes) {
            let arrival = Event::Arrival(Message { from, bytes: copy.bytes });
            self.schedule(self.now + copy.delay, to, arrival);
        }
    }
}
