//! The platform's discovery: an endpoint list over HTTP, and the watch on it. How a list is parsed is in
//! `copperspread_settings::platform`; how it is fetched, only here.
use copperspread_dispatcher::{Micros, SECOND};
use copperspread_settings::EndpointList;
use futures_util::future::BoxFuture;
use hyper::http::uri::Authority;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::discovery::platform::fetch::{DiscoveryClient, FetchError};
use crate::discovery::{EndpointPublisher, EndpointSource};
use crate::invariant::note;

mod fetch;

/// How long a watch is held at discovery. Short, because the wait for a watch that fell silent adds to how late a
/// change is seen, and empty answers cost little. It and what adds to it can be read from outside:
/// `docs/crossings-list.md` sums them, a test too.
pub const WATCH_HOLD_TIME: Micros = 2 * SECOND;
/// A pushed list is at an agent nearby, which answers at once: a watch that has not been answered this long after
/// its hold time is dropped.
pub const PUSHED_WATCH_MARGIN: Micros = SECOND;
/// So is a call for a complete list that is pushed, after this long.
pub const PUSHED_LIST_TIMEOUT: Micros = 700_000;
/// Where lists are polled, calls wait their turn for up to a second before they fail; the rest is for their way.
/// It bounds a call for a complete list, and a watch after its hold time. It counts twice in the wait for a
/// change: for the call that is given up and for the next.
pub const POLLED_LIST_TIMEOUT: Micros = 1_500_000;
/// First wait before a failed call is made again where lists are pushed; where they are polled, before a watch
/// that broke is opened anew.
pub const RETRY_BACKOFF_INITIAL: Micros = 100_000;
/// Longest wait before a failed call is made again. Together with [`PUSHED_LIST_TIMEOUT`] under a second: what
/// the agent has is binding, also while it was silent.
pub const RETRY_BACKOFF_MAX: Micros = 200_000;

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
/// opened anew once before the policy is notified; after any other failure the policy asks for the next call.
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
        if *self.configured_address.borrow() == self.address {
            return;
        }
        self.address = self.configured_address.borrow().clone();
        // A connection to the old address would stay until it is closed there.
        self.client = DiscoveryClient::new();
        // A new list would pass for an old one, as its revisions count anew.
        self.publisher.reset_revision();
        self.revision = None;
        self.backoff = RETRY_BACKOFF_INITIAL;
        self.is_connected = false;
    }

    /// Calls for the complete list, or watches the revision that is known.
    async fn call(&mut self) -> Call {
        let watched_revision = self.revision.filter(|_| self.is_connected);
        let path = match watched_revision {
            Some(revision) => format!("/api/targets?from={revision}&hold_ms={}", WATCH_HOLD_TIME / 1_000),
            None => "/api/targets".to_owned(),
        };
        // A discovery that is down may keep its connections open in silence.
        let deadline = from_now(self.call_timeout(watched_revision));
        let earliest_unchanged = from_now(WATCH_HOLD_TIME / 2);
        let outcome = tokio::select! {
            // An answer of the old address must not be taken after discovery moved.
            biased;
            Ok(()) = self.configured_address.changed() => CallOutcome::AddressChanged,
            fetched = self.client.fetch(&self.address, &path, deadline) => match fetched {
                Ok(list) => CallOutcome::Answered(list),
                Err(error) => CallOutcome::Failed(error),
            },
        };
        Call { watched_revision, earliest_unchanged, outcome }
    }

    fn call_timeout(&self, watched_revision: Option<u64>) -> Micros {
        match (self.is_polled, watched_revision.is_some()) {
            (true, true) => WATCH_HOLD_TIME + POLLED_LIST_TIMEOUT,
            (true, false) => POLLED_LIST_TIMEOUT,
            (false, true) => WATCH_HOLD_TIME + PUSHED_WATCH_MARGIN,
            (false, false) => PUSHED_LIST_TIMEOUT,
        }
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
        let was_connected = std::mem::take(&mut self.is_connected);
        note("no answer of discovery, the list stays", &error.to_string());
        let is_broken_watch = was_connected && !error.is_refusal();
        if self.is_polled && !is_broken_watch {
            // Notified once, and then waited for until the policy asks: a move in this wait must not lead to two
            // calls after each failure, then three.
            if !std::mem::replace(&mut self.awaits_policy, true) {
                self.publisher.poll_failed();
            }
            self.owes_update = true;
            self.await_subscription_request().await;
        } else {
            // Soon: what a silent watch missed counts as notified. Not at once: a discovery may answer complete
            // lists and break each watch. A move is not waited out.
            let retry_at = from_now(self.backoff);
            let _ = timeout_at(retry_at, self.configured_address.changed()).await;
            self.backoff = (self.backoff * 2).min(RETRY_BACKOFF_MAX);
        }
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
