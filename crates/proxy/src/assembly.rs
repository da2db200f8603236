//! One scheduler put together from what it was started with: the platform's HTTP in front and behind.
use std::sync::Arc;

use copperspread_dispatcher::{Decide, Discovery, Micros, SECOND};
use copperspread_event_log::writer::Recorder;
use copperspread_settings::Start;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

use crate::clock::{Clock, from_now};
use crate::context::Node;
use crate::discovery::Membership;
use crate::downstream::Front;
use crate::downstream::client_connection::Edge;
use crate::downstream::http::{Guest, Page, front};
use crate::endpoints::ServiceEntries;
use crate::event_recorder::Witness;
use crate::load_queries;
use crate::policy_handle::Decisions;
use crate::shutdown::Ending;
use crate::upstream::http::{CALL_BACK_PATH, RealServers, call_backs};

/// The longest time that jobs get after SIGTERM. The kill follows the longest deadline, of which no more than
/// 3 s count, by 0.7 s at the soonest: half a second later.
const ANSWERED_BY: Micros = 3 * SECOND + 200_000;
/// New edge connections keep coming for some tenths of a second after SIGTERM.
const LATECOMERS: Micros = SECOND;
/// How often the end looks whether all is answered.
const LOOK: Micros = 20_000;
/// Time for the last answers to be written.
const LAST_WORDS: Micros = 100_000;

/// A scheduler that listens and takes nothing yet.
pub struct Assembled {
    /// What its parts share.
    pub node: Arc<Node>,
    /// The clients' side.
    pub edge: Arc<Edge>,
    /// What a source tells.
    pub membership: Membership,
    /// The version of the list that was known before the start.
    pub known: Option<u64>,
    longest: Micros,
}

/// Puts a scheduler together round what decides.
///
/// # Errors
/// An address that cannot be listened on.
pub async fn assemble(
    start: &Start,
    decide: Box<dyn Decide>,
    recorder: &Recorder,
) -> Result<Assembled, String> {
    assemble_with(start, decide, recorder, &[]).await
}

/// The same with pages of the program's own.
///
/// # Errors
/// As [`assemble`].
pub async fn assemble_with(
    start: &Start,
    decide: Box<dyn Decide>,
    recorder: &Recorder,
    pages: &[Page],
) -> Result<Assembled, String> {
    let clock = Clock::start();
    let given = &start.given;
    let entries = Arc::new(ServiceEntries::new(&given.node));
    let witness = Witness::new(recorder.clone(), Arc::clone(&entries), &given.node);
    let on_request = given.decisions.discovery == Discovery::OnRequest;
    let decisions = Decisions::new(decide, on_request, clock, Arc::clone(&witness));
    let membership = Membership::new(Arc::clone(&entries), Arc::clone(&decisions));
    let known = membership.remember(start.known.as_ref());
    let node = Arc::new(Node {
        clock,
        decisions: Arc::clone(&decisions),
        back: Arc::new(RealServers::new(&given.node, Arc::clone(&entries), start.sockets)),
        settings: given.node.clone(),
        witness,
        ending: Ending::default(),
    });
    let listener = TcpListener::bind(start.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", start.listen))?;
    let guest = Guest { path: CALL_BACK_PATH, take: Arc::new(call_backs(entries, decisions)) };
    let edge = front(Arc::clone(&node), guest, pages, listener, start.sockets, start.memory_mb);
    tokio::spawn(load_queries::carry_out(Arc::clone(&node)));
    let longest = given.decisions.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    Ok(Assembled { node, edge, membership, known, longest })
}

impl Assembled {
    /// Begins the ending.
    pub fn end(&self) -> Ends {
        let by = from_now(self.longest.min(ANSWERED_BY));
        self.node.ending.begin(by);
        Ends { by, latecomers: from_now(LATECOMERS) }
    }

    /// Waits until what was taken is answered or the time for it is over, closes what is still open and
    /// returns how many requests are left. Connections and call-backs are taken until the closing. Guards
    /// against clients that go on using whatever stays open: what they ask then would be taken and lost.
    pub async fn ended(&self, ends: Ends) -> usize {
        self.answered(ends.latecomers, ends.by).await;
        self.node.ending.close();
        self.answered(from_now(LAST_WORDS), ends.by).await;
        self.edge.busy()
    }

    /// Waits for an instant, and then until nothing is read or answered or the time for it is over.
    async fn answered(&self, at_least: Instant, by: Instant) {
        while Instant::now() < at_least || (self.edge.busy() > 0 && Instant::now() < by) {
            sleep_until(from_now(LOOK)).await;
        }
    }
}

/// An ending under way.
pub struct Ends {
    by: Instant,
    latecomers: Instant,
}
