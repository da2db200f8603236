//! The fleet under test.
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use copperspread_fault_injection::{Act, Fault, Links, Plan, Weather};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::block::{Block, LISTEN_PORT, PEERS_PORT, both};
use crate::process::Process;
use crate::relay::{self, Net};
use crate::view::{View, Viewer};

/// Most members: those that a block has numbers for, and more than a machine should run.
const MOST_MEMBERS: usize = 200;
/// Between two looks at what is awaited.
const LOOK: Duration = Duration::from_millis(50);
/// Lines of each log that a failure shows.
const LOG_LINES: usize = 12;

/// What a fleet is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// How many members there can be.
    pub members: usize,
    /// Those that all are told of as seeds.
    pub seeds: Vec<usize>,
    /// Settles what the relays do.
    pub chance: u64,
    /// Between two probes of a member.
    pub probe_interval: Duration,
    /// The time for a direct answer.
    pub probe_timeout: Duration,
    /// Suspicion, in probe intervals.
    pub suspicion: f64,
}

impl Setup {
    /// Members with the first one as seed, a probe each 200 ms and suspicions of a second.
    pub fn new(program: impl Into<PathBuf>, members: usize) -> Setup {
        Setup {
            program: program.into(),
            members,
            seeds: vec![0],
            chance: 1,
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(80),
            suspicion: 5.0,
        }
    }
}

struct Place {
    /// Where it answers HTTP.
    listen: SocketAddr,
    /// Where it is bound for its peers.
    bind: SocketAddr,
    /// Where peers reach it: its relay.
    advertise: SocketAddr,
    process: Option<Process>,
    paused: bool,
}

/// Real processes, and the relays between them. Dropped, all end.
pub struct Fleet {
    setup: Setup,
    // Before the folder and the runtime, so that the processes go first.
    places: Vec<Place>,
    net: Arc<Net>,
    viewer: Viewer,
    folder: TempDir,
    runtime: Runtime,
}

/// In memory where the machine has such a folder: a busy disk must not hold up a start.
fn folder() -> TempDir {
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
    pub fn new(setup: Setup) -> Fleet {
        assert!(setup.members <= MOST_MEMBERS, "{} members", setup.members);
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().expect("a runtime");
        let net = Arc::new(Net::new(Block::claim(), Links::new(Weather::FAIR), setup.chance));
        let place = |number| {
            let (streams, packets, advertise) = both(net.block.relays());
            let own = net.block.member(number);
            // The block is this fleet's own, and the system gives out higher ports: nobody else has these when
            // the process starts, or starts again.
            let (listen, bind) = (SocketAddr::from((own, LISTEN_PORT)), SocketAddr::from((own, PEERS_PORT)));
            runtime.spawn(relay::packets(Arc::clone(&net), number, packets, bind));
            runtime.spawn(relay::streams(Arc::clone(&net), number, streams, bind));
            Place { listen, bind, advertise, process: None, paused: false }
        };
        let places = (0..setup.members).map(place).collect();
        let folder = folder();
        std::fs::write(folder.path().join("key"), "a key for the tests alone\n").expect("a key");
        Fleet { setup, places, net, viewer: Viewer::new(), folder, runtime }
    }

    /// All run, and each sees all others.
    ///
    /// # Panics
    /// They do not within 30 s.
    pub fn joined(setup: Setup) -> Fleet {
        let mut fleet = Fleet::new(setup);
        (0..fleet.places.len()).for_each(|number| fleet.start(number));
        fleet.all_see_all(Duration::from_secs(30), "at the start");
        fleet
    }

    /// The name of a member.
    pub fn name(number: usize) -> String {
        format!("n{number}")
    }

    /// Where a member takes its peers' packets, past its relay.
    pub fn bound(&self, number: usize) -> SocketAddr {
        self.places[number].bind
    }

    /// Where a member's peers reach it: its relay.
    pub fn advertised(&self, number: usize) -> SocketAddr {
        self.places[number].advertise
    }

    /// Starts a member's process, in place of the one that runs, if any.
    ///
    /// # Panics
    /// It cannot be started.
    pub fn start(&mut self, number: usize) {
        let path = self.folder.path().join(format!("{number}.toml"));
        std::fs::write(&path, self.configuration(number)).expect("a configuration");
        let log = File::options().create(true).append(true).open(self.log(number)).expect("a log");
        let place = &mut self.places[number];
        place.process = None;
        place.process = Some(Process::start(&self.setup.program, &path, log));
        place.paused = false;
    }

    fn configuration(&self, number: usize) -> String {
        let Place { listen, bind, advertise, .. } = &self.places[number];
        let seeds: Vec<_> =
            self.setup.seeds.iter().map(|&seed| format!("'{}'", self.places[seed].advertise)).collect();
        let (zones, zone) = (["arnhem", "zwolle", "eindhoven"], number % 3);
        let Setup { probe_interval, probe_timeout, suspicion, .. } = &self.setup;
        format!(
            "name = '{name}'\n[front.http]\nlisten = '{listen}'\n\
             [zones]\nnames = {zones:?}\nhere = '{zone}'\n\
             [[source.workers]]\nid = 'r0'\naddress = '{worker}:9'\n\
             [[classes]]\nname = 'once'\n\
             [cluster]\nbind = '{bind}'\nadvertise = '{advertise}'\nseeds = [{seeds}]\nkey_file = '{key}'\n\
             region = 'nl'\nprobe_interval = '{interval}ms'\nprobe_timeout = '{timeout}ms'\n\
             indirect = 3\nsuspicion = {suspicion:?}\n",
            name = Fleet::name(number),
            zone = zones[zone],
            worker = listen.ip(),
            seeds = seeds.join(", "),
            key = self.folder.path().join("key").display(),
            interval = probe_interval.as_millis(),
            timeout = probe_timeout.as_millis(),
        )
    }

    fn log(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("{number}.log"))
    }

    /// Lets a fault happen now.
    ///
    /// # Panics
    /// A process is to be paused or resumed that does not run.
    pub fn happens(&mut self, fault: &Fault) {
        self.net.change(|links| links.take(fault));
        let Fault::Process(whom, act) = *fault else { return };
        let running = |place: &Place| place.process.is_some();
        assert!(act == Act::Start || running(&self.places[whom]), "{act:?} of {whom}, which does not run");
        match act {
            Act::Start => self.start(whom),
            Act::Kill => self.places[whom].process = None,
            Act::Pause | Act::Resume => {
                let place = &mut self.places[whom];
                place.paused = act == Act::Pause;
                if let Some(process) = &place.process {
                    if place.paused { process.stop() } else { process.go_on() }
                }
            }
        }
    }

    /// Plays a plan from now to its last step.
    pub fn play(&mut self, plan: &Plan) {
        let start = Instant::now();
        for (at, fault) in &plan.steps {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.happens(fault);
        }
    }

    /// What a member says now.
    ///
    /// # Errors
    /// It does not answer, or not with a view.
    pub fn view(&self, number: usize) -> Result<View, String> {
        self.runtime.block_on(self.viewer.ask(self.places[number].listen))
    }

    /// Those that run and are not paused.
    pub fn awake(&self) -> Vec<usize> {
        let awake = |place: &Place| place.process.is_some() && !place.paused;
        (0..self.places.len()).filter(|&number| awake(&self.places[number])).collect()
    }

    /// Waits until something holds of the views of all that are awake, with their numbers; after how long it did.
    ///
    /// # Panics
    /// It does not within the bound, or a process ends by itself.
    pub fn until(
        &mut self,
        bound: Duration,
        what: &str,
        holds: impl Fn(&[(usize, View)]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let looked: Vec<_> = self.awake().into_iter().map(|number| (number, self.view(number))).collect();
            let said: Result<Vec<_>, _> =
                looked.iter().map(|(number, view)| view.clone().map(|view| (*number, view))).collect();
            if said.is_ok_and(|views| holds(&views)) {
                return start.elapsed();
            }
            let ended = |place: &mut Place| place.process.as_mut().is_some_and(Process::ended);
            let ended = self.places.iter_mut().position(ended);
            if let Some(number) = ended {
                panic!("awaited: {what}; {} has ended by itself\n{}", Fleet::name(number), self.tail(number));
            }
            if start.elapsed() > bound {
                panic!("awaited for {bound:?}: {what}\n{}", self.told(&looked));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Waits until each that is awake sees exactly the others that are; after how long.
    ///
    /// # Panics
    /// They do not within the bound.
    pub fn all_see_all(&mut self, bound: Duration, when: &str) -> Duration {
        let awake: Vec<_> = self.awake().into_iter().map(Fleet::name).collect();
        let what = format!("{when}, each of {awake:?} sees the others and nobody else");
        self.until(bound, &what, |views| {
            views.iter().all(|(number, view)| {
                let own = Fleet::name(*number);
                view.members.len() + 1 == awake.len()
                    && awake.iter().all(|name| *name == own || view.sees(name))
            })
        })
    }

    /// What all said last, and the ends of their logs.
    fn told(&self, looked: &[(usize, Result<View, String>)]) -> String {
        let line = |(number, view): &(usize, Result<View, String>)| {
            let view = match view {
                Ok(view) => {
                    let seen: Vec<_> = view.members.iter().map(|member| &*member.name).collect();
                    format!(
                        "sees {seen:?}, doubt {}, pauses {}, {:?}",
                        view.doubt, view.pauses, view.rejected
                    )
                }
                Err(why) => why.clone(),
            };
            format!("{}: {view}\n{}", Fleet::name(*number), self.tail(*number))
        };
        looked.iter().map(line).collect()
    }

    fn tail(&self, number: usize) -> String {
        let log = std::fs::read_to_string(self.log(number)).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].iter().map(|line| format!("    {line}\n")).collect()
    }
}
