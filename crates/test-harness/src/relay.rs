//! What stands before each member: packets and streams to it pass here, and meet the faults of their link.
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use copperspread_fault_injection::NetworkLinks;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::block::AddressBlock;

/// A packet of a stream that is lost comes again after so long; a cut is looked at as often.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest packet of UDP, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// All links, and their chance.
pub(crate) struct FaultyNetwork {
    pub(crate) block: AddressBlock,
    state: Mutex<(NetworkLinks, Pcg64Mcg)>,
}

impl FaultyNetwork {
    pub(crate) fn new(block: AddressBlock, links: NetworkLinks, seed: u64) -> FaultyNetwork {
        FaultyNetwork { block, state: Mutex::new((links, Pcg64Mcg::seed_from_u64(seed))) }
    }

    fn state(&self) -> MutexGuard<'_, (NetworkLinks, Pcg64Mcg)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn update_links(&self, change: impl FnOnce(&mut NetworkLinks)) {
        change(&mut self.state().0);
    }

    fn delivery_delays(&self, from: usize, to: usize) -> [Option<Duration>; 2] {
        let (links, chance) = &mut *self.state();
        links.delivery_delays(from, to, chance)
    }

    /// Until a piece of a stream is through: streams repeat what is lost, and wait where all is.
    async fn wait_for_delivery(&self, from: usize, to: usize) {
        loop {
            match self.delivery_delays(from, to)[0] {
                Some(way) => return sleep(way).await,
                None => sleep(RETRANSMIT_INTERVAL).await,
            }
        }
    }
}

/// Passes packets on to a member, until the runtime ends.
pub(crate) async fn relay_packets(net: Arc<FaultyNetwork>, to: usize, socket: UdpSocket, member: SocketAddr) {
    socket.set_nonblocking(true).expect("an option");
    let socket = Arc::new(tokio::net::UdpSocket::from_std(socket).expect("a socket"));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error is the answer to an earlier packet to a member that is down.
        let Ok((size, by)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(from) = net.block.member_number(by) else { continue };
        for way in net.delivery_delays(from, to).into_iter().flatten() {
            if way.is_zero() {
                let _ = socket.send_to(&buffer[..size], member).await;
            } else {
                let (socket, packet) = (Arc::clone(&socket), buffer[..size].to_vec());
                tokio::spawn(async move {
                    sleep(way).await;
                    let _ = socket.send_to(&packet, member).await;
                });
            }
        }
    }
}

/// Passes streams on to a member, until the runtime ends.
pub(crate) async fn relay_streams(
    net: Arc<FaultyNetwork>,
    to: usize,
    listener: TcpListener,
    member: SocketAddr,
) {
    listener.set_nonblocking(true).expect("an option");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    loop {
        let Ok((stream, by)) = listener.accept().await else { continue };
        if let Some(from) = net.block.member_number(by) {
            tokio::spawn(relay_stream(Arc::clone(&net), from, to, stream, member));
        }
    }
}

async fn relay_stream(net: Arc<FaultyNetwork>, from: usize, to: usize, near: TcpStream, member: SocketAddr) {
    net.wait_for_delivery(from, to).await;
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let Ok(far) = socket.connect(member).await else { return };
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::join!(
        copy_with_faults(&net, from, to, near_in, far_out),
        copy_with_faults(&net, to, from, far_in, near_out)
    );
}

async fn copy_with_faults(
    net: &FaultyNetwork,
    from: usize,
    to: usize,
    mut input: impl AsyncRead + Unpin,
    mut output: impl AsyncWrite + Unpin,
) {
    let mut buffer = vec![0; 1_400];
    while let Ok(size @ 1..) = input.read(&mut buffer).await {
        net.wait_for_delivery(from, to).await;
        if output.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
    // Its end meets the same link.
    net.wait_for_delivery(from, to).await;
    let _ = output.shutdown().await;
}
