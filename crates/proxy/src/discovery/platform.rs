//! Endpoint source that fetches endpoint lists from the platform's discovery service over HTTP and watches
//! the service for changes.
//!
//! This module fetches the lists. The module `copperspread_settings::platform` parses them.
//!
//! This module calls discovery again and again. A call either fetches the complete list or is a watch, which
//! discovery answers when the list changes. What follows a failed call depends on whether lists are pushed or
//! polled (see [`EndpointPublisher::is_polled`]):
//!
//! * Pushed: the platform pushes every list to a discovery agent, which is near the scheduler and answers
//!   calls as discovery does. This module calls the agent, and retries every failed call itself.
//! * Polled: the dispatch policy requests the first call. After a failed call, the policy is notified and
//!   requests the next call. Two kinds of failures are exceptions: this module makes the next call without a
//!   request of the policy (see `PlatformWatcher`).
use std::sync::Arc;

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

/// Maximum time, in microseconds, for which discovery may hold back the answer to a watch. A watch is a call
/// that discovery answers when the endpoint list changes.
///
/// The time is short because the answer to a watch may be lost. The next endpoint update is then delayed
/// until the watch times out. Because the time is short, discovery often answers without a change, but such
/// answers cost little.
///
/// This constant and those below add up to the delay of an endpoint update. They are public because the test
/// `endpoint_list_races` adds them, as does `docs/endpoint-list-delays.md`.
pub const WATCH_HOLD_TIME: Micros = 2 * SECOND;
/// Time from the end of [`WATCH_HOLD_TIME`] until an unanswered watch times out, in microseconds. A watch is
/// a call that discovery answers when the endpoint list changes.
///
/// A slow or overloaded discovery may answer up to 1 s late. Another 0.2 s are for the network.
pub const WATCH_MARGIN: Micros = 1_200_000;
/// Time-out for fetching the complete list where lists are pushed, in microseconds. It covers all parallel
/// calls that are made to fetch the list.
///
/// The discovery agent, to which the platform pushes the lists, is near the scheduler and usually answers at
/// once. If the agent is slow, further calls are made until this time-out.
pub const PUSHED_LIST_TIMEOUT: Micros = 2_200_000;
/// Time after which another parallel call for the complete list is made, in microseconds, where lists are
/// pushed. Each call uses a further connection.
///
/// The platform pushes lists to a discovery agent, which this module calls. The agent may be unresponsive for
/// a time, and may never answer the calls made during that time. A new call is needed to get the list after
/// the agent has recovered.
///
/// By the platform's rule, the scheduler counts as notified of a change as soon as the agent has the change
/// and is reachable. Until the new call, the scheduler would still use the old list. The interval is
/// therefore short.
pub const PUSHED_HEDGE_INTERVAL: Micros = 400_000;
/// Time-out of a call to discovery for the complete endpoint list, in microseconds, where lists are polled.
///
/// Discovery may queue a call for up to 1 s before the call fails. Another 0.5 s are for the network. The
/// time-out counts twice in the delay of an endpoint update: one call may time out, and the next call may
/// take as long before it returns the list.
pub const POLLED_LIST_TIMEOUT: Micros = 1_500_000;
/// Time from the deadline for the head of discovery's response to the deadline for its body, in microseconds.
/// It applies to all watches, and to calls for the complete list where lists are polled.
///
/// The body may arrive slowly, so it gets more time than the head.
pub const BODY_MARGIN: Micros = 700_000;
/// First delay before a failed call to discovery is retried, in microseconds.
///
/// The delay applies to these failures (for pushed and polled, see [`EndpointPublisher::is_polled`]):
///
/// * Where lists are pushed: every failed call.
/// * Where lists are polled: a failed watch, unless discovery answered with a status other than 200. A watch
///   is a call that discovery answers when the endpoint list changes.
///
/// After the other failures, the next call is made when the dispatch policy requests a list, or after
/// [`REFUSED_RETRY_BACKOFF`].
pub const RETRY_BACKOFF_INITIAL: Micros = 100_000;
/// Maximum delay before a failed call to discovery is retried, in microseconds.
///
/// The delay is not longer than [`PUSHED_HEDGE_INTERVAL`], the time after which another call is made beside a
/// call that has no answer yet. A failed call is therefore followed by another call no later than an
/// unanswered call is.
pub const RETRY_BACKOFF_MAX: Micros = 200_000;
/// Delay before a refused call for the complete list is retried, in microseconds, where lists are polled (see
/// [`EndpointPublisher::is_polled`]). A call is refused if discovery answers with a status other than 200.
///
/// This delay applies only to the first refusal since the last received list. After a further refusal, the
/// dispatch policy is notified, and the next call is made when the policy requests a list. The policy waits
/// for a time before it requests a list. After the first refusal, that wait would be too long, because a
/// discovery that refuses calls is reachable but overloaded.
pub const REFUSED_RETRY_BACKOFF: Micros = 300_000;

/// Endpoint source that uses the platform's discovery service. The address of the service may change.
pub struct PlatformDiscovery {
    /// The address of discovery in the current configuration.
    pub address: watch::Receiver<Authority>,
    /// The revision of the cached endpoint list; `None` without a cached list.
    pub cached_revision: Option<u64>,
}

impl EndpointSource for PlatformDiscovery {
    fn follow(self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move { PlatformWatcher::new(*self, publisher).run().await })
    }
}

/// Calls discovery without end, one call after the other, and publishes the lists that discovery returns.
///
/// A call either fetches the complete list or is a watch, which discovery answers when the list changes. The
/// first call and each call after a failed call fetch the complete list. Discovery answers such a call at
/// once. It may hold back the answer to a watch for up to [`WATCH_HOLD_TIME`], or never send the answer.
///
/// What follows a failed call depends on the discovery mode, pushed or polled, which is a setting of the
/// dispatch policy (see [`EndpointPublisher::is_polled`]).
///
/// In the pushed mode, the next call after any failed call is made after a short delay.
///
/// In the polled mode, the policy is notified of the failed call, and the next call is made when the policy
/// requests a list. In two cases, the next call is instead made after a short delay, without notifying the
/// policy:
///
/// * A watch failed without being refused, for example by a broken connection. A call is refused if discovery
///   answers with a status other than 200.
/// * A call for the complete list was refused, and no other call has been refused since the last received
///   list (see [`REFUSED_RETRY_BACKOFF`]).
///
/// When the address of discovery changes, the call in flight is dropped. The complete list is then fetched
/// from the new address.
struct PlatformWatcher {
    publisher: EndpointPublisher,
    /// The address of discovery in the current configuration, which may change.
    configured_address: watch::Receiver<Authority>,
    /// The address of discovery to which calls are sent now.
    address: Authority,
    client: DiscoveryClient,
    /// The revision of the last list received from `address`, or of the cached list.
    revision: Option<u64>,
    /// The delay before the next retry of a failed call, in microseconds.
    backoff: Micros,
    is_polled: bool,
    /// Whether the policy must be notified of the next list even if the list has no changes. This is so while
    /// the policy waits for a list that it has requested.
    must_notify_policy: bool,
    /// Whether the dispatch policy is expected to request an endpoint list and has not done so yet. The
    /// policy requests a list at the start, and each time it is notified of a failed call to discovery.
    awaits_list_request: bool,
    /// Whether the last call to discovery returned an endpoint list. If so, the next call is a watch, which
    /// waits for a newer list.
    last_call_succeeded: bool,
    /// Whether discovery has answered a call with a status other than 200 (refused it) since it last returned
    /// an endpoint list. Used only if lists are polled.
    refused_since_list: bool,
    /// Whether a call to discovery has failed since discovery last returned an endpoint list.
    failed_since_list: bool,
}

/// A call to discovery that has ended.
struct CompletedCall {
    /// The revision of the last known list, if the call was a watch, which waits for a newer list. `None` if
    /// the call was for the complete list.
    watched_revision: Option<u64>,
    /// The instant at which half of [`WATCH_HOLD_TIME`] has passed since the call was made. Discovery holds
    /// back the answer to a watch for up to that time while the list does not change. If a watch is answered
    /// before this instant and without a change, discovery did not hold back the answer.
    earliest_held_answer: Instant,
    outcome: CallOutcome,
}

enum CallOutcome {
    Answered(EndpointList),
    Failed(FetchError),
    /// The configured address of discovery changed, and the call was dropped.
    AddressChanged,
}

impl PlatformWatcher {
    fn new(discovery: PlatformDiscovery, publisher: EndpointPublisher) -> PlatformWatcher {
        let is_polled = publisher.is_polled();
        let address = discovery.address.borrow().clone();
        let client = DiscoveryClient::new(Arc::clone(publisher.memory()));
        PlatformWatcher {
            publisher,
            configured_address: discovery.address,
            address,
            client,
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

    /// If the configured address of discovery has changed, uses the new address from now on and resets the
    /// state that belongs to the old address.
    fn apply_address_change(&mut self) {
        let address = self.configured_address.borrow_and_update().clone();
        if address == self.address {
            return;
        }
        self.address = address;
        // The HTTP client is replaced. The old client would keep its connection to the old address open until
        // the old discovery closes it.
        self.client = DiscoveryClient::new(Arc::clone(self.publisher.memory()));
        // The service at the new address has its own revisions, which cannot be compared with those of the
        // old service. If the endpoint table kept the revision of its last list, a list of the new service
        // could be taken for an outdated list and ignored.
        self.publisher.reset_revision();
        self.revision = None;
        self.backoff = RETRY_BACKOFF_INITIAL;
        self.last_call_succeeded = false;
        self.refused_since_list = false;
    }

    /// Makes the next call to discovery. If the last call returned a list, the next call is a watch, which
    /// waits for a newer list. Otherwise the next call fetches the complete list.
    async fn call(&mut self) -> CompletedCall {
        let watched_revision = self.revision.filter(|_| self.last_call_succeeded);
        let earliest_held_answer = from_now(WATCH_HOLD_TIME / 2);
        let mut configured_address = self.configured_address.clone();
        let outcome = tokio::select! {
            // The branch for a change of discovery's configured address comes first. An answer from the old
            // address is thus not used once the address has changed.
            biased;
            Ok(()) = configured_address.changed() => CallOutcome::AddressChanged,
            fetched = self.fetch(watched_revision) => match fetched {
                Ok(list) => CallOutcome::Answered(list),
                Err(error) => CallOutcome::Failed(error),
            },
        };
        CompletedCall { watched_revision, earliest_held_answer, outcome }
    }

    /// Makes one call to discovery with a time-out. The time-out is needed because a failed discovery may
    /// keep connections open without answering.
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

    /// Applies a received list to the endpoint table, and notifies the policy of the list where needed.
    ///
    /// The policy is notified if the list is complete (not a list of changes), if the list contains a change,
    /// or if the policy waits for a list. At the end, the method waits for [`RETRY_BACKOFF_INITIAL`] if the
    /// list is older than the previous list, or if discovery answered a watch early and without a change. In
    /// these two cases, the next call to discovery would return the same list at once.
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
        // In two cases, the next call would return the same list at once, and the calls would become a busy
        // loop without this delay. Either this list is older than the previous list, or discovery answered a
        // watch early and without a change.
        let is_older = self.revision.is_some_and(|revision| list.revision < revision);
        let was_not_held = watched_revision == Some(list.revision) && Instant::now() < earliest_held_answer;
        self.revision = Some(list.revision);
        if is_older || was_not_held {
            sleep_until(from_now(RETRY_BACKOFF_INITIAL)).await;
        }
    }

    /// Counts a failed call to discovery, and waits until the next call may be made.
    async fn handle_failure(&mut self, error: &FetchError) {
        let subject = EventSubject { peer: Some(self.address.as_str()), ..EventSubject::default() };
        // This counter counts all failed calls to discovery, including refusals and invalid lists. The
        // endpoint table stays unchanged.
        count_event_for("no answer of discovery, the list stays", &error.to_string(), subject);
        self.failed_since_list = true;
        if let Some(backoff) = self.retry_backoff(error) {
            // The wait ends early if the configured address of discovery changes.
            let _ = timeout_at(from_now(backoff), self.configured_address.changed()).await;
            return;
        }
        // The policy requests one list for each failure of which it is notified. While a request is awaited,
        // the policy must not be notified of another failure, or a second request would follow. Each of the
        // two requests would lead to a call, and each failed call to another request. Calls would thus be
        // made twice as often until a list is received, and three times as often after another such
        // notification.
        //
        // Another failure is possible while the request is awaited. If discovery's address changes, the wait
        // for the request ends early, and discovery is called at the new address at once. That call may fail
        // too.
        if !std::mem::replace(&mut self.awaits_list_request, true) {
            self.publisher.poll_failed();
        }
        self.must_notify_policy = true;
        self.await_list_request().await;
    }

    /// Returns the delay before the failed call is retried. Returns `None` if the next call is made only when
    /// the policy requests a list.
    fn retry_backoff(&mut self, error: &FetchError) -> Option<Micros> {
        let was_watch = std::mem::take(&mut self.last_call_succeeded);
        let is_broken_watch = was_watch && !error.is_refusal();
        if !self.is_polled || is_broken_watch {
            // This branch handles every failure where lists are pushed. Where lists are polled, it handles
            // only a watch that failed without being refused.
            //
            // A failed watch may have been about to return a change. The scheduler then still uses the old
            // list, although by the platform's rule it counts as notified of the change. The next call
            // fetches the complete list, which contains the change. The delay before that call is therefore
            // short. It is not zero because a discovery may answer calls for the complete list but break
            // every watch.
            let doubled = (self.backoff * 2).min(RETRY_BACKOFF_MAX);
            return Some(std::mem::replace(&mut self.backoff, doubled));
        }
        let is_first_refusal = error.is_refusal() && !self.refused_since_list;
        self.refused_since_list |= is_first_refusal;
        (is_first_refusal && !was_watch).then_some(REFUSED_RETRY_BACKOFF)
    }

    /// Waits until the policy requests a list or the configured address of discovery changes.
    ///
    /// If the address changes first, the policy's request is received by the next call of this method.
    async fn await_list_request(&mut self) {
        let is_requested = tokio::select! {
            biased;
            () = self.publisher.list_requested() => true,
            Ok(()) = self.configured_address.changed() => false,
        };
        self.awaits_list_request = !is_requested;
    }
}

/// Returns the deadlines of a call to discovery. The response's head must be received within `head_timeout`
/// microseconds.
fn deadlines_after(head_timeout: Micros) -> CallDeadlines {
    CallDeadlines { head: from_now(head_timeout), body: from_now(head_timeout + BODY_MARGIN) }
}
