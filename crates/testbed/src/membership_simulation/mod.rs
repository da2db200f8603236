//! Simulates the membership protocol in virtual time, with faults of the network and of processes.
//!
//! The network can lose, delay and block packets; processes can pause, end and restart. The same seed gives
//! the same run.
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
pub use self::identities::{address, member_info, shared_key};
pub use self::observations::{RecordedEffect, ReportedFailure};

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = SECOND / 1_000;
/// Time within which all members must have found each other, in microseconds. Members that have not found
/// each other after so long a time never will.
const JOIN_TIMEOUT: Micros = 120 * SECOND;

/// The conditions under which each link between members delivers packets while no fault is active. No packet
/// is lost, and each packet arrives after 0.5 to 20.5 ms.
const FAULT_FREE_LINK: LinkConditions = LinkConditions {
    min_delay: Duration::from_micros(500),
    max_delay: Duration::from_micros(20_500),
    ..LinkConditions::IDEAL
};

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// The process of a simulated member: the state of its membership protocol, its pause, its timer and its
/// waiting packets.
struct Process {
    membership: Membership,
    /// Simulated time until which the process is paused, in microseconds. A paused process handles neither
    /// packets nor timers.
    paused_until: Micros,
    /// Simulated time for which the timer of the process is set, in microseconds. A process has one timer.
    /// When the timer is set for a later time, the event of its earlier time stays in the queue. Such an
    /// event is ignored, because it comes before this time.
    timer_due_at: Micros,
    /// Packets that arrived while the process was paused. They are handled when the pause ends.
    waiting_packets: Vec<Vec<u8>>,
}

/// An event that is scheduled for one simulated member.
enum NetworkEvent {
    /// A packet arrives at the member. The value is the content of the packet.
    PacketArrived(Vec<u8>),
    /// The timer of the member's membership protocol expires.
    TimerExpired,
}

/// A simulated network with the processes of all members.
pub struct SimulatedNetwork {
    /// The simulated time since the start, in microseconds.
    pub now: Micros,
    /// The scheduled events by time. Each entry has the time, the sequence number and the member of an event.
    /// `events` has the event itself, by its sequence number.
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: HashMap<u64, NetworkEvent>,
    last_sequence: u64,
    processes: Vec<Option<Process>>,
    random: Pcg64Mcg,
    /// The links between members. This value has the loss, duplication and delay of packets, and the links on
    /// which all packets are blocked.
    pub links: NetworkLinks,
    /// The membership settings with which members are started. Their list of seeds has the addresses of the
    /// members that a new member contacts to join. Each start replaces the list by the seeds of that start.
    pub settings: Settings,
    /// The generation of each member's latest process, by the member's index.
    generations: Vec<u64>,
    /// The effects that the members' protocols emitted, such as the report that another member is down, in
    /// the order of time. Sent packets are not included.
    pub effects: Vec<RecordedEffect>,
    /// Number of packets that all members have sent.
    pub packets: u64,
    /// Total size of all sent packets, in bytes.
    pub bytes: u64,
}

impl SimulatedNetwork {
    /// Creates a network, and runs it until all members have found each other. To join, each member contacts
    /// the first member. `seed` determines all random numbers.
    ///
    /// # Panics
    /// Panics if the members have not found each other within 120 s.
    pub fn joined(members: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork::joined_with_settings(members, seed, Settings::default())
    }

    /// Like [`SimulatedNetwork::joined`], with other membership settings. To join, each member contacts the
    /// first member. The seeds in the settings, which are the members to contact for joining, are not used.
    ///
    /// # Panics
    /// Panics if the members have not found each other within 120 s, or if the settings are invalid.
    pub fn joined_with_settings(members: usize, seed: u64, settings: Settings) -> SimulatedNetwork {
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

    /// Creates a network with this number of members. No member runs yet. `seed` determines all random
    /// numbers.
    pub fn new(members: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork {
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_sequence: 0,
            processes: (0..members).map(|_| None).collect(),
            random: Pcg64Mcg::seed_from_u64(seed),
            links: NetworkLinks::new(FAULT_FREE_LINK),
            settings: Settings::default(),
            generations: vec![0; members],
            effects: Vec::new(),
            packets: 0,
            bytes: 0,
        }
    }

    /// Starts a new process of a member, without state from an earlier process. To join, the new process
    /// contacts the members with the indexes `seeds`.
    ///
    /// # Panics
    /// Panics if the settings are invalid.
    pub fn start(&mut self, member: usize, generation: u64, seeds: &[usize]) {
        self.start_with_identity(member, member_info(member, generation), seeds);
    }

    /// Like [`SimulatedNetwork::start`], with an identity that need not match the index of the member.
    ///
    /// # Panics
    /// Panics if the settings are invalid.
    pub fn start_with_identity(&mut self, member: usize, info: Member, seeds: &[usize]) {
        let seeds = seeds.iter().map(|&seed| address(seed)).collect();
        let settings = Settings { seeds, ..self.settings.clone() };
        self.generations[member] = info.generation;
        let seed = self.random.random();
        let membership = Membership::new(info, settings, shared_key(), seed).expect("the settings are valid");
        let process = Process { membership, paused_until: 0, timer_due_at: 0, waiting_packets: Vec::new() };
        self.processes[member] = Some(process);
        self.schedule_timer(member, self.now + 1);
    }

    /// Returns the number of simulated members, including those that do not run.
    pub fn member_count(&self) -> usize {
        self.processes.len()
    }

    /// Ends the process of a member at once. The member sends no last packet.
    pub fn kill(&mut self, member: usize) {
        self.processes[member] = None;
    }

    /// Makes a member announce that it leaves, and then ends its process.
    pub fn leave(&mut self, member: usize) {
        let mut effects = Vec::new();
        if let Some(process) = &mut self.processes[member] {
            process.membership.leave(self.now, &mut effects);
        }
        self.apply_effects(member, effects);
        self.kill(member);
    }

    /// Pauses the process of a member for a duration in microseconds. Packets that arrive during the pause
    /// are handled at the end of the pause.
    pub fn pause(&mut self, member: usize, duration: Micros) {
        self.pause_until(member, self.now + duration);
        self.schedule_timer(member, self.now + duration);
    }

    fn pause_until(&mut self, member: usize, until: Micros) {
        if let Some(process) = &mut self.processes[member] {
            process.paused_until = until;
        }
    }

    /// Applies a fault at the current simulated time. If the fault starts a process, the process joins by
    /// contacting the member with index 0.
    pub fn apply_fault(&mut self, fault: &Fault) {
        self.links.apply(fault);
        let Fault::Process { member, action } = *fault else { return };
        match action {
            ProcessAction::Pause => self.pause_until(member, Micros::MAX),
            ProcessAction::Resume => {
                self.pause_until(member, self.now);
                self.schedule_timer(member, self.now);
            }
            ProcessAction::Kill => self.kill(member),
            ProcessAction::Start => self.start(member, self.generations[member] + 1, &[0]),
        }
    }

    /// Runs the simulation through a fault plan: applies each fault at its time, which counts from the
    /// current time.
    pub fn run_plan(&mut self, plan: &FaultPlan) {
        let start = self.now;
        for FaultStep { at, fault } in &plan.steps {
            self.run((start + micros(*at)).saturating_sub(self.now));
            self.apply_fault(fault);
        }
    }

    /// Runs the simulation until `condition` holds. The condition is checked at the start and after every
    /// `step` microseconds. Returns the elapsed time in microseconds. Returns `None` if the condition still
    /// does not hold when `timeout` microseconds have passed.
    pub fn run_until(
        &mut self,
        timeout: Micros,
        step: Micros,
        condition: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Micros> {
        self.run_until_with(timeout, step, |_| {}, condition)
    }

    /// Like [`SimulatedNetwork::run_until`], but calls `after_step` after each step.
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

    /// Sets the timer of a member's process to the time `at`. If the timer was set for an earlier time
    /// before, the event of that earlier time is ignored.
    fn schedule_timer(&mut self, member: usize, at: Micros) {
        if let Some(process) = &mut self.processes[member] {
            process.timer_due_at = at;
            self.schedule(at, member, NetworkEvent::TimerExpired);
        }
    }

    /// Runs the simulation for a duration in microseconds.
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
                Some(NetworkEvent::TimerExpired) => self.expire_timer(member),
                None => {}
            }
        }
        self.now = until;
    }

    /// Delivers a packet to a member at once, without the loss and delay of the links. The sender can be
    /// anyone. A paused member handles the packet after the pause. A packet to a member that does not run is
    /// dropped.
    pub fn deliver(&mut self, member: usize, packet: Vec<u8>) {
        let Some(process) = &mut self.processes[member] else { return };
        if process.paused_until > self.now {
            process.waiting_packets.push(packet);
            return;
        }
        self.handle_input(member, Input::Packet(&packet));
    }

    fn expire_timer(&mut self, member: usize) {
        let Some(process) = &mut self.processes[member] else { return };
        if process.paused_until > self.now || process.timer_due_at > self.now {
            return;
        }
        for packet in std::mem::take(&mut process.waiting_packets) {
            self.handle_input(member, Input::Packet(&packet));
        }
        self.handle_input(member, Input::TimerDue);
    }

    /// Passes an input, such as a packet, to a member's membership protocol. Returns the reason if the
    /// protocol rejects the input. Returns `None` if the protocol accepts the input or the member does not
    /// run.
    pub fn handle_input(&mut self, member: usize, input: Input<'_>) -> Option<PacketError> {
        let now = self.now;
        let Some(process) = &mut self.processes[member] else { return None };
        let mut effects = Vec::new();
        let result = process.membership.handle(now, input, &mut effects);
        let due = process.membership.next_due().map(|due| due.max(now + 1));
        if let Some(due) = due.filter(|&due| process.timer_due_at <= now || due < process.timer_due_at) {
            self.schedule_timer(member, due);
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

    /// Sends a packet from one member to another. The links can lose the packet, or deliver it once or twice.
    /// A packet to an unknown address counts as sent, but is dropped.
    fn send(&mut self, from: usize, to: Option<usize>, packet: Vec<u8>) {
        assert!(
            packet.len() <= MAX_PACKET_BYTES,
            "a packet of {} bytes exceeds the maximum size",
            packet.len()
        );
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
