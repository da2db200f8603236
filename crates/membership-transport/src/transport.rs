//! A running member: starts its threads, and ends them.
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

/// States from streams that the driver has not applied yet. While it is full, the streams' threads wait within their
/// time limit, then give up ([`DropCounts::states_dropped`]).
const MAX_RECEIVED_STATES: usize = 8;
/// Exchanges that were requested and not yet begun. While it is full, further ones are left out
/// ([`DropCounts::exchanges_skipped`]).
const MAX_EXCHANGE_REQUESTS: usize = 2;

/// A member that runs, and the owner of its threads. Dropped, it ends without notice to the others, as if killed;
/// [`MembershipTransport::leave`] is the orderly way.
pub struct MembershipTransport {
    shared: Arc<Shared>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

/// The queues' ends that the streams' threads use.
struct StreamQueues {
    accepted_streams: Receiver<std::net::TcpStream>,
    received_states: Sender<ReceivedState>,
    exchange_requests: Receiver<ExchangeRequest>,
}

impl MembershipTransport {
    /// Binds the sockets and starts the threads. The member's generation is the Unix time in milliseconds.
    ///
    /// # Errors
    /// Settings that the protocol cannot run with, an address that cannot be bound, or a system that refuses a thread.
    pub fn start(config: TransportConfig) -> Result<MembershipTransport, StartError> {
        let generation = unix_milliseconds();
        let sockets = BoundSockets::bind(config.bind_address)?;
        let address = sockets.address;
        let key = config.key.clone();
        let membership = new_membership(config, address, generation)?;
        let (sockets, waker) = sockets.register()?;
        let shared = Arc::new(Shared::new(membership.local_member().clone(), waker));
        // Its drop ends the threads that run, should the system refuse a further one. It stands before the queues,
        // so that their ends are dropped first.
        let mut transport = MembershipTransport { shared: Arc::clone(&shared), address, threads: Vec::new() };
        let (driver_queues, stream_queues) = create_queues();
        transport.spawn_stream_threads(key, address.ip(), stream_queues)?;
        let driver = Driver::new(membership, sockets, driver_queues, shared);
        transport.spawn("membership", move || driver.run())?;
        Ok(transport)
    }

    /// Starts the threads that exchange states. They end when the driver, and with it its ends of the queues, is gone.
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

    /// Starts a thread, which [`MembershipTransport::stop_and_join`] joins.
    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        self.threads.push(Builder::new().name(name.into()).spawn(run)?);
        Ok(())
    }

    /// The address that it is bound to.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// What it knows now.
    pub fn view(&self) -> MembershipView {
        self.shared.view()
    }

    /// A function that gives the view for as long as the member runs, and the last one after that.
    pub fn view_reader(&self) -> impl Fn() -> MembershipView + Send + Sync + use<> {
        let shared = Arc::clone(&self.shared);
        move || shared.view()
    }

    /// What was dropped so far, by cause.
    pub fn drop_counts(&self) -> DropCounts {
        self.shared.counters.drops()
    }

    /// Notifies the others that it leaves, so that they need not detect it. Returns at once.
    pub fn leave(&self) {
        self.shared.end_run(RunState::Leaving);
    }

    /// Waits until it has ended, after [`MembershipTransport::leave`] or else without notice to the others: a second
    /// at most, the time for a stream that is being connected. Gives the last view.
    pub fn shutdown(mut self) -> MembershipView {
        self.stop_and_join();
        self.shared.view()
    }

    fn stop_and_join(&mut self) {
        self.shared.end_run(RunState::Stopping);
        for thread in self.threads.drain(..) {
            // One that panicked has reported it by itself.
            let _ = thread.join();
        }
    }
}

impl Drop for MembershipTransport {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}

/// The Unix time now, in milliseconds.
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

/// The bounded queues between the driver and the streams' threads.
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
