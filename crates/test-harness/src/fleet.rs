//! The fleet under test. It starts the processes of its members and applies faults to them.
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

/// Maximum number of members of a fleet. An address block has addresses for this many members, and more
/// processes would overload a machine.
const MAX_MEMBERS: usize = 200;
/// Number of threads that run the HTTP client and the relays of a fleet. A relay forwards packets and streams
/// to one member, and applies the faults of the network links between the members.
const RUNTIME_THREADS: usize = 2;
/// How long a new fleet waits at most until all its members see each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// A member's addresses, and its process while the process runs or is paused.
struct FleetMember {
    http_address: SocketAddr,
    membership_address: SocketAddr,
    /// The address at which the relay in front of the member receives packets and streams for the member. The
    /// member advertises this address to the other members.
    relay_address: SocketAddr,
    process: Option<SchedulerProcess>,
    is_paused: bool,
}

impl FleetMember {
    /// Binds the sockets of the relay that forwards packets and streams to a member, and spawns the relay's
    /// tasks. The tasks end with the asynchronous runtime.
    fn new(network: &Arc<FaultyNetwork>, member: usize, runtime: &Runtime) -> FleetMember {
        let sockets = network.addresses.bind_relay();
        // The member's HTTP port and membership port stay free until its process starts or restarts. No other
        // fleet uses this address block, and the system assigns ephemeral ports from a higher range.
        let http_address = network.addresses.http_address(member);
        let membership_address = network.addresses.membership_address(member);
        runtime.spawn(relay::relay_packets(Arc::clone(network), member, sockets.udp, membership_address));
        runtime.spawn(relay::relay_streams(Arc::clone(network), member, sockets.tcp, membership_address));
        let relay_address = sockets.address;
        FleetMember { http_address, membership_address, relay_address, process: None, is_paused: false }
    }

    /// Whether the process of the member runs and is not paused.
    fn is_active(&self) -> bool {
        self.process.is_some() && !self.is_paused
    }
}

/// A fleet of scheduler processes under test. The members send each other packets and streams through relays,
/// which can apply faults. When the fleet is dropped, its processes and relays end.
pub struct Fleet {
    config: FleetConfig,
    // Fields are dropped in the order of their declaration. The members come before the directory and the
    // runtime, so that the processes end before both.
    fleet_members: Vec<FleetMember>,
    network: Arc<FaultyNetwork>,
    client: MembershipClient,
    directory: TempDir,
    runtime: Runtime,
}

/// Creates the directory for the fleet's files. If the machine has `/dev/shm`, the directory is in memory, so
/// that a busy disk does not delay the start of a process.
fn create_directory() -> TempDir {
    let (mut builder, memory) = (tempfile::Builder::new(), Path::new("/dev/shm"));
    let builder = builder.prefix("copperspread-fleet-");
    let created = if memory.is_dir() { builder.tempdir_in(memory) } else { builder.tempdir() };
    created.expect("a temporary directory can be created")
}

impl Fleet {
    /// Creates a fleet with its addresses and relays, but starts no process yet.
    ///
    /// # Panics
    /// Panics if the configuration has more than 200 members, no address block is free, or sockets, threads
    /// or files cannot be created.
    pub fn new(config: FleetConfig) -> Fleet {
        assert!(
            config.member_count <= MAX_MEMBERS,
            "a fleet has at most {MAX_MEMBERS} members, not {}",
            config.member_count
        );
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime =
            builder.worker_threads(RUNTIME_THREADS).enable_all().build().expect("the runtime can be built");
        let links = NetworkLinks::new(LinkConditions::IDEAL);
        let network = Arc::new(FaultyNetwork::new(AddressBlock::claim(), links, config.link_fault_seed));
        let fleet_members =
            (0..config.member_count).map(|member| FleetMember::new(&network, member, &runtime)).collect();
        let directory = create_directory();
        let fleet =
            Fleet { config, fleet_members, network, client: MembershipClient::new(), directory, runtime };
        std::fs::write(fleet.key_path(), "a key for the tests alone\n").expect("the key file can be written");
        fleet
    }

    /// Creates a fleet, starts all its members and waits until each member sees all others.
    ///
    /// # Panics
    /// Panics as [`Fleet::new`] and [`Fleet::start`] do, or if the members do not see each other within 30 s.
    pub fn start_joined(config: FleetConfig) -> Fleet {
        let mut fleet = Fleet::new(config);
        (0..fleet.fleet_members.len()).for_each(|member| fleet.start(member));
        fleet.wait_for_full_membership(JOIN_TIMEOUT, "at the start");
        fleet
    }

    /// Returns the name of the member with this number, counted from 0.
    pub fn member_name(member: usize) -> String {
        format!("n{member}")
    }

    /// Returns the address on which a member itself receives packets and streams. What is sent to this
    /// address does not pass through the member's relay.
    pub fn membership_address(&self, member: usize) -> SocketAddr {
        self.fleet_members[member].membership_address
    }

    /// Returns the address of a member's relay, to which the other members send packets and streams.
    pub fn relay_address(&self, member: usize) -> SocketAddr {
        self.fleet_members[member].relay_address
    }

    /// Starts the process of a member. If the member already has a process, that process is killed first.
    ///
    /// # Panics
    /// Panics if the process cannot be started, or its configuration or log cannot be written.
    pub fn start(&mut self, member: usize) {
        let path = self.directory.path().join(format!("{member}.toml"));
        std::fs::write(&path, self.config_toml(member)).expect("the configuration file can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(member))
            .expect("the log file can be opened");
        let fleet_member = &mut self.fleet_members[member];
        // The old process must end before the new one binds the same ports.
        fleet_member.process = None;
        fleet_member.process = Some(SchedulerProcess::start(&self.config.scheduler_program, &path, log));
        fleet_member.is_paused = false;
    }

    fn config_toml(&self, member: usize) -> String {
        let fleet_member = &self.fleet_members[member];
        let config = MemberConfig {
            number: member,
            name: Fleet::member_name(member),
            http_address: fleet_member.http_address,
            membership_address: fleet_member.membership_address,
            relay_address: fleet_member.relay_address,
            seed_addresses: self.config.seed_members.iter().map(|&seed| self.relay_address(seed)).collect(),
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

    /// Applies a fault to the fleet immediately.
    ///
    /// # Panics
    /// Panics if the fault pauses, resumes or kills the process of a member that is not running, or starts a
    /// process that cannot be started.
    pub fn apply_fault(&mut self, fault: &Fault) {
        self.network.update_links(|links| links.apply(fault));
        if let Fault::Process { member, action } = *fault {
            self.apply_process_action(member, action);
        }
    }

    fn apply_process_action(&mut self, member: usize, action: ProcessAction) {
        let is_running = self.fleet_members[member].process.is_some();
        assert!(
            action == ProcessAction::Start || is_running,
            "cannot apply {action:?}: member {member} is not running"
        );
        match action {
            ProcessAction::Start => self.start(member),
            ProcessAction::Kill => self.fleet_members[member].process = None,
            ProcessAction::Pause | ProcessAction::Resume => {
                let fleet_member = &mut self.fleet_members[member];
                fleet_member.is_paused = action == ProcessAction::Pause;
                if let Some(process) = &fleet_member.process {
                    if fleet_member.is_paused { process.pause() } else { process.resume() }
                }
            }
        }
    }

    /// Applies the faults of a fault plan, each at its time, and returns after the last fault.
    ///
    /// # Panics
    /// Panics as [`Fleet::apply_fault`] does.
    pub fn execute_plan(&mut self, plan: &FaultPlan) {
        let start = Instant::now();
        for FaultStep { at, fault } in &plan.steps {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.apply_fault(fault);
        }
    }

    /// Fetches a member's current view of the membership.
    ///
    /// # Errors
    /// Returns a [`ViewError`] if the member does not respond, or does not respond with a valid view.
    pub fn view(&self, member: usize) -> Result<MembershipView, ViewError> {
        self.runtime.block_on(self.client.fetch_view(self.fleet_members[member].http_address))
    }

    /// Returns the numbers of the members whose processes run and are not paused.
    pub fn running_members(&self) -> Vec<usize> {
        (0..self.fleet_members.len()).filter(|&member| self.fleet_members[member].is_active()).collect()
    }
}
