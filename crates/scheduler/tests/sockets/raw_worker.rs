//! A worker played byte by byte.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::sockets::{Message, next_message, within};

/// A worker played byte by byte, whose next connections can be kept from coming up.
pub(crate) struct RawWorker {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// A connection that a test reads and writes byte by byte.
pub(crate) type Connection = BufReader<TcpStream>;

impl RawWorker {
    pub(crate) fn new() -> RawWorker {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        // One connection may wait here to be accepted, and no more.
        let listener = socket.listen(0).expect("it listens");
        let address = listener.local_addr().expect("an address");
        RawWorker { listener, address }
    }
    pub(crate) async fn accept(&self) -> Connection {
        BufReader::new(within("a connection", self.listener.accept()).await.expect("it is up").0)
    }
    /// The next connection and the request on it.
    pub(crate) async fn next_request(&self) -> (Connection, Message) {
        let mut connection = self.accept().await;
        let message = next_message(&mut connection).await.expect("a request");
        (connection, message)
    }
    /// Keeps further connections from coming up until it is let in.
    pub(crate) async fn fill_queue(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("it listens")
    }
    /// Waits until the scheduler waits for a connection to it, which the kernel shows as SYN_SENT.
    pub(crate) async fn wait_for_connect(&self) {
        let port = format!(":{:04X} 02 ", self.address.port());
        let seen = async {
            while !std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&port) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        within("a connection under way", seen).await;
    }
}

pub(crate) async fn write(connection: &mut Connection, text: &str) {
    connection.write_all(text.as_bytes()).await.expect("it reads");
}

/// What else comes on a connection, up to its end.
pub(crate) async fn read_to_end(connection: &mut Connection) -> String {
    let mut bytes = Vec::new();
    let _ = within("a connection's end", connection.read_to_end(&mut bytes)).await;
    String::from_utf8(bytes).expect("UTF-8")
}
