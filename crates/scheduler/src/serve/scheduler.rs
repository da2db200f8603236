//! The parts of one running scheduler: their start and their shutdown.
use std::sync::Arc;

use copperspread_dispatcher::Dispatcher;
use copperspread_event_log::writer::Recorder;
use copperspread_event_log::{EventKind, RequestCounts};
#[cfg(feature = "standalone")]
use copperspread_membership_transport::MembershipTransport;
use copperspread_proxy::assembly::{AssembledProxy, assemble_with};
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::downstream::request_totals::RequestTotals;
use copperspread_proxy::invariant;
use copperspread_settings::StartupConfig;
use tracing::info;

use super::bounded_end::EndDeadlines;
#[cfg(feature = "standalone")]
use super::bounded_end::run_bounded;
use super::discovery_handle::DiscoveryHandle;
use super::error::StartError;
use crate::configuration::LoadedConfig;
use crate::logging::Log;

/// A scheduler that serves. It owns the parts; the tasks that it spawned end with the runtime.
pub(super) struct Scheduler {
    proxy: AssembledProxy,
    discovery: DiscoveryHandle,
    // Dropped without `shut_down`, it ends at once and the other members find out by themselves.
    #[cfg(feature = "standalone")]
    member: Option<MembershipTransport>,
}

impl Scheduler {
    /// Starts the parts and serves.
    ///
    /// # Errors
    /// The first part that does not start.
    pub(super) async fn start(config: &LoadedConfig, recorder: &Recorder) -> Result<Scheduler, StartError> {
        let startup = &config.startup;
        let policy = Dispatcher::new(startup.settings.dispatch.clone(), startup.seed)?;
        #[cfg(feature = "standalone")]
        let member = config.membership.as_ref().map(|member| member.start(startup.seed)).transpose()?;
        #[cfg(feature = "standalone")]
        let pages: Vec<_> = member.iter().map(crate::membership::status_page).collect();
        #[cfg(not(feature = "standalone"))]
        let pages = [];
        let proxy = assemble_with(startup, Box::new(policy), recorder, &pages)
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

    /// Where a reload changes the endpoint source.
    pub(super) fn discovery(&self) -> &DiscoveryHandle {
        &self.discovery
    }

    /// Answers what was accepted, within the time for it, and ends the parts. Returns until when the process's
    /// other parts may end.
    pub(super) async fn shut_down(self, log: &Log, recorder: &Recorder) -> EndDeadlines {
        // First of all, so that the other members know while this one still answers.
        #[cfg(feature = "standalone")]
        self.member.iter().for_each(MembershipTransport::leave);
        let deadlines = self.proxy.begin_shutdown();
        info!(requests = self.proxy.context.policy.active_requests(), "shutting down");
        let requests_left = self.proxy.wait_until_drained(deadlines).await;
        let end_deadlines = EndDeadlines::before_exit(deadlines.exit_deadline.into_std());
        #[cfg(feature = "standalone")]
        if let Some(member) = self.member {
            let wait = move || crate::membership::wait_until_stopped(member);
            run_bounded(end_deadlines.membership_wait(), wait);
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
        end_deadlines
    }
}

/// The totals of a run, in the event log's form.
fn request_counts(totals: RequestTotals) -> RequestCounts {
    let RequestTotals { received, answered, disconnected } = totals;
    RequestCounts { received, answered, disconnected, unanswered: totals.unanswered() }
}

/// Records the start, and from now on each count of what went wrong that reaches a power of two.
fn record_start(proxy: &AssembledProxy, startup: &StartupConfig, recorder: &Recorder) {
    let event_recorder = Arc::clone(&proxy.context.recorder);
    invariant::observe_counters(Box::new(move |what, count| event_recorder.counter_reached(what, count)));
    let (name, program) = (startup.name.clone(), env!("CARGO_PKG_VERSION").into());
    recorder.record(EventKind::RunStarted { name, version: program });
}

/// Follows the endpoint source and accepts clients, each in a task that ends with the runtime.
fn spawn_tasks(proxy: &AssembledProxy, startup: &StartupConfig) -> DiscoveryHandle {
    let (discovery, source) = DiscoveryHandle::connect(&startup.discovery, proxy.cached_revision);
    tokio::spawn(source.follow(proxy.endpoint_publisher.clone()));
    tokio::spawn(Arc::clone(&proxy.connections).accept());
    discovery
}

/// Runs a toy worker in place of the first one listed, in a task that ends with the runtime.
///
/// # Errors
/// No static list, or an empty one.
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
