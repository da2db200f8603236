//! What stands before each member: packets and streams to it pass here, and meet the faults of their link.
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use copperspread_fault_injection::Links;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::block::Block;

/// A packet of a stream that is lost comes again after so long; a cut is looked at as often.
const AGAIN: Duration = Duration::from_millis(100);
/// Largest packet of UDP, in bytes.
const MOST: usize = 65_536;

/// All links, and their chance.
pub(crate) struct Net {
    pub(crate) block: Block,
    state: Mutex<(Links, Pcg64Mcg)>,
}

impl Net {
    pub(crate) fn new(block: Block, links: Links, seed: u64) -> Net {
        Net { block, state: Mutex::new((links, Pcg64Mcg::seed_from_u64(seed))) }
    }

    fn state(&self) -> MutexGuard<'_, (Links, Pcg64Mcg)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut Links)) {
        change(&mut self.state().0);
    }

    fn way(&self, from: usize, to: usize) -> [Option<Duration>; 2] {
        let (links, chance) = &mut *self.state();
        links.way(from, to, chance)
    }

    /// Until a piece of a stream is through: streams repeat what is lost, and wait where all is.
    async fn through(&self, from: usize, to: usize) {
        loop {
            match self.way(from, to)[0] {
                Some(way) => return sleep(way).await,
                None => sleep(AGAIN).await,
            }
        }
    }
}

/// Passes packets on to a member, until the runtime ends.
pub(crate) async fn packets(net: Arc<Net>, to: usize, socket: UdpSocket, member: SocketAddr) {
    socket.set_nonblocking(true).expect("an option");
    let socket = Arc::new(tokio::net::UdpSocket::from_std(socket).expect("a socket"));
    let mut buffer = vec![0; MOST];
    loop {
        // An error is the answer to an earlier packet to a member that is down.
        let Ok((size, by)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(from) = net.block.number(by) else { continue };
        for way in net.way(from, to).into_iter().flatten() {
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
pub(crate) async fn streams(net: Arc<Net>, to: usize, listener: TcpListener, member: SocketAddr) {
    listener.set_nonblocking(true).expect("an option");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    loop {
        let Ok((stream, by)) = listener.accept().await else { continue };
        if let Some(from) = net.block.number(by) {
            tokio::spawn(stream_between(Arc::clone(&net), from, to, stream, member));
        }
    }
}

async fn stream_between(net: Arc<Net>, from: usize, to: usize, near: TcpStream, member: SocketAddr) {
    net.through(from, to).await;
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let Ok(far) = socket.connect(member).await else { return };
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::join!(pass(&net, from, to, near_in, far_out), pass(&net, to, from, far_in, near_out));
}

async fn pass(
    net: &Net,
    from: usize,
    to: usize,
    mut input: impl AsyncRead + Unpin,
    mut output: impl AsyncWrite + Unpin,
) {
    let mut buffer = vec![0; 1_400];
    while let Ok(size @ 1..) = input.read(&mut buffer).await {
        net.through(from, to).await;
        if output.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
    // Its end meets the same link.
    net.through(from, to).await;
    let _ = output.shutdown().await;
}
