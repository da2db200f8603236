//! A request body that is withheld unless the attempt may still be written.
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
    /// Not once this forbids it.
    pub(super) control: DispatchControl,
    /// Nor once the client has gone, by what the system knows in the step that writes.
    pub(super) client: ClientPresence,
    /// The table in which `worker` must be serving at `address`.
    pub(super) endpoints: Arc<EndpointTable>,
    /// The worker that the attempt was decided for.
    pub(super) worker: WorkerId,
    /// Where the attempt is sent.
    pub(super) address: Authority,
    /// Not from here on.
    pub(super) write_deadline: Instant,
    /// Set in the step that writes the attempt.
    pub(super) is_written: Arc<AtomicBool>,
}

impl WriteGuard {
    fn permits_write(&self) -> bool {
        self.control.permits_write()
            && Instant::now() < self.write_deadline
            && self.endpoints.serving_address(self.worker).is_some_and(|address| address == self.address)
            && !self.client.is_gone()
    }

    /// Asked in the step that writes the attempt: whether it may be. Records what becomes of it.
    fn try_write(&self) -> bool {
        let is_permitted = self.permits_write();
        self.is_written.store(is_permitted, Ordering::Relaxed);
        is_permitted
    }
}

/// Why a body was withheld.
#[derive(Debug, thiserror::Error)]
#[error("its time is over, nobody waits for it, or its worker takes nothing new there")]
pub(super) struct BodyWithheld;

/// A request's body. A connection's task asks for it in the step that writes the head, and before any of it is
/// flushed, so that this is the last moment for a check: a dispatch may have waited for its connection, new or
/// reused, while discovery announced that the worker drains or moved, or while its time ran out. Without its
/// last byte it never runs.
pub(super) struct GuardedBody {
    body: Full<Bytes>,
    /// Until it has been asked.
    guard: Option<WriteGuard>,
}

impl GuardedBody {
    /// A body that is given out only if the guard permits it.
    pub(super) fn new(body: Bytes, guard: WriteGuard) -> GuardedBody {
        GuardedBody { body: Full::new(body), guard: Some(guard) }
    }

    /// No body, and no condition.
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
        if self.guard.take().is_some_and(|guard| !guard.try_write()) {
            return Poll::Ready(Some(Err(BodyWithheld)));
        }
        Pin::new(&mut self.body).poll_frame(context).map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.guard.is_none()
    }

    // Of an empty body only the length is asked for. One that is withheld gives none, and is polled then.
    fn size_hint(&self) -> SizeHint {
        let is_empty = self.body.is_end_stream();
        let is_withheld = is_empty && self.guard.as_ref().is_some_and(|guard| !guard.try_write());
        if is_withheld { SizeHint::default() } else { self.body.size_hint() }
    }
}
