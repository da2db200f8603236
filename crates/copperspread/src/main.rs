//! One real scheduler: starts, serves until SIGTERM, answers what it has taken and ends. On SIGHUP it
//! reads its configuration again.
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use copperspread_decisions::{Micros, SECOND};
use copperspread_node::back::http::{CALL_BACK_PATH, RealServers, call_backs};
use copperspread_node::clock::{Clock, from_now};
use copperspread_node::decisions::Decisions;
use copperspread_node::ending::Ending;
use copperspread_node::entries::ServiceEntries;
use copperspread_node::front::Front;
use copperspread_node::front::http::{Guest, front};
use copperspread_node::invariant::{counts, log};
use copperspread_node::node::Node;
use copperspread_node::source::fixed::Fixed;
use copperspread_node::source::targets::Targets;
use copperspread_node::source::{Membership, Source};
use copperspread_settings::{List, SourceSpec, Start, platform};
use http::uri::Authority;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The longest time that jobs get after SIGTERM, with half a second to the kill that follows at the
/// soonest 0.7 s later.
const ANSWERED_BY: Micros = 3 * SECOND + 200_000;
/// New edge connections keep coming for some tenths of a second after SIGTERM.
const LATECOMERS: Micros = SECOND;
/// How often the end looks whether all is answered.
const LOOK: Micros = 20_000;
/// Time for the last answers to be written.
const LAST_WORDS: Micros = 100_000;

fn read(path: &Path) -> Result<Start, String> {
    let content = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    platform::read_start(&content).map_err(|e| format!("{}: {e}", path.display()))
}

/// Where the program tells its source that the configuration names another list.
enum Moving {
    Targets(watch::Sender<Authority>),
    Fixed(watch::Sender<List>),
}

impl Moving {
    /// The source of a start, and the way to move it.
    fn source(spec: &SourceSpec, known: Option<u64>) -> (Moving, Box<dyn Source>) {
        match spec {
            SourceSpec::Targets(address) => {
                let (sender, address) = watch::channel(address.clone());
                (Moving::Targets(sender), Box::new(Targets { address, known }))
            }
            SourceSpec::Fixed(list) => {
                let (sender, list) = watch::channel(list.clone());
                (Moving::Fixed(sender), Box::new(Fixed(list)))
            }
        }
    }

    /// Moves to what another configuration names; whether that is somewhere else.
    fn follow(&self, spec: SourceSpec) -> bool {
        match (self, spec) {
            (Moving::Targets(sender), SourceSpec::Targets(new)) => sender.send_if_modified(|old| {
                let moved = *old != new;
                *old = new;
                moved
            }),
            (Moving::Fixed(sender), SourceSpec::Fixed(new)) => sender.send_if_modified(|old| {
                let moved = old.members != new.members;
                // The table takes no list that is older than its own.
                *old = List { revision: old.revision + 1, ..new };
                moved
            }),
            _ => false,
        }
    }
}

/// Reads the configuration again and follows the source that it names. Guards against one that cannot
/// be used: the old one stays.
fn read_again(path: &Path, started_with: &Start, source: &Moving) {
    let config = match read(path) {
        Ok(config) => config,
        Err(why) => return log(format_args!("the old configuration stays: {}", one_line(&why))),
    };
    let fixed = started_with.fixed_unlike(&config);
    if !fixed.is_empty() {
        log(format_args!("changes only with a new start: {}", fixed.join(", ")));
    }
    let moved = source.follow(config.source);
    log(format_args!("read the configuration again, discovery {}", if moved { "moves" } else { "stays" }));
}

fn one_line(text: &str) -> String {
    text.replace('\n', " ")
}

async fn serve(config: Start, path: &Path) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::start();
    let longest = config.given.decisions.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let entries = Arc::new(ServiceEntries::new(&config.given.node));
    let given = config.given.clone();
    let decisions = Decisions::new(given.decisions, config.seed, clock).map_err(|e| e.to_string())?;
    let membership = Membership::new(Arc::clone(&entries), Arc::clone(&decisions));
    let known = membership.remember(config.known.as_ref());
    let node = Arc::new(Node {
        clock,
        decisions: Arc::clone(&decisions),
        back: Arc::new(RealServers::new(&config.given.node, Arc::clone(&entries), config.sockets)),
        settings: given.node,
        ending: Ending::default(),
    });
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let take = Arc::new(call_backs(entries, decisions));
    let guest = Guest { path: CALL_BACK_PATH, take };
    let edge = front(Arc::clone(&node), guest, listener, config.sockets, config.memory_mb);
    let (moving, source) = Moving::source(&config.source, known);
    tokio::spawn(source.follow(membership));
    tokio::spawn(Arc::clone(&edge).accept());
    log(format_args!("{} serves on {}", config.name, config.listen));

    loop {
        tokio::select! {
            biased;
            _ = term.recv() => break,
            // Guards against an end by SIGHUP, also after SIGTERM: the handler stays.
            _ = hup.recv() => read_again(path, &config, &moving),
        }
    }
    let by = from_now(longest.min(ANSWERED_BY));
    let latecomers = from_now(LATECOMERS);
    node.ending.begin(by);
    log(format_args!("ending, {} flows to answer", node.decisions.flows()));
    // Connections and call-backs are taken until the last.
    while Instant::now() < latecomers || (Front::busy(&*edge) > 0 && Instant::now() < by) {
        sleep_until(from_now(LOOK)).await;
    }
    sleep_until(from_now(LAST_WORDS)).await;
    for (what, count) in counts() {
        log(format_args!("{what}: {count} in all"));
    }
    log(format_args!("ended, {} requests left", Front::busy(&*edge)));
    Ok(())
}

fn start() -> Result<(), String> {
    let path = std::env::var_os("EDGE_CONFIG").ok_or("EDGE_CONFIG names no configuration")?;
    let path = Path::new(&path);
    let config = read(path)?;
    // One core: one thread does all the work.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve(config, path))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log(format_args!("{}", one_line(&why)));
            ExitCode::FAILURE
        }
    }
}
