//! One real scheduler: starts, serves until SIGTERM, answers what it has taken and ends. On SIGHUP it
//! reads its configuration again.
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use copperspread::net::Node;
use copperspread::net::clock::{Clock, from_now};
use copperspread::net::config::{self, Config};
use copperspread::net::decisions::Decisions;
use copperspread::net::edge::Ending;
use copperspread::net::edge_connection::Edge;
use copperspread::net::invariant::{counts, log};
use copperspread::net::real_server::RealServers;
use copperspread::net::service_entry::{self, ServiceEntries};
use copperspread::{Micros, SECOND};
use hyper::http::uri::Authority;
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

fn read(path: &Path) -> Result<Config, String> {
    let content = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    config::read(&content).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads the configuration again and follows the discovery that it names. Guards against one that
/// cannot be used: the old one stays.
fn read_again(path: &Path, started_with: &Config, discovery: &watch::Sender<Authority>) {
    let config = match read(path) {
        Ok(config) => config,
        Err(why) => return log(format_args!("the old configuration stays: {}", one_line(&why))),
    };
    let fixed = started_with.fixed_unlike(&config);
    if !fixed.is_empty() {
        log(format_args!("changes only with a new start: {}", fixed.join(", ")));
    }
    let moved = discovery.send_if_modified(|old| {
        let moved = *old != config.discovery;
        *old = config.discovery;
        moved
    });
    log(format_args!("read the configuration again, discovery {}", if moved { "moves" } else { "stays" }));
}

fn one_line(text: &str) -> String {
    text.replace('\n', " ")
}

async fn serve(config: Config, path: &Path) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::start();
    let longest = config.given.decisions.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let entries = Arc::new(ServiceEntries::new(&config.given.node));
    let given = config.given.clone();
    let decisions = Decisions::new(given.decisions, config.seed, clock).map_err(|e| e.to_string())?;
    let known = service_entry::remember(config.known.as_ref(), &entries, &decisions);
    let node = Arc::new(Node {
        clock,
        decisions: Arc::clone(&decisions),
        real_servers: RealServers::new(&config.given.node, Arc::clone(&entries), config.sockets),
        entries: Arc::clone(&entries),
        settings: given.node,
        ending: Ending::default(),
    });
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let edge = Edge::new(Arc::clone(&node), config.sockets, config.memory_mb);
    let (discovery, address) = watch::channel(config.discovery.clone());
    tokio::spawn(service_entry::follow(address, known, entries, decisions));
    tokio::spawn(Arc::clone(&edge).accept(listener));
    log(format_args!("{} serves on {}", config.name, config.listen));

    loop {
        tokio::select! {
            biased;
            _ = term.recv() => break,
            // Guards against an end by SIGHUP, also after SIGTERM: the handler stays.
            _ = hup.recv() => read_again(path, &config, &discovery),
        }
    }
    let by = from_now(longest.min(ANSWERED_BY));
    let latecomers = from_now(LATECOMERS);
    node.ending.begin(by);
    log(format_args!("ending, {} flows to answer", node.decisions.flows()));
    // Connections and call-backs are taken until the last.
    while Instant::now() < latecomers || (edge.busy() > 0 && Instant::now() < by) {
        sleep_until(from_now(LOOK)).await;
    }
    sleep_until(from_now(LAST_WORDS)).await;
    for (what, count) in counts() {
        log(format_args!("{what}: {count} in all"));
    }
    log(format_args!("ended, {} requests left", edge.busy()));
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
