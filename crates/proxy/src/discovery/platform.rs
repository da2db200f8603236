//! Endpoint source that fetches lists from the platform's discovery over HTTP and watches them for changes.
//!
//! The module `copperspread_settings::platform` parses the lists; this module fetches them.
//!
//! Discovery is used in one of two modes (see [`EndpointPublisher::is_polled`]). Where lists are pushed, the
//! platform pushes them to a discovery agent near the scheduler; this module calls the agent and retries
//! failed calls. Where lists are polled, the dispatch policy requests the first list, and requests another
//! list after most failures; this module retries only a first refusal and a watch that broke.
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
use crate::invariant::{EventSubject, count_event_for};

mod fetch;

/// Maximum time for which discovery holds a watch, that is, delays its answer until the list changes.
///
/// The hold time is short because a watch whose answer is lost delays the next endpoint update until the
/// watch times out, while frequent empty answers cost little. The constants that add up to the delay of an
/// endpoint update are public because the test `endpoint_list_races` sums them, as does
/// `docs/endpoint-list-delays.md`.
pub const WATCH_HOLD_TIME: Micros = 2 * SECOND;
/// Time between the end of a watch's hold time and the time-out of an unanswered watch.
///
/// This time covers up to 1 s by which a slow or overloaded discovery answers late, and 0.2 s for the
/// network.
pub const WATCH_MARGIN: Micros = 1_200_000;
/// Time-out of a request for the complete list where lists are pushed, including its hedged calls.
///
/// The discovery agent is near the scheduler and usually answers at once. If the agent is slow, further
/// hedged calls are made until this time-out.
pub const PUSHED_LIST_TIMEOUT: Micros = 2_200_000;
/// Interval between hedged calls for the complete list where lists are pushed. Each hedged call uses a
/// further connection.
///
/// The scheduler counts as notified of a change as soon as the discovery agent has the change and is
/// reachable. The agent may have been unresponsive until then, and may never answer the calls that were made
/// meanwhile. The interval is short so that a new call soon reaches a recovered agent.
pub const PUSHED_HEDGE_INTERVAL: Micros = 400_000;
/// Time-out of a call for the complete list where lists are polled.
///
/// The time-out covers up to 1 s for which discovery may queue a call before the call fails, and 0.5 s for
/// the network. It counts twice in the delay of an endpoint update: once for the call that times out, and
/// once for the next call.
pub const POLLED_LIST_TIMEOUT: Micros = 1_500_000;
/// Additional time for the body of a response after the time-out of the response's head, for watches and for
/// polled lists.
///
/// The additional time is needed because the body may arrive slowly.
pub const BODY_MARGIN: Micros = 700_000;
/// Initial backoff before a failed call to discovery is retried.
///
/// Where lists are pushed, the backoff applies to every failed call. Where lists are polled, it applies only
/// to a watch that ended with a failure other than a refusal.
pub const RETRY_BACKOFF_INITIAL: Micros = 100_000;
/// Maximum backoff before a failed call to discovery is retried. The value does not exceed
/// [`PUSHED_HEDGE_INTERVAL`], so that the retry adds no more delay than a hedged call.
pub const RETRY_BACKOFF_MAX: Micros = 200_000;
/// Backoff before a refused call for the complete list is retried, where lists are polled.
///
/// Only the first refusal since the last list is retried after this backoff: a discovery that refuses calls
/// is reachable but overloaded, and waiting for the policy's own backoff would delay the next list too much.
/// After any further refusal, the policy requests the next call.
pub const REFUSED_RETRY_BACKOFF: Micros = 300_000;

/// Endpoint source for the platform's discovery, whose address may change.
pub struct PlatformDiscovery {
    /// Configured address of discovery.
    pub address: watch::Receiver<Authority>,
    /// Revision of the cached list, if there is one.
    pub cached_revision: Option<u64>,
}

impl EndpointSource for PlatformDiscovery {
    fn follow(self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move { PlatformWatcher::new(*self, publisher).run().await })
    }
}

/// Watches discovery without end, one call after the other.
///
/// The first call, and each call after a failed call, requests the complete list, because discovery answers
/// such a call at once and may hold a watch without an answer. Where lists are polled, the policy is notified
/// of a failure and requests the next call, with two exceptions. After a watch that ended with a failure
/// other than a refusal, one call for the complete list is made first. A call for the complete list is
/// retried once after the first refusal since the last list.
///
/// When the address of discovery changes, the call in flight is dropped and the complete list is fetched from
/// the new address.
struct PlatformWatcher {
    publisher: EndpointPublisher,
    /// Configured address, which may change.
    configured_address: watch::Receiver<Authority>,
    /// Discovery address that calls are sent to now.
    address: Authority,
    client: DiscoveryClient,
    /// Revision of the last list received from this address, or of the cached list.
    revision: Option<u64>,
    /// Time to wait before the next retry of a failed call.
    backoff: Micros,
    is_polled: bool,
    /// Whether the policy must be notified of the next list even if that list is empty, because the policy
    /// waits for the answer to a list request.
    must_notify_policy: bool,
    /// Whether a list request of the policy is still outstanding. The policy makes a request at the start and
    /// after each notification of a failure.
    awaits_list_request: bool,
    /// Whether the last call returned a list, so that the next call can be a watch.
    last_call_succeeded: bool,
    /// Whether a call was refused since the last list was received.
    refused_since_list: bool,
    /// Whether a call has failed since the last list was received.
    failed_since_list: bool,
}

/// Call to discovery that has ended, with the facts needed to handle its result.
struct CompletedCall {
    /// Revision that was watched; `None` if the call was for the complete list.
    watched_revision: Option<u64>,
    /// The instant at which half of the hold time has passed since the start of the call. If a watch is
    /// answered before this instant and without a change, discovery did not hold the watch.
    earliest_held_answer: Instant,
    outcome: CallOutcome,
}

enum CallOutcome {
    Answered(EndpointList),
    Failed(FetchError),
    /// Discovery's address changed, and the call was dropped.
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
            must_notify_policy: is_polled,
            awaits_list_request: false,
            last_call_succeeded: false,
            refused_since_list: false,
            failed_since_list: false,
        }
    }

    async fn run(mut self) {
        if self.is_polled {
            self.await_list_request().await;
        }
        loop {
            self.apply_address_change();
            let call = self.call().await;
            match call.outcome {
                CallOutcome::AddressChanged => {}
                CallOutcome::Answered(list) => {
                    self.handle_list(&list, call.watched_revision, call.earliest_held_answer).await;
                }
                CallOutcome::Failed(error) => self.handle_failure(&error).await,
            }
        }
    }

    /// Resets the state that belongs to the old address if the configured address of discovery has changed.
    fn apply_address_change(&mut self) {
        let address = self.configured_address.borrow_and_update().clone();
        if address == self.address {
            return;
        }
        self.address = address;
        // The HTTP client is replaced, because the old one would keep its connection to the old address open
        // until the peer closes it.
        self.client = DiscoveryClient::new();
        // Revisions of the new discovery are unrelated to those of the old one. Without the reset, the lists
        // of the new discovery could be taken for outdated ones.
        self.publisher.reset_revision();
        self.revision = None;
        self.backoff = RETRY_BACKOFF_INITIAL;
        self.last_call_succeeded = false;
        self.refused_since_list = false;
    }

    /// Makes the next call. The call is a watch on the revision of the last list if the last call succeeded,
    /// and a request for the complete list otherwise.
    async fn call(&mut self) -> CompletedCall {
        let watched_revision = self.revision.filter(|_| self.last_call_succeeded);
        let earliest_held_answer = from_now(WATCH_HOLD_TIME / 2);
        let mut configured_address = self.configured_address.clone();
        let outcome = tokio::select! {
            // A change of the address takes precedence, because an answer from the old address must not be
            // used after the change.
            biased;
            Ok(()) = configured_address.changed() => CallOutcome::AddressChanged,
            fetched = self.fetch(watched_revision) => match fetched {
                Ok(list) => CallOutcome::Answered(list),
                Err(error) => CallOutcome::Failed(error),
            },
        };
        CompletedCall { watched_revision, earliest_held_answer, outcome }
    }

    /// Makes one call with a time-out, since a failed discovery may keep connections open without answering.
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

    /// Applies a list to the endpoint table, and notifies the policy of the list if it is complete (rather
    /// than a list of changes), if anything has changed, or if the policy has requested a list.
    ///
    /// Then waits for a short time if the next call would return the same list at once.
    async fn handle_list(
        &mut self,
        list: &EndpointList,
        watched_revision: Option<u64>,
        earliest_held_answer: Instant,
    ) {
        self.backoff = RETRY_BACKOFF_INITIAL;
        self.last_call_succeeded = true;
        self.refused_since_list = false;
        if std::mem::take(&mut self.failed_since_list) {
            let (peer, revision) = (self.address.as_str(), list.revision);
            info!(peer, revision, "discovery answers again");
        }
        let is_unchanged = self.revision == Some(list.revision) && list.endpoints.is_empty();
        let must_publish = self.must_notify_policy || list.complete || !is_unchanged;
        if let Some(endpoints) = self.publisher.apply(list).filter(|_| must_publish) {
            self.publisher.publish(list, &endpoints);
            self.must_notify_policy = false;
            self.awaits_list_request = false;
        }
        // The next call would return the same list at once in two cases: the list is older than the previous
        // list, or discovery answered a watch without holding it. The delay avoids a busy loop.
        let is_older = self.revision.is_some_and(|revision| list.revision < revision);
        let was_not_held = watched_revision == Some(list.revision) && Instant::now() < earliest_held_answer;
        self.revision = Some(list.revision);
        if is_older || was_not_held {
            sleep_until(from_now(RETRY_BACKOFF_INITIAL)).await;
        }
    }

    /// Counts a failed call to discovery, and waits until the next call is due.
    async fn handle_failure(&mut self, error: &FetchError) {
        let subject = EventSubject { peer: Some(self.address.as_str()), ..EventSubject::default() };
        // Counts failed calls to discovery, including refusals and invalid lists; the table keeps its
        // endpoints.
        count_event_for("no answer of discovery, the list stays", &error.to_string(), subject);
        self.failed_since_list = true;
        if let Some(backoff) = self.retry_backoff(error) {
            // A change of discovery's address ends the backoff early.
            let _ = timeout_at(from_now(backoff), self.configured_address.changed()).await;
            return;
        }
        // After a notification, the policy is notified of another failure only once it has requested a list.
        // An address change may end the wait for that request. A second notification would then make the
        // policy request a second list, so that each later failure would lead to two calls, then to three,
        // and so on.
        if !std::mem::replace(&mut self.awaits_list_request, true) {
            self.publisher.poll_failed();
        }
        self.must_notify_policy = true;
        self.await_list_request().await;
    }

    /// Returns the backoff before the failed call is retried; `None` if the policy requests the next call.
    fn retry_backoff(&mut self, error: &FetchError) -> Option<Micros> {
        let was_watch = std::mem::take(&mut self.last_call_succeeded);
        let is_broken_watch = was_watch && !error.is_refusal();
        if !self.is_polled || is_broken_watch {
            // The backoff is short because the scheduler counts as notified of a change even if the watch
            // that should have returned the change got no answer. The backoff is not zero because a discovery
            // may answer calls for the complete list but break every watch.
            let doubled = (self.backoff * 2).min(RETRY_BACKOFF_MAX);
            return Some(std::mem::replace(&mut self.backoff, doubled));
        }
        let is_first_refusal = error.is_refusal() && !self.refused_since_list;
        self.refused_since_list |= is_first_refusal;
        (is_first_refusal && !was_watch).then_some(REFUSED_RETRY_BACKOFF)
    }

    /// Waits until the policy requests a list or discovery's address changes.
    ///
    /// If the address changes first, the next call of this method receives the policy's request.
    async fn await_list_request(&mut self) {
        let is_requested = tokio::select! {
            biased;
            () = self.publisher.list_requested() => true,
            Ok(()) = self.configured_address.changed() => false,
        };
        self.awaits_list_request = !is_requested;
    }
}

/// Returns the deadlines of a call whose response head must be received within `head_timeout`.
fn deadlines_after(head_timeout: Micros) -> CallDeadlines {
    CallDeadlines { head: from_now(head_timeout), body: from_now(head_timeout + BODY_MARGIN) }
}
