//! One scheduler: starts, serves until SIGTERM, answers what it has taken and ends. On SIGHUP it reads
//! its configuration again.
use std::path::Path;
use std::sync::Arc;

use copperspread_dispatcher::{Dispatcher, Micros};
use copperspread_event_log::EventKind;
use copperspread_event_log::writer::{self, Counts, Recorder};
use copperspread_proxy::assembly::{AssembledProxy, assemble_with};
use copperspread_proxy::clock::from_now;
use copperspread_proxy::discovery::EndpointSource;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::invariant::{counts, observe_counters};
use copperspread_settings::{DiscoveryConfig, EndpointList};
use http::uri::Authority;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use crate::logging::{self, Log};
use crate::origin::{Origin, Told};

/// A file that is read again has not changed for this long.
const SETTLE: Micros = 50_000;
/// Records asked for on the command line: the size in bytes at which their file is put aside, how many
/// such are kept and how many records may wait. As the configuration's own defaults, which the platform's
/// build leaves out.
const ASKED: (u64, u32, usize) = (64_000_000, 4, 4_096);
/// Where the program tells its source that the configuration names another list.
enum Moving {
    Targets(watch::Sender<Authority>),
    Fixed(watch::Sender<EndpointList>),
}

impl Moving {
    /// The source of a start, and the way to move it.
    fn source(spec: &DiscoveryConfig, known: Option<u64>) -> (Moving, Box<dyn EndpointSource>) {
        match spec {
            DiscoveryConfig::Platform(address) => {
                let (sender, address) = watch::channel(address.clone());
                (Moving::Targets(sender), Box::new(PlatformDiscovery { address, cached_revision: known }))
            }
            DiscoveryConfig::Static(list) => {
                let (sender, list) = watch::channel(list.clone());
                (Moving::Fixed(sender), Box::new(StaticEndpoints(list)))
            }
        }
    }

    /// Moves to what another configuration names; whether that is somewhere else.
    fn follow(&self, spec: DiscoveryConfig) -> bool {
        match (self, spec) {
            (Moving::Targets(sender), DiscoveryConfig::Platform(new)) => sender.send_if_modified(|old| {
                let moved = *old != new;
                *old = new;
                moved
            }),
            (Moving::Fixed(sender), DiscoveryConfig::Static(new)) => sender.send_if_modified(|old| {
                let moved = old.endpoints != new.endpoints;
                // The table takes no list that is older than its own.
                *old = EndpointList { revision: old.revision + 1, ..new };
                moved
            }),
            _ => false,
        }
    }
}

/// Reads the configuration again, follows the source that it names and takes its log's level. Guards
/// against one that cannot be used, half-written or wrong: the old one stays as a whole.
fn read_again(origin: &Origin, started_with: &Told, source: &Moving, log: &Log) {
    let told = origin.read().and_then(|told| log.follow(&told.log).map(|()| told));
    let told = match told {
        Ok(told) => told,
        Err(why) => return warn!("the old configuration stays: {}", one_line(&why)),
    };
    let fixed = started_with.fixed_unlike(&told);
    if !fixed.is_empty() {
        warn!("changes only with a new start: {}", fixed.join(", "));
    }
    let moved = source.follow(told.start.discovery);
    info!("read the configuration again, discovery {}", if moved { "moves" } else { "stays" });
}

fn one_line(text: &str) -> String {
    text.replace('\n', "; ")
}

async fn serve(
    started: Told,
    origin: &Origin,
    log: &Log,
    recorder: &Recorder,
    toy: bool,
) -> Result<(), String> {
    let config = &started.start;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let dispatcher =
        Dispatcher::new(config.settings.dispatch.clone(), config.seed).map_err(|e| e.to_string())?;
    // Dropped with an error, it ends at once: nobody has been told anything yet that matters.
    #[cfg(feature = "standalone")]
    let peers = started.membership.as_ref().map(|of| of.begin(config.seed)).transpose()?;
    #[cfg(feature = "standalone")]
    let pages: Vec<_> = peers.iter().map(crate::peers::page).collect();
    #[cfg(not(feature = "standalone"))]
    let pages = [];
    let assembled = assemble_with(config, Box::new(dispatcher), recorder, &pages)
        .await
        .map_err(|error| error.to_string())?;
    let AssembledProxy {
        context: node,
        connections: edge,
        endpoint_publisher: membership,
        cached_revision: known,
        ..
    } = &assembled;
    let hearer = Arc::clone(&node.recorder);
    observe_counters(Box::new(move |what, count| hearer.counter_reached(what, count)));
    let (name, program) = (config.name.clone(), env!("CARGO_PKG_VERSION").into());
    recorder.record(EventKind::RunStarted { name, program });
    let (moving, source) = Moving::source(&config.discovery, *known);
    tokio::spawn(source.follow(membership.clone()));
    tokio::spawn(Arc::clone(edge).accept());
    info!("{} serves on {}", config.name, config.listen);
    #[cfg(feature = "toy")]
    if toy {
        // It takes the place of the first worker listed.
        let listed = match &config.discovery {
            DiscoveryConfig::Static(list) => {
                list.endpoints.first().map(|of| (of.id.clone(), of.address.to_string()))
            }
            DiscoveryConfig::Platform(_) => None,
        };
        let (name, address) = listed.ok_or("--toy stands for the first worker of a static list")?;
        let scheduler = config.listen;
        tokio::spawn(async move {
            if let Err(error) = crate::toy::serve(scheduler, &name, &address).await {
                warn!(%error, "the toy does not run");
            }
        });
    }
    #[cfg(not(feature = "toy"))]
    let _ = toy;

    // What a reload waits for: the file's text as last seen, and when it is looked at again.
    let mut settling: Option<(Vec<u8>, Instant)> = None;
    loop {
        let look = settling.as_ref().map_or_else(Instant::now, |(_, at)| *at);
        tokio::select! {
            biased;
            // Also while a reload waits: it is then not carried out.
            _ = term.recv() => break,
            // Guards against an end by SIGHUP, also after SIGTERM: the handler stays.
            _ = hup.recv() => match origin.unsettled() {
                None => read_again(origin, &started, &moving, log),
                Some(text) => settling = Some((text, from_now(SETTLE))),
            },
            // Guards against a file that is being written: cut short, it may still be a good one.
            () = sleep_until(look), if settling.is_some() => {
                let seen = settling.take().map(|(text, _)| text);
                let now = origin.unsettled();
                if now == seen {
                    read_again(origin, &started, &moving, log);
                } else {
                    settling = now.map(|text| (text, from_now(SETTLE)));
                }
            }
        }
    }
    // First of all, so that the others know while this one still answers.
    #[cfg(feature = "standalone")]
    peers.iter().for_each(copperspread_membership_transport::Peers::leave);
    let ends = assembled.begin_shutdown();
    info!("ending, {} flows to answer", node.policy.active_requests());
    let left = assembled.wait_until_drained(ends).await;
    #[cfg(feature = "standalone")]
    peers.into_iter().for_each(crate::peers::ended);
    for (what, count) in counts() {
        info!("{what}: {count} in all");
    }
    recorder.record(EventKind::RunEnded { requests_left: left as u64 });
    info!(log_lines_dropped = log.dropped(), "ended, {left} requests left");
    Ok(())
}

/// Reads the configuration and serves by it.
///
/// # Errors
/// A configuration that cannot be used, or an address that cannot be listened on.
pub fn run(origin: &Origin, toy: bool, records: Option<&Path>) -> Result<(), String> {
    let told = origin.read()?;
    let log = logging::begin(&told.log)?;
    let asked = records.map(|file| writer::Spec {
        file: file.to_owned(),
        rotate_at: ASKED.0,
        keep: ASKED.1,
        queue: ASKED.2,
    });
    let (recorder, writer) = match asked.or_else(|| told.records.clone()) {
        None => (Recorder::off(), None),
        Some(spec) => {
            let name = spec.file.display().to_string();
            let (recorder, writer) = writer::begin(spec).map_err(|e| format!("records.file: {name}: {e}"))?;
            (recorder, Some(writer))
        }
    };
    let runtime = runtime()?;
    let served = runtime.block_on(serve(told, origin, &log, &recorder, toy));
    if let Some(writer) = writer {
        recorder.close();
        let whole = writer.finish();
        let Counts { written, dropped, lost } = recorder.counts();
        info!(written, dropped, lost, whole, "records closed");
    }
    served
}

/// Runs the toy and its discovery.
///
/// # Errors
/// An address that cannot be listened on.
#[cfg(feature = "toy")]
pub fn toy(scheduler: std::net::SocketAddr) -> Result<(), String> {
    let _log = logging::begin(&logging::LogSpec::default())?;
    runtime()?.block_on(crate::toy::serve_with_discovery(scheduler)).map_err(|e| e.to_string())
}

/// One core: one thread does all the work.
fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("runtime: {e}"))
}
