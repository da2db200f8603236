//! The relays in front of the members. They forward packets and streams to the members, and apply the faults
//! of the network links between the members.
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use copperspread_fault_injection::NetworkLinks;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::address_block::AddressBlock;

/// Time after which a relay retries a part of a stream if the part was lost or the link is blocked.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Size of the buffer into which a relay receives packets, in bytes. It can hold any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum size in bytes of the chunks in which a relay forwards a stream. The faults of a link apply to each
/// chunk separately.
const STREAM_CHUNK_BYTES: usize = 1_400;

/// The network links between all members of a fleet. The fleet changes the faults of the links. The relays
/// ask for each packet or part of a stream whether and with which delay it is delivered.
pub(crate) struct FaultyNetwork {
    pub(crate) addresses: AddressBlock,
    state: Mutex<NetworkState>,
}

struct NetworkState {
    links: NetworkLinks,
    rng: Pcg64Mcg,
}

impl FaultyNetwork {
    pub(crate) fn new(addresses: AddressBlock, links: NetworkLinks, seed: u64) -> FaultyNetwork {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        FaultyNetwork { addresses, state: Mutex::new(NetworkState { links, rng }) }
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn update_links(&self, update: impl FnOnce(&mut NetworkLinks)) {
        update(&mut self.state().links);
    }

    fn delivery_delays(&self, from: usize, to: usize) -> [Option<Duration>; 2] {
        let NetworkState { links, rng } = &mut *self.state();
        links.delivery_delays(from, to, rng)
    }

    /// Waits until a part of a stream has passed the link from one member to another. A part is the opening
    /// of the stream, a chunk or its end. The part takes as long as the link's delay. If the part is lost or
    /// the link is blocked, tries again after [`RETRANSMIT_INTERVAL`].
    async fn wait_for_delivery(&self, from: usize, to: usize) {
        loop {
            match self.delivery_delays(from, to)[0] {
                Some(delay) => return sleep(delay).await,
                None => sleep(RETRANSMIT_INTERVAL).await,
            }
        }
    }
}

/// Forwards packets to a member until the asynchronous runtime shuts down.
pub(crate) async fn relay_packets(
    network: Arc<FaultyNetwork>,
    to: usize,
    socket: UdpSocket,
    member: SocketAddr,
) {
    socket.set_nonblocking(true).expect("the socket can be made non-blocking");
    let socket = Arc::new(tokio::net::UdpSocket::from_std(socket).expect("the runtime accepts the socket"));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error of receiving is ignored. It only reports that an earlier packet could not be delivered to
        // a member that is down.
        let Ok((size, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(from) = network.addresses.member_at(sender) else { continue };
        for delay in network.delivery_delays(from, to).into_iter().flatten() {
            if delay.is_zero() {
                let _ = socket.send_to(&buffer[..size], member).await;
            } else {
                // The spawned task ends after the delay, or with the asynchronous runtime.
                tokio::spawn(send_delayed(Arc::clone(&socket), buffer[..size].to_vec(), member, delay));
            }
        }
    }
}

async fn send_delayed(
    socket: Arc<tokio::net::UdpSocket>,
    packet: Vec<u8>,
    member: SocketAddr,
    delay: Duration,
) {
    sleep(delay).await;
    let _ = socket.send_to(&packet, member).await;
}

/// Forwards streams to a member until the asynchronous runtime shuts down.
pub(crate) async fn relay_streams(
    network: Arc<FaultyNetwork>,
    to: usize,
    listener: TcpListener,
    member: SocketAddr,
) {
    listener.set_nonblocking(true).expect("the listener can be made non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime accepts the listener");
    loop {
        let Ok((stream, sender)) = listener.accept().await else { continue };
        if let Some(from) = network.addresses.member_at(sender) {
            // The spawned task ends with the stream that it forwards, or with the asynchronous runtime.
            tokio::spawn(relay_stream(Arc::clone(&network), from, to, stream, member));
        }
    }
}

async fn relay_stream(
    network: Arc<FaultyNetwork>,
    from: usize,
    to: usize,
    inbound: TcpStream,
    member: SocketAddr,
) {
    network.wait_for_delivery(from, to).await;
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let Ok(outbound) = socket.connect(member).await else { return };
    let ((inbound_reader, inbound_writer), (outbound_reader, outbound_writer)) =
        (inbound.into_split(), outbound.into_split());
    tokio::join!(
        copy_with_faults(&network, from, to, inbound_reader, outbound_writer),
        copy_with_faults(&network, to, from, outbound_reader, inbound_writer)
    );
}

async fn copy_with_faults(
    network: &FaultyNetwork,
    from: usize,
    to: usize,
    mut input: impl AsyncRead + Unpin,
    mut output: impl AsyncWrite + Unpin,
) {
    let mut buffer = vec![0; STREAM_CHUNK_BYTES];
    while let Ok(size @ 1..) = input.read(&mut buffer).await {
        network.wait_for_delivery(from, to).await;
        if output.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
    // The faults of the link also apply to the end of the stream.
    network.wait_for_delivery(from, to).await;
    let _ = output.shutdown().await;
}
