//! A worker list that the configuration holds, until the configuration is read again.
use copperspread_settings::List;
use futures_util::future::BoxFuture;
use tokio::sync::watch;

use crate::discovery::{Membership, Source};

/// The list as last configured. Its revision grows with each one; the sender counts.
pub struct Fixed(pub watch::Receiver<List>);

impl Source for Fixed {
    fn follow(mut self: Box<Self>, membership: Membership) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            // Once: a subscription lasts, as nothing can fail here.
            if membership.on_request() {
                membership.subscription().await;
            }
            loop {
                let list = self.0.borrow_and_update().clone();
                if let Some(told) = membership.take(&list) {
                    membership.tell(list.complete, &told);
                }
                // The sender goes with the program; the list then stays.
                if self.0.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        })
    }
}
