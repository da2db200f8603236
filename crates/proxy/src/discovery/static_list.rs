//! An endpoint list that the configuration holds, until the configuration is read again.
use copperspread_settings::EndpointList;
use futures_util::future::BoxFuture;
use tokio::sync::watch;

use crate::discovery::{EndpointPublisher, EndpointSource};

/// The list as last configured. Its revision grows with each one; the sender counts.
pub struct StaticEndpoints(pub watch::Receiver<EndpointList>);

impl EndpointSource for StaticEndpoints {
    fn follow(mut self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            // Once: a subscription lasts, as nothing can fail here.
            if publisher.is_polled() {
                publisher.subscription_requested().await;
            }
            loop {
                let list = self.0.borrow_and_update().clone();
                if let Some(endpoints) = publisher.apply(&list) {
                    publisher.publish(&list, &endpoints);
                }
                // The sender is dropped with the program; the list then stays.
                if self.0.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        })
    }
}
