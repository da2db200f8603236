//! The fleet under test.
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use copperspread_fault_injection::{Fault, FaultPlan, LinkConditions, NetworkLinks, ProcessAction};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::block::{AddressBlock, LISTEN_PORT, MEMBERSHIP_PORT, bind_tcp_and_udp};
use crate::process::SchedulerProcess;
use crate::relay::{self, FaultyNetwork};
use crate::view::{MembershipClient, MembershipView};

/// Most members: those that a block has numbers for, and more than a machine should run.
const MAX_MEMBERS: usize = 200;
/// Between two looks at what is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Lines of each log that a failure shows.
const MAX_SHOWN_LOG_LINES: usize = 12;

/// What a fleet is started with.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The program.
    pub program: PathBuf,
    /// How many members there can be.
    pub members: usize,
    /// Those that all are told of as seeds.
    pub seeds: Vec<usize>,
    /// Settles what the relays do.
    pub seed: u64,
    /// Between two probes of a member.
    pub probe_interval: Duration,
    /// The time for a direct answer.
    pub probe_timeout: Duration,
    /// Suspicion, in probe intervals.
    pub suspicion_multiplier: f64,
}

impl FleetConfig {
    /// Members with the first one as seed, a probe each 200 ms and suspicions of a second.
    pub fn new(program: impl Into<PathBuf>, members: usize) -> FleetConfig {
        FleetConfig {
            program: program.into(),
            members,
            seeds: vec![0],
            seed: 1,
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(80),
            suspicion_multiplier: 5.0,
        }
    }
}

struct MemberSlot {
    /// Where it answers HTTP.
    http_address: SocketAddr,
    /// Where it is bound for its peers.
    membership_address: SocketAddr,
    /// Where peers reach it: its relay.
    relay_address: SocketAddr,
    process: Option<SchedulerProcess>,
    is_paused: bool,
}

/// Real processes, and the relays between them. Dropped, all end.
pub struct Fleet {
    config: FleetConfig,
    // Before the folder and the runtime, so that the processes go first.
    slots: Vec<MemberSlot>,
    network: Arc<FaultyNetwork>,
    client: MembershipClient,
    directory: TempDir,
    runtime: Runtime,
}

/// In memory where the machine has such a folder: a busy disk must not hold up a start.
fn create_directory() -> TempDir {
    let (mut builder, memory) = (tempfile::Builder::new(), Path::new("/dev/shm"));
    let builder = builder.prefix("copperspread-fleet-");
    let made = if memory.is_dir() { builder.tempdir_in(memory) } else { builder.tempdir() };
    made.expect("a folder")
}

impl Fleet {
    /// Places and relays; no process runs yet.
    ///
    /// # Panics
    /// More members than there is room for, or the system refuses sockets.
    pub fn new(setup: FleetConfig) -> Fleet {
        assert!(setup.members <= MAX_MEMBERS, "{} members", setup.members);
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().expect("a runtime");
        let net = Arc::new(FaultyNetwork::new(
            AddressBlock::claim(),
            NetworkLinks::new(LinkConditions::IDEAL),
            setup.seed,
        ));
        let place = |number| {
            let (streams, packets, advertise) = bind_tcp_and_udp(net.block.relay_address());
            let own = net.block.member_address(number);
            // The block is this fleet's own, and the system gives out higher ports: nobody else has these when
            // the process starts, or starts again.
            let (listen, bind) =
                (SocketAddr::from((own, LISTEN_PORT)), SocketAddr::from((own, MEMBERSHIP_PORT)));
            runtime.spawn(relay::relay_packets(Arc::clone(&net), number, packets, bind));
            runtime.spawn(relay::relay_streams(Arc::clone(&net), number, streams, bind));
            MemberSlot {
                http_address: listen,
                membership_address: bind,
                relay_address: advertise,
                process: None,
                is_paused: false,
            }
        };
        let places = (0..setup.members).map(place).collect();
        let folder = create_directory();
        std::fs::write(folder.path().join("key"), "a key for the tests alone\n").expect("a key");
        Fleet {
            config: setup,
            slots: places,
            network: net,
            client: MembershipClient::new(),
            directory: folder,
            runtime,
        }
    }

    /// All run, and each sees all others.
    ///
    /// # Panics
    /// They do not within 30 s.
    pub fn start_joined(setup: FleetConfig) -> Fleet {
        let mut fleet = Fleet::new(setup);
        (0..fleet.slots.len()).for_each(|number| fleet.start(number));
        fleet.wait_for_full_membership(Duration::from_secs(30), "at the start");
        fleet
    }

    /// The name of a member.
    pub fn member_name(number: usize) -> String {
        format!("n{number}")
    }

    /// Where a member takes its peers' packets, past its relay.
    pub fn membership_address(&self, number: usize) -> SocketAddr {
        self.slots[number].membership_address
    }

    /// Where a member's peers reach it: its relay.
    pub fn relay_address(&self, number: usize) -> SocketAddr {
        self.slots[number].relay_address
    }

    /// Starts a member's process, in place of the one that runs, if any.
    ///
    /// # Panics
    /// It cannot be started.
    pub fn start(&mut self, number: usize) {
        let path = self.directory.path().join(format!("{number}.toml"));
        std::fs::write(&path, self.config_text(number)).expect("a configuration");
        let log = File::options().create(true).append(true).open(self.log_path(number)).expect("a log");
        let place = &mut self.slots[number];
        place.process = None;
        place.process = Some(SchedulerProcess::start(&self.config.program, &path, log));
        place.is_paused = false;
    }

    fn config_text(&self, number: usize) -> String {
        let MemberSlot { http_address: listen, membership_address: bind, relay_address: advertise, .. } =
            &self.slots[number];
        let seeds: Vec<_> =
            self.config.seeds.iter().map(|&seed| format!("'{}'", self.slots[seed].relay_address)).collect();
        let (zones, zone) = (["arnhem", "zwolle", "eindhoven"], number % 3);
        let FleetConfig { probe_interval, probe_timeout, suspicion_multiplier: suspicion, .. } = &self.config;
        format!(
            "name = '{name}'\n[front.http]\nlisten = '{listen}'\n\
             [zones]\nnames = {zones:?}\nhere = '{zone}'\n\
             [[source.workers]]\nid = 'r0'\naddress = '{worker}:9'\n\
             [[classes]]\nname = 'once'\n\
             [cluster]\nbind = '{bind}'\nadvertise = '{advertise}'\nseeds = [{seeds}]\nkey_file = '{key}'\n\
             region = 'nl'\nprobe_interval = '{interval}ms'\nprobe_timeout = '{timeout}ms'\n\
             indirect = 3\nsuspicion = {suspicion:?}\n",
            name = Fleet::member_name(number),
            zone = zones[zone],
            worker = listen.ip(),
            seeds = seeds.join(", "),
            key = self.directory.path().join("key").display(),
            interval = probe_interval.as_millis(),
            timeout = probe_timeout.as_millis(),
        )
    }

    fn log_path(&self, number: usize) -> PathBuf {
        self.directory.path().join(format!("{number}.log"))
    }

    /// Lets a fault happen now.
    ///
    /// # Panics
    /// A process is to be paused or resumed that does not run.
    pub fn apply_fault(&mut self, fault: &Fault) {
        self.network.update_links(|links| links.apply(fault));
        let Fault::Process(whom, act) = *fault else { return };
        let running = |place: &MemberSlot| place.process.is_some();
        assert!(
            act == ProcessAction::Start || running(&self.slots[whom]),
            "{act:?} of {whom}, which does not run"
        );
        match act {
            ProcessAction::Start => self.start(whom),
            ProcessAction::Kill => self.slots[whom].process = None,
            ProcessAction::Pause | ProcessAction::Resume => {
                let place = &mut self.slots[whom];
                place.is_paused = act == ProcessAction::Pause;
                if let Some(process) = &place.process {
                    if place.is_paused { process.pause() } else { process.resume() }
                }
            }
        }
    }

    /// Plays a plan from now to its last step.
    pub fn play(&mut self, plan: &FaultPlan) {
        let start = Instant::now();
        for (at, fault) in &plan.steps {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.apply_fault(fault);
        }
    }

    /// What a member says now.
    ///
    /// # Errors
    /// It does not answer, or not with a view.
    pub fn view(&self, number: usize) -> Result<MembershipView, String> {
        self.runtime.block_on(self.client.fetch_view(self.slots[number].http_address))
    }

    /// Those that run and are not paused.
    pub fn running_members(&self) -> Vec<usize> {
        let awake = |place: &MemberSlot| place.process.is_some() && !place.is_paused;
        (0..self.slots.len()).filter(|&number| awake(&self.slots[number])).collect()
    }

    /// Waits until something holds of the views of all that are awake, with their numbers; after how long it did.
    ///
    /// # Panics
    /// It does not within the bound, or a process ends by itself.
    pub fn wait_until(
        &mut self,
        bound: Duration,
        what: &str,
        holds: impl Fn(&[(usize, MembershipView)]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let looked: Vec<_> =
                self.running_members().into_iter().map(|number| (number, self.view(number))).collect();
            let said: Result<Vec<_>, _> =
                looked.iter().map(|(number, view)| view.clone().map(|view| (*number, view))).collect();
            if said.is_ok_and(|views| holds(&views)) {
                return start.elapsed();
            }
            let ended =
                |place: &mut MemberSlot| place.process.as_mut().is_some_and(SchedulerProcess::has_exited);
            let ended = self.slots.iter_mut().position(ended);
            if let Some(number) = ended {
                panic!(
                    "awaited: {what}; {} has ended by itself\n{}",
                    Fleet::member_name(number),
                    self.log_tail(number)
                );
            }
            if start.elapsed() > bound {
                panic!("awaited for {bound:?}: {what}\n{}", self.describe_views(&looked));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until each that is awake sees exactly the others that are; after how long.
    ///
    /// # Panics
    /// They do not within the bound.
    pub fn wait_for_full_membership(&mut self, bound: Duration, when: &str) -> Duration {
        let awake: Vec<_> = self.running_members().into_iter().map(Fleet::member_name).collect();
        let what = format!("{when}, each of {awake:?} sees the others and nobody else");
        self.wait_until(bound, &what, |views| {
            views.iter().all(|(number, view)| {
                let own = Fleet::member_name(*number);
                view.members.len() + 1 == awake.len()
                    && awake.iter().all(|name| *name == own || view.contains(name))
            })
        })
    }

    /// What all said last, and the ends of their logs.
    fn describe_views(&self, looked: &[(usize, Result<MembershipView, String>)]) -> String {
        let line = |(number, view): &(usize, Result<MembershipView, String>)| {
            let view = match view {
                Ok(view) => {
                    let seen: Vec<_> = view.members.iter().map(|member| &*member.name).collect();
                    format!(
                        "sees {seen:?}, doubt {}, pauses {}, {:?}",
                        view.local_health_multiplier, view.detected_pauses, view.rejected
                    )
                }
                Err(why) => why.clone(),
            };
            format!("{}: {view}\n{}", Fleet::member_name(*number), self.log_tail(*number))
        };
        looked.iter().map(line).collect()
    }

    fn log_tail(&self, number: usize) -> String {
        let log = std::fs::read_to_string(self.log_path(number)).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(MAX_SHOWN_LOG_LINES)..]
            .iter()
            .map(|line| format!("    {line}\n"))
            .collect()
    }
}
