//! Members of a cluster on a network in virtual time that loses, delays and cuts, and processes that pause,
//! die and come back. The same seed gives the same play.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use copperspread_fault_injection::{
    Fault, FaultPlan, FaultStep, LinkConditions, NetworkLinks, ProcessAction,
};
use copperspread_membership::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A millisecond.
pub const MILLISECOND: Micros = SECOND / 1_000;

/// Where the member of this number listens.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000))
}

/// Whose address it is.
fn number(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(at) => Some(usize::from(at.ip().octets()[2]) << 8 | usize::from(at.ip().octets()[3])),
        SocketAddr::V6(_) => None,
    }
}

/// A span in the core's unit.
fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// The network on a usual day: nothing is lost, each packet takes between 0.5 and 20.5 ms.
const USUAL_LINK: LinkConditions = LinkConditions {
    min_delay: Duration::from_micros(500),
    max_delay: Duration::from_micros(20_500),
    ..LinkConditions::IDEAL
};

/// The key of all members here.
pub fn key() -> Key {
    Key::new(b"a key for the tests alone").expect("a key")
}

/// The member of this number, in a start of its process.
pub fn member_info(number: usize, generation: u64) -> Member {
    let zone = ["arnhem", "zwolle", "eindhoven"][number % 3].to_owned();
    let (name, region) = (format!("n{number}"), "nl".to_owned());
    Member { name, zone, region, address: address(number), generation, rejoins: 0 }
}

struct Process {
    membership: Membership,
    /// Stopped until then; packets wait for it.
    paused_until: Micros,
    /// Its next wake, or its last one; others that are still on their way are void.
    wake_at: Micros,
    waiting_packets: Vec<Vec<u8>>,
}

enum NetworkEvent {
    PacketArrived(usize, Vec<u8>),
    WakeDue(usize),
}

/// The network and all processes on it.
pub struct SimulatedNetwork {
    /// The instant, from 0.
    pub now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: HashMap<u64, NetworkEvent>,
    scheduled: u64,
    processes: Vec<Option<Process>>,
    random: Pcg64Mcg,
    /// What becomes of packets.
    pub links: NetworkLinks,
    /// How the members that are started watch the others.
    pub settings: Settings,
    /// The generation of each place's last process.
    generations: Vec<u64>,
    /// What was said: when, by whom, what.
    pub effects: Vec<(Micros, usize, Effect)>,
    /// Packets sent.
    pub packets: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl SimulatedNetwork {
    /// So many members, all told of the first as their seed, that have found each other.
    ///
    /// # Panics
    /// They have not within 120 s.
    pub fn joined(members: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork::joined_with(members, seed, Settings::default())
    }

    /// The same with settings, whose seeds do not count.
    ///
    /// # Panics
    /// They have not found each other within 120 s.
    pub fn joined_with(members: usize, seed: u64, settings: Settings) -> SimulatedNetwork {
        let mut net = SimulatedNetwork { settings, ..SimulatedNetwork::new(members, seed) };
        (0..members).for_each(|number| net.start(number, 1, &[0]));
        let by = 120 * SECOND;
        while net.now < by && !net.all_see(members - 1) {
            net.run(SECOND);
        }
        assert!(net.all_see(members - 1), "{members} members have not found each other in 120 s");
        net.effects.clear();
        (net.packets, net.bytes) = (0, 0);
        net
    }

    /// So many places for processes, none of which runs.
    pub fn new(members: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork {
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
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

    /// A process starts, from nothing.
    pub fn start(&mut self, number: usize, generation: u64, seeds: &[usize]) {
        let seeds = seeds.iter().map(|&seed| address(seed)).collect();
        let settings = Settings { seeds, ..self.settings.clone() };
        self.generations[number] = generation;
        let chance = self.random.random();
        let cluster =
            Membership::new(member_info(number, generation), settings, key(), chance).expect("settings");
        self.processes[number] =
            Some(Process { membership: cluster, paused_until: 0, wake_at: 0, waiting_packets: Vec::new() });
        self.schedule_wake(number, self.now + 1);
    }

    /// A process ends, and says nothing.
    pub fn kill(&mut self, number: usize) {
        self.processes[number] = None;
    }

    /// It says that it goes, and ends.
    pub fn leave(&mut self, number: usize) {
        let mut effects = Vec::new();
        if let Some(process) = &mut self.processes[number] {
            process.membership.leave(self.now, &mut effects);
        }
        self.apply_effects(number, effects);
        self.kill(number);
    }

    /// A process is stopped for a span; packets wait for it, time does not.
    pub fn pause(&mut self, number: usize, span: Micros) {
        self.pause_until(number, self.now + span);
        self.schedule_wake(number, self.now + span);
    }

    fn pause_until(&mut self, number: usize, until: Micros) {
        if let Some(process) = &mut self.processes[number] {
            process.paused_until = until;
        }
    }

    /// Lets a fault happen now. A process that starts asks the first member.
    pub fn apply_fault(&mut self, fault: &Fault) {
        self.links.apply(fault);
        match *fault {
            Fault::Process { member: whom, action: ProcessAction::Pause } => {
                self.pause_until(whom, Micros::MAX)
            }
            Fault::Process { member: whom, action: ProcessAction::Resume } => {
                self.pause_until(whom, self.now);
                self.schedule_wake(whom, self.now);
            }
            Fault::Process { member: whom, action: ProcessAction::Kill } => self.kill(whom),
            Fault::Process { member: whom, action: ProcessAction::Start } => {
                self.start(whom, self.generations[whom] + 1, &[0])
            }
            _ => {}
        }
    }

    /// Plays a plan from now to its last step.
    pub fn run_plan(&mut self, plan: &FaultPlan) {
        let start = self.now;
        for FaultStep { at, fault } in &plan.steps {
            self.run((start + micros(*at)).saturating_sub(self.now));
            self.apply_fault(fault);
        }
    }

    /// Runs until something holds, a step at a time; after how long, or nothing where it did not within a span.
    pub fn run_until(
        &mut self,
        within: Micros,
        step: Micros,
        mut holds: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> Option<Micros> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= within {
                return None;
            }
            self.run(step);
        }
        Some(self.now - start)
    }

    fn schedule(&mut self, at: Micros, whom: usize, event: NetworkEvent) {
        self.scheduled += 1;
        self.events.insert(self.scheduled, event);
        self.queue.push(Reverse((at, self.scheduled, whom)));
    }

    /// A process wakes then, and not before.
    fn schedule_wake(&mut self, whom: usize, at: Micros) {
        if let Some(process) = &mut self.processes[whom] {
            process.wake_at = at;
            self.schedule(at, whom, NetworkEvent::WakeDue(whom));
        }
    }

    /// Time goes on by a span.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(&Reverse((at, number, _))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.events.remove(&number) {
                Some(NetworkEvent::PacketArrived(whom, packet)) => self.deliver(whom, packet),
                Some(NetworkEvent::WakeDue(whom)) => self.wake(whom),
                None => {}
            }
        }
        self.now = until;
    }

    /// A packet comes to a member, from whomever.
    pub fn deliver(&mut self, whom: usize, packet: Vec<u8>) {
        let now = self.now;
        let Some(process) = &mut self.processes[whom] else { return };
        if process.paused_until > now {
            process.waiting_packets.push(packet);
            return;
        }
        self.handle_input(whom, Input::Packet(&packet));
    }

    fn wake(&mut self, whom: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[whom] else { return };
        if process.paused_until > now || process.wake_at > now {
            return;
        }
        for packet in std::mem::take(&mut process.waiting_packets) {
            self.handle_input(whom, Input::Packet(&packet));
        }
        self.handle_input(whom, Input::TimerDue);
    }

    /// Hands something to a member; why it was not taken, if so.
    pub fn handle_input(&mut self, whom: usize, input: Input<'_>) -> Option<PacketError> {
        let now = self.now;
        let Some(process) = &mut self.processes[whom] else { return None };
        let mut effects = Vec::new();
        let taken = process.membership.handle(now, input, &mut effects);
        let due = process.membership.next_due().map(|due| due.max(now + 1));
        if let Some(due) = due.filter(|&due| process.wake_at <= now || due < process.wake_at) {
            self.schedule_wake(whom, due);
        }
        self.apply_effects(whom, effects);
        taken.err()
    }

    fn apply_effects(&mut self, whom: usize, effects: Vec<Effect>) {
        let now = self.now;
        for effect in effects {
            let Effect::SendPacket { to, packet } = effect else {
                self.effects.push((now, whom, effect));
                continue;
            };
            assert!(packet.len() <= MAX_PACKET_BYTES, "{} bytes", packet.len());
            self.packets += 1;
            self.bytes += packet.len() as u64;
            let Some(to) = number(to).filter(|&to| to < self.processes.len()) else { continue };
            let [first, second] = self.links.delivery_delays(whom, to, &mut self.random);
            if let Some(way) = second {
                self.schedule(now + micros(way), to, NetworkEvent::PacketArrived(to, packet.clone()));
            }
            if let Some(way) = first {
                self.schedule(now + micros(way), to, NetworkEvent::PacketArrived(to, packet));
            }
        }
    }

    /// Whom a member sees.
    pub fn visible_members(&self, by: usize) -> Vec<&Member> {
        self.processes[by].as_ref().map(|of| of.membership.members().collect()).unwrap_or_default()
    }

    /// What a member that runs knows.
    ///
    /// # Panics
    /// It does not run.
    pub fn membership(&self, number: usize) -> &Membership {
        &self.processes[number].as_ref().expect("it runs").membership
    }

    /// Whether one sees another.
    pub fn can_see(&self, by: usize, whom: usize) -> bool {
        self.visible_members(by).iter().any(|member| member.address == address(whom))
    }

    /// Whether each that runs sees so many others.
    pub fn all_see(&self, others: usize) -> bool {
        let running = (0..self.processes.len()).filter(|&at| self.processes[at].is_some());
        running.into_iter().all(|at| self.visible_members(at).len() == others)
    }

    /// Who was said to be down, with the instants.
    pub fn reported_failures(&self) -> Vec<(Micros, usize, &str)> {
        self.effects
            .iter()
            .filter_map(|(at, by, effect)| match effect {
                Effect::MemberDown(member) => Some((*at, *by, member.name.as_str())),
                _ => None,
            })
            .collect()
    }
}
