//! The relay before each member: packets and streams to the member pass it, and meet the faults of their link.
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

/// After this time a lost piece of a stream is sent again, and a blocked link is tried again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Pieces of a stream that meet the link's faults one by one, in bytes.
const STREAM_PIECE_BYTES: usize = 1_400;

/// The links between all members of a fleet. The fleet applies faults; the relays' tasks ask for each packet's fate.
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

    /// Waits until a piece of a stream is delivered: streams repeat what is lost, and wait on a blocked link.
    async fn wait_for_delivery(&self, from: usize, to: usize) {
        loop {
            match self.delivery_delays(from, to)[0] {
                Some(delay) => return sleep(delay).await,
                None => sleep(RETRANSMIT_INTERVAL).await,
            }
        }
    }
}

/// Relays packets to a member, until the runtime ends.
pub(crate) async fn relay_packets(
    network: Arc<FaultyNetwork>,
    to: usize,
    socket: UdpSocket,
    member: SocketAddr,
) {
    socket.set_nonblocking(true).expect("an option");
    let socket = Arc::new(tokio::net::UdpSocket::from_std(socket).expect("a socket"));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error is the answer to an earlier packet to a member that is down.
        let Ok((size, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(from) = network.addresses.member_at(sender) else { continue };
        for delay in network.delivery_delays(from, to).into_iter().flatten() {
            if delay.is_zero() {
                let _ = socket.send_to(&buffer[..size], member).await;
            } else {
                // Ends by itself after the delay, or with the runtime.
                tokio::spawn(send_later(Arc::clone(&socket), buffer[..size].to_vec(), member, delay));
            }
        }
    }
}

async fn send_later(
    socket: Arc<tokio::net::UdpSocket>,
    packet: Vec<u8>,
    member: SocketAddr,
    delay: Duration,
) {
    sleep(delay).await;
    let _ = socket.send_to(&packet, member).await;
}

/// Relays streams to a member, until the runtime ends.
pub(crate) async fn relay_streams(
    network: Arc<FaultyNetwork>,
    to: usize,
    listener: TcpListener,
    member: SocketAddr,
) {
    listener.set_nonblocking(true).expect("an option");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    loop {
        let Ok((stream, sender)) = listener.accept().await else { continue };
        if let Some(from) = network.addresses.member_at(sender) {
            // Ends with its stream, or with the runtime.
            tokio::spawn(relay_stream(Arc::clone(&network), from, to, stream, member));
        }
    }
}

async fn relay_stream(
    network: Arc<FaultyNetwork>,
    from: usize,
    to: usize,
    near: TcpStream,
    member: SocketAddr,
) {
    network.wait_for_delivery(from, to).await;
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let Ok(far) = socket.connect(member).await else { return };
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::join!(
        copy_with_faults(&network, from, to, near_in, far_out),
        copy_with_faults(&network, to, from, far_in, near_out)
    );
}

async fn copy_with_faults(
    network: &FaultyNetwork,
    from: usize,
    to: usize,
    mut input: impl AsyncRead + Unpin,
    mut output: impl AsyncWrite + Unpin,
) {
    let mut buffer = vec![0; STREAM_PIECE_BYTES];
    while let Ok(size @ 1..) = input.read(&mut buffer).await {
        network.wait_for_delivery(from, to).await;
        if output.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
    // The end of the stream meets the same faults.
    network.wait_for_delivery(from, to).await;
    let _ = output.shutdown().await;
}
