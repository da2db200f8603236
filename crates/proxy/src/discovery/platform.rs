//! The platform's discovery: an endpoint list over HTTP, and the watch on it. How a list is parsed is in
//! `copperspread_settings::platform`; how it is fetched, only here.
use copperspread_dispatcher::{Micros, SECOND};
use copperspread_settings::EndpointList;
use futures_util::future::BoxFuture;
use hyper::http::uri::Authority;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};
use tracing::info;

use crate::clock::from_now;
use crate::discovery::platform::fetch::{CallDeadlines, DiscoveryClient, FetchError};
use crate::discovery::{EndpointPublisher, EndpointSource};
use crate::invariant::{Subject, note_of};

mod fetch;

/// How long a watch is held at discovery. Short, because the wait for a watch that fell silent adds to how late a
/// change is seen, and empty answers cost little. It and what adds to it can be read from outside:
/// `docs/endpoint-list-delays.md` sums them, a test too.
pub const WATCH_HOLD_TIME: Micros = 2 * SECOND;
/// A watch that has not been answered this long after its hold time is dropped: a slow or crowded discovery answers
/// up to a second late, the rest is for the way.
pub const WATCH_MARGIN: Micros = 1_200_000;
/// Where lists are pushed, a call for the complete list is dropped after this long. The agent nearby answers at once
/// unless it is slow, so the call is hedged meanwhile.
pub const PUSHED_LIST_TIMEOUT: Micros = 2_200_000;
/// Until then it is made again after each such interval, on a further connection: what the agent has counts as
/// notified at once, also where it was silent before and does not answer the calls of that time.
pub const PUSHED_HEDGE_INTERVAL: Micros = 400_000;
/// Where lists are polled, calls wait their turn for up to a second before they fail; the rest is for their way. It
/// bounds a call for the complete list. It counts twice in the wait for a change: for the call that is given up and
/// for the next.
pub const POLLED_LIST_TIMEOUT: Micros = 1_500_000;
/// A watch, and a polled list, whose head has come in time is read for so much longer: its bytes may trickle.
pub const BODY_MARGIN: Micros = 700_000;
/// First wait before a failed call is made again where lists are pushed; where they are polled, before a watch
/// that broke is opened anew.
pub const RETRY_BACKOFF_INITIAL: Micros = 100_000;
/// Longest wait before a failed call is made again. Not over [`PUSHED_HEDGE_INTERVAL`].
pub const RETRY_BACKOFF_MAX: Micros = 200_000;
/// Where lists are polled, the wait before a call for the complete list is made again after the first refusal since a
/// list came: a crowded discovery can be reached, and the policy's backoff on top would be too long.
pub const REFUSED_RETRY_BACKOFF: Micros = 300_000;

/// The platform's discovery at an address, which may move.
pub struct PlatformDiscovery {
    /// Where it is.
    pub address: watch::Receiver<Authority>,
    /// The revision of the cached list.
    pub cached_revision: Option<u64>,
}

impl EndpointSource for PlatformDiscovery {
    fn follow(self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move { PlatformWatcher::new(*self, publisher).run().await })
    }
}

/// Follows discovery for good: one watch after the other. The first call and any after one that failed want the
/// complete list, as a watch is silent for as long as it is held. Where lists are polled, a watch that broke is
/// opened anew once before the policy is notified, and a call for the complete list is made again after the first
/// refusal; after any other failure the policy asks for the next call.
/// When discovery moves, what is in flight is dropped and the new address is asked for the complete list.
struct PlatformWatcher {
    publisher: EndpointPublisher,
    /// The configured address, which may move.
    configured_address: watch::Receiver<Authority>,
    /// The address that is called.
    address: Authority,
    client: DiscoveryClient,
    revision: Option<u64>,
    /// The wait before the next retry.
    backoff: Micros,
    is_polled: bool,
    /// The policy must be notified that its subscription has come about, also by an empty list.
    owes_update: bool,
    /// The policy will ask in its own time: at the start, and once it was notified of a failure.
    awaits_policy: bool,
    /// The last call was answered.
    is_connected: bool,
    /// A call was refused since the last list came.
    was_refused: bool,
    /// A call has failed since the last list came.
    has_failed: bool,
}

/// A call that was made.
struct Call {
    /// The revision that is watched; none if the complete list was asked for.
    watched_revision: Option<u64>,
    /// A watch that is answered before this was not held.
    earliest_unchanged: Instant,
    outcome: CallOutcome,
}

enum CallOutcome {
    Answered(EndpointList),
    Failed(FetchError),
    /// Discovery moved; the call was dropped.
    AddressChanged,
}

impl PlatformWatcher {
    fn new(discovery: PlatformDiscovery, publisher: EndpointPublisher) -> PlatformWatcher {
        let is_polled = publisher.is_polled();
        let address = discovery.address.borrow().clone();
        PlatformWatcher {
            publisher,
            configured_address: discovery.address,
            address,
            client: DiscoveryClient::new(),
            revision: discovery.cached_revision,
            backoff: RETRY_BACKOFF_INITIAL,
            is_polled,
            owes_update: is_polled,
            awaits_policy: false,
            is_connected: false,
            was_refused: false,
            has_failed: false,
        }
    }

    async fn run(mut self) {
        if self.is_polled {
            self.await_subscription_request().await;
        }
        loop {
            self.follow_address();
            let call = self.call().await;
            match call.outcome {
                CallOutcome::AddressChanged => {}
                CallOutcome::Answered(list) => {
                    self.handle_list(&list, call.watched_revision, call.earliest_unchanged).await;
                }
                CallOutcome::Failed(error) => self.handle_failure(&error).await,
            }
        }
    }

    /// Starts anew where discovery has moved.
    fn follow_address(&mut self) {
        let address = self.configured_address.borrow_and_update().clone();
        if address == self.address {
            return;
        }
        self.address = address;
        // A connection to the old address would stay until it is closed there.
        self.client = DiscoveryClient::new();
        // A new list would pass for an old one, as its revisions count anew.
        self.publisher.reset_revision();
        self.revision = None;
        self.backoff = RETRY_BACKOFF_INITIAL;
        self.is_connected = false;
        self.was_refused = false;
    }

    /// Calls for the complete list, or watches the revision that is known.
    async fn call(&mut self) -> Call {
        let watched_revision = self.revision.filter(|_| self.is_connected);
        let earliest_unchanged = from_now(WATCH_HOLD_TIME / 2);
        let mut configured_address = self.configured_address.clone();
        let outcome = tokio::select! {
            // An answer of the old address must not be taken after discovery moved.
            biased;
            Ok(()) = configured_address.changed() => CallOutcome::AddressChanged,
            fetched = self.fetch(watched_revision) => match fetched {
                Ok(list) => CallOutcome::Answered(list),
                Err(error) => CallOutcome::Failed(error),
            },
        };
        Call { watched_revision, earliest_unchanged, outcome }
    }

    /// One call, dropped at its time-out: a discovery that is down may keep its connections open in silence.
    async fn fetch(&self, watched_revision: Option<u64>) -> Result<EndpointList, FetchError> {
        const LIST_PATH: &str = "/api/targets";
        let Some(revision) = watched_revision else {
            return if self.is_polled {
                self.client.fetch(&self.address, LIST_PATH, deadlines_after(POLLED_LIST_TIMEOUT)).await
            } else {
                let deadline = from_now(PUSHED_LIST_TIMEOUT);
                self.client.fetch_hedged(&self.address, LIST_PATH, PUSHED_HEDGE_INTERVAL, deadline).await
            };
        };
        let path = format!("{LIST_PATH}?from={revision}&hold_ms={}", WATCH_HOLD_TIME / 1_000);
        self.client.fetch(&self.address, &path, deadlines_after(WATCH_HOLD_TIME + WATCH_MARGIN)).await
    }

    /// Publishes what a list changes.
    async fn handle_list(
        &mut self,
        list: &EndpointList,
        watched_revision: Option<u64>,
        earliest_unchanged: Instant,
    ) {
        self.backoff = RETRY_BACKOFF_INITIAL;
        self.is_connected = true;
        self.was_refused = false;
        if std::mem::take(&mut self.has_failed) {
            let (peer, revision) = (self.address.as_str(), list.revision);
            info!(peer, revision, "discovery answers again");
        }
        let is_unchanged = self.revision == Some(list.revision) && list.endpoints.is_empty();
        let must_publish = self.owes_update || list.complete || !is_unchanged;
        if let Some(endpoints) = self.publisher.apply(list).filter(|_| must_publish) {
            self.publisher.publish(list, &endpoints);
            self.owes_update = false;
            self.awaits_policy = false;
        }
        // A list that is older than the table, and a watch that is not held: called for again at once, the same
        // would come again at once.
        let is_older = self.revision.is_some_and(|revision| list.revision < revision);
        let is_unheld = watched_revision == Some(list.revision) && Instant::now() < earliest_unchanged;
        self.revision = Some(list.revision);
        if is_older || is_unheld {
            sleep_until(from_now(RETRY_BACKOFF_INITIAL)).await;
        }
    }

    /// Waits until the next call is due.
    async fn handle_failure(&mut self, error: &FetchError) {
        let subject = Subject { peer: Some(self.address.as_str()), ..Subject::default() };
        note_of("no answer of discovery, the list stays", &error.to_string(), subject);
        self.has_failed = true;
        if let Some(backoff) = self.retry_backoff(error) {
            // A move is not waited out.
            let _ = timeout_at(from_now(backoff), self.configured_address.changed()).await;
            return;
        }
        // Notified once, and then waited for until the policy asks: a move in this wait must not lead to two
        // calls after each failure, then three.
        if !std::mem::replace(&mut self.awaits_policy, true) {
            self.publisher.poll_failed();
        }
        self.owes_update = true;
        self.await_subscription_request().await;
    }

    /// The wait before a failed call is made again; none where the policy asks for the next call.
    fn retry_backoff(&mut self, error: &FetchError) -> Option<Micros> {
        let was_watch = std::mem::take(&mut self.is_connected);
        let is_broken_watch = was_watch && !error.is_refusal();
        if !self.is_polled || is_broken_watch {
            // Soon: what a silent watch missed counts as notified. Not at once: a discovery may answer complete
            // lists and break each watch.
            let doubled = (self.backoff * 2).min(RETRY_BACKOFF_MAX);
            return Some(std::mem::replace(&mut self.backoff, doubled));
        }
        let is_first_refusal = error.is_refusal() && !self.was_refused;
        self.was_refused |= is_first_refusal;
        (is_first_refusal && !was_watch).then_some(REFUSED_RETRY_BACKOFF)
    }

    /// Waits until the policy asks for the list, or discovery moves: the old place is not waited for, and the
    /// policy's request is not lost, but stays for the next wait.
    async fn await_subscription_request(&mut self) {
        let is_requested = tokio::select! {
            biased;
            () = self.publisher.subscription_requested() => true,
            Ok(()) = self.configured_address.changed() => false,
        };
        self.awaits_policy = !is_requested;
    }
}

/// Deadlines of a call whose response's head must come within a time.
fn deadlines_after(head_timeout: Micros) -> CallDeadlines {
    CallDeadlines { head: from_now(head_timeout), body: from_now(head_timeout + BODY_MARGIN) }
}
