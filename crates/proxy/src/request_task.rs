//! The life of one flow, from the client's request to the end of its last scheduling.
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::*;
use futures_util::future::{AbortHandle, abortable};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
use tracing::{Instrument, debug, info_span};

use crate::context::Node;
use crate::invariant;
use crate::messages::{Answer, Demand, Mail, News, Wanted};
use crate::policy_handle::Mailbox;
use crate::shutdown::earlier;

/// A front's hold on a flow: its answer, and word to the flow when the client goes first.
pub struct Held {
    answer: oneshot::Receiver<Answer>,
    mailbox: Mailbox,
}

impl Held {
    /// Waits for the final answer.
    pub async fn answer(&mut self) -> Answer {
        (&mut self.answer).await.unwrap_or(Answer::Failed)
    }
}

impl Drop for Held {
    // Guards against a flow that nobody waits for: axum drops the handler when the client goes.
    fn drop(&mut self) {
        let _ = self.mailbox.send(Mail::Gone);
    }
}

/// Begins a flow in a task of its own, which outlives the edge connection: the module is told of
/// every scheduling's end.
pub fn begin(node: &Arc<Node>, demand: Demand) -> Held {
    let (mailbox, mail) = mpsc::unbounded_channel();
    let (sender, answer) = oneshot::channel();
    let flow = Flow {
        node: Arc::clone(node),
        demand,
        answer: Some(sender),
        wanted: Wanted::default(),
        schedulings: Vec::new(),
        taken_at: node.clock.now(),
    };
    let class = node.settings.classes.get(flow.demand.job.class as usize).map_or("", String::as_str);
    let span = tracing::info_span!("flow", flow = flow.demand.order.id, class);
    tokio::spawn(flow.live(mailbox.clone(), mail).instrument(span));
    Held { answer, mailbox }
}

/// One attempt of a flow at a real server.
struct Scheduling {
    worker: WorkerId,
    sent_at: Micros,
    /// Its outcome has not come.
    out: bool,
    /// Stops the hand-over while the real server has not taken it.
    handing: Option<AbortHandle>,
    /// A call-back has come: the real server has it, whether or not its 202 has come.
    heard: bool,
}

struct Flow {
    node: Arc<Node>,
    demand: Demand,
    answer: Option<oneshot::Sender<Answer>>,
    /// Taken back with the answer's sender: what has not been written by then is not.
    wanted: Wanted,
    schedulings: Vec<Scheduling>,
    taken_at: Micros,
}

impl Flow {
    async fn live(mut self, mailbox: Mailbox, mut mail: mpsc::UnboundedReceiver<Mail>) {
        let node = Arc::clone(&self.node);
        let request = self.demand.job.request;
        // The module chooses: a first real server, or a refusal.
        if !node.decisions.job(self.demand.job, mailbox) {
            self.close(Answer::Repeated);
            return;
        }
        let order = Arc::new(self.demand.order.clone());
        let deadline = self.demand.deadline;
        let mut ending = node.ending.watch();
        let overdue = sleep_until(earlier(deadline, &ending));
        tokio::pin!(overdue);
        let mut late = false;
        let mut hand_overs = FuturesUnordered::new();
        while self.lives(&mail) || !hand_overs.is_empty() {
            tokio::select! {
                // Mail comes first: guards against an attempt's end that the module answers with a further
                // attempt although word that the client has gone is waiting.
                biased;
                Some(mail) = mail.recv() => match mail {
                    Mail::Send(worker) => {
                        let number = self.schedulings.len() as u32;
                        let repeated = self.schedulings.iter().any(|s| s.worker == worker);
                        invariant!(!repeated, "a flow has one scheduling at a real server");
                        let (node, order, wanted) = (Arc::clone(&node), Arc::clone(&order), self.wanted.clone());
                        let name = self.node.back.name(worker);
                        let span = info_span!("scheduling", number, real_server = &*name);
                        let hand_over = async move {
                            let handed = node.back.hand_over(worker, &order, deadline, &wanted).await;
                            debug!(taken = handed.is_ok(), "handed over");
                            handed
                        };
                        let (hand_over, handing) = abortable(hand_over.instrument(span));
                        let sent_at = self.node.clock.now();
                        self.schedulings.push(Scheduling { worker, sent_at, out: true, handing: Some(handing), heard: false });
                        if late || repeated || self.answer.is_none() {
                            self.end(number, Outcome::Moot, None, None);
                        } else {
                            self.node.witness.sent(request, number, worker);
                            hand_overs.push(async move { (number, hand_over.await) });
                        }
                    }
                    Mail::Refuse(retry_after) => self.close(Answer::Refused { retry_after }),
                    Mail::Fail => self.close(Answer::Failed),
                    Mail::Cancel(number) => self.give_up(number, Outcome::Cancelled),
                    Mail::News(worker, news) => self.hear(worker, news),
                    Mail::Gone => {
                        if self.owed().is_some() {
                            self.tell_answer("gone");
                            node.decisions.gone(request);
                        }
                    }
                },
                Some((number, handed)) = hand_overs.next() => {
                    self.schedulings[number as usize].handing = None;
                    if let Ok(Err((outcome, report))) = handed {
                        self.end(number, outcome, None, report);
                    }
                }
                // This node ends before the flow's own deadline.
                Ok(()) = ending.changed() => overdue.as_mut().reset(earlier(deadline, &ending)),
                // The module is told that time is up, and says what the client hears.
                () = &mut overdue, if !late => {
                    late = true;
                    for number in 0..self.schedulings.len() as u32 {
                        self.give_up(number, Outcome::TimedOut);
                    }
                    // Those that ended by a call-back and whose 202 never came.
                    self.schedulings.iter_mut().filter_map(|s| s.handing.take()).for_each(|h| h.abort());
                }
            }
            // Guards against a flow that stays without an answer past its time.
            if late && mail.is_empty() && self.answer.is_some() {
                invariant!(false, "the module answers what is overdue");
                self.close(Answer::Failed);
            }
        }
        node.decisions.ended(request);
    }

    /// An answer is owed, a scheduling is out, or mail waits.
    fn lives(&self, mail: &mpsc::UnboundedReceiver<Mail>) -> bool {
        self.answer.is_some() || self.schedulings.iter().any(|s| s.out) || !mail.is_empty()
    }

    /// Takes what is owed to the client, once; nothing more begins for it.
    fn owed(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.wanted.take_back();
        self.answer.take()
    }

    fn close(&mut self, answer: Answer) {
        if let Some(sender) = self.owed() {
            debug!(answer = answer.word(), "final answer");
            self.tell_answer(answer.word());
            let _ = sender.send(answer);
        }
    }

    fn tell_answer(&self, word: &'static str) {
        let after = self.node.clock.now().saturating_sub(self.taken_at);
        self.node.witness.answered(&self.demand.job, word, after);
    }

    /// Takes a call-back. Guards against one that comes twice, or late for a scheduling that has
    /// ended; one that comes before the 202 counts like any other.
    fn hear(&mut self, worker: WorkerId, news: News) {
        let Some(number) = self.schedulings.iter().position(|s| s.worker == worker && s.out) else { return };
        self.schedulings[number].heard = true;
        let number = number as u32;
        match news {
            News::Progress(progress) => {
                self.node.decisions.progress(self.demand.job.request, number, progress);
            }
            News::Ended(outcome, result, report) => self.end(number, outcome, result, report),
        }
    }

    /// A scheduling has ended: answers the client if it was served, and tells the module.
    fn end(&mut self, number: u32, outcome: Outcome, result: Option<Bytes>, report: Option<Report>) {
        let Some(scheduling) = self.schedulings.get_mut(number as usize).filter(|s| s.out) else { return };
        scheduling.out = false;
        let worker = scheduling.worker;
        let elapsed = self.node.clock.now().saturating_sub(scheduling.sent_at);
        debug!(number, ?outcome, elapsed_us = elapsed, "a scheduling ended");
        if outcome == Outcome::Served {
            self.close(Answer::Served(result.unwrap_or_default()));
        }
        let finished = self.answer.is_none();
        let request = self.demand.job.request;
        let end = AttemptOutcome { request, attempt: number, outcome, finished, elapsed, report };
        self.node.witness.ended(&end, worker);
        self.node.decisions.outcome(end);
    }

    /// Stops waiting for a scheduling, and says so to the real server.
    fn give_up(&mut self, number: u32, outcome: Outcome) {
        let Some(scheduling) = self.schedulings.get_mut(number as usize).filter(|s| s.out) else { return };
        let handing = scheduling.handing.take();
        let taken = handing.is_none() || scheduling.heard;
        // Before the 202 the closed connection says it. Guards against a real server that has called
        // back already and whose 202 crosses the close: it would go on for nobody.
        if let Some(handing) = handing {
            handing.abort();
        }
        if taken {
            self.node.back.give_up(scheduling.worker, &self.demand.order);
        }
        self.end(number, outcome, None, None);
    }
}
