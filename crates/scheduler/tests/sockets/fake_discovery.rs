//! A fake discovery on real sockets, which can be unavailable and send arbitrary responses.
#![allow(dead_code, reason = "each test program uses only some items")]
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::sockets::{endpoint_list, reserve_address, within};

/// A response that refuses a call and closes its connection.
pub(crate) const UNAVAILABLE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// A fake discovery that can be unavailable and send arbitrary responses.
pub(crate) struct FakeDiscovery {
    pub address: SocketAddr,
    pub listener: Option<TcpListener>,
    /// Connections that fill the accept queue.
    queued: Vec<TcpStream>,
    /// Reserves the address while nothing listens on it.
    _reserved: TcpSocket,
}

/// A call to the fake discovery that has no response yet.
pub(crate) struct Call {
    pub first_line: String,
    stream: BufReader<TcpStream>,
}

impl FakeDiscovery {
    /// Creates a discovery that refuses connections.
    pub(crate) fn refusing() -> FakeDiscovery {
        let (reserved, address) = reserve_address();
        FakeDiscovery { address, listener: None, queued: Vec::new(), _reserved: reserved }
    }
    pub(crate) async fn available() -> FakeDiscovery {
        let mut discovery = FakeDiscovery::refusing();
        discovery.listen().await;
        discovery
    }
    pub(crate) async fn listen(&mut self) {
        self.listener = Some(TcpListener::bind(self.address).await.expect("the reserved address is free"));
    }
    /// Creates a discovery that is unavailable in one of these ways: `refuses` (refuses connections),
    /// `silent` (sends nothing) or `connections time out` (no connection is established).
    pub(crate) async fn unavailable(how: &str) -> FakeDiscovery {
        match how {
            "refuses" => FakeDiscovery::refusing(),
            "silent" => FakeDiscovery::available().await,
            "connections time out" => {
                let mut discovery = FakeDiscovery::refusing();
                let socket = TcpSocket::new_v4().expect("a socket");
                socket.set_reuseaddr(true).expect("the socket option is set");
                socket.bind(discovery.address).expect("the reserved address is free");
                discovery.listener = Some(socket.listen(1).expect("a listening socket"));
                // Connections that are not accepted fill the queue, until the next one is not established.
                let fill = || {
                    tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(discovery.address))
                };
                while let Ok(stream) = fill().await {
                    discovery.queued.push(stream.expect("a connection"));
                }
                discovery
            }
            _ => unreachable!("{how}"),
        }
    }
    /// Makes discovery available again: it accepts connections from now on.
    pub(crate) async fn recover(&mut self) {
        self.queued.clear();
        if self.listener.is_none() {
            self.listen().await;
        }
    }
    /// Returns the next call whose caller has not closed the connection.
    pub(crate) async fn next_call(&self) -> Call {
        loop {
            let (stream, _) = within("a call", self.listener.as_ref().expect("a listening socket").accept())
                .await
                .expect("a connection");
            let mut stream = BufReader::new(stream);
            let (mut first_line, mut line) = (String::new(), String::new());
            let mut is_complete = stream.read_line(&mut first_line).await.is_ok();
            while is_complete && line != "\r\n" {
                line.clear();
                is_complete = stream.read_line(&mut line).await.is_ok_and(|read| read > 0);
            }
            if is_complete && stream.fill_buf().now_or_never().is_none() {
                return Call { first_line: first_line.trim_end().to_owned(), stream };
            }
        }
    }
    /// Responds with a complete list until the scheduler has applied it, and returns the next call, which
    /// watches its revision.
    pub(crate) async fn publish(&self, revision: u64, members: &[String]) -> Call {
        loop {
            self.next_call().await.respond_with_list(&endpoint_list(revision, true, members)).await;
            let next = self.next_call().await;
            if next.first_line.contains(&format!("from={revision}&")) {
                return next;
            }
            next.respond_with_list(&endpoint_list(revision, true, members)).await;
        }
    }
}

impl Call {
    pub(crate) async fn write(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }
    /// Responds with a list and closes the connection, so that each call has its own.
    pub(crate) async fn respond_with_list(mut self, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        ))
        .await;
    }
    /// Writes `begin` once and then `again` repeatedly, until the scheduler closes the connection.
    pub(crate) fn repeat_forever(mut self, begin: &'static str, again: String, pause: Duration) {
        tokio::spawn(async move {
            let mut text = begin.as_bytes();
            while self.stream.write_all(text).await.is_ok() {
                text = again.as_bytes();
                tokio::time::sleep(pause).await;
            }
        });
    }
    pub(crate) fn reset(self) {
        let _ = self.stream.get_ref().set_zero_linger();
    }
}

/// The faults that a test can inject into a watch.
pub(crate) const WATCH_FAULTS: [&str; 15] = [
    "silent",
    "closed",
    "reset",
    "half a response, then silence",
    "half a response, then a close",
    "a head without end",
    "a body without end",
    "a body without end, at once",
    "a body longer than its Content-Length",
    "a body shorter than its Content-Length",
    "an invalid list",
    "503",
    "503, then silence on its connection",
    "503 without end",
    "a list with extra whitespace",
];

/// Injects one of [`WATCH_FAULTS`] into a watch. Returns the call if its connection must stay open without
/// further bytes.
pub(crate) async fn inject(fault: &str, mut watch: Call, members: &[String]) -> Option<Call> {
    let body = endpoint_list(6, true, members);
    let long = body.len() + 9;
    let (half, pause) = (&body[..body.len() / 2], Duration::from_millis(20));
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    const OPEN: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |length: usize| format!("{length:x}\r\n{}\r\n", " ".repeat(length));
    match fault {
        "silent" => {}
        "closed" => return None,
        "reset" => {
            watch.reset();
            return None;
        }
        "half a response, then silence" => watch.write(&(head(body.len()) + half)).await,
        "half a response, then a close" => {
            watch.write(&(head(body.len()) + half)).await;
            return None;
        }
        "a head without end" => {
            watch.repeat_forever("HTTP/1.1 200 OK\r\nX: ", "x".repeat(64), pause);
            return None;
        }
        "a body without end" => {
            watch.repeat_forever(OPEN, chunk(64), pause);
            return None;
        }
        "a body without end, at once" => {
            watch.repeat_forever(OPEN, chunk(65_536), Duration::ZERO);
            return None;
        }
        "a body longer than its Content-Length" => watch.write(&(head(body.len() - 9) + &body)).await,
        "a body shorter than its Content-Length" => watch.write(&(head(long) + &body)).await,
        "an invalid list" => {
            watch.respond_with_list(r#"{"revision":9,"complete":true,"members":[{"id":1}]}"#).await;
            return None;
        }
        "503" => {
            watch.write(UNAVAILABLE).await;
            return None;
        }
        "503, then silence on its connection" => {
            watch.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
        "503 without end" => {
            let begin = "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n";
            watch.repeat_forever(begin, chunk(64), pause);
            return None;
        }
        "a list with extra whitespace" => {
            let body = body.replace(',', " ,\r\n\t ");
            watch.respond_with_list(&body).await;
            return None;
        }
        _ => unreachable!("{fault}"),
    }
    Some(watch)
}
