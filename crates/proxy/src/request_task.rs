//! The task that handles one request, from the time the request is passed to the dispatch policy until its
//! last attempt has ended.
//!
//! The task carries out the policy's decisions on the request, and notifies the policy of the outcome of
//! every attempt. The task makes no decisions itself.
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

/// How long to wait for a worker to acknowledge the cancellation of an attempt that the worker has accepted,
/// in microseconds.
const CANCELLATION_TIMEOUT: Micros = 2 * SECOND;
/// How long to wait for a worker to acknowledge the cancellation of an attempt whose connection was closed
/// before the worker's acceptance arrived, in microseconds.
///
/// Closing the connection already cancels such an attempt. A cancellation is sent nevertheless, because the
/// worker may have accepted the attempt at the same time.
const CLOSED_ATTEMPT_CANCELLATION_TIMEOUT: Micros = 300_000;

/// The handle through which a client connection receives the final response to a request. When the handle is
/// dropped, the request's task is notified that the client has disconnected.
pub struct ResponseHandle {
    response: oneshot::Receiver<FinalResponse>,
    events: RequestEventSender,
}

impl ResponseHandle {
    /// Waits for the final response. Returns [`FinalResponse::Failed`] if the request's task ended without a
    /// final response.
    pub async fn final_response(&mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for ResponseHandle {
    // When the client disconnects, axum drops the future that handles the request, and so drops this handle.
    // If the request's task were not notified, the request would continue although no client waits for the
    // response.
    fn drop(&mut self) {
        let _ = self.events.send(RequestEvent::ClientDisconnected);
    }
}

/// Spawns the task that handles a request.
///
/// The task continues after the client connection has closed, because the dispatch policy must be notified of
/// every attempt's outcome.
///
/// At the request's deadline, the task ends all attempts: it reports them to the policy as timed out. A
/// dispatch, which sends an attempt and waits until the worker accepts the attempt, may still be in progress
/// then. Such a dispatch is aborted. It may take some time to end, because the attempt's connection is closed
/// first. The task itself ends after all dispatches have ended.
pub fn spawn(context: &Arc<ProxyContext>, admission: AdmissionRequest) -> ResponseHandle {
    let (event_sender, events) = mpsc::unbounded_channel();
    let (response_sender, response) = oneshot::channel();
    let AdmissionRequest { request, deadline, upstream_request } = admission;
    let class = class_name(context, &request);
    // The tracing span has no parent: the request may continue after the span of its client connection has
    // ended.
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

/// Returns the name of a request's class, or an empty string if the class is unknown.
fn class_name<'a>(context: &'a ProxyContext, request: &IncomingRequest) -> &'a str {
    context.settings.classes.get(request.class as usize).map_or("", String::as_str)
}

/// One attempt of a request: the request is sent to one worker.
struct Attempt {
    target: AttemptTarget,
    /// The time at which the attempt began, in microseconds on the scheduler's clock.
    started_at: Micros,
    /// Whether the attempt has not ended yet.
    is_in_flight: bool,
    /// Whether the attempt is still being sent. This ends when the worker's acceptance or a failure is
    /// received.
    is_dispatching: bool,
    /// The token that aborts the sending of the attempt. It has no effect once the worker's acceptance has
    /// been received.
    abort: CancellationToken,
    /// Whether a callback for the attempt has been received. If so, the worker has accepted the attempt, even
    /// if its response with status 202 (Accepted) has not been received.
    has_received_callback: bool,
    /// Whether the policy has cancelled the attempt and it is not known yet whether the worker acknowledges
    /// the cancellation.
    is_cancelling: bool,
}

/// The result of sending one attempt. The request's task handles the result.
struct DispatchCompletion {
    attempt: u32,
    result: DispatchResult,
}

/// The result of sending the cancellation of one attempt to the attempt's worker.
struct CancellationCompletion {
    attempt: u32,
    /// Whether the scheduler closed the attempt's connection before it had received the worker's acceptance
    /// or a callback for the attempt. Closing the connection already cancels such an attempt, so the attempt
    /// ends even if the worker does not acknowledge the cancellation.
    ///
    /// If a callback for the attempt is received later, the worker has accepted the attempt. The attempt then
    /// does not end unless the worker acknowledges the cancellation.
    closed_before_acceptance: bool,
    outcome: CancellationOutcome,
}

struct RequestTask {
    context: Arc<ProxyContext>,
    request: IncomingRequest,
    /// The instant by which the request must get its final response, if no shutdown has an earlier drain
    /// deadline.
    deadline: Instant,
    upstream_request: Arc<UpstreamRequest>,
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// The token that is cancelled when the final response is sent or the client disconnects. After that, no
    /// attempt of the request is written. Attempts that have been written before continue.
    withhold_attempts: CancellationToken,
    /// The request's attempts. The position of an attempt is its number.
    attempts: Vec<Attempt>,
    /// The futures that send attempts of this request and have not ended yet.
    dispatches: FuturesUnordered<BoxFuture<'static, DispatchCompletion>>,
    /// The futures that wait for acknowledgements of cancellations. Each decides whether the cancelled
    /// attempt has ended.
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
        // The policy answers with the first attempt or with a rejection. A request whose id repeats that of
        // another request is not passed to the policy.
        if !self.context.policy.admit(self.request, event_sender) {
            self.respond(FinalResponse::Duplicate);
            return;
        }
        let mut shutdown = self.context.shutdown.watch();
        let expiry = sleep_until(effective_deadline(self.deadline, &shutdown));
        tokio::pin!(expiry);
        while self.is_active(&events) {
            tokio::select! {
                // Queued events are handled first, because the client may have disconnected. If the outcome
                // of an attempt were handled before that event, the policy could react to the outcome by
                // sending another attempt for this client.
                biased;
                Some(event) = events.recv() => self.handle_event(event),
                Some(completion) = self.dispatches.next() => self.handle_dispatch_completion(completion),
                Some(completion) = self.cancellations.next() => {
                    self.handle_cancellation_completion(&completion);
                }
                // When a shutdown begins, its drain deadline replaces the request's deadline if the drain
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

    /// Returns whether the task must continue. The task ends once all of these hold:
    ///
    /// * The final response has been sent, or the client has disconnected.
    /// * All attempts have ended.
    /// * All futures that send attempts have ended. The future of an aborted attempt may end later than the
    ///   attempt.
    /// * No event is queued.
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

    /// Rejects the request as the policy has decided.
    ///
    /// If no worker may get the request, the rejection is also counted and logged, because the endpoint list
    /// or the configuration is then wrong.
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

    /// Starts the request's next attempt at a worker. If the attempt must not be sent, for example because
    /// the deadline has passed, it ends at once with [`Outcome::Superseded`].
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

    /// Returns whether another attempt of this request is in flight at the address of `target`.
    ///
    /// A worker may be listed under two names, for example after its process was replaced. Without this
    /// check, such a worker could get two attempts of one request at the same time, which is not allowed.
    fn has_attempt_at(&self, target: &AttemptTarget) -> bool {
        let mut in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight);
        target.address.is_some() && in_flight.any(|attempt| attempt.target.address == target.address)
    }

    /// Creates the future that sends an attempt to a worker.
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
            // The attempt was aborted and its connection was closed. A cancellation is sent too, because the
            // worker may have accepted the attempt before the connection was closed.
            Err(failure) if failure.outcome == Outcome::Cancelled => self.send_cancellation(number, true),
            Err(failure) => self.finish_attempt(number, failure.into()),
            // The worker accepted the attempt while the attempt was being aborted. The attempt is therefore
            // cancelled by a cancellation message.
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

    /// Ends all attempts as timed out, because the request's deadline has passed. The policy is notified and
    /// decides on the final response.
    fn handle_deadline(&mut self) {
        self.is_past_deadline = true;
        for number in 0..self.attempts.len() as u32 {
            self.abandon_attempt(number, Outcome::TimedOut);
        }
        // An attempt may have ended by a callback although the worker's response with status 202 (Accepted)
        // was never received. The dispatch of such an attempt is still in progress and is aborted here too.
        for attempt in &self.attempts {
            attempt.abort.cancel();
        }
    }

    /// Sends [`FinalResponse::Failed`] if the request's deadline has passed and the policy has not decided on
    /// a final response.
    fn fail_if_overdue(&mut self, events: &mpsc::UnboundedReceiver<RequestEvent>) {
        if self.is_past_deadline && events.is_empty() && self.response_sender.is_some() {
            invariant!(false, "the module answers what is overdue");
            self.respond(FinalResponse::Failed);
        }
    }

    /// Returns the sender of the final response, or `None` if the sender has been taken before. From now on,
    /// no further attempt is written.
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

    /// Handles a worker's callback for an attempt of this request.
    ///
    /// If the attempt has ended, the callback is ignored, for example because it is a repeated callback. A
    /// callback may arrive before the worker's response with status 202 (Accepted), and is then handled like
    /// any other.
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

    /// Ends an attempt that is in flight. If the worker has served the request, the final response is sent.
    /// The policy is notified of the attempt's outcome.
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

    /// Cancels an attempt because the policy has decided so.
    ///
    /// Before the final response, the policy may send another attempt, and the two attempts must not run at
    /// the same time. The cancelled attempt therefore stays in flight until it is certain that the worker no
    /// longer runs it. Until then, the attempt may still be served. After the final response, the cancelled
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

    /// Sends a cancellation of an attempt to the attempt's worker. When the worker has acknowledged the
    /// cancellation, or the wait for the acknowledgement has timed out, the request's task decides whether
    /// the attempt ends (see [`Self::handle_cancellation_completion`]).
    ///
    /// `closed_before_acceptance` says whether the attempt's connection was closed before the worker's
    /// acceptance was received. If so, closing the connection has already cancelled the attempt, and the wait
    /// for the acknowledgement is shorter.
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

    /// Ends a cancelled attempt if it is certain that the worker no longer runs the attempt. Otherwise the
    /// attempt stays in flight, because the worker may not have received the cancellation.
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

    /// Ends an attempt without waiting for its worker. A cancellation is sent if the worker has accepted the
    /// attempt. Called only when the request can have no further attempt.
    fn abandon_attempt(&mut self, number: u32, outcome: Outcome) {
        let Some(attempt) = in_flight_attempt(&mut self.attempts, number) else { return };
        // If the worker has not accepted the attempt, closing the connection cancels the attempt. But a
        // worker that has sent a callback may be sending its response with status 202 (Accepted) just now,
        // and would then continue to run the attempt. Such a worker gets a cancellation too.
        attempt.abort.cancel();
        if !attempt.is_dispatching || attempt.has_received_callback {
            let deadline = from_now(CANCELLATION_TIMEOUT);
            drop(self.context.upstream.cancel(&attempt.target, &self.upstream_request, deadline));
        }
        self.finish_attempt(number, outcome.into());
    }
}

/// Returns the name of the counter for attempts that end with `outcome`. Returns `None` if `outcome` is not a
/// failure of the worker.
fn failure_counter(outcome: Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::TimedOut => Some("an attempt timed out"),
        Outcome::ConnectFailed => Some("a worker was not reached"),
        Outcome::Reset => Some("a connection broke under an attempt"),
        Outcome::Error => Some("a worker failed an attempt"),
        Outcome::Served | Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => None,
    }
}

/// Returns the attempt with the given number, or `None` if that attempt is not in flight.
fn in_flight_attempt(attempts: &mut [Attempt], number: u32) -> Option<&mut Attempt> {
    attempts.get_mut(number as usize).filter(|attempt| attempt.is_in_flight)
}
