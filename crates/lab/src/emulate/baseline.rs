//! A scheduler's process that decides by one of the laboratory's policies in place of the module: the
//! same node, so that in the emulator two policies differ in nothing else.
use copperspread_node::assembly::assemble;
use copperspread_node::front::Front;
use copperspread_node::source::Source;
use copperspread_node::source::targets::Targets;
use copperspread_records::writer::Recorder;
use copperspread_settings::{SourceSpec, platform};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::model::chance::{Stream, stream};
use crate::policy::Kind;

/// Serves by the configuration that `EDGE_CONFIG` names, until SIGTERM.
///
/// # Errors
/// A configuration that cannot be used, or an address that cannot be listened on.
pub fn serve(kind: Kind) -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG names no file".to_owned())?;
    let content = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let start = platform::read_start(&content).map_err(|e| format!("{path}: {e}"))?;
    let policy = kind.make(start.given.decisions.clone(), start.seed, stream(start.seed, Stream::Network))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        let assembled = assemble(&start, policy, &Recorder::off()).await?;
        let SourceSpec::Targets(discovery) = start.source.clone() else {
            return Err("a baseline follows discovery only".to_owned());
        };
        let (_moving, address) = watch::channel(discovery);
        let source = Box::new(Targets { address, known: assembled.known });
        tokio::spawn(source.follow(assembled.membership.clone()));
        tokio::spawn(std::sync::Arc::clone(&assembled.edge).accept());
        term.recv().await;
        let ends = assembled.end();
        assembled.ended(ends).await;
        Ok(())
    })
}
