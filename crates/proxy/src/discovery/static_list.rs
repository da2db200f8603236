//! Endpoint source whose list is part of the configuration.
use copperspread_settings::EndpointList;
use futures_util::future::BoxFuture;
use tokio::sync::watch;

use crate::discovery::{EndpointPublisher, EndpointSource};

/// Endpoint source for the last configured list.
///
/// The sender replaces the list when the configuration is reloaded, and increments its revision each time.
pub struct StaticEndpoints(pub watch::Receiver<EndpointList>);

impl EndpointSource for StaticEndpoints {
    fn follow(mut self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            // Only the policy's first list request is awaited. The policy requests a further list only after
            // a failure, and this source cannot fail.
            if publisher.is_polled() {
                publisher.list_requested().await;
            }
            loop {
                let list = self.0.borrow_and_update().clone();
                if let Some(endpoints) = publisher.apply(&list) {
                    publisher.publish(&list, &endpoints);
                }
                // The sender is dropped only when the process ends. The last list stays published until then.
                if self.0.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        })
    }
}
