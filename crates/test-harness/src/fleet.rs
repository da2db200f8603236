//! The fleet under test: its processes, and the faults that happen to them.
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use copperspread_fault_injection::{
    Fault, FaultPlan, FaultStep, LinkConditions, NetworkLinks, ProcessAction,
};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::address_block::AddressBlock;
use crate::client::{MembershipClient, ViewError};
use crate::config::{FleetConfig, MemberConfig};
use crate::process::SchedulerProcess;
use crate::relay::{self, FaultyNetwork};
use crate::view::MembershipView;

mod waits;

pub use waits::ObservedView;

/// Largest fleet: a block has addresses for these, and no machine should run more.
const MAX_MEMBERS: usize = 200;
/// Threads that run the relays and the HTTP client.
const WORKER_THREADS: usize = 2;
/// How long members may take to find each other at the start.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// One member's addresses, and its process if one runs.
struct MemberSlot {
    http_address: SocketAddr,
    membership_address: SocketAddr,
    /// Where peers reach it.
    relay_address: SocketAddr,
    process: Option<SchedulerProcess>,
    is_paused: bool,
}

impl MemberSlot {
    /// Binds a member's relay and starts the relay's tasks, which end with the runtime.
    fn new(network: &Arc<FaultyNetwork>, member: usize, runtime: &Runtime) -> MemberSlot {
        let sockets = network.addresses.bind_relay();
        // The block is this fleet's own, and the system gives out higher ports: nobody else has these when the
        // process starts, or starts again.
        let http_address = network.addresses.http_address(member);
        let membership_address = network.addresses.membership_address(member);
        runtime.spawn(relay::relay_packets(Arc::clone(network), member, sockets.udp, membership_address));
        runtime.spawn(relay::relay_streams(Arc::clone(network), member, sockets.tcp, membership_address));
        let relay_address = sockets.address;
        MemberSlot { http_address, membership_address, relay_address, process: None, is_paused: false }
    }

    fn is_awake(&self) -> bool {
        self.process.is_some() && !self.is_paused
    }
}

/// Real processes, and the relays between them. Dropped, all end.
pub struct Fleet {
    config: FleetConfig,
    // Before the directory and the runtime, so that the processes end first.
    slots: Vec<MemberSlot>,
    network: Arc<FaultyNetwork>,
    client: MembershipClient,
    directory: TempDir,
    runtime: Runtime,
}

/// In memory where the machine has such a directory: a busy disk must not delay a start.
fn create_directory() -> TempDir {
    let (mut builder, memory) = (tempfile::Builder::new(), Path::new("/dev/shm"));
    let builder = builder.prefix("copperspread-fleet-");
    let created = if memory.is_dir() { builder.tempdir_in(memory) } else { builder.tempdir() };
    created.expect("a directory")
}

impl Fleet {
    /// Addresses and relays; no process runs yet.
    ///
    /// # Panics
    /// More members than a block has addresses for, or the system refuses sockets.
    pub fn new(config: FleetConfig) -> Fleet {
        assert!(config.members <= MAX_MEMBERS, "{} members", config.members);
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(WORKER_THREADS).enable_all().build().expect("a runtime");
        let links = NetworkLinks::new(LinkConditions::IDEAL);
        let network = Arc::new(FaultyNetwork::new(AddressBlock::claim(), links, config.seed));
        let slots = (0..config.members).map(|member| MemberSlot::new(&network, member, &runtime)).collect();
        let directory = create_directory();
        let fleet = Fleet { config, slots, network, client: MembershipClient::new(), directory, runtime };
        std::fs::write(fleet.key_path(), "a key for the tests alone\n").expect("a key");
        fleet
    }

    /// All members run, and each sees all others.
    ///
    /// # Panics
    /// They do not within 30 s.
    pub fn start_joined(config: FleetConfig) -> Fleet {
        let mut fleet = Fleet::new(config);
        (0..fleet.slots.len()).for_each(|member| fleet.start(member));
        fleet.wait_for_full_membership(JOIN_TIMEOUT, "at the start");
        fleet
    }

    /// The name of a member.
    pub fn member_name(member: usize) -> String {
        format!("n{member}")
    }

    /// Where a member takes its peers' packets, past its relay.
    pub fn membership_address(&self, member: usize) -> SocketAddr {
        self.slots[member].membership_address
    }

    /// Where a member's peers reach it: its relay.
    pub fn relay_address(&self, member: usize) -> SocketAddr {
        self.slots[member].relay_address
    }

    /// Starts a member's process, in place of the one that runs, if any.
    ///
    /// # Panics
    /// It cannot be started.
    pub fn start(&mut self, member: usize) {
        let path = self.directory.path().join(format!("{member}.toml"));
        std::fs::write(&path, self.config_toml(member)).expect("a configuration");
        let log = File::options().create(true).append(true).open(self.log_path(member)).expect("a log");
        let slot = &mut self.slots[member];
        // The old process ends before the new one takes its ports.
        slot.process = None;
        slot.process = Some(SchedulerProcess::start(&self.config.program, &path, log));
        slot.is_paused = false;
    }

    fn config_toml(&self, member: usize) -> String {
        let slot = &self.slots[member];
        let config = MemberConfig {
            number: member,
            name: Fleet::member_name(member),
            http_address: slot.http_address,
            membership_address: slot.membership_address,
            relay_address: slot.relay_address,
            seed_addresses: self.config.seeds.iter().map(|&seed| self.relay_address(seed)).collect(),
            key_file: &self.key_path(),
        };
        config.to_toml(&self.config)
    }

    fn key_path(&self) -> PathBuf {
        self.directory.path().join("key")
    }

    fn log_path(&self, member: usize) -> PathBuf {
        self.directory.path().join(format!("{member}.log"))
    }

    /// Applies a fault now.
    ///
    /// # Panics
    /// A process is to be paused, resumed or killed that does not run.
    pub fn apply_fault(&mut self, fault: &Fault) {
        self.network.update_links(|links| links.apply(fault));
        if let Fault::Process { member, action } = *fault {
            self.apply_process_action(member, action);
        }
    }

    fn apply_process_action(&mut self, member: usize, action: ProcessAction) {
        let is_running = self.slots[member].process.is_some();
        assert!(action == ProcessAction::Start || is_running, "{action:?} of {member}, which does not run");
        match action {
            ProcessAction::Start => self.start(member),
            ProcessAction::Kill => self.slots[member].process = None,
            ProcessAction::Pause | ProcessAction::Resume => {
                let slot = &mut self.slots[member];
                slot.is_paused = action == ProcessAction::Pause;
                if let Some(process) = &slot.process {
                    if slot.is_paused { process.pause() } else { process.resume() }
                }
            }
        }
    }

    /// Plays a plan from now to its last step.
    ///
    /// # Panics
    /// As [`Fleet::apply_fault`].
    pub fn play(&mut self, plan: &FaultPlan) {
        let start = Instant::now();
        for FaultStep { at, fault } in &plan.steps {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.apply_fault(fault);
        }
    }

    /// What a member shows now.
    ///
    /// # Errors
    /// It does not respond, or not with a view.
    pub fn view(&self, member: usize) -> Result<MembershipView, ViewError> {
        self.runtime.block_on(self.client.fetch_view(self.slots[member].http_address))
    }

    /// The members whose processes run and are not paused.
    pub fn running_members(&self) -> Vec<usize> {
        (0..self.slots.len()).filter(|&member| self.slots[member].is_awake()).collect()
    }
}
