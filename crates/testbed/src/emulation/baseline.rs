//! A baseline scheduler process: the scheduler's proxy, with one of the testbed's policies in place of the
//! real dispatch policy.
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

/// Time after which a started scheduler with the deliberately faulty `IgnoresDrains` policy no longer applies
/// new endpoint lists. By then, the scheduler has received its first list.
const DISCOVERY_CUTOFF: Duration = Duration::from_millis(300);

/// Runs a scheduler with one of the testbed's policies until SIGTERM. The environment variable `EDGE_CONFIG`
/// has the path of the scheduler's configuration file.
///
/// # Errors
/// Fails if the configuration is invalid or the scheduler cannot listen on its address.
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
    // This task accepts connections to the scheduler until the runtime ends. At a shutdown, the runtime ends
    // only after the call of `wait_until_drained` below.
    tokio::spawn(Arc::clone(&assembled.connections).accept());
    terminate.recv().await;
    let deadlines = assembled.begin_shutdown();
    assembled.wait_until_drained(deadlines).await;
    Ok(())
}

/// Starts a task that polls the discovery server until the runtime ends. Returns the sender of a channel that
/// holds the address of the discovery server. The caller must keep the sender. After a failed poll, the task
/// waits for a backoff time or a change in this channel. If the sender is dropped, the channel is closed and
/// this wait ends at once.
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
        // A scheduler with the `IgnoresDrains` policy must send attempts to draining workers, so that the
        // rule checker reports a violation. The policy cannot achieve this alone. This scheduler's proxy
        // sends the attempts, and sends none to a worker that is draining in the proxy's endpoint table. From
        // `DISCOVERY_CUTOFF` after the start on, this table is therefore no longer updated. A worker that
        // starts to drain later remains ready in the table, so the proxy sends attempts to this worker.
        //
        // The rule checker reports a violation only if the scheduler was notified of the drain. The
        // notification is recorded when the discovery server answers the scheduler's poll. The scheduler
        // therefore goes on polling, but discards the endpoint lists in the answers.
        let publisher = discarding_publisher(config)?;
        // This task polls the discovery server until the runtime ends.
        tokio::spawn(async move {
            sleep(DISCOVERY_CUTOFF).await;
            following.abort();
            Box::new(PlatformDiscovery { address, cached_revision: None }).follow(publisher).await;
        });
    }
    Ok(address_sender)
}

/// Creates an endpoint publisher whose updates have no effect on the scheduler. An endpoint publisher gets
/// the endpoint lists that discovery sends. The publisher writes these lists to an endpoint table, which
/// holds the known workers, and notifies a dispatch policy. The publisher that this function returns has a
/// table and a policy of its own, which no request uses.
///
/// A scheduler with the faulty `IgnoresDrains` policy polls the discovery server with this publisher. The
/// polls must go on, because the rule checker takes the response to a poll as the notification of a drain.
fn discarding_publisher(config: &StartupConfig) -> Result<EndpointPublisher, ServeError> {
    let proxy = &config.settings.proxy;
    let endpoints = Arc::new(EndpointTable::new(proxy));
    let recorder = EventRecorder::new(Recorder::disabled(), Arc::clone(&endpoints), proxy);
    let policy = build_policy(PolicyKind::Random, config)?;
    let handle = PolicyHandle::new(policy, false, Clock::start(), recorder);
    Ok(EndpointPublisher::new(endpoints, handle))
}
