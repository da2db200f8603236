//! The life of one flow, from the client's request to the end of its last scheduling.
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::*;
use futures_util::future::{AbortHandle, abortable};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
use tracing::{Instrument, debug, info_span};

use crate::context::ProxyContext;
use crate::invariant;
use crate::messages::{AdmissionRequest, DispatchPermission, FinalResponse, RequestEvent, WorkerEvent};
use crate::policy_handle::RequestEventSender;
use crate::shutdown::effective_deadline;

/// A front's hold on a flow: its answer, and word to the flow when the client goes first.
pub struct ResponseHandle {
    response: oneshot::Receiver<FinalResponse>,
    mailbox: RequestEventSender,
}

impl ResponseHandle {
    /// Waits for the final answer.
    pub async fn answer(&mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for ResponseHandle {
    // Guards against a flow that nobody waits for: axum drops the handler when the client goes.
    fn drop(&mut self) {
        let _ = self.mailbox.send(RequestEvent::ClientDisconnected);
    }
}

/// Begins a flow in a task of its own, which outlives the edge connection: the module is told of
/// every scheduling's end.
pub fn spawn(node: &Arc<ProxyContext>, demand: AdmissionRequest) -> ResponseHandle {
    let (mailbox, mail) = mpsc::unbounded_channel();
    let (sender, answer) = oneshot::channel();
    let flow = RequestTask {
        node: Arc::clone(node),
        admission: demand,
        response_sender: Some(sender),
        dispatch_permission: DispatchPermission::default(),
        attempts: Vec::new(),
        accepted_at: node.clock.now(),
    };
    let class = node.settings.classes.get(flow.admission.request.class as usize).map_or("", String::as_str);
    let span = tracing::info_span!("flow", flow = flow.admission.upstream_request.id, class);
    tokio::spawn(flow.run(mailbox.clone(), mail).instrument(span));
    ResponseHandle { response: answer, mailbox }
}

/// One attempt of a flow at a real server.
struct Attempt {
    worker: WorkerId,
    sent_at: Micros,
    /// Its outcome has not come.
    is_in_flight: bool,
    /// Stops the hand-over while the real server has not taken it.
    dispatch_abort: Option<AbortHandle>,
    /// A call-back has come: the real server has it, whether or not its 202 has come.
    has_called_back: bool,
}

struct RequestTask {
    node: Arc<ProxyContext>,
    admission: AdmissionRequest,
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// Taken back with the answer's sender: what has not been written by then is not.
    dispatch_permission: DispatchPermission,
    attempts: Vec<Attempt>,
    accepted_at: Micros,
}

impl RequestTask {
    async fn run(mut self, mailbox: RequestEventSender, mut mail: mpsc::UnboundedReceiver<RequestEvent>) {
        let node = Arc::clone(&self.node);
        let request = self.admission.request.request;
        // The module chooses: a first real server, or a refusal.
        if !node.policy.admit(self.admission.request, mailbox) {
            self.respond(FinalResponse::Duplicate);
            return;
        }
        let order = Arc::new(self.admission.upstream_request.clone());
        let deadline = self.admission.deadline;
        let mut ending = node.shutdown.watch();
        let overdue = sleep_until(effective_deadline(deadline, &ending));
        tokio::pin!(overdue);
        let mut late = false;
        let mut hand_overs = FuturesUnordered::new();
        while self.is_active(&mail) || !hand_overs.is_empty() {
            tokio::select! {
                // Mail comes first: guards against an attempt's end that the module answers with a further
                // attempt although word that the client has gone is waiting.
                biased;
                Some(mail) = mail.recv() => match mail {
                    RequestEvent::Send(worker) => {
                        let number = self.attempts.len() as u32;
                        let repeated = self.attempts.iter().any(|s| s.worker == worker);
                        invariant!(!repeated, "a flow has one scheduling at a real server");
                        let (node, order, wanted) = (Arc::clone(&node), Arc::clone(&order), self.dispatch_permission.clone());
                        let name = self.node.upstream.worker_name(worker);
                        let span = info_span!("scheduling", number, real_server = &*name);
                        let hand_over = async move {
                            let handed = node.upstream.dispatch(worker, &order, deadline, &wanted).await;
                            debug!(taken = handed.is_ok(), "handed over");
                            handed
                        };
                        let (hand_over, handing) = abortable(hand_over.instrument(span));
                        let sent_at = self.node.clock.now();
                        self.attempts.push(Attempt { worker, sent_at, is_in_flight: true, dispatch_abort: Some(handing), has_called_back: false });
                        if late || repeated || self.response_sender.is_none() {
                            self.finish_attempt(number, Outcome::Superseded, None, None);
                        } else {
                            self.node.recorder.attempt_sent(request, number, worker);
                            hand_overs.push(async move { (number, hand_over.await) });
                        }
                    }
                    RequestEvent::Reject(retry_after) => self.respond(FinalResponse::Rejected { retry_after }),
                    RequestEvent::Fail => self.respond(FinalResponse::Failed),
                    RequestEvent::Cancel(number) => self.cancel_attempt(number, Outcome::Cancelled),
                    RequestEvent::Worker(worker, news) => self.on_worker_event(worker, news),
                    RequestEvent::ClientDisconnected => {
                        if self.take_response_sender().is_some() {
                            self.record_response("gone");
                            node.policy.client_disconnected(request);
                        }
                    }
                },
                Some((number, handed)) = hand_overs.next() => {
                    self.attempts[number as usize].dispatch_abort = None;
                    if let Ok(Err((outcome, report))) = handed {
                        self.finish_attempt(number, outcome, None, report);
                    }
                }
                // This node ends before the flow's own deadline.
                Ok(()) = ending.changed() => overdue.as_mut().reset(effective_deadline(deadline, &ending)),
                // The module is told that time is up, and says what the client hears.
                () = &mut overdue, if !late => {
                    late = true;
                    for number in 0..self.attempts.len() as u32 {
                        self.cancel_attempt(number, Outcome::TimedOut);
                    }
                    // Those that ended by a call-back and whose 202 never came.
                    self.attempts.iter_mut().filter_map(|s| s.dispatch_abort.take()).for_each(|h| h.abort());
                }
            }
            // Guards against a flow that stays without an answer past its time.
            if late && mail.is_empty() && self.response_sender.is_some() {
                invariant!(false, "the module answers what is overdue");
                self.respond(FinalResponse::Failed);
            }
        }
        node.policy.request_completed(request);
    }

    /// An answer is owed, a scheduling is out, or mail waits.
    fn is_active(&self, mail: &mpsc::UnboundedReceiver<RequestEvent>) -> bool {
        self.response_sender.is_some() || self.attempts.iter().any(|s| s.is_in_flight) || !mail.is_empty()
    }

    /// Takes what is owed to the client, once; nothing more begins for it.
    fn take_response_sender(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.dispatch_permission.revoke();
        self.response_sender.take()
    }

    fn respond(&mut self, answer: FinalResponse) {
        if let Some(sender) = self.take_response_sender() {
            debug!(answer = answer.name(), "final answer");
            self.record_response(answer.name());
            let _ = sender.send(answer);
        }
    }

    fn record_response(&self, word: &'static str) {
        let after = self.node.clock.now().saturating_sub(self.accepted_at);
        self.node.recorder.response_sent(&self.admission.request, word, after);
    }

    /// Takes a call-back. Guards against one that comes twice, or late for a scheduling that has
    /// ended; one that comes before the 202 counts like any other.
    fn on_worker_event(&mut self, worker: WorkerId, news: WorkerEvent) {
        let Some(number) = self.attempts.iter().position(|s| s.worker == worker && s.is_in_flight) else {
            return;
        };
        self.attempts[number].has_called_back = true;
        let number = number as u32;
        match news {
            WorkerEvent::Progress(progress) => {
                self.node.policy.attempt_progress(self.admission.request.request, number, progress);
            }
            WorkerEvent::Ended(outcome, result, report) => {
                self.finish_attempt(number, outcome, result, report)
            }
        }
    }

    /// A scheduling has ended: answers the client if it was served, and tells the module.
    fn finish_attempt(
        &mut self,
        number: u32,
        outcome: Outcome,
        result: Option<Bytes>,
        report: Option<LoadReport>,
    ) {
        let Some(scheduling) = self.attempts.get_mut(number as usize).filter(|s| s.is_in_flight) else {
            return;
        };
        scheduling.is_in_flight = false;
        let worker = scheduling.worker;
        let elapsed = self.node.clock.now().saturating_sub(scheduling.sent_at);
        debug!(number, ?outcome, elapsed_us = elapsed, "a scheduling ended");
        if outcome == Outcome::Served {
            self.respond(FinalResponse::Served(result.unwrap_or_default()));
        }
        let finished = self.response_sender.is_none();
        let request = self.admission.request.request;
        let end =
            AttemptOutcome { request, attempt: number, outcome, request_finished: finished, elapsed, report };
        self.node.recorder.attempt_ended(&end, worker);
        self.node.policy.attempt_ended(end);
    }

    /// Stops waiting for a scheduling, and says so to the real server.
    fn cancel_attempt(&mut self, number: u32, outcome: Outcome) {
        let Some(scheduling) = self.attempts.get_mut(number as usize).filter(|s| s.is_in_flight) else {
            return;
        };
        let handing = scheduling.dispatch_abort.take();
        let taken = handing.is_none() || scheduling.has_called_back;
        // Before the 202 the closed connection says it. Guards against a real server that has called
        // back already and whose 202 crosses the close: it would go on for nobody.
        if let Some(handing) = handing {
            handing.abort();
        }
        if taken {
            self.node.upstream.cancel(scheduling.worker, &self.admission.upstream_request);
        }
        self.finish_attempt(number, outcome, None, None);
    }
}
