//! Endpoint source that publishes the endpoint list in the scheduler's own configuration.
use copperspread_settings::EndpointList;
use futures_util::future::BoxFuture;
use tokio::sync::watch;

use crate::discovery::{EndpointPublisher, EndpointSource};

/// Endpoint source that publishes the endpoint list of the last loaded configuration.
///
/// The sender at the other end of the channel replaces the list each time the configuration is reloaded, and
/// increments the list's revision.
pub struct StaticEndpoints(pub watch::Receiver<EndpointList>);

impl EndpointSource for StaticEndpoints {
    fn follow(mut self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            // Only the policy's first list request is waited for. The policy would request another list only
            // after a failure, and this source cannot fail.
            if publisher.is_polled() {
                publisher.list_requested().await;
            }
            loop {
                let list = self.0.borrow_and_update().clone();
                if let Some(endpoints) = publisher.apply(&list) {
                    publisher.publish(&list, &endpoints);
                }
                // `changed` fails only after the sender of the channel has been dropped, which happens when
                // the process ends. No further list can come then, but this future must never complete.
                if self.0.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        })
    }
}
