//! One scheduler put together from what it was started with: the platform's HTTP in front and behind.
use std::sync::Arc;

use copperspread_dispatcher::{Discovery, DispatchPolicy, Micros, SECOND};
use copperspread_event_log::writer::Recorder;
use copperspread_settings::StartupConfig;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

use crate::clock::{Clock, from_now};
use crate::context::ProxyContext;
use crate::discovery::EndpointPublisher;
use crate::downstream::Downstream;
use crate::downstream::client_connection::ClientConnections;
use crate::downstream::http::{CallbackRoute, StatusPage, front};
use crate::endpoints::EndpointTable;
use crate::event_recorder::EventRecorder;
use crate::load_queries;
use crate::policy_handle::PolicyHandle;
use crate::shutdown::Shutdown;
use crate::upstream::http::{CALLBACK_PATH, HttpUpstream, callback_handler};

/// The longest time that jobs get after SIGTERM. The kill follows the longest deadline, of which no more than
/// 3 s count, by 0.7 s at the soonest: half a second later.
const MAX_DRAIN_TIME: Micros = 3 * SECOND + 200_000;
/// New edge connections keep coming for some tenths of a second after SIGTERM.
const LATE_CONNECTION_WINDOW: Micros = SECOND;
/// How often the end looks whether all is answered.
const DRAIN_POLL_INTERVAL: Micros = 20_000;
/// Time for the last answers to be written.
const FINAL_WRITE_TIME: Micros = 100_000;

/// A scheduler that listens and takes nothing yet.
pub struct AssembledProxy {
    /// What its parts share.
    pub context: Arc<ProxyContext>,
    /// The clients' side.
    pub connections: Arc<ClientConnections>,
    /// What a source tells.
    pub endpoint_publisher: EndpointPublisher,
    /// The version of the list that was known before the start.
    pub cached_revision: Option<u64>,
    longest_deadline: Micros,
}

/// Puts a scheduler together round what decides.
///
/// # Errors
/// An address that cannot be listened on.
pub async fn assemble(
    start: &StartupConfig,
    decide: Box<dyn DispatchPolicy>,
    recorder: &Recorder,
) -> Result<AssembledProxy, String> {
    assemble_with(start, decide, recorder, &[]).await
}

/// The same with pages of the program's own.
///
/// # Errors
/// As [`assemble`].
pub async fn assemble_with(
    start: &StartupConfig,
    decide: Box<dyn DispatchPolicy>,
    recorder: &Recorder,
    pages: &[StatusPage],
) -> Result<AssembledProxy, String> {
    let clock = Clock::start();
    let given = &start.settings;
    let entries = Arc::new(EndpointTable::new(&given.proxy));
    let witness = EventRecorder::new(recorder.clone(), Arc::clone(&entries), &given.proxy);
    let on_request = given.dispatch.discovery == Discovery::Polled;
    let decisions = PolicyHandle::new(decide, on_request, clock, Arc::clone(&witness));
    let membership = EndpointPublisher::new(Arc::clone(&entries), Arc::clone(&decisions));
    let known = membership.publish_cached(start.cached_endpoints.as_ref());
    let node = Arc::new(ProxyContext {
        clock,
        policy: Arc::clone(&decisions),
        upstream: Arc::new(HttpUpstream::new(&given.proxy, Arc::clone(&entries), start.descriptor_limit)),
        settings: given.proxy.clone(),
        recorder: witness,
        shutdown: Shutdown::default(),
    });
    let listener = TcpListener::bind(start.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", start.listen))?;
    let guest = CallbackRoute { path: CALLBACK_PATH, take: Arc::new(callback_handler(entries, decisions)) };
    let edge =
        front(Arc::clone(&node), guest, pages, listener, start.descriptor_limit, start.memory_limit_mb);
    tokio::spawn(load_queries::carry_out(Arc::clone(&node)));
    let longest = given.dispatch.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    Ok(AssembledProxy {
        context: node,
        connections: edge,
        endpoint_publisher: membership,
        cached_revision: known,
        longest_deadline: longest,
    })
}

impl AssembledProxy {
    /// Begins the ending.
    pub fn begin_shutdown(&self) -> ShutdownDeadlines {
        let by = from_now(self.longest_deadline.min(MAX_DRAIN_TIME));
        self.context.shutdown.begin(by);
        ShutdownDeadlines { drain_deadline: by, late_connections_until: from_now(LATE_CONNECTION_WINDOW) }
    }

    /// Waits until what was taken is answered or the time for it is over, closes what is still open and
    /// returns how many requests are left. Connections and call-backs are taken until the closing. Guards
    /// against clients that go on using whatever stays open: what they ask then would be taken and lost.
    pub async fn wait_until_drained(&self, ends: ShutdownDeadlines) -> usize {
        self.wait_until_idle(ends.late_connections_until, ends.drain_deadline).await;
        self.context.shutdown.close();
        self.wait_until_idle(from_now(FINAL_WRITE_TIME), ends.drain_deadline).await;
        self.connections.busy()
    }

    /// Waits for an instant, and then until nothing is read or answered or the time for it is over.
    async fn wait_until_idle(&self, at_least: Instant, by: Instant) {
        while Instant::now() < at_least || (self.connections.busy() > 0 && Instant::now() < by) {
            sleep_until(from_now(DRAIN_POLL_INTERVAL)).await;
        }
    }
}

/// An ending under way.
pub struct ShutdownDeadlines {
    drain_deadline: Instant,
    late_connections_until: Instant,
}
