//! The door to what knows the real servers.
use std::sync::Arc;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind};
use copperspread_settings::EndpointList;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::endpoints::EndpointTable;
use crate::policy_handle::PolicyHandle;

pub mod platform;
pub mod static_list;

/// Where a worker list comes from. It turns its own form into a [`EndpointList`] and hands that on whole; a
/// list that it cannot read in full changes nothing.
pub trait EndpointSource: Send + 'static {
    /// Follows the list for good.
    fn follow(self: Box<Self>, membership: EndpointPublisher) -> BoxFuture<'static, ()>;
}

/// What a source tells: first the table of entries, then the module.
#[derive(Clone)]
pub struct EndpointPublisher {
    endpoints: Arc<EndpointTable>,
    policy: Arc<PolicyHandle>,
}

impl EndpointPublisher {
    /// Over a table and the module.
    pub fn new(entries: Arc<EndpointTable>, decisions: Arc<PolicyHandle>) -> EndpointPublisher {
        EndpointPublisher { endpoints: entries, policy: decisions }
    }

    /// Tells the list that was known before the start; returns its version.
    pub fn publish_cached(&self, known: Option<&EndpointList>) -> Option<u64> {
        let told = known.and_then(|known| self.endpoints.apply(known)).unwrap_or_default();
        // Guards against a module that has heard nothing yet: before its first event it asks for no list.
        if known.is_some() || self.is_polled() {
            self.policy.update_endpoints(EndpointUpdateKind::Cached, &told);
        }
        known.map(|known| known.revision)
    }

    /// Takes a list into the table and returns its entries, or nothing where the table already holds
    /// something newer.
    pub fn apply(&self, list: &EndpointList) -> Option<Vec<Endpoint>> {
        self.endpoints.apply(list)
    }

    /// Tells the module of entries that the table took.
    pub fn publish(&self, complete: bool, entries: &[Endpoint]) {
        let kind = if complete { EndpointUpdateKind::Full } else { EndpointUpdateKind::Changes };
        self.policy.update_endpoints(kind, entries);
    }

    /// Another place is asked from now on, which may count its versions in another way.
    pub fn reset_revision(&self) {
        self.endpoints.reset_revision();
    }

    /// A call failed, or a subscription dropped.
    pub fn poll_failed(&self) {
        // Guards against an older word to ask, which came while a call was out already: it would pass for
        // the answer to this failure.
        let _ = self.subscription_requested().now_or_never();
        self.policy.update_endpoints(EndpointUpdateKind::Failed, &[]);
    }

    /// Whether the list is asked for only when the module wants it.
    pub fn is_polled(&self) -> bool {
        self.policy.polls_endpoints()
    }

    /// Waits until the module asks for the list.
    pub async fn subscription_requested(&self) {
        self.policy.subscription_requested().await;
    }
}
