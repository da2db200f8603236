//! The task of one request, from its admission to the end of its last attempt. It carries out what the
//! dispatch policy decides and reports every attempt's end to it; it decides nothing itself.
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
use crate::invariant::{Subject, note_of};
use crate::messages::{
    AdmissionRequest, AttemptCompletion, AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult,
    FinalResponse, RequestEvent, UpstreamRequest, WorkerEvent,
};
use crate::policy_handle::RequestEventSender;
use crate::shutdown::effective_deadline;

/// How long a worker that has accepted an attempt has to acknowledge its cancellation.
const CANCELLATION_TIMEOUT: Micros = 2 * SECOND;
/// The same where the worker had not accepted the attempt when its connection was closed. The close alone gives the
/// attempt up; the cancellation is for a response that crossed it.
const CLOSED_ATTEMPT_CANCELLATION_TIMEOUT: Micros = 300_000;

/// What a client connection holds of a request: its final response. Dropping it reports to the request's task
/// that the client has disconnected.
pub struct ResponseHandle {
    response: oneshot::Receiver<FinalResponse>,
    events: RequestEventSender,
}

impl ResponseHandle {
    /// Waits for the final response.
    pub async fn final_response(&mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for ResponseHandle {
    // axum drops the handler when the client disconnects; without this the request would go on for nobody.
    fn drop(&mut self) {
        let _ = self.events.send(RequestEvent::ClientDisconnected);
    }
}

/// Starts a request in a task of its own. The task outlives the client connection, because the policy is
/// notified of every attempt's end; it ends by itself, at the latest with the request's deadline.
pub fn spawn(context: &Arc<ProxyContext>, admission: AdmissionRequest) -> ResponseHandle {
    let (event_sender, events) = mpsc::unbounded_channel();
    let (response_sender, response) = oneshot::channel();
    let AdmissionRequest { request, deadline, upstream_request } = admission;
    let class = class_name(context, &request);
    // Not within the connection's span: the request outlives the connection.
    let span = info_span!(parent: None, "request", request_id = upstream_request.id, class);
    let task = RequestTask {
        context: Arc::clone(context),
        request,
        deadline,
        upstream_request: Arc::new(upstream_request),
        accepted_at: context.clock.now(),
        response_sender: Some(response_sender),
        dispatch_cancellation: CancellationToken::new(),
        attempts: Vec::new(),
        dispatches: FuturesUnordered::new(),
        cancellations: FuturesUnordered::new(),
        is_past_deadline: false,
    };
    tokio::spawn(task.run(event_sender.clone(), events).instrument(span));
    ResponseHandle { response, events: event_sender }
}

/// The name of a request's class.
fn class_name<'a>(context: &'a ProxyContext, request: &IncomingRequest) -> &'a str {
    context.settings.classes.get(request.class as usize).map_or("", String::as_str)
}

/// One attempt of a request at a worker.
struct Attempt {
    target: AttemptTarget,
    sent_at: Micros,
    /// Its outcome has not come.
    is_in_flight: bool,
    /// Its dispatch has not ended.
    is_dispatching: bool,
    /// Aborts the dispatch while the worker has not accepted it.
    abort: CancellationToken,
    /// A callback has come: the worker has the request, whether or not its 202 has come.
    has_called_back: bool,
    /// The policy has cancelled it, and it is not known yet what came of that.
    is_cancelling: bool,
}

/// The end of one attempt's dispatch.
struct DispatchCompletion {
    attempt: u32,
    result: DispatchResult,
}

/// The end of one attempt's cancellation.
struct CancellationCompletion {
    attempt: u32,
    /// The attempt has ended even if the worker does not acknowledge its cancellation.
    is_closed: bool,
    outcome: CancellationOutcome,
}

struct RequestTask {
    context: Arc<ProxyContext>,
    request: IncomingRequest,
    /// When the client must have its final response.
    deadline: Instant,
    upstream_request: Arc<UpstreamRequest>,
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// Cancelled when the response's sender is taken: what has not been written by then is not.
    dispatch_cancellation: CancellationToken,
    /// By number.
    attempts: Vec<Attempt>,
    /// Dispatches that have not ended.
    dispatches: FuturesUnordered<BoxFuture<'static, DispatchCompletion>>,
    /// Cancellations that decide whether their attempt has ended.
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
        // The policy decides: a first worker, or a rejection.
        if !self.context.policy.admit(self.request, event_sender) {
            self.respond(FinalResponse::Duplicate);
            return;
        }
        let mut shutdown = self.context.shutdown.watch();
        let expiry = sleep_until(effective_deadline(self.deadline, &shutdown));
        tokio::pin!(expiry);
        while self.is_active(&events) {
            tokio::select! {
                // Events come first: otherwise the policy could answer an attempt's end with a further
                // attempt although the event that the client has disconnected is waiting.
                biased;
                Some(event) = events.recv() => self.handle_event(event),
                Some(completion) = self.dispatches.next() => self.handle_dispatch_completion(completion),
                Some(completion) = self.cancellations.next() => {
                    self.handle_cancellation_completion(&completion);
                }
                // This scheduler stops before the request's own deadline.
                Ok(()) = shutdown.changed() => {
                    expiry.as_mut().reset(effective_deadline(self.deadline, &shutdown));
                }
                () = &mut expiry, if !self.is_past_deadline => self.handle_deadline(),
            }
            self.fail_if_overdue(&events);
        }
        self.context.policy.request_completed(self.request_id());
    }

    /// A response is owed, an attempt is in flight, an event waits or a dispatch has not ended.
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

    /// Responds with a rejection. A class that no worker serves is a fault of lists or configuration, and logged.
    fn reject(&mut self, retry_after: Micros, reason: &Rejection) {
        debug!(reason = rejection_name(reason), "request rejected");
        if *reason == Rejection::NoEligibleWorker {
            let subject =
                Subject { class: Some(class_name(&self.context, &self.request)), ..Subject::default() };
            note_of("no worker is eligible", "the request was rejected", subject);
        }
        self.respond(FinalResponse::Rejected { retry_after });
    }

    /// Starts the next attempt, or ends it as superseded where none may be sent any more.
    fn start_attempt(&mut self, worker: WorkerId) {
        let number = self.attempts.len() as u32;
        let is_repeated = self.attempts.iter().any(|attempt| attempt.target.worker == worker);
        invariant!(!is_repeated, "a request has one attempt at a worker");
        let target = self.context.upstream.target(worker);
        let is_at_same_address = self.has_attempt_at(&target);
        let abort = CancellationToken::new();
        self.attempts.push(Attempt {
            target: target.clone(),
            sent_at: self.context.clock.now(),
            is_in_flight: true,
            is_dispatching: true,
            abort: abort.clone(),
            has_called_back: false,
            is_cancelling: false,
        });
        if self.is_past_deadline || is_repeated || is_at_same_address || self.response_sender.is_none() {
            self.attempts[number as usize].is_dispatching = false;
            self.finish_attempt(number, Outcome::Superseded.into());
            return;
        }
        self.context.recorder.attempt_sent(self.request_id(), number, worker);
        let control = DispatchControl { withhold: self.dispatch_cancellation.clone(), abort };
        let dispatch = self.dispatch(number, target, control);
        let completion = dispatch.map(move |result| DispatchCompletion { attempt: number, result });
        self.dispatches.push(completion.boxed());
    }

    /// Whether an attempt is in flight at the address of a target. A worker may be listed under two names, as when
    /// its process was replaced: it gets one attempt of a request at a time.
    fn has_attempt_at(&self, target: &AttemptTarget) -> bool {
        let mut in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight);
        target.address.is_some() && in_flight.any(|attempt| attempt.target.address == target.address)
    }

    /// The dispatch of an attempt, not polled yet.
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
            // Whether the worker had accepted it as its connection was closed is not known.
            Err(failure) if failure.outcome == Outcome::Cancelled => self.send_cancellation(number, true),
            Err(failure) => self.finish_attempt(number, failure.into()),
            // It was accepted as it was cancelled.
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

    /// Times all attempts out. The policy is notified, and decides the final response.
    fn handle_deadline(&mut self) {
        self.is_past_deadline = true;
        for number in 0..self.attempts.len() as u32 {
            self.abandon_attempt(number, Outcome::TimedOut);
        }
        // Attempts that ended by a callback and whose 202 never came.
        for attempt in &self.attempts {
            attempt.abort.cancel();
        }
    }

    /// Fails a request that the policy left without a response past its deadline.
    fn fail_if_overdue(&mut self, events: &mpsc::UnboundedReceiver<RequestEvent>) {
        if self.is_past_deadline && events.is_empty() && self.response_sender.is_some() {
            invariant!(false, "the module answers what is overdue");
            self.respond(FinalResponse::Failed);
        }
    }

    /// Takes the right to respond, once; from here on nothing more is written for the client.
    fn take_response_sender(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.dispatch_cancellation.cancel();
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
        self.context.recorder.response_sent(&self.request, response, elapsed);
    }

    /// Takes a callback. One that comes twice, or late for an attempt that has ended, is dropped; one that
    /// comes before the 202 counts like any other.
    fn handle_worker_event(&mut self, worker: WorkerId, event: WorkerEvent) {
        let is_meant = |attempt: &Attempt| attempt.target.worker == worker && attempt.is_in_flight;
        let Some(index) = self.attempts.iter().position(is_meant) else { return };
        self.attempts[index].has_called_back = true;
        let number = index as u32;
        match event {
            WorkerEvent::Progress(progress) => {
                self.context.policy.attempt_progress(self.request_id(), number, progress);
            }
            WorkerEvent::Completed(completion) => self.finish_attempt(number, completion),
        }
    }

    /// Ends an attempt that is in flight: responds to the client if it was served, and notifies the policy.
    fn finish_attempt(&mut self, number: u32, completion: AttemptCompletion) {
        let Some(attempt) = in_flight(&mut self.attempts, number) else { return };
        attempt.is_in_flight = false;
        let worker = attempt.target.worker;
        let elapsed = self.context.clock.now().saturating_sub(attempt.sent_at);
        let AttemptCompletion { outcome, result, load_report } = completion;
        let worker_name = self.context.upstream.worker_name(worker);
        debug!(attempt = number, worker = &*worker_name, ?outcome, elapsed_us = elapsed, "attempt ended");
        if let Some(counter) = failure_counter(outcome) {
            note_of(counter, &format!("after {} ms", elapsed / 1_000), self.subject(&worker_name));
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

    /// Cancels an attempt for the policy. While a response is owed another attempt may follow, and two must not
    /// run: so the attempt ends only once nothing of it can run any more. Until then it goes on, and may be served.
    fn cancel_attempt(&mut self, number: u32) {
        if self.response_sender.is_none() {
            self.abandon_attempt(number, Outcome::Cancelled);
            return;
        }
        let Some(attempt) = in_flight(&mut self.attempts, number) else { return };
        if std::mem::replace(&mut attempt.is_cancelling, true) {
            return;
        }
        if attempt.is_dispatching {
            attempt.abort.cancel();
        } else {
            self.send_cancellation(number, false);
        }
    }

    /// Tells the worker of an attempt that is in flight to cancel it; the attempt ends by what comes of that.
    /// `is_closed` where its connection was closed before the worker accepted it.
    fn send_cancellation(&mut self, number: u32, is_closed: bool) {
        let Some(attempt) = in_flight(&mut self.attempts, number) else { return };
        let is_closed = is_closed && !attempt.has_called_back;
        let timeout = if is_closed { CLOSED_ATTEMPT_CANCELLATION_TIMEOUT } else { CANCELLATION_TIMEOUT };
        let cancelled =
            self.context.upstream.cancel(&attempt.target, &self.upstream_request, from_now(timeout));
        let completion =
            cancelled.map(move |outcome| CancellationCompletion { attempt: number, is_closed, outcome });
        self.cancellations.push(completion.boxed());
    }

    /// An attempt whose worker may not have heard of the cancellation stays in flight.
    fn handle_cancellation_completion(&mut self, completion: &CancellationCompletion) {
        let number = completion.attempt;
        let Some(attempt) = in_flight(&mut self.attempts, number) else { return };
        attempt.is_cancelling = false;
        let has_ended = completion.is_closed && !attempt.has_called_back;
        if completion.outcome == CancellationOutcome::Acknowledged || has_ended {
            self.finish_attempt(number, Outcome::Cancelled.into());
        } else {
            let worker_name = self.context.upstream.worker_name(attempt.target.worker);
            let subject = self.subject(&worker_name);
            note_of("a cancellation was not acknowledged", "the request stays at its worker", subject);
        }
    }

    fn subject<'a>(&'a self, worker_name: &'a str) -> Subject<'a> {
        Subject {
            worker: Some(worker_name),
            class: Some(class_name(&self.context, &self.request)),
            peer: None,
        }
    }

    /// Stops waiting for an attempt after which no other follows, and tells the worker so if it has accepted it.
    fn abandon_attempt(&mut self, number: u32, outcome: Outcome) {
        let Some(attempt) = in_flight(&mut self.attempts, number) else { return };
        // Before the 202 the closed connection cancels it. But a worker that has called back already, and
        // whose 202 crosses the close, would go on for nobody: that one gets a cancellation.
        attempt.abort.cancel();
        if !attempt.is_dispatching || attempt.has_called_back {
            let deadline = from_now(CANCELLATION_TIMEOUT);
            drop(self.context.upstream.cancel(&attempt.target, &self.upstream_request, deadline));
        }
        self.finish_attempt(number, outcome.into());
    }
}

/// The counter of attempts that a worker failed in this way; none for outcomes that are no failure of the worker.
fn failure_counter(outcome: Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::TimedOut => Some("an attempt timed out"),
        Outcome::ConnectFailed => Some("a worker was not reached"),
        Outcome::Reset => Some("a connection broke under an attempt"),
        Outcome::Error => Some("a worker failed an attempt"),
        Outcome::Served | Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => None,
    }
}

/// The attempt of a number, if it has not ended.
fn in_flight(attempts: &mut [Attempt], number: u32) -> Option<&mut Attempt> {
    attempts.get_mut(number as usize).filter(|attempt| attempt.is_in_flight)
}
