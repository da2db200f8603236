//! Assembles a scheduler from its startup configuration, with HTTP as the protocol of clients and workers.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use copperspread_dispatcher::{DiscoveryMode, DispatchPolicy, Micros};
use copperspread_event_log::writer::Recorder;
use copperspread_settings::StartupConfig;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

use crate::clock::{Clock, from_now};
use crate::context::ProxyContext;
use crate::descriptors::DescriptorBudget;
use crate::discovery::EndpointPublisher;
use crate::downstream::Downstream;
use crate::downstream::client_connections::ClientListener;
use crate::downstream::http::{CallbackRoute, StatusPage, listen};
use crate::endpoints::EndpointTable;
use crate::event_recorder::EventRecorder;
use crate::load_queries;
use crate::memory::MemoryBudget;
use crate::policy_handle::PolicyHandle;
use crate::shutdown::Shutdown;
use crate::shutdown_schedule::{FINAL_WRITE_TIME, ShutdownDeadlines, ShutdownSchedule};
use crate::upstream::http::HttpUpstream;
use crate::upstream::http::callback::{CALLBACK_PATH, callback_handler};

/// The interval, in microseconds, at which a graceful shutdown checks whether any request is still being read
/// or answered.
const DRAIN_POLL_INTERVAL: Micros = 20_000;

/// Why a scheduler could not be assembled.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AssemblyError {
    /// The listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address on which the scheduler could not listen.
        address: SocketAddr,
        /// The operating system's reason why the socket could not be opened.
        source: io::Error,
    },
}

/// An assembled scheduler. The socket for clients is bound, but the scheduler does not accept connections
/// yet.
pub struct AssembledProxy {
    /// The state that the components of the scheduler share, such as the clock and the dispatch policy.
    pub context: Arc<ProxyContext>,
    /// The listener that accepts and serves client connections.
    pub connections: Arc<ClientListener>,
    /// The publisher through which an endpoint source updates the list of workers (the endpoint table).
    pub endpoint_publisher: EndpointPublisher,
    /// The revision of the endpoint list that was cached before the process started; `None` without a cached
    /// list.
    pub cached_revision: Option<u64>,
    shutdown_schedule: ShutdownSchedule,
}

/// Assembles a scheduler that uses the given dispatch policy.
///
/// # Errors
/// [`AssemblyError::Listen`] if the socket for clients cannot be opened.
pub async fn assemble(
    config: &StartupConfig,
    policy: Box<dyn DispatchPolicy>,
    recorder: &Recorder,
) -> Result<AssembledProxy, AssemblyError> {
    assemble_with_status_pages(config, policy, recorder, &[]).await
}

/// Assembles a scheduler as [`assemble`] does, and serves additional status pages.
///
/// Also spawns the task that sends load queries to workers. This task runs until the runtime shuts down.
///
/// # Errors
/// [`AssemblyError::Listen`] if the socket for clients cannot be opened.
pub async fn assemble_with_status_pages(
    config: &StartupConfig,
    policy: Box<dyn DispatchPolicy>,
    recorder: &Recorder,
    pages: &[StatusPage],
) -> Result<AssembledProxy, AssemblyError> {
    let clock = Clock::start();
    let settings = &config.settings;
    let endpoints = Arc::new(EndpointTable::new(&settings.proxy));
    let recorder = EventRecorder::new(recorder.clone(), Arc::clone(&endpoints), &settings.proxy);
    let polls_endpoints = settings.dispatch.discovery == DiscoveryMode::Polled;
    let policy = PolicyHandle::new(policy, polls_endpoints, clock, Arc::clone(&recorder));
    let memory = MemoryBudget::new(config.memory_limit_mb);
    let endpoint_publisher =
        EndpointPublisher::new(Arc::clone(&endpoints), Arc::clone(&policy)).with_memory(Arc::clone(&memory));
    let cached_revision = endpoint_publisher.publish_cached(config.cached_endpoints.as_ref());
    let descriptors = DescriptorBudget::with_memory(config.descriptor_limit, Arc::clone(&memory));
    let upstream = HttpUpstream::new(&settings.proxy, Arc::clone(&endpoints), Arc::clone(&descriptors));
    let context = Arc::new(ProxyContext {
        clock,
        policy: Arc::clone(&policy),
        upstream: Arc::new(upstream),
        settings: settings.proxy.clone(),
        recorder,
        shutdown: Shutdown::default(),
    });
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|source| AssemblyError::Listen { address: config.listen, source })?;
    let handle_callback = callback_handler(endpoints, policy);
    let callbacks = CallbackRoute {
        path: CALLBACK_PATH,
        handle: Arc::new(move |body, reservation| handle_callback(body, reservation).map_err(Into::into)),
    };
    let connections = listen(Arc::clone(&context), callbacks, pages, listener, descriptors);
    tokio::spawn(load_queries::run(Arc::clone(&context)));
    let longest_deadline = settings.dispatch.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let shutdown_schedule = ShutdownSchedule::for_longest_deadline(longest_deadline);
    Ok(AssembledProxy { context, connections, endpoint_publisher, cached_revision, shutdown_schedule })
}

impl AssembledProxy {
    /// Begins the graceful shutdown, and returns the shutdown's deadlines counted from now.
    pub fn begin_shutdown(&self) -> ShutdownDeadlines {
        let deadlines = self.shutdown_schedule.deadlines_from(Instant::now());
        self.context.shutdown.begin(deadlines.drain_deadline);
        deadlines
    }

    /// Waits until no request is being read or answered, at the latest until the drain deadline, and then
    /// closes the client connections. Returns the number of requests that are in progress even after the
    /// connections were closed. The number is 0 unless the drain deadline has passed.
    ///
    /// The connections are not closed before `late_connections_until`. At least until then, new connections
    /// are accepted, and so are callbacks, by which workers report on attempts.
    ///
    /// The connections are closed because clients reuse open connections. A client could otherwise send a
    /// request after the last check for requests. That request would be accepted, but lost when the process
    /// exits. After the close, the method waits for at least `FINAL_WRITE_TIME`, so that the last responses
    /// are written.
    pub async fn wait_until_drained(&self, deadlines: ShutdownDeadlines) -> usize {
        self.wait_until_idle(deadlines.late_connections_until, deadlines.drain_deadline).await;
        self.context.shutdown.close();
        self.wait_until_idle(from_now(FINAL_WRITE_TIME), deadlines.drain_deadline).await;
        self.connections.active_requests()
    }

    /// Waits until no request is being read or answered. The wait ends no earlier than `earliest`. If
    /// requests are still in progress then, the wait ends at the latest at `deadline`.
    async fn wait_until_idle(&self, earliest: Instant, deadline: Instant) {
        while Instant::now() < earliest
            || (self.connections.active_requests() > 0 && Instant::now() < deadline)
        {
            sleep_until(from_now(DRAIN_POLL_INTERVAL)).await;
        }
    }
}
