//! Discovery of workers: the [`EndpointSource`] trait, its implementations, and the publisher of their lists.
use std::sync::Arc;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind};
use copperspread_settings::EndpointList;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::endpoints::{EndpointTable, ListOrigin};
use crate::policy_handle::PolicyHandle;

pub mod platform;
pub mod static_list;

/// Source of endpoint lists.
///
/// An implementation converts its own format into an [`EndpointList`] and applies each list as a whole. A
/// list that cannot be parsed completely changes nothing.
pub trait EndpointSource: Send + 'static {
    /// Publishes endpoint lists through `publisher` until the returned future is dropped. The future never
    /// completes.
    ///
    /// The caller spawns the future as a task, which ends when the runtime shuts down.
    fn follow(self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()>;
}

/// Endpoint publisher: applies endpoint lists to the endpoint table, and notifies the dispatch policy of
/// them.
#[derive(Clone)]
pub struct EndpointPublisher {
    endpoints: Arc<EndpointTable>,
    policy: Arc<PolicyHandle>,
}

impl EndpointPublisher {
    /// Creates a publisher for an endpoint table and a dispatch policy.
    pub fn new(endpoints: Arc<EndpointTable>, policy: Arc<PolicyHandle>) -> EndpointPublisher {
        EndpointPublisher { endpoints, policy }
    }

    /// Publishes the endpoint list that was cached before the process started, and returns the list's
    /// revision.
    ///
    /// Returns `None` if there is no cached list. If lists are polled (see [`EndpointPublisher::is_polled`]),
    /// the policy is then notified of an empty endpoint update.
    pub fn publish_cached(&self, cached: Option<&EndpointList>) -> Option<u64> {
        let apply = |list| self.endpoints.apply(list, ListOrigin::Cache, self.policy.read_clocks());
        let endpoints = cached.and_then(apply).unwrap_or_default();
        // Where lists are polled, the policy makes its first list request only after its first endpoint
        // update. Without a cached list, the policy is therefore notified of an empty update.
        if cached.is_some() || self.is_polled() {
            self.policy.update_endpoints(EndpointUpdateKind::Cached, &endpoints);
        }
        cached.map(|list| list.revision)
    }

    /// Applies a list from discovery to the table and returns its endpoints, without notifying the policy.
    ///
    /// Returns `None` if the table already has a newer revision.
    pub fn apply(&self, list: &EndpointList) -> Option<Vec<Endpoint>> {
        self.endpoints.apply(list, ListOrigin::Discovery, self.policy.read_clocks())
    }

    /// Notifies the policy of the endpoints that [`EndpointPublisher::apply`] has returned for a list.
    pub fn publish(&self, list: &EndpointList, endpoints: &[Endpoint]) {
        let kind = if list.complete { EndpointUpdateKind::Full } else { EndpointUpdateKind::Changes };
        self.policy.update_endpoints(kind, endpoints);
    }

    /// Resets what the endpoint table knows of the previous discovery service: the revision of that service's
    /// list and the time of its last answer.
    ///
    /// Called when the address of discovery changes, because the new discovery service has its own revisions.
    pub fn reset_revision(&self) {
        self.endpoints.reset_revision();
    }

    /// Notifies the policy that a poll or a watch failed.
    pub fn poll_failed(&self) {
        // A list request that the policy made while the failed poll was in flight is discarded. Otherwise
        // that request would be mistaken for the policy's reaction to this failure, and the next poll would
        // be sent at once.
        let _ = self.list_requested().now_or_never();
        self.policy.update_endpoints(EndpointUpdateKind::Failed, &[]);
    }

    /// Returns whether endpoint lists are polled, that is, whether the policy requests the first list and,
    /// after most failures, the next list.
    pub fn is_polled(&self) -> bool {
        self.policy.polls_endpoints()
    }

    /// Waits until the policy requests a list.
    pub async fn list_requested(&self) {
        self.policy.list_requested().await;
    }
}
