//! A scheduler's process that decides by one of the laboratory's policies in place of the module: the
//! same node, so that in the emulator two policies differ in nothing else.
use std::sync::Arc;
use std::time::Duration;

use copperspread_event_log::writer::Recorder;
use copperspread_proxy::assembly::assemble;
use copperspread_proxy::clock::Clock;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::{EndpointPublisher, EndpointSource};
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::endpoints::EndpointTable;
use copperspread_proxy::event_recorder::EventRecorder;
use copperspread_proxy::policy_handle::PolicyHandle;
use copperspread_settings::{DiscoveryConfig, StartupConfig, platform};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::model::random::{StreamPurpose, random_stream};
use crate::policy::PolicyKind;

/// When the scheduler that ignores drains stops to listen: it has its first list by then.
const DEAF_AFTER: Duration = Duration::from_millis(300);

/// A membership that no flow asks.
fn nobody(start: &StartupConfig) -> Result<EndpointPublisher, String> {
    let entries = Arc::new(EndpointTable::new(&start.settings.proxy));
    let witness = EventRecorder::new(Recorder::disabled(), Arc::clone(&entries), &start.settings.proxy);
    let chance = random_stream(start.seed, StreamPurpose::Network);
    let policy = PolicyKind::Random.build(start.settings.dispatch.clone(), start.seed, chance)?;
    Ok(EndpointPublisher::new(entries, PolicyHandle::new(policy, false, Clock::start(), witness)))
}

/// Serves by the configuration that `EDGE_CONFIG` names, until SIGTERM.
///
/// # Errors
/// A configuration that cannot be used, or an address that cannot be listened on.
pub fn serve(kind: PolicyKind) -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG names no file".to_owned())?;
    let content = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let start = platform::read_startup_config(&content).map_err(|e| format!("{path}: {e}"))?;
    let policy = kind.build(
        start.settings.dispatch.clone(),
        start.seed,
        random_stream(start.seed, StreamPurpose::Network),
    )?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        let assembled = assemble(&start, policy, &Recorder::disabled()).await.map_err(|e| e.to_string())?;
        let DiscoveryConfig::Platform(discovery) = start.discovery.clone() else {
            return Err("a baseline follows discovery only".to_owned());
        };
        let (_moving, address) = watch::channel(discovery);
        let source = Box::new(PlatformDiscovery {
            address: address.clone(),
            cached_revision: assembled.cached_revision,
        });
        let following = tokio::spawn(source.follow(assembled.endpoint_publisher.clone()));
        if kind == PolicyKind::IgnoresDrains {
            // The node looks again before it sends, so that only one that is deaf to the list can break
            // this rule: it goes on being told, and tells it to nobody.
            let nobody = nobody(&start)?;
            tokio::spawn(async move {
                sleep(DEAF_AFTER).await;
                following.abort();
                Box::new(PlatformDiscovery { address, cached_revision: None }).follow(nobody).await;
            });
        }
        tokio::spawn(Arc::clone(&assembled.connections).accept());
        term.recv().await;
        let ends = assembled.begin_shutdown();
        assembled.wait_until_drained(ends).await;
        Ok(())
    })
}
