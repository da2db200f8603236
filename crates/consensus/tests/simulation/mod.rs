//! A deterministic simulation of a group of members in virtual time; a seed always gives the same run.
//!
//! The network loses, delays, duplicates and corrupts messages, and can be partitioned. Each member has its
//! own clock and a disk whose writes take time; its process can pause, crash and restart.
#![allow(dead_code, reason = "each test binary uses only a part of this module")]
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
    /// The scheduled events by their time, then by their number.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
    last_event: u64,
    processes: Vec<Option<Process>>,
    /// A number for each member that changes with each start and crash of its process, by which events of an
    /// earlier process are recognized.
    process_numbers: Vec<u64>,
    disks: Vec<Disk>,
    clocks: Vec<SimulatedClock>,
    decisions: DecisionLog,
    /// The version of each member's last decision by a version in force.
    newest_followed: Vec<Version>,
    proposal_count: u64,
}

/// The name of a member.
pub(crate) fn member_name(member: usize) -> String {
    format!("m{member}")
}

/// The version after this one, in the same epoch.
pub(crate) fn next_version(version: Version) -> Version {
    Version { number: version.number + 1, ..version }
}

impl Simulation {
    /// Creates members that are not running yet; the first `voters` of them are the voters.
    pub(crate) fn new(voters: usize, members: usize, seed: u64) -> Simulation {
        let clock =
            |member: u64| SimulatedClock { ppm: 0, set_at: 0, reading_when_set: 77 * SECOND * member };
        Simulation {
            now: SECOND,
            settings: Settings { voters: (0..voters).map(member_name).collect(), ..Settings::default() },
            rng: fastrand::Rng::with_seed(seed),
            network: Network::default(),
            skips_lease_check: false,
            reports: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            processes: (0..members).map(|_| None).collect(),
            process_numbers: vec![0; members],
            disks: vec![Disk::default(); members],
            clocks: (0..members as u64).map(clock).collect(),
            decisions: DecisionLog::default(),
            newest_followed: vec![Version::default(); members],
            proposal_count: 0,
        }
    }

    /// Starts all members, and runs until all follow the first version.
    pub(crate) fn with_first_version(voters: usize, members: usize, seed: u64) -> Simulation {
        Simulation::configured(voters, members, seed, |_| {})
    }

    /// Like [`Simulation::with_first_version`], but runs on until the leader has led for longer than any
    /// lease lasts.
    pub(crate) fn with_stable_leader(voters: usize, members: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation::with_first_version(voters, members, seed);
        simulation.run_for(3 * SECOND);
        simulation
    }

    /// Like [`Simulation::with_first_version`], but calls `configure` before the members start.
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
        assert!(first_version.is_some(), "all members must follow the first version within 20 s");
        simulation.reports.clear();
        simulation
    }

    /// The current reading of a member's clock.
    pub(crate) fn clock(&self, member: usize) -> Micros {
        self.clocks[member].reading_at(self.now)
    }

    /// Makes a member's clock fast by `ppm` parts per million from now on; slow if negative.
    pub(crate) fn set_clock_ppm(&mut self, member: usize, ppm: i64) {
        let reading_when_set = self.clock(member);
        self.clocks[member] = SimulatedClock { ppm, set_at: self.now, reading_when_set };
    }

    /// Makes a member's clock fast by `ppm` parts per million since the start of the run; slow if negative.
    pub(crate) fn set_initial_clock_ppm(&mut self, member: usize, ppm: i64) {
        self.clocks[member].ppm = ppm;
    }

    /// Starts a member's process with the state on its disk.
    pub(crate) fn start(&mut self, member: usize) {
        let identity = MemberIdentity { name: member_name(member), generation: self.now };
        let disk = &self.disks[member];
        let start = if disk.is_written { StartState::Stored(disk.stored.clone()) } else { StartState::Empty };
        let seed = self.rng.u64(..);
        let node = Node::new(identity, self.settings.clone(), start, TestRules::new(4, &[]), seed);
        let node = node.expect("the settings and the stored state are valid");
        let node = if self.skips_lease_check { node.without_lease_check() } else { node };
        self.process_numbers[member] += 1;
        self.processes[member] = Some(Process { node, is_paused: false, queued: Vec::new() });
        let first_tick = self.now + 1 + self.rng.u64(0..20 * MILLISECOND);
        self.schedule(first_tick, member, Event::Tick);
    }

    /// Starts every member that has no process.
    pub(crate) fn start_all(&mut self) {
        let stopped: Vec<usize> =
            (0..self.member_count()).filter(|member| self.node(*member).is_none()).collect();
        stopped.into_iter().for_each(|member| self.start(member));
    }

    /// Ends a member's process abruptly.
    pub(crate) fn crash(&mut self, member: usize) {
        self.processes[member] = None;
        self.process_numbers[member] += 1;
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

    /// Cuts all links between a group and the other members, in both directions.
    pub(crate) fn partition(&mut self, group: &[usize]) {
        self.network.partition(group, self.processes.len());
    }

    fn schedule(&mut self, at: Micros, member: usize, event: Event) {
        self.last_event += 1;
        let scheduled = ScheduledEvent { member, process_number: self.process_numbers[member], event };
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
            let Some(ScheduledEvent { member, process_number, event }) = self.events.remove(&number) else {
                continue;
            };
            // A message reaches whichever process of the member is running; other events belong to one
            // process.
            if process_number == self.process_numbers[member] || matches!(event, Event::Arrival(_)) {
                self.on_event(member, event);
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds, and returns how long that took; `None` if it does not hold within the
    /// span.
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
        // A burst of queued requests is decided before any message is read and before any timer runs.
        (0..8).for_each(|_| self.record_decisions(member));
        for message in queued {
            self.deliver(member, &message);
        }
    }

    fn deliver(&mut self, member: usize, message: &Message) {
        self.handle(member, Input::Message { from: &member_name(message.from), bytes: &message.bytes });
    }

    /// Makes a member decide on every request, and records the decisions.
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

    /// Proposes the next numbered rules, based on the newest version that the member knows.
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
        let Some(to) = (0..self.member_count()).find(|&member| member_name(member) == to) else { return };
        for copy in self.network.transmit(&mut self.rng, from, to, &bytes) {
            let arrival = Event::Arrival(Message { from, bytes: copy.bytes });
            self.schedule(self.now + copy.delay, to, arrival);
        }
    }
}
