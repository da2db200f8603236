//! A request body that checks, immediately before an attempt is written, whether the attempt may still be
//! written. If not, the body fails and the attempt is withheld.
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

/// The conditions under which an attempt may be written.
pub(super) struct WriteGuard {
    /// The cancellation tokens of the dispatch, which must permit the write.
    pub(super) control: DispatchControl,
    /// The check that must report the client as connected immediately before the attempt is written.
    pub(super) client: ClientPresence,
    /// The endpoint table, which must list the worker as serving at the address to which the attempt is sent.
    pub(super) endpoints: Arc<EndpointTable>,
    /// The worker that the attempt is sent to.
    pub(super) worker: WorkerId,
    /// The address to which the attempt is sent.
    pub(super) address: Authority,
    /// The instant from which on the attempt must not be written.
    pub(super) write_deadline: Instant,
    /// Whether the attempt was written. Set at the check that decides whether the attempt is written or
    /// withheld.
    pub(super) is_written: Arc<AtomicBool>,
}

impl WriteGuard {
    fn permits_write(&self) -> bool {
        self.control.permits_write()
            && Instant::now() < self.write_deadline
            && self.endpoints.serving_address(self.worker).is_some_and(|address| address == self.address)
            && !self.client.has_disconnected()
    }

    /// Checks whether the attempt may be written, and records the result in `is_written`. Called immediately
    /// before the attempt is written.
    fn check_and_record(&self) -> bool {
        let is_permitted = self.permits_write();
        self.is_written.store(is_permitted, Ordering::Relaxed);
        is_permitted
    }
}

/// The error of a body that was withheld.
#[derive(Debug, thiserror::Error)]
#[error("aborted, too late, already answered, client disconnected, or worker not serving at this address")]
pub(super) struct BodyWithheld;

/// A request body that checks the write guard when it is polled.
///
/// The connection's task polls the body in the same step in which it writes the request's head to its buffer,
/// before any byte is sent. This is the last opportunity for a check: while the dispatch waited for a new or
/// reused connection, the worker may have been listed as draining or at another address, or the write
/// deadline may have passed. If the check fails, the request's body stays incomplete, and a worker never runs
/// a request with an incomplete body.
pub(super) struct GuardedBody {
    body: Full<Bytes>,
    /// The write guard; `None` after it has been checked, and for a body that needs no check.
    guard: Option<WriteGuard>,
}

impl GuardedBody {
    /// Creates a body that is withheld unless the guard permits writing it.
    pub(super) fn new(body: Bytes, guard: WriteGuard) -> GuardedBody {
        GuardedBody { body: Full::new(body), guard: Some(guard) }
    }

    /// Creates an empty body without a guard.
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
    // write, the length is therefore reported as unknown, so that hyper polls the body and gets the error
    // [`BodyWithheld`].
    fn size_hint(&self) -> SizeHint {
        let is_empty = self.body.is_end_stream();
        let is_withheld = is_empty && self.guard.as_ref().is_some_and(|guard| !guard.check_and_record());
        if is_withheld { SizeHint::default() } else { self.body.size_hint() }
    }
}
