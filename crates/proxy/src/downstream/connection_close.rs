//! Closes client connections so that a response in transit still reaches its client.
//!
//! If no response is due on the connection, a request that arrives during the close is left unread. Its
//! client sends it again on another connection.
use axum::http::StatusCode;
use copperspread_dispatcher::{Micros, SECOND};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::clock::from_now;
use crate::downstream::read_ahead::ReadAhead;

/// How long data from a client is read and dropped after the last response on a connection, in microseconds.
///
/// If a socket with unread data were closed, a TCP reset would be sent, which may destroy the response before
/// the client reads it. Other waits for a client whose connection is being closed are limited to the same
/// time.
pub(super) const LINGER_TIMEOUT: Micros = 2 * SECOND;
/// The maximum number of bytes from a client that are read and dropped after the last response on a
/// connection.
const MAX_LINGER_BYTES: u64 = 64 << 20;

/// How the use of a client connection ended. This decides how the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The connection's last response may not have reached the client yet.
    Responded,
    /// The connection was idle: no response is due on it.
    Idle,
    /// The client has disconnected, or the scheduler closes the connection without waiting for the client.
    Abandoned,
}

/// Why the scheduler closes a client connection on which no request is being answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The head of the connection's next request was not received in time.
    TimedOut,
    /// The connection was asked to close, because another connection needs its permit.
    Evicted,
}

impl CloseReason {
    /// Returns the status of the response to a request that was received only in part.
    ///
    /// Such a request gets a response because its client may send the rest at any time. The request would
    /// then be complete, and every complete request must be answered.
    pub(super) fn partial_request_status(self) -> StatusCode {
        match self {
            CloseReason::TimedOut => StatusCode::REQUEST_TIMEOUT,
            CloseReason::Evicted => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Closes a connection on which no further request is served.
///
/// If the last response may not have reached the client yet ([`ConnectionEnd::Responded`]), the function
/// reads and drops what the client still sends. This ends when the client closes the connection, after
/// [`LINGER_TIMEOUT`], or after [`MAX_LINGER_BYTES`].
///
/// If the connection was idle ([`ConnectionEnd::Idle`]), the function reads nothing. It waits up to
/// [`LINGER_TIMEOUT`] for the client to close the connection. Otherwise ([`ConnectionEnd::Abandoned`]) the
/// connection is closed at once.
pub(super) async fn close(stream: TcpStream, end: ConnectionEnd) {
    match end {
        ConnectionEnd::Responded => linger(stream).await,
        ConnectionEnd::Idle => close_between_requests(stream).await,
        ConnectionEnd::Abandoned => {}
    }
}

/// Closes a connection on which no response is due.
///
/// A request that arrives during the close stays unread. Its client sends it again on another connection.
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
/// Data that the client still sends is read and dropped. This ends when [`LINGER_TIMEOUT`] has passed, when
/// [`MAX_LINGER_BYTES`] have been read, or when the client has closed the connection.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(MAX_LINGER_BYTES);
        let _ =
            timeout_at(from_now(LINGER_TIMEOUT), tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    }
}

/// Writes a response without a body to a request that was received only in part.
pub(super) async fn write_refusal(mut stream: ReadAhead, status: StatusCode) {
    let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    let _ = timeout_at(from_now(LINGER_TIMEOUT), stream.write_all(head.as_bytes())).await;
}
