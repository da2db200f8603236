//! The body of a request to a worker, which checks immediately before the request is written whether it may
//! still be written. If not, the body fails, and the attempt is not sent.
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use copperspread_dispatcher::WorkerId;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http::uri::Authority;
use tokio::time::Instant;

use crate::endpoints::EndpointTable;
use crate::messages::{ClientPresence, DispatchControl};

/// The conditions under which an attempt may be written to a worker's connection.
pub(super) struct WriteGuard {
    /// The attempt's two cancellation tokens: one stops all unwritten attempts of the request, the other
    /// stops this attempt. If either token is cancelled, the attempt must not be written to the worker's
    /// connection.
    pub(super) control: DispatchControl,
    /// Checks whether the request's client has disconnected. The client must be connected when the attempt is
    /// written.
    pub(super) client: ClientPresence,
    /// The endpoint table. It must list the worker as serving at `address` when the attempt is written.
    pub(super) endpoints: Arc<EndpointTable>,
    /// The worker to which the attempt is sent.
    pub(super) worker: WorkerId,
    /// The address to which the attempt is sent.
    pub(super) address: Authority,
    /// The instant from which on the attempt must no longer be written.
    pub(super) write_deadline: Instant,
    /// Whether the attempt was permitted to be written. The check of the other fields, immediately before the
    /// write, sets this flag. The flag is false before the check.
    pub(super) is_written: Arc<AtomicBool>,
}

impl WriteGuard {
    fn permits_write(&self) -> bool {
        self.control.permits_write()
            && Instant::now() < self.write_deadline
            && self.endpoints.serving_address(self.worker).is_some_and(|address| address == self.address)
            && !self.client.has_disconnected()
    }

    /// Checks whether the attempt may be written, and stores the result in `is_written`. Called immediately
    /// before the write.
    fn check_and_record(&self) -> bool {
        let is_permitted = self.permits_write();
        self.is_written.store(is_permitted, Ordering::Relaxed);
        is_permitted
    }
}

/// The error of a request body whose request must not be written any more.
#[derive(Debug, thiserror::Error)]
#[error("aborted, too late, already answered, client disconnected, or worker not serving at this address")]
pub(super) struct BodyWithheld;

/// The body of a request to a worker. When the body of an attempt is polled, the body checks whether the
/// attempt may still be written.
///
/// The task that serves the connection to the worker polls the body in the step in which it puts the
/// request's head into a buffer for writing. No byte of the request has been sent at that time, so this is
/// the last opportunity for a check. While the attempt waited for a connection, the worker may have been
/// listed as draining or at another address, or the write deadline may have passed. If the check fails, the
/// request's body stays incomplete. A worker never runs a request with an incomplete body.
pub(super) struct GuardedBody {
    body: Full<Bytes>,
    /// The conditions that an attempt must meet to be written. The first poll of this body removes and checks
    /// them. `None` after that poll, and for the body of a cancellation or load query, which may always be
    /// written.
    guard: Option<WriteGuard>,
}

impl GuardedBody {
    /// Creates a body that fails unless `guard` permits the write.
    pub(super) fn new(body: Bytes, guard: WriteGuard) -> GuardedBody {
        GuardedBody { body: Full::new(body), guard: Some(guard) }
    }

    /// Creates the empty body of a cancellation or load query. Unlike an attempt, such a request may always
    /// be written to the worker's connection, so this body checks no conditions before the write.
    pub(super) fn empty() -> GuardedBody {
        GuardedBody { body: Full::default(), guard: None }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyWithheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyWithheld>>> {
        if self.guard.take().is_some_and(|guard| !guard.check_and_record()) {
            return Poll::Ready(Some(Err(BodyWithheld)));
        }
        Pin::new(&mut self.body).poll_frame(context).map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.guard.is_none()
    }

    // For an empty body, hyper asks only for the length and does not poll the body. If the guard forbids the
    // write, this method therefore reports an unknown length. Then hyper polls the body and gets the error
    // [`BodyWithheld`].
    fn size_hint(&self) -> SizeHint {
        let is_empty = self.body.is_end_stream();
        let is_withheld = is_empty && self.guard.as_ref().is_some_and(|guard| !guard.check_and_record());
        if is_withheld { SizeHint::default() } else { self.body.size_hint() }
    }
}
