//! Closes client connections so that a response in transit still reaches its client.
//!
//! On a connection with no response due, a request that arrives during the close is left unread, and its
//! client sends it again on another connection.
use axum::http::StatusCode;
use copperspread_dispatcher::{Micros, SECOND};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::clock::from_now;
use crate::downstream::read_ahead::ReadAhead;

/// Maximum time for which a client's data is read and dropped after the last response on a connection.
///
/// Closing a socket with unread data sends a TCP reset, which may destroy the response before the client
/// reads it. The same time also limits other waits for a client whose connection is being closed.
pub(super) const LINGER_TIMEOUT: Micros = 2 * SECOND;
/// Maximum number of bytes from a client that are read and dropped after the last response on a connection.
const MAX_LINGER_BYTES: u64 = 64 << 20;

/// How a connection ended, which decides how it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The connection ended with a response that the client may not have read yet.
    Responded,
    /// The connection ended while idle: no response is due.
    Idle,
    /// The client has disconnected, or the scheduler closes the connection without waiting for the client.
    Abandoned,
}

/// Why the scheduler closes a connection that serves no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The next request's head was not received in time.
    TimedOut,
    /// Another connection needs the permit of this connection.
    Evicted,
}

impl CloseReason {
    /// Returns the status of the response to a partly received request.
    ///
    /// Such a request gets a response because its client may complete the request at any time, and a complete
    /// request must be answered.
    pub(super) fn partial_request_status(self) -> StatusCode {
        match self {
            CloseReason::TimedOut => StatusCode::REQUEST_TIMEOUT,
            CloseReason::Evicted => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Closes a connection whose requests have ended.
///
/// Unless the connection is [`ConnectionEnd::Abandoned`], the function waits up to [`LINGER_TIMEOUT`] for the
/// client to close the connection too. After a response, the wait also ends once [`MAX_LINGER_BYTES`] have
/// been read and dropped.
pub(super) async fn close(stream: TcpStream, end: ConnectionEnd) {
    match end {
        ConnectionEnd::Responded => linger(stream).await,
        ConnectionEnd::Idle => close_between_requests(stream).await,
        ConnectionEnd::Abandoned => {}
    }
}

/// Closes a connection on which no response is due.
///
/// A request that arrives during the close stays unread; its client sends it again on another connection.
async fn close_between_requests(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let closed = async {
        let ready = stream.ready(Interest::READABLE).await;
        if ready.is_ok_and(|ready| !ready.is_read_closed()) {
            std::future::pending::<()>().await;
        }
    };
    let _ = timeout_at(from_now(LINGER_TIMEOUT), closed).await;
}

/// Closes a connection whose last response may still be in transit.
///
/// What the client still sends is read and dropped until [`LINGER_TIMEOUT`] has passed, [`MAX_LINGER_BYTES`]
/// have been read, or the client has closed the connection.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(MAX_LINGER_BYTES);
        let _ =
            timeout_at(from_now(LINGER_TIMEOUT), tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    }
}

/// Writes an empty response to a request that was received only in part.
pub(super) async fn write_refusal(mut stream: ReadAhead, status: StatusCode) {
    let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    let _ = timeout_at(from_now(LINGER_TIMEOUT), stream.write_all(head.as_bytes())).await;
}
