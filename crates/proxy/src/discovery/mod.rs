//! The interface to what knows the workers.
use std::sync::Arc;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind};
use copperspread_settings::EndpointList;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::endpoints::{EndpointTable, ListOrigin};
use crate::policy_handle::PolicyHandle;

pub mod platform;
pub mod static_list;

/// Where an endpoint list comes from. A source turns its own form into an [`EndpointList`] and applies that as a
/// whole; a list that it cannot read in full changes nothing.
pub trait EndpointSource: Send + 'static {
    /// Follows the list for good. Whoever spawns it ends it with the runtime.
    fn follow(self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()>;
}

/// Applies lists to the endpoint table, and then notifies the policy.
#[derive(Clone)]
pub struct EndpointPublisher {
    endpoints: Arc<EndpointTable>,
    policy: Arc<PolicyHandle>,
}

impl EndpointPublisher {
    /// Publishes to a table and a policy.
    pub fn new(endpoints: Arc<EndpointTable>, policy: Arc<PolicyHandle>) -> EndpointPublisher {
        EndpointPublisher { endpoints, policy }
    }

    /// Publishes the list that was known before the start; returns its revision.
    pub fn publish_cached(&self, cached: Option<&EndpointList>) -> Option<u64> {
        let apply = |list| self.endpoints.apply(list, ListOrigin::Cache, self.policy.read_clocks());
        let endpoints = cached.and_then(apply).unwrap_or_default();
        // A policy that polls asks for no list before its first event.
        if cached.is_some() || self.is_polled() {
            self.policy.update_endpoints(EndpointUpdateKind::Cached, &endpoints);
        }
        cached.map(|list| list.revision)
    }

    /// Applies a list of discovery's to the table and returns its endpoints, or nothing where the table already holds a newer
    /// revision. The policy is not notified yet.
    pub fn apply(&self, list: &EndpointList) -> Option<Vec<Endpoint>> {
        self.endpoints.apply(list, ListOrigin::Discovery, self.policy.read_clocks())
    }

    /// Notifies the policy of the endpoints that [`EndpointPublisher::apply`] returned for a list.
    pub fn publish(&self, list: &EndpointList, endpoints: &[Endpoint]) {
        let kind = if list.complete { EndpointUpdateKind::Full } else { EndpointUpdateKind::Changes };
        self.policy.update_endpoints(kind, endpoints);
    }

    /// The next list comes from another discovery, which may count its revisions in another way.
    pub fn reset_revision(&self) {
        self.endpoints.reset_revision();
    }

    /// Notifies the policy that a poll failed, or that a subscription broke.
    pub fn poll_failed(&self) {
        // An older request for a subscription, which came while a poll was in flight already, would pass for the
        // policy's reaction to this failure.
        let _ = self.subscription_requested().now_or_never();
        self.policy.update_endpoints(EndpointUpdateKind::Failed, &[]);
    }

    /// Whether the list is fetched only when the policy asks for it.
    pub fn is_polled(&self) -> bool {
        self.policy.polls_endpoints()
    }

    /// Waits until the policy asks for the list.
    pub async fn subscription_requested(&self) {
        self.policy.subscription_requested().await;
    }
}
