//! Starts and shuts down the components of one scheduler.
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

/// A running scheduler. It consists of the proxy, the handle of the endpoint source and, if membership is on,
/// the member of the cluster. Dropping the scheduler does not end the tasks that serve clients. These tasks
/// run until the asynchronous runtime ends.
pub(super) struct Scheduler {
    proxy: AssembledProxy,
    discovery: DiscoveryHandle,
    // If the scheduler is dropped without a call of `shut_down`, this member ends without telling the other
    // members. They notice only when this member no longer answers their probes.
    #[cfg(feature = "standalone")]
    member: Option<MembershipTransport>,
}

impl Scheduler {
    /// Starts the components of the scheduler and the tasks that serve clients.
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

    /// Returns the handle through which a reload of the configuration changes the endpoint source.
    pub(super) fn discovery(&self) -> &DiscoveryHandle {
        &self.discovery
    }

    /// Shuts the scheduler down: waits until the accepted requests are answered, closes the client
    /// connections and ends the components. The scheduler waits for the requests at most until the drain
    /// deadline.
    ///
    /// Returns the time that is left for ending the event log and the log.
    pub(super) async fn shut_down(self, log: &Log, recorder: &Recorder) -> ExitBudget {
        // The member leaves the cluster before the scheduler waits for the requests. The other members thus
        // learn of the shutdown while this scheduler still answers its last requests.
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

/// Converts the totals of client requests to the record that the event log contains at the end of a run.
fn request_counts(totals: RequestTotals) -> RequestCounts {
    let RequestTotals { received, answered, disconnected } = totals;
    RequestCounts { received, answered, disconnected, unanswered: totals.unanswered() }
}

/// Records the start of the run in the event log. From then on, the event log also gets the counters of
/// faults, such as violated invariants and invalid requests.
///
/// A counter is recorded only when it reaches a power of two. Otherwise a frequent fault would flood the
/// event log.
fn record_start(proxy: &AssembledProxy, startup: &StartupConfig, recorder: &Recorder) {
    let event_recorder = Arc::clone(&proxy.context.recorder);
    invariant::observe_counters(Box::new(move |what, count| event_recorder.counter_reached(what, count)));
    let (name, program_version) = (startup.name.clone(), env!("CARGO_PKG_VERSION").into());
    recorder.record(EventKind::RunStarted { name, version: program_version });
}

/// Spawns two tasks: one publishes the updates of the endpoint source, the other accepts client connections.
/// Both run until the asynchronous runtime ends.
///
/// Returns the handle through which a reload of the configuration changes the endpoint source.
fn spawn_tasks(proxy: &AssembledProxy, startup: &StartupConfig) -> DiscoveryHandle {
    let (discovery, source) = DiscoveryHandle::create(&startup.discovery, proxy.cached_revision);
    tokio::spawn(source.follow(proxy.endpoint_publisher.clone()));
    tokio::spawn(Arc::clone(&proxy.connections).accept());
    discovery
}

/// Spawns a task that runs a toy worker with the name and the address of the first worker of the static
/// endpoint list. The task runs until the asynchronous runtime ends.
///
/// # Errors
/// Fails if the configuration has no static endpoint list or the list is empty.
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
