//! A fake worker that a test reads and writes byte by byte.
#![allow(dead_code)]
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::sockets::{Message, next_message, within};

/// The code of the state ESTABLISHED in `/proc/net/tcp`.
const TCP_ESTABLISHED: &str = "01";
/// The code of the state SYN_SENT in `/proc/net/tcp`.
const TCP_SYN_SENT: &str = "02";
/// The time between two readings of the kernel's table of connections.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A fake worker that a test reads and writes byte by byte, and that can keep new connections from being
/// established.
pub(crate) struct RawWorker {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// A connection that a test reads and writes byte by byte.
pub(crate) type Connection = BufReader<TcpStream>;

impl RawWorker {
    pub(crate) fn new() -> RawWorker {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        // A backlog of 0 lets one connection wait to be accepted.
        let listener = socket.listen(0).expect("a listening socket");
        let address = listener.local_addr().expect("a local address");
        RawWorker { listener, address }
    }
    pub(crate) async fn accept(&self) -> Connection {
        BufReader::new(within("a connection", self.listener.accept()).await.expect("a listening socket").0)
    }
    /// Accepts the next connection and reads the request on it.
    pub(crate) async fn next_request(&self) -> (Connection, Message) {
        let mut connection = self.accept().await;
        let message = next_message(&mut connection).await.expect("a request");
        (connection, message)
    }
    /// Fills the accept queue: no further connection is established until the returned one is accepted.
    pub(crate) async fn fill_queue(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a listening socket")
    }
    /// Refuses all connections from now on, as a machine does after the worker process has ended.
    pub(crate) fn refuse_connections(&self) {
        SockRef::from(&self.listener).shutdown(Shutdown::Both).expect("a listening socket");
    }
    /// Waits until the scheduler is connecting to this worker.
    pub(crate) async fn wait_for_connect(&self) {
        let connecting = async {
            while !self.has_peer_in_state(TCP_SYN_SENT) {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
        };
        within("a connection in SYN_SENT", connecting).await;
    }
    /// Waits until the scheduler's kernel has received the reset of its only connection to this worker.
    pub(crate) async fn wait_for_reset(&self) {
        let reset = async {
            while self.has_peer_in_state(TCP_ESTABLISHED) {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
        };
        within("the reset of a connection", reset).await;
    }
    /// Whether the kernel shows a connection to this worker, at the peer's end, in a state.
    fn has_peer_in_state(&self, state: &str) -> bool {
        let peer = format!(":{:04X} {state} ", self.address.port());
        std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable").contains(&peer)
    }
}

pub(crate) async fn write(connection: &mut Connection, text: &str) {
    connection.write_all(text.as_bytes()).await.expect("the connection is open");
}

/// Reads the rest of a connection up to its end.
pub(crate) async fn read_to_end(connection: &mut Connection) -> String {
    let mut bytes = Vec::new();
    let _ = within("the end of the connection", connection.read_to_end(&mut bytes)).await;
    String::from_utf8(bytes).expect("UTF-8")
}
