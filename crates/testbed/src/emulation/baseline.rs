//! Baseline scheduler: the proxy with one of the testbed's policies in place of the dispatch policy.
//!
//! Two emulated schedulers with different policies differ only in their dispatch decisions, because both run
//! the same proxy.
use std::sync::Arc;
use std::time::Duration;

use copperspread_event_log::writer::Recorder;
use copperspread_proxy::assembly::{AssembledProxy, assemble};
use copperspread_proxy::clock::Clock;
use copperspread_proxy::discovery::platform::PlatformDiscovery;
use copperspread_proxy::discovery::{EndpointPublisher, EndpointSource};
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::endpoints::EndpointTable;
use copperspread_proxy::event_recorder::EventRecorder;
use copperspread_proxy::policy_handle::PolicyHandle;
use copperspread_settings::{DiscoveryConfig, StartupConfig};
use hyper::http::uri::Authority;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::model::random::{StreamPurpose, random_stream};
use crate::policy::{Policy, PolicyKind};
use crate::startup::{ServeError, read_config, single_threaded_runtime};

/// Time since the start after which a scheduler with the `IgnoresDrains` policy stops applying endpoint
/// lists. The scheduler has its first list by then.
const DISCOVERY_CUTOFF: Duration = Duration::from_millis(300);

/// Serves requests with a testbed policy until SIGTERM; `EDGE_CONFIG` names the configuration file.
///
/// # Errors
/// Fails if the configuration is invalid or the address cannot be listened on.
pub fn serve_policy(kind: PolicyKind) -> Result<(), ServeError> {
    let config = read_config()?;
    let policy = build_policy(kind, &config)?;
    let runtime = single_threaded_runtime().map_err(ServeError::Runtime)?;
    runtime.block_on(serve(kind, policy, &config))
}

fn build_policy(kind: PolicyKind, config: &StartupConfig) -> Result<Box<dyn Policy>, ServeError> {
    let random = random_stream(config.seed, StreamPurpose::Network);
    Ok(kind.build(config.settings.dispatch.clone(), config.seed, random)?)
}

async fn serve(kind: PolicyKind, policy: Box<dyn Policy>, config: &StartupConfig) -> Result<(), ServeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let assembled = assemble(config, policy, &Recorder::disabled()).await?;
    let _address_sender = follow_discovery(kind, config, &assembled)?;
    // The task ends with the runtime, after the connections have been drained below.
    tokio::spawn(Arc::clone(&assembled.connections).accept());
    terminate.recv().await;
    let deadlines = assembled.begin_shutdown();
    assembled.wait_until_drained(deadlines).await;
    Ok(())
}

/// Starts polling the discovery server. The polling continues until the runtime ends. The returned sender
/// holds the server's address and must be kept: once the sender is dropped, failed polls are retried without
/// backoff.
fn follow_discovery(
    kind: PolicyKind,
    config: &StartupConfig,
    assembled: &AssembledProxy,
) -> Result<watch::Sender<Authority>, ServeError> {
    let DiscoveryConfig::Platform(discovery) = config.discovery.clone() else {
        return Err(ServeError::StaticEndpoints);
    };
    let (address_sender, address) = watch::channel(discovery);
    let source =
        Box::new(PlatformDiscovery { address: address.clone(), cached_revision: assembled.cached_revision });
    let following = tokio::spawn(source.follow(assembled.endpoint_publisher.clone()));
    if kind == PolicyKind::IgnoresDrains {
        // The proxy checks an endpoint again before it sends an attempt, so a policy alone cannot dispatch to
        // a draining worker. Therefore this scheduler discards all further endpoint updates. The polling
        // continues, so that the emulation's rule checker still regards the scheduler as notified of drains.
        let publisher = discarding_publisher(config)?;
        // The task ends with the runtime.
        tokio::spawn(async move {
            sleep(DISCOVERY_CUTOFF).await;
            following.abort();
            Box::new(PlatformDiscovery { address, cached_revision: None }).follow(publisher).await;
        });
    }
    Ok(address_sender)
}

/// Creates an endpoint publisher whose endpoint table no request task reads, so that its updates have no
/// effect on dispatch.
fn discarding_publisher(config: &StartupConfig) -> Result<EndpointPublisher, ServeError> {
    let proxy = &config.settings.proxy;
    let endpoints = Arc::new(EndpointTable::new(proxy));
    let recorder = EventRecorder::new(Recorder::disabled(), Arc::clone(&endpoints), proxy);
    let policy = build_policy(PolicyKind::Random, config)?;
    let handle = PolicyHandle::new(policy, false, Clock::start(), recorder);
    Ok(EndpointPublisher::new(endpoints, handle))
}
