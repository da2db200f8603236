//! How this side closes a client connection: with care for a response that is on its way, and without reading what
//! crosses the close.
use axum::http::StatusCode;
use copperspread_dispatcher::{Micros, SECOND};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::clock::from_now;
use crate::downstream::read_ahead::ReadAhead;

/// After the last response on a connection that this side closes, what still comes is read and dropped for so
/// long and so much, as a reset over unread data would take the response from its reader.
pub(super) const LINGER_TIMEOUT: Micros = 2 * SECOND;
const MAX_LINGER_BYTES: u64 = 64 << 20;

/// How a connection's last request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// With a response that its reader may not have yet.
    Responded,
    /// Between requests.
    Idle,
    /// The client has disconnected, or is not waited for.
    Abandoned,
}

/// Why this side ends a connection that serves no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The next request's head has not come in time.
    TimedOut,
    /// Another connection needs its permit.
    Evicted,
}

impl CloseReason {
    /// The response to a request that has begun to come. Its client may write the last byte at any instant, and is
    /// owed a response from then on.
    pub(super) fn partial_request_status(self) -> StatusCode {
        match self {
            CloseReason::TimedOut => StatusCode::REQUEST_TIMEOUT,
            CloseReason::Evicted => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Closes a connection whose requests have ended, until its client has closed it too or the time for that is over.
pub(super) async fn close(stream: TcpStream, end: ConnectionEnd) {
    match end {
        ConnectionEnd::Responded => linger(stream).await,
        ConnectionEnd::Idle => close_between_requests(stream).await,
        ConnectionEnd::Abandoned => {}
    }
}

/// Closes a connection that owes no response. What still comes crosses the close and stays unread: its client
/// sends it once more on another connection.
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

/// Closes a connection whose response may still be on its way to its reader.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(MAX_LINGER_BYTES);
        let _ =
            timeout_at(from_now(LINGER_TIMEOUT), tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    }
}

/// Writes a response to a request whose end has not come.
pub(super) async fn write_refusal(mut stream: ReadAhead, status: StatusCode) {
    let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    let _ = timeout_at(from_now(LINGER_TIMEOUT), stream.write_all(head.as_bytes())).await;
}
