//! Start and shutdown of the components of one scheduler.
use std::sync::Arc;

use copperspread_dispatcher::Dispatcher;
use copperspread_event_log::writer::Recorder;
use copperspread_event_log::{EventKind, RequestCounts};
#[cfg(feature = "standalone")]
use copperspread_membership_transport::MembershipTransport;
use copperspread_proxy::assembly::{AssembledProxy, assemble_with_status_pages};
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::downstream::request_totals::RequestTotals;
use copperspread_proxy::invariant;
use copperspread_settings::StartupConfig;
use tracing::info;

use super::discovery_handle::DiscoveryHandle;
use super::error::StartError;
use super::exit_budget::ExitBudget;
#[cfg(feature = "standalone")]
use super::exit_budget::run_with_timeout;
use crate::configuration::LoadedConfig;
use crate::logging::Log;

/// A running scheduler and its components. The tasks that it spawned run until the runtime ends.
pub(super) struct Scheduler {
    proxy: AssembledProxy,
    discovery: DiscoveryHandle,
    // If the scheduler is dropped without `shut_down`, the member ends without notice, and the other members
    // must detect that by probing.
    #[cfg(feature = "standalone")]
    member: Option<MembershipTransport>,
}

impl Scheduler {
    /// Starts the components and the tasks that serve clients.
    ///
    /// # Errors
    /// Fails if a component does not start.
    pub(super) async fn start(config: &LoadedConfig, recorder: &Recorder) -> Result<Scheduler, StartError> {
        let startup = &config.startup;
        let policy = Dispatcher::new(startup.settings.dispatch.clone(), startup.seed)?;
        #[cfg(feature = "standalone")]
        let member = config.membership.as_ref().map(|member| member.start(startup.seed)).transpose()?;
        #[cfg(feature = "standalone")]
        let status_pages: Vec<_> = member.iter().map(crate::membership::status_page).collect();
        #[cfg(not(feature = "standalone"))]
        let status_pages = [];
        let proxy = assemble_with_status_pages(startup, Box::new(policy), recorder, &status_pages)
            .await
            .map_err(|error| StartError::Proxy(error.into()))?;
        record_start(&proxy, startup, recorder);
        let discovery = spawn_tasks(&proxy, startup);
        info!(scheduler = startup.name, address = %startup.listen, "scheduler is serving");
        Ok(Scheduler {
            proxy,
            discovery,
            #[cfg(feature = "standalone")]
            member,
        })
    }

    /// Returns the handle through which a reload changes the endpoint source.
    pub(super) fn discovery(&self) -> &DiscoveryHandle {
        &self.discovery
    }

    /// Shuts down: waits until the accepted requests are answered, at the latest until the drain deadline,
    /// closes the connections and ends the components. Returns the time left for ending the event log and the
    /// log.
    pub(super) async fn shut_down(self, log: &Log, recorder: &Recorder) -> ExitBudget {
        // The member leaves before the wait for requests, so that the other members learn of the shutdown
        // while this one still serves.
        #[cfg(feature = "standalone")]
        self.member.iter().for_each(MembershipTransport::leave);
        let deadlines = self.proxy.begin_shutdown();
        info!(requests = self.proxy.context.policy.active_requests(), "shutting down");
        let requests_left = self.proxy.wait_until_drained(deadlines).await;
        let exit_budget = ExitBudget::until(deadlines.exit_deadline.into_std());
        #[cfg(feature = "standalone")]
        if let Some(member) = self.member {
            let wait = move || crate::membership::wait_until_stopped(member);
            run_with_timeout(exit_budget.membership_timeout(), wait);
        }
        for (what, count) in invariant::counts() {
            info!(what, count, "count at the end");
        }
        let requests = request_counts(self.proxy.connections.request_totals());
        recorder
            .record(EventKind::RunEnded { requests_left: requests_left as u64, requests: Some(requests) });
        let RequestCounts { received, answered, disconnected, unanswered } = requests;
        info!(received, answered, disconnected, unanswered, "requests at the end");
        info!(requests_left, log_lines_dropped = log.dropped_lines(), "shut down");
        exit_budget
    }
}

/// Converts the request totals of a run to the form of the event log.
fn request_counts(totals: RequestTotals) -> RequestCounts {
    let RequestTotals { received, answered, disconnected } = totals;
    RequestCounts { received, answered, disconnected, unanswered: totals.unanswered() }
}

/// Records the start of the run and, from then on, each time that a counter of faults reaches a power of two.
fn record_start(proxy: &AssembledProxy, startup: &StartupConfig, recorder: &Recorder) {
    let event_recorder = Arc::clone(&proxy.context.recorder);
    invariant::observe_counters(Box::new(move |what, count| event_recorder.counter_reached(what, count)));
    let (name, program_version) = (startup.name.clone(), env!("CARGO_PKG_VERSION").into());
    recorder.record(EventKind::RunStarted { name, version: program_version });
}

/// Spawns the tasks that follow the endpoint source and accept clients. They run until the runtime ends.
fn spawn_tasks(proxy: &AssembledProxy, startup: &StartupConfig) -> DiscoveryHandle {
    let (discovery, source) = DiscoveryHandle::create(&startup.discovery, proxy.cached_revision);
    tokio::spawn(source.follow(proxy.endpoint_publisher.clone()));
    tokio::spawn(Arc::clone(&proxy.connections).accept());
    discovery
}

/// Runs a toy worker in place of the first worker of the static list, in a task that runs until the runtime
/// ends.
///
/// # Errors
/// Fails if there is no static list or it is empty.
#[cfg(feature = "toy")]
pub(super) fn spawn_toy_worker(startup: &StartupConfig) -> Result<(), StartError> {
    use copperspread_settings::DiscoveryConfig;

    let first = match &startup.discovery {
        DiscoveryConfig::Static(list) => list.endpoints.first(),
        DiscoveryConfig::Platform(_) => None,
    };
    let first = first.ok_or(StartError::NoWorkerForToy)?;
    let (worker, address, scheduler) = (first.id.clone(), first.address.to_string(), startup.listen);
    tokio::spawn(async move {
        if let Err(error) = crate::toy_worker::serve(scheduler, &worker, &address).await {
            tracing::warn!(%error, worker, "toy worker did not start");
        }
    });
    Ok(())
}
