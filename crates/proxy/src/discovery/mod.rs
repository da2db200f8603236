//! The door to what knows the real servers.
use std::sync::Arc;

use copperspread_dispatcher::{RosterKind, WorkerEntry};
use copperspread_settings::List;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::endpoints::ServiceEntries;
use crate::policy_handle::Decisions;

pub mod platform;
pub mod static_list;

/// Where a worker list comes from. It turns its own form into a [`List`] and hands that on whole; a
/// list that it cannot read in full changes nothing.
pub trait Source: Send + 'static {
    /// Follows the list for good.
    fn follow(self: Box<Self>, membership: Membership) -> BoxFuture<'static, ()>;
}

/// What a source tells: first the table of entries, then the module.
#[derive(Clone)]
pub struct Membership {
    entries: Arc<ServiceEntries>,
    decisions: Arc<Decisions>,
}

impl Membership {
    /// Over a table and the module.
    pub fn new(entries: Arc<ServiceEntries>, decisions: Arc<Decisions>) -> Membership {
        Membership { entries, decisions }
    }

    /// Tells the list that was known before the start; returns its version.
    pub fn remember(&self, known: Option<&List>) -> Option<u64> {
        let told = known.and_then(|known| self.entries.take(known)).unwrap_or_default();
        // Guards against a module that has heard nothing yet: before its first event it asks for no list.
        if known.is_some() || self.on_request() {
            self.decisions.roster(RosterKind::Remembered, &told);
        }
        known.map(|known| known.revision)
    }

    /// Takes a list into the table and returns its entries, or nothing where the table already holds
    /// something newer.
    pub fn take(&self, list: &List) -> Option<Vec<WorkerEntry>> {
        self.entries.take(list)
    }

    /// Tells the module of entries that the table took.
    pub fn tell(&self, complete: bool, entries: &[WorkerEntry]) {
        let kind = if complete { RosterKind::Full } else { RosterKind::Changes };
        self.decisions.roster(kind, entries);
    }

    /// Another place is asked from now on, which may count its versions in another way.
    pub fn count_anew(&self) {
        self.entries.count_anew();
    }

    /// A call failed, or a subscription dropped.
    pub fn failed(&self) {
        // Guards against an older word to ask, which came while a call was out already: it would pass for
        // the answer to this failure.
        let _ = self.subscription().now_or_never();
        self.decisions.roster(RosterKind::Failed, &[]);
    }

    /// Whether the list is asked for only when the module wants it.
    pub fn on_request(&self) -> bool {
        self.decisions.on_request()
    }

    /// Waits until the module asks for the list.
    pub async fn subscription(&self) {
        self.decisions.subscription().await;
    }
}
