//! Discovery of workers: the trait [`EndpointSource`], two implementations of the trait, and the publisher
//! that applies their endpoint lists.
use std::sync::Arc;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind};
use copperspread_settings::EndpointList;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::endpoints::{EndpointTable, ListOrigin};
use crate::memory::MemoryBudget;
use crate::policy_handle::PolicyHandle;

pub mod platform;
pub mod static_list;

/// A source of endpoint lists, which name the workers and their addresses.
///
/// An implementation converts the lists from their own format into [`EndpointList`]s. Each list is applied as
/// a whole or not at all: a list with a part that cannot be parsed changes nothing.
pub trait EndpointSource: Send + 'static {
    /// Returns a future that publishes endpoint lists through `publisher`. The future never completes.
    ///
    /// The caller spawns the future as a task, which ends when the runtime shuts down.
    fn follow(self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()>;
}

/// A publisher of endpoint lists. The publisher applies each list to the endpoint table, and notifies the
/// dispatch policy of the endpoints in the list.
#[derive(Clone)]
pub struct EndpointPublisher {
    endpoints: Arc<EndpointTable>,
    policy: Arc<PolicyHandle>,
    memory: Arc<MemoryBudget>,
}

impl EndpointPublisher {
    /// Creates a publisher that updates `endpoints` and notifies `policy`. Its memory is not limited.
    pub fn new(endpoints: Arc<EndpointTable>, policy: Arc<PolicyHandle>) -> EndpointPublisher {
        EndpointPublisher { endpoints, policy, memory: MemoryBudget::unlimited() }
    }

    /// Returns a publisher whose lists take their memory from `memory`.
    pub fn with_memory(self, memory: Arc<MemoryBudget>) -> EndpointPublisher {
        EndpointPublisher { memory, ..self }
    }

    /// Returns the memory from which endpoint lists take their part.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Applies a list to the endpoint table, and records the number of workers that are known then.
    fn apply_from(&self, list: &EndpointList, origin: ListOrigin) -> Option<Vec<Endpoint>> {
        let endpoints = self.endpoints.apply(list, origin, self.policy.read_clocks());
        self.memory.set_known_workers(self.endpoints.known_workers());
        endpoints
    }

    /// Publishes the endpoint list that was cached before the process started, and returns the revision of
    /// that list.
    ///
    /// Returns `None` if there is no cached list. If lists are polled (see [`EndpointPublisher::is_polled`]),
    /// this method then notifies the policy of an update without endpoints. This update starts the policy,
    /// which then requests its first list from discovery.
    pub fn publish_cached(&self, cached: Option<&EndpointList>) -> Option<u64> {
        let apply = |list| self.apply_from(list, ListOrigin::Cache);
        let endpoints = cached.and_then(apply).unwrap_or_default();
        // The policy starts at its first event. If lists are polled, no list is fetched from discovery before
        // the policy has started and requested a list. Without a cached list, this method therefore notifies
        // the policy of an update without endpoints, which is the policy's first event.
        if cached.is_some() || self.is_polled() {
            self.policy.update_endpoints(EndpointUpdateKind::Cached, &endpoints);
        }
        cached.map(|list| list.revision)
    }

    /// Applies a list from discovery to the endpoint table, and returns the list's endpoints. The policy is
    /// not notified.
    ///
    /// Returns `None`, and applies nothing, if the table already has a newer revision.
    pub fn apply(&self, list: &EndpointList) -> Option<Vec<Endpoint>> {
        self.apply_from(list, ListOrigin::Discovery)
    }

    /// Notifies the policy of `endpoints`, which [`EndpointPublisher::apply`] has returned for `list`.
    pub fn publish(&self, list: &EndpointList, endpoints: &[Endpoint]) {
        let kind = if list.complete { EndpointUpdateKind::Full } else { EndpointUpdateKind::Changes };
        self.policy.update_endpoints(kind, endpoints);
    }

    /// Makes the endpoint table forget the revision of the last list and the time of discovery's last answer.
    ///
    /// Called when the address of discovery changes. The service at the new address has its own revisions,
    /// which cannot be compared with those of the previous service.
    pub fn reset_revision(&self) {
        self.endpoints.reset_revision();
    }

    /// Notifies the policy that discovery gave no endpoint list, because a call to discovery failed.
    pub fn poll_failed(&self) {
        // The policy may already have requested a list while the failed call was in flight. This request is
        // discarded. Otherwise it would be mistaken for the policy's reaction to the failure, and the next
        // call would be made at once.
        let _ = self.list_requested().now_or_never();
        self.policy.update_endpoints(EndpointUpdateKind::Failed, &[]);
    }

    /// Returns whether endpoint lists are polled, which means that the endpoint source waits until the policy
    /// requests a list. Otherwise lists are pushed: the source publishes all lists without a request.
    ///
    /// If lists are polled, the policy makes one request at its start, and another each time it is notified
    /// by [`EndpointPublisher::poll_failed`]. After a request has been answered by a list, the source
    /// publishes later changes without a request, until it notifies the policy of a failure.
    pub fn is_polled(&self) -> bool {
        self.policy.polls_endpoints()
    }

    /// Waits until the policy requests an endpoint list.
    pub async fn list_requested(&self) {
        self.policy.list_requested().await;
    }
}
