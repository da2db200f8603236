//! The task that handles one request, from its admission to the end of its last attempt. It executes the
//! actions of the dispatch policy and reports the outcome of every attempt to it; it makes no decisions
//! itself.
use std::sync::Arc;

use copperspread_dispatcher::{
    AttemptOutcome, IncomingRequest, Micros, Outcome, Rejection, RequestId, SECOND, WorkerId,
};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tracing::{Instrument, debug, info_span};

use crate::clock::from_now;
use crate::context::ProxyContext;
use crate::event_recorder::rejection_name;
use crate::invariant;
use crate::invariant::{EventSubject, count_event_for};
use crate::messages::{
    AdmissionRequest, AttemptCompletion, AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult,
    FinalResponse, RequestEvent, UpstreamRequest, WorkerEvent,
};
use crate::policy_handle::RequestEventSender;
use crate::shutdown::effective_deadline;

/// How long to wait for the acknowledgement of a cancellation by a worker that has accepted the attempt.
const CANCELLATION_TIMEOUT: Micros = 2 * SECOND;
/// How long to wait for the acknowledgement of a cancellation if the connection was closed before the worker
/// had accepted the attempt.
///
/// Closing the connection cancels such an attempt. A cancellation is sent nevertheless, because the worker
/// may have sent its acceptance at the same time.
const CLOSED_ATTEMPT_CANCELLATION_TIMEOUT: Micros = 300_000;

/// The handle through which a client connection receives the final response to a request. Dropping the handle
/// notifies the request's task that the client has disconnected.
pub struct ResponseHandle {
    response: oneshot::Receiver<FinalResponse>,
    events: RequestEventSender,
}

impl ResponseHandle {
    /// Waits for the final response. The response is [`FinalResponse::Failed`] if the request's task ended
    /// without one.
    pub async fn final_response(&mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for ResponseHandle {
    // When the client disconnects, axum drops the handler's future and with it this handle. If the request's
    // task were not notified, the request would continue although no client waits for it.
    fn drop(&mut self) {
        let _ = self.events.send(RequestEvent::ClientDisconnected);
    }
}

/// Spawns the task of a request.
///
/// The task outlives the client connection, because the dispatch policy must be notified of every attempt's
/// outcome. At the request's deadline, all attempts end and their dispatches are aborted. The task ends once
/// these dispatches have ended too.
pub fn spawn(context: &Arc<ProxyContext>, admission: AdmissionRequest) -> ResponseHandle {
    let (event_sender, events) = mpsc::unbounded_channel();
    let (response_sender, response) = oneshot::channel();
    let AdmissionRequest { request, deadline, upstream_request } = admission;
    let class = class_name(context, &request);
    // The span has no parent, because the request outlives the span of its client connection.
    let span = info_span!(parent: None, "request", request_id = upstream_request.id, class);
    let task = RequestTask {
        context: Arc::clone(context),
        request,
        deadline,
        upstream_request: Arc::new(upstream_request),
        accepted_at: context.clock.now(),
        response_sender: Some(response_sender),
        withhold_attempts: CancellationToken::new(),
        attempts: Vec::new(),
        dispatches: FuturesUnordered::new(),
        cancellations: FuturesUnordered::new(),
        is_past_deadline: false,
    };
    tokio::spawn(task.run(event_sender.clone(), events).instrument(span));
    ResponseHandle { response, events: event_sender }
}

/// The name of a request's class, or an empty string if the class is unknown.
fn class_name<'a>(context: &'a ProxyContext, request: &IncomingRequest) -> &'a str {
    context.settings.classes.get(request.class as usize).map_or("", String::as_str)
}

/// One attempt of a request at a worker.
struct Attempt {
    target: AttemptTarget,
    /// When the attempt started, on the scheduler's clock.
    started_at: Micros,
    /// Whether the attempt's outcome is still unknown.
    is_in_flight: bool,
    /// Whether the dispatch is in progress, that is, neither the worker's acceptance nor a failure has been
    /// received.
    is_dispatching: bool,
    /// The token that aborts the dispatch. It has no effect once the worker has accepted the attempt.
    abort: CancellationToken,
    /// Whether a callback for the attempt was received. The worker has then accepted the attempt, even if its
    /// response with status 202 (Accepted) has not been received.
    has_received_callback: bool,
    /// Whether the policy has cancelled the attempt and the outcome of the cancellation is not known yet.
    is_cancelling: bool,
}

/// The result of one attempt's dispatch, which the request's task handles once the dispatch has ended.
struct DispatchCompletion {
    attempt: u32,
    result: DispatchResult,
}

/// The outcome of one attempt's cancellation, which decides whether the attempt has ended.
struct CancellationCompletion {
    attempt: u32,
    /// Whether the connection was closed before the worker's acceptance was received. Such an attempt ends
    /// even if the worker does not acknowledge the cancellation, unless a callback for the attempt was
    /// received.
    closed_before_acceptance: bool,
    outcome: CancellationOutcome,
}

struct RequestTask {
    context: Arc<ProxyContext>,
    request: IncomingRequest,
    /// When the client must have received its final response.
    deadline: Instant,
    upstream_request: Arc<UpstreamRequest>,
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// The token that keeps attempts from being written once the final response is sent or the client
    /// disconnects. Attempts that have been written by then continue.
    withhold_attempts: CancellationToken,
    /// The request's attempts, indexed by their number.
    attempts: Vec<Attempt>,
    /// The dispatches of this request's attempts that are in progress.
    dispatches: FuturesUnordered<BoxFuture<'static, DispatchCompletion>>,
    /// Cancellations in progress whose outcome decides whether their attempt has ended.
    cancellations: FuturesUnordered<BoxFuture<'static, CancellationCompletion>>,
    is_past_deadline: bool,
    accepted_at: Micros,
}

impl RequestTask {
    async fn run(
        mut self,
        event_sender: RequestEventSender,
        mut events: mpsc::UnboundedReceiver<RequestEvent>,
    ) {
        // The policy answers with the first attempt or with a rejection, unless the request id is a
        // duplicate.
        if !self.context.policy.admit(self.request, event_sender) {
            self.respond(FinalResponse::Duplicate);
            return;
        }
        let mut shutdown = self.context.shutdown.watch();
        let expiry = sleep_until(effective_deadline(self.deadline, &shutdown));
        tokio::pin!(expiry);
        while self.is_active(&events) {
            tokio::select! {
                // Queued events are handled first, because one of them may be that the client has
                // disconnected. Otherwise the policy could react to the outcome of an attempt by sending
                // another attempt for this client.
                biased;
                Some(event) = events.recv() => self.handle_event(event),
                Some(completion) = self.dispatches.next() => self.handle_dispatch_completion(completion),
                Some(completion) = self.cancellations.next() => {
                    self.handle_cancellation_completion(&completion);
                }
                // When a shutdown begins, its drain deadline replaces the request's own deadline if the drain
                // deadline is earlier.
                Ok(()) = shutdown.changed() => {
                    expiry.as_mut().reset(effective_deadline(self.deadline, &shutdown));
                }
                () = &mut expiry, if !self.is_past_deadline => self.handle_deadline(),
            }
            self.fail_if_overdue(&events);
        }
        self.context.policy.request_completed(self.request_id());
    }

    /// Whether the task must continue, because the final response is outstanding, an attempt is in flight, an
    /// event is queued or a dispatch is in progress.
    fn is_active(&self, events: &mpsc::UnboundedReceiver<RequestEvent>) -> bool {
        self.response_sender.is_some()
            || self.attempts.iter().any(|attempt| attempt.is_in_flight)
            || !events.is_empty()
            || !self.dispatches.is_empty()
    }

    fn request_id(&self) -> RequestId {
        self.request.request
    }

    fn handle_event(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::Dispatch { worker } => self.start_attempt(worker),
            RequestEvent::Reject { retry_after, reason } => self.reject(retry_after, &reason),
            RequestEvent::Fail => self.respond(FinalResponse::Failed),
            RequestEvent::Cancel { attempt } => self.cancel_attempt(attempt),
            RequestEvent::Worker { worker, event } => self.handle_worker_event(worker, event),
            RequestEvent::ClientDisconnected => self.handle_client_disconnected(),
        }
    }

    /// Responds with a rejection. A rejection for lack of an eligible worker is also counted and logged,
    /// because it shows that the endpoint list or the configuration is wrong.
    fn reject(&mut self, retry_after: Micros, reason: &Rejection) {
        debug!(reason = rejection_name(reason), "request rejected");
        if *reason == Rejection::NoEligibleWorker {
            let subject = EventSubject {
                class: Some(class_name(&self.context, &self.request)),
                ..EventSubject::default()
            };
            count_event_for("no worker is eligible", "the request was rejected", subject);
        }
        self.respond(FinalResponse::Rejected { retry_after });
    }

    /// Starts the next attempt at a worker. An attempt that must not be sent, for example after the deadline,
    /// ends at once as [`Outcome::Superseded`].
    fn start_attempt(&mut self, worker: WorkerId) {
        let number = self.attempts.len() as u32;
        let is_repeated = self.attempts.iter().any(|attempt| attempt.target.worker == worker);
        invariant!(!is_repeated, "a request has one attempt at a worker");
        let target = self.context.upstream.target(worker);
        let is_at_same_address = self.has_attempt_at(&target);
        let abort = CancellationToken::new();
        self.attempts.push(Attempt {
            target: target.clone(),
            started_at: self.context.clock.now(),
            is_in_flight: true,
            is_dispatching: true,
            abort: abort.clone(),
            has_received_callback: false,
            is_cancelling: false,
        });
        if self.is_past_deadline || is_repeated || is_at_same_address || self.response_sender.is_none() {
            self.attempts[number as usize].is_dispatching = false;
            self.finish_attempt(number, Outcome::Superseded.into());
            return;
        }
        self.context.recorder.attempt_sent(self.request_id(), number, worker);
        let control = DispatchControl { withhold: self.withhold_attempts.clone(), abort };
        let dispatch = self.dispatch(number, target, control);
        let completion = dispatch.map(move |result| DispatchCompletion { attempt: number, result });
        self.dispatches.push(completion.boxed());
    }

    /// Whether an attempt of this request is in flight at the address of `target`.
    ///
    /// A worker must get only one attempt of a request at a time, but may be listed under two names, for
    /// example after its process was replaced.
    fn has_attempt_at(&self, target: &AttemptTarget) -> bool {
        let mut in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight);
        target.address.is_some() && in_flight.any(|attempt| attempt.target.address == target.address)
    }

    /// Creates the future that dispatches an attempt.
    fn dispatch(
        &self,
        number: u32,
        target: AttemptTarget,
        control: DispatchControl,
    ) -> impl Future<Output = DispatchResult> + use<> {
        let upstream = Arc::clone(&self.context.upstream);
        let request = Arc::clone(&self.upstream_request);
        let deadline = self.deadline;
        let span = info_span!("attempt", attempt = number, worker = &*upstream.worker_name(target.worker));
        let dispatch = async move {
            let result = upstream.dispatch(&target, &request, deadline, &control).await;
            debug!(accepted = result.is_ok(), "dispatch ended");
            result
        };
        dispatch.instrument(span)
    }

    fn handle_dispatch_completion(&mut self, completion: DispatchCompletion) {
        let number = completion.attempt;
        let attempt = &mut self.attempts[number as usize];
        attempt.is_dispatching = false;
        match completion.result {
            // The connection was closed on an abort. A cancellation is sent as well, because the worker may
            // have accepted the attempt before the connection was closed.
            Err(failure) if failure.outcome == Outcome::Cancelled => self.send_cancellation(number, true),
            Err(failure) => self.finish_attempt(number, failure.into()),
            // The worker accepted the attempt while its dispatch was being aborted. The attempt is cancelled
            // by a separate message.
            Ok(()) if attempt.is_cancelling => self.send_cancellation(number, false),
            Ok(()) => {}
        }
    }

    fn handle_client_disconnected(&mut self) {
        if self.take_response_sender().is_some() {
            self.record_response("gone");
            self.context.policy.client_disconnected(self.request_id());
        }
    }

    /// Ends all attempts as timed out. The policy is notified and decides on the final response.
    fn handle_deadline(&mut self) {
        self.is_past_deadline = true;
        for number in 0..self.attempts.len() as u32 {
            self.abandon_attempt(number, Outcome::TimedOut);
        }
        // Also aborts the dispatches of attempts that have ended by a callback although the worker's response
        // with status 202 (Accepted) was never received.
        for attempt in &self.attempts {
            attempt.abort.cancel();
        }
    }

    /// Fails a request for which the policy has not decided on a final response by its deadline.
    fn fail_if_overdue(&mut self, events: &mpsc::UnboundedReceiver<RequestEvent>) {
        if self.is_past_deadline && events.is_empty() && self.response_sender.is_some() {
            invariant!(false, "the module answers what is overdue");
            self.respond(FinalResponse::Failed);
        }
    }

    /// Takes the sender of the final response; returns `None` if the sender was taken before. From now on,
    /// attempts that have not been written are never written.
    fn take_response_sender(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.withhold_attempts.cancel();
        self.response_sender.take()
    }

    fn respond(&mut self, response: FinalResponse) {
        if let Some(sender) = self.take_response_sender() {
            debug!(response = response.name(), "final response");
            self.record_response(response.name());
            let _ = sender.send(response);
        }
    }

    fn record_response(&self, response: &'static str) {
        let elapsed = self.context.clock.now().saturating_sub(self.accepted_at);
        self.context.recorder.request_ended(&self.request, response, elapsed);
    }

    /// Handles a worker's callback. A callback for an attempt that has ended, such as a repeated callback, is
    /// ignored. A callback that arrives before the worker's response with status 202 (Accepted) is handled
    /// like any other.
    fn handle_worker_event(&mut self, worker: WorkerId, event: WorkerEvent) {
        let is_recipient = |attempt: &Attempt| attempt.target.worker == worker && attempt.is_in_flight;
        let Some(index) = self.attempts.iter().position(is_recipient) else { return };
        self.attempts[index].has_received_callback = true;
        let number = index as u32;
        match event {
            WorkerEvent::Progress(progress) => {
                self.context.policy.attempt_progress(self.request_id(), number, progress);
            }
            WorkerEvent::Completed(completion) => self.finish_attempt(number, completion),
        }
    }

    /// Ends an attempt that is in flight: sends the final response if the worker has served the request, and
    /// notifies the policy of the attempt's outcome.
    fn finish_attempt(&mut self, number: u32, completion: AttemptCompletion) {
        let Some(attempt) = in_flight_attempt(&mut self.attempts, number) else { return };
        attempt.is_in_flight = false;
        let worker = attempt.target.worker;
        let elapsed = self.context.clock.now().saturating_sub(attempt.started_at);
        let AttemptCompletion { outcome, result, load_report } = completion;
        let worker_name = self.context.upstream.worker_name(worker);
        debug!(attempt = number, worker = &*worker_name, ?outcome, elapsed_us = elapsed, "attempt ended");
        if let Some(counter) = failure_counter(outcome) {
            count_event_for(
                counter,
                &format!("after {} ms", elapsed / 1_000),
                self.counter_subject(&worker_name),
            );
        }
        if outcome == Outcome::Served {
            self.respond(FinalResponse::Served(result.unwrap_or_default()));
        }
        let attempt_outcome = AttemptOutcome {
            request: self.request_id(),
            attempt: number,
            outcome,
            request_finished: self.response_sender.is_none(),
            elapsed,
            report: load_report,
        };
        self.context.recorder.attempt_ended(&attempt_outcome, worker);
        self.context.policy.attempt_ended(attempt_outcome);
    }

    /// Cancels an attempt on the policy's request.
    ///
    /// While the final response is outstanding, the policy may send another attempt, and the two attempts
    /// must not run at the same time. The cancelled attempt therefore stays in flight, and may still be
    /// served, until it is certain that the worker no longer runs it. After the final response, the cancelled
    /// attempt ends at once.
    fn cancel_attempt(&mut self, number: u32) {
        if self.response_sender.is_none() {
            self.abandon_attempt(number, Outcome::Cancelled);
            return;
        }
        let Some(attempt) = in_flight_attempt(&mut self.attempts, number) else { return };
        if std::mem::replace(&mut attempt.is_cancelling, true) {
            return;
        }
        if attempt.is_dispatching {
            attempt.abort.cancel();
        } else {
            self.send_cancellation(number, false);
        }
    }

    /// Sends a cancellation to the worker of an attempt in flight. The outcome of the cancellation decides
    /// whether the attempt ends.
    ///
    /// `closed_before_acceptance` says whether the attempt's connection was closed before the worker's
    /// acceptance was received.
    fn send_cancellation(&mut self, number: u32, closed_before_acceptance: bool) {
        let Some(attempt) = in_flight_attempt(&mut self.attempts, number) else { return };
        let closed_before_acceptance = closed_before_acceptance && !attempt.has_received_callback;
        let timeout =
            if closed_before_acceptance { CLOSED_ATTEMPT_CANCELLATION_TIMEOUT } else { CANCELLATION_TIMEOUT };
        let cancelled =
            self.context.upstream.cancel(&attempt.target, &self.upstream_request, from_now(timeout));
        let completion = cancelled.map(move |outcome| CancellationCompletion {
            attempt: number,
            closed_before_acceptance,
            outcome,
        });
        self.cancellations.push(completion.boxed());
    }

    /// Ends a cancelled attempt if it is certain that the worker no longer runs it. Otherwise the attempt
    /// stays in flight: the worker may not have received the cancellation.
    fn handle_cancellation_completion(&mut self, completion: &CancellationCompletion) {
        let number = completion.attempt;
        let Some(attempt) = in_flight_attempt(&mut self.attempts, number) else { return };
        attempt.is_cancelling = false;
        let has_ended = completion.closed_before_acceptance && !attempt.has_received_callback;
        if completion.outcome == CancellationOutcome::Acknowledged || has_ended {
            self.finish_attempt(number, Outcome::Cancelled.into());
        } else {
            let worker_name = self.context.upstream.worker_name(attempt.target.worker);
            let subject = self.counter_subject(&worker_name);
            count_event_for(
                "a cancellation was not acknowledged",
                "the worker may still run the attempt",
                subject,
            );
        }
    }

    fn counter_subject<'a>(&'a self, worker_name: &'a str) -> EventSubject<'a> {
        EventSubject {
            worker: Some(worker_name),
            class: Some(class_name(&self.context, &self.request)),
            peer: None,
        }
    }

    /// Ends an attempt without waiting for its worker. Called only when no other attempt of the request can
    /// follow. If the worker has accepted the attempt, a cancellation is sent.
    fn abandon_attempt(&mut self, number: u32, outcome: Outcome) {
        let Some(attempt) = in_flight_attempt(&mut self.attempts, number) else { return };
        // Closing the connection cancels an attempt that the worker has not accepted. A worker that has
        // already sent a callback may be sending its response with status 202 (Accepted) at the same time,
        // and would then continue to run the attempt. Such a worker gets a cancellation.
        attempt.abort.cancel();
        if !attempt.is_dispatching || attempt.has_received_callback {
            let deadline = from_now(CANCELLATION_TIMEOUT);
            drop(self.context.upstream.cancel(&attempt.target, &self.upstream_request, deadline));
        }
        self.finish_attempt(number, outcome.into());
    }
}

/// The counter for attempts that end with `outcome`, or `None` if `outcome` is not a failure of the worker.
fn failure_counter(outcome: Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::TimedOut => Some("an attempt timed out"),
        Outcome::ConnectFailed => Some("a worker was not reached"),
        Outcome::Reset => Some("a connection broke under an attempt"),
        Outcome::Error => Some("a worker failed an attempt"),
        Outcome::Served | Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => None,
    }
}

/// The attempt with the number `number`, if that attempt is in flight.
fn in_flight_attempt(attempts: &mut [Attempt], number: u32) -> Option<&mut Attempt> {
    attempts.get_mut(number as usize).filter(|attempt| attempt.is_in_flight)
}
