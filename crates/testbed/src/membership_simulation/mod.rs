//! Runs membership in virtual time: members on a network that loses, delays and blocks packets, and processes
//! that pause, end and start again. The same seed gives the same run.
mod identities;
mod observations;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use copperspread_fault_injection::{
    Fault, FaultPlan, FaultStep, LinkConditions, NetworkLinks, ProcessAction,
};
use copperspread_membership::{
    Effect, Input, MAX_PACKET_BYTES, Member, Membership, Micros, PacketError, SECOND, Settings,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::identities::member_index;
pub use self::identities::{address, key, member_info};
pub use self::observations::{RecordedEffect, ReportedFailure};

/// A millisecond.
pub const MILLISECOND: Micros = SECOND / 1_000;
/// Members that have not found each other by then never will.
const JOIN_TIMEOUT: Micros = 120 * SECOND;

/// The network without faults: nothing is lost, each packet takes between 0.5 and 20.5 ms.
const USUAL_LINK: LinkConditions = LinkConditions {
    min_delay: Duration::from_micros(500),
    max_delay: Duration::from_micros(20_500),
    ..LinkConditions::IDEAL
};

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// A member's process.
struct Process {
    membership: Membership,
    /// It does nothing until then; packets wait for it.
    paused_until: Micros,
    /// Its next wake, or its last one; any other that is still scheduled is void.
    wake_at: Micros,
    waiting_packets: Vec<Vec<u8>>,
}

/// What happens to one member.
enum NetworkEvent {
    PacketArrived(Vec<u8>),
    WakeDue,
}

/// The network and all processes on it.
pub struct SimulatedNetwork {
    /// The time, from 0.
    pub now: Micros,
    /// When, in which order and to which member events happen; `events` has them by the order.
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: HashMap<u64, NetworkEvent>,
    last_sequence: u64,
    processes: Vec<Option<Process>>,
    random: Pcg64Mcg,
    /// What happens to packets.
    pub links: NetworkLinks,
    /// The settings of members that are started, apart from their seeds.
    pub settings: Settings,
    /// The generation of each member's last process.
    generations: Vec<u64>,
    /// What the members reported.
    pub effects: Vec<RecordedEffect>,
    /// Packets sent.
    pub packets: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl SimulatedNetwork {
    /// Members that all have the first one as their seed and have found each other.
    ///
    /// # Panics
    /// They have not within 120 s.
    pub fn joined(members: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork::joined_with(members, seed, Settings::default())
    }

    /// The same with settings, whose seeds are replaced.
    ///
    /// # Panics
    /// They have not found each other within 120 s.
    pub fn joined_with(members: usize, seed: u64, settings: Settings) -> SimulatedNetwork {
        let mut network = SimulatedNetwork { settings, ..SimulatedNetwork::new(members, seed) };
        (0..members).for_each(|member| network.start(member, 1, &[0]));
        while network.now < JOIN_TIMEOUT && !network.all_see(members - 1) {
            network.run(SECOND);
        }
        assert!(network.all_see(members - 1), "{members} members have not found each other in 120 s");
        network.effects.clear();
        (network.packets, network.bytes) = (0, 0);
        network
    }

    /// Members whose processes have not been started.
    pub fn new(members: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork {
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_sequence: 0,
            processes: (0..members).map(|_| None).collect(),
            random: Pcg64Mcg::seed_from_u64(seed),
            links: NetworkLinks::new(USUAL_LINK),
            settings: Settings::default(),
            generations: vec![0; members],
            effects: Vec::new(),
            packets: 0,
            bytes: 0,
        }
    }

    /// Starts a member's process without memory of an earlier one.
    ///
    /// # Panics
    /// Settings that membership does not accept.
    pub fn start(&mut self, member: usize, generation: u64, seeds: &[usize]) {
        self.start_as(member, member_info(member, generation), seeds);
    }

    /// The same with an identity that may be wrong.
    ///
    /// # Panics
    /// Settings that membership does not accept.
    pub fn start_as(&mut self, member: usize, info: Member, seeds: &[usize]) {
        let seeds = seeds.iter().map(|&seed| address(seed)).collect();
        let settings = Settings { seeds, ..self.settings.clone() };
        self.generations[member] = info.generation;
        let seed = self.random.random();
        let membership = Membership::new(info, settings, key(), seed).expect("settings");
        let process = Process { membership, paused_until: 0, wake_at: 0, waiting_packets: Vec::new() };
        self.processes[member] = Some(process);
        self.schedule_wake(member, self.now + 1);
    }

    /// The number of members, those without a process included.
    pub fn member_count(&self) -> usize {
        self.processes.len()
    }

    /// Ends a process, which sends nothing.
    pub fn kill(&mut self, member: usize) {
        self.processes[member] = None;
    }

    /// Ends a process, which says that it leaves.
    pub fn leave(&mut self, member: usize) {
        let mut effects = Vec::new();
        if let Some(process) = &mut self.processes[member] {
            process.membership.leave(self.now, &mut effects);
        }
        self.apply_effects(member, effects);
        self.kill(member);
    }

    /// Pauses a process: packets wait for it, and time passes.
    pub fn pause(&mut self, member: usize, duration: Micros) {
        self.pause_until(member, self.now + duration);
        self.schedule_wake(member, self.now + duration);
    }

    fn pause_until(&mut self, member: usize, until: Micros) {
        if let Some(process) = &mut self.processes[member] {
            process.paused_until = until;
        }
    }

    /// Applies a fault now. A process that starts has the first member as its seed.
    pub fn apply_fault(&mut self, fault: &Fault) {
        self.links.apply(fault);
        let Fault::Process { member, action } = *fault else { return };
        match action {
            ProcessAction::Pause => self.pause_until(member, Micros::MAX),
            ProcessAction::Resume => {
                self.pause_until(member, self.now);
                self.schedule_wake(member, self.now);
            }
            ProcessAction::Kill => self.kill(member),
            ProcessAction::Start => self.start(member, self.generations[member] + 1, &[0]),
        }
    }

    /// Runs a plan from now to its last step.
    pub fn run_plan(&mut self, plan: &FaultPlan) {
        let start = self.now;
        for FaultStep { at, fault } in &plan.steps {
            self.run((start + micros(*at)).saturating_sub(self.now));
            self.apply_fault(fault);
        }
    }

    /// Runs in steps until a condition holds; how long that took, or `None` if longer than the timeout.
    pub fn run_until(
        &mut self,
        timeout: Micros,
        step: Micros,
        condition: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Micros> {
        self.run_until_with(timeout, step, |_| {}, condition)
    }

    /// The same with something that is done after each step.
    pub fn run_until_with(
        &mut self,
        timeout: Micros,
        step: Micros,
        mut after_step: impl FnMut(&mut SimulatedNetwork),
        mut condition: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Micros> {
        let start = self.now;
        while !condition(self) {
            if self.now - start >= timeout {
                return None;
            }
            self.run(step);
            after_step(self);
        }
        Some(self.now - start)
    }

    fn schedule(&mut self, at: Micros, member: usize, event: NetworkEvent) {
        self.last_sequence += 1;
        self.events.insert(self.last_sequence, event);
        self.queue.push(Reverse((at, self.last_sequence, member)));
    }

    /// Schedules a process's only wake.
    fn schedule_wake(&mut self, member: usize, at: Micros) {
        if let Some(process) = &mut self.processes[member] {
            process.wake_at = at;
            self.schedule(at, member, NetworkEvent::WakeDue);
        }
    }

    /// Runs for a duration.
    pub fn run(&mut self, duration: Micros) {
        let until = self.now + duration;
        while let Some(&Reverse((at, sequence, member))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.events.remove(&sequence) {
                Some(NetworkEvent::PacketArrived(packet)) => self.deliver(member, packet),
                Some(NetworkEvent::WakeDue) => self.wake(member),
                None => {}
            }
        }
        self.now = until;
    }

    /// Delivers a packet to a member, from anybody.
    pub fn deliver(&mut self, member: usize, packet: Vec<u8>) {
        let Some(process) = &mut self.processes[member] else { return };
        if process.paused_until > self.now {
            process.waiting_packets.push(packet);
            return;
        }
        self.handle_input(member, Input::Packet(&packet));
    }

    fn wake(&mut self, member: usize) {
        let Some(process) = &mut self.processes[member] else { return };
        if process.paused_until > self.now || process.wake_at > self.now {
            return;
        }
        for packet in std::mem::take(&mut process.waiting_packets) {
            self.handle_input(member, Input::Packet(&packet));
        }
        self.handle_input(member, Input::TimerDue);
    }

    /// Gives an input to a member; why it was rejected, if it was.
    pub fn handle_input(&mut self, member: usize, input: Input<'_>) -> Option<PacketError> {
        let now = self.now;
        let Some(process) = &mut self.processes[member] else { return None };
        let mut effects = Vec::new();
        let result = process.membership.handle(now, input, &mut effects);
        let due = process.membership.next_due().map(|due| due.max(now + 1));
        if let Some(due) = due.filter(|&due| process.wake_at <= now || due < process.wake_at) {
            self.schedule_wake(member, due);
        }
        self.apply_effects(member, effects);
        result.err()
    }

    fn apply_effects(&mut self, member: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendPacket { to, packet } => self.send(member, member_index(to), packet),
                effect => self.effects.push(RecordedEffect { at: self.now, member, effect }),
            }
        }
    }

    /// Sends a packet, of which the links deliver none, one or two.
    fn send(&mut self, from: usize, to: Option<usize>, packet: Vec<u8>) {
        assert!(packet.len() <= MAX_PACKET_BYTES, "{} bytes", packet.len());
        self.packets += 1;
        self.bytes += packet.len() as u64;
        let Some(to) = to.filter(|&to| to < self.processes.len()) else { return };
        let [first, second] = self.links.delivery_delays(from, to, &mut self.random);
        if let Some(delay) = second {
            self.schedule(self.now + micros(delay), to, NetworkEvent::PacketArrived(packet.clone()));
        }
        if let Some(delay) = first {
            self.schedule(self.now + micros(delay), to, NetworkEvent::PacketArrived(packet));
        }
    }
}
