//! A fake worker that a test reads and writes byte by byte.
#![allow(dead_code)]
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::sockets::{Message, next_message, within};

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
    /// Waits until the scheduler is connecting to this worker, which the kernel shows as SYN_SENT.
    pub(crate) async fn wait_for_connect(&self) {
        let port = format!(":{:04X} 02 ", self.address.port());
        let seen = async {
            while !std::fs::read_to_string("/proc/net/tcp")
                .expect("/proc/net/tcp is readable")
                .contains(&port)
            {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        within("a connection in SYN_SENT", seen).await;
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
