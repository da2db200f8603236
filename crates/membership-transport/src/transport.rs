//! The handle of a running member, which starts and ends the member's threads.
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{SystemTime, UNIX_EPOCH};

use copperspread_membership::{Key, Member, Membership};
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::config::{StartError, TransportConfig};
use crate::driver::{Driver, DriverQueues, MAX_ACCEPTED_STREAMS};
use crate::messages::{ExchangeRequest, ReceivedState};
use crate::shared::{RunState, Shared};
use crate::sockets::BoundSockets;
use crate::state_exchange::{SERVER_THREADS, StateExchange};
use crate::view::{DropCounts, MembershipView};

/// Maximum number of received states that wait for the driver. While this many wait, the stream threads wait
/// within the time limits of their streams, and then drop their states ([`DropCounts::states_dropped`]).
const MAX_RECEIVED_STATES: usize = 8;
/// Maximum number of requested state exchanges that wait for a stream thread. While this many wait, further
/// exchanges are skipped ([`DropCounts::exchanges_skipped`]).
const MAX_EXCHANGE_REQUESTS: usize = 2;

/// A running member of the cluster, which owns its threads. If this handle is dropped, the member ends
/// without notifying the other members, as if killed. [`MembershipTransport::leave`] notifies them.
pub struct MembershipTransport {
    shared: Arc<Shared>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

/// The stream threads' ends of the queues between the driver and these threads.
struct StreamQueues {
    accepted_streams: Receiver<std::net::TcpStream>,
    received_states: Sender<ReceivedState>,
    exchange_requests: Receiver<ExchangeRequest>,
}

impl MembershipTransport {
    /// Binds the member's sockets and starts its threads. The member's generation is the Unix time in
    /// milliseconds.
    ///
    /// # Errors
    /// Returns [`StartError`] if the settings or the identity are rejected, the address cannot be bound, or
    /// another call to the operating system fails.
    pub fn start(config: TransportConfig) -> Result<MembershipTransport, StartError> {
        let generation = unix_milliseconds();
        let sockets = BoundSockets::bind(config.bind_address)?;
        let address = sockets.address;
        let key = config.key.clone();
        let membership = new_membership(config, address, generation)?;
        let (sockets, waker) = sockets.register()?;
        let shared = Arc::new(Shared::new(membership.local_member().clone(), waker));
        // If a thread cannot be started, `transport` is dropped, which ends and joins the threads that are
        // already running. The stream threads end only once the ends of the queues are dropped. `transport`
        // is therefore declared before these ends, so that it is dropped after them. Otherwise the join would
        // wait forever.
        let mut transport = MembershipTransport { shared: Arc::clone(&shared), address, threads: Vec::new() };
        let (driver_queues, stream_queues) = create_queues();
        transport.spawn_stream_threads(key, address.ip(), stream_queues)?;
        let driver = Driver::new(membership, sockets, driver_queues, shared);
        transport.spawn("membership", move || driver.run())?;
        Ok(transport)
    }

    /// Starts the stream threads, which exchange states with other members. These threads end when the driver
    /// has ended and dropped its ends of the queues.
    fn spawn_stream_threads(
        &mut self,
        key: Key,
        bind_ip: IpAddr,
        queues: StreamQueues,
    ) -> Result<(), StartError> {
        let StreamQueues { accepted_streams, received_states, exchange_requests } = queues;
        let exchange = StateExchange { shared: Arc::clone(&self.shared), key, received_states, bind_ip };
        for number in 0..SERVER_THREADS {
            let (exchange, accepted_streams) = (exchange.clone(), accepted_streams.clone());
            let serve = move || exchange.serve_streams(&accepted_streams);
            self.spawn(&format!("membership-in-{number}"), serve)?;
        }
        self.spawn("membership-out", move || exchange.run_requests(&exchange_requests))
    }

    /// Starts a thread of the member. [`MembershipTransport::stop_and_join`] waits for its end.
    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        self.threads.push(Builder::new().name(name.into()).spawn(run)?);
        Ok(())
    }

    /// The address to which the member's sockets are bound.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// The member's current view of the cluster, and its counters.
    pub fn view(&self) -> MembershipView {
        self.shared.view()
    }

    /// Returns a function that reads the member's view of the cluster. After the member has ended, the
    /// function returns the last view.
    pub fn view_reader(&self) -> impl Fn() -> MembershipView + Send + Sync + use<> {
        let shared = Arc::clone(&self.shared);
        move || shared.view()
    }

    /// The numbers of packets, streams, state exchanges and received states that were dropped so far, by
    /// cause. A state is a list of members. A dropped state exchange was requested, but never started. A
    /// dropped state was received from another member, but could not be queued for the membership protocol.
    pub fn drop_counts(&self) -> DropCounts {
        self.shared.counters.drops()
    }

    /// Ends the member after it has notified the other members, so that they do not have to detect that it is
    /// gone. Returns without waiting for the end.
    pub fn leave(&self) {
        self.shared.end_member(RunState::Leaving);
    }

    /// Ends the member, waits until it has ended, and returns its last view of the cluster. Unless
    /// [`MembershipTransport::leave`] was called before, the member does not notify the other members. Each
    /// state exchange that is connecting or queued, at most three, can delay the end by up to 0.8 s.
    pub fn shutdown(mut self) -> MembershipView {
        self.stop_and_join();
        self.shared.view()
    }

    fn stop_and_join(&mut self) {
        self.shared.end_member(RunState::Stopping);
        for thread in self.threads.drain(..) {
            // An error means that the thread panicked, which the panic handler has already reported.
            let _ = thread.join();
        }
    }
}

impl Drop for MembershipTransport {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}

/// The current Unix time, in milliseconds.
fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn new_membership(
    config: TransportConfig,
    address: SocketAddr,
    generation: u64,
) -> Result<Membership, StartError> {
    let local = Member {
        name: config.name,
        zone: config.zone,
        region: config.region,
        address: config.advertised_address.unwrap_or(address),
        generation,
        rejoins: 0,
    };
    Ok(Membership::new(local, config.membership_settings, config.key, config.seed)?)
}

/// Creates the bounded queues between the driver and the stream threads.
fn create_queues() -> (DriverQueues, StreamQueues) {
    let (accepted_sender, accepted_streams) = bounded(MAX_ACCEPTED_STREAMS);
    let (received_states, received_receiver) = bounded(MAX_RECEIVED_STATES);
    let (request_sender, exchange_requests) = bounded(MAX_EXCHANGE_REQUESTS);
    let driver = DriverQueues {
        accepted_streams: accepted_sender,
        received_states: received_receiver,
        exchange_requests: request_sender,
    };
    (driver, StreamQueues { accepted_streams, received_states, exchange_requests })
}
