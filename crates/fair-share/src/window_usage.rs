//! The usage that one reporter reported for one accounting window.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::apportionment::apportion;

/// The reported work of one window, in slot-milliseconds. It is divided into the work up to the capacity of
/// the reporter's pool, which is counted as usage, and the excess above that capacity, which is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CountedWork {
    by_tenant: BTreeMap<Name, u64>,
    excess: u64,
}

/// The usage that one reporter reported for one accounting window, in slot-milliseconds. It belongs to the
/// account of the reporter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WindowUsage {
    /// The capacity of the reporter's pool in one window, in slot-milliseconds. Reported work above this
    /// capacity is excess and is not counted as usage.
    capacity: u64,
    /// The reported work of each tenant. A tenant whose work is 0 has no entry.
    reported: BTreeMap<Name, u64>,
    /// The counted work ([`WindowUsage::counted_work`]) that the ledger last returned for this closed window.
    /// It is saved before a report changes the window, so that the ledger can later return the difference as
    /// an adjustment of a later window. `None` if the window is open, or if there is no change to return.
    last_settled: Option<CountedWork>,
}

impl WindowUsage {
    pub(crate) fn new(capacity: u64) -> WindowUsage {
        WindowUsage { capacity, reported: BTreeMap::new(), last_settled: None }
    }

    /// Returns the counted work of the window. It is the reported work, reduced in proportion if it exceeds
    /// the capacity of the reporter's pool.
    pub(crate) fn counted_work(&self) -> CountedWork {
        let total = sum(&self.reported);
        if total <= self.capacity {
            return CountedWork { by_tenant: self.reported.clone(), excess: 0 };
        }
        let weights: Vec<u128> = self.reported.values().map(|&work| work.into()).collect();
        let parts = apportion(self.capacity, &weights);
        let by_tenant: BTreeMap<Name, u64> =
            self.reported.keys().cloned().zip(parts).filter(|(_, work)| *work > 0).collect();
        let excess = total.saturating_sub(sum(&by_tenant));
        CountedWork { by_tenant, excess }
    }

    /// Saves the counted work ([`WindowUsage::counted_work`]) of a closed window before reports change it.
    /// The ledger has returned this work already, and later returns only the difference to it. Does nothing
    /// if work is already saved, because the difference is then counted from that earlier work. Must be
    /// called before each change of a closed window.
    pub(crate) fn save_settled_work(&mut self) {
        if self.last_settled.is_none() {
            self.last_settled = Some(self.counted_work());
        }
    }

    /// Replaces the reported work of a tenant by `update(reported, work)`, where `reported` is the work that
    /// was reported before. If the result is 0, the tenant is removed.
    pub(crate) fn update_work(&mut self, tenant: &Name, work: u64, update: fn(u64, u64) -> u64) {
        let total = self.reported.entry(tenant.clone()).or_default();
        *total = update(*total, work);
        if *total == 0 {
            self.reported.remove(tenant);
        }
    }

    /// Forgets the work that [`WindowUsage::save_settled_work`] saved if the current counted work
    /// ([`WindowUsage::counted_work`]) equals it. The ledger then has no change of this window to add to a
    /// later window as an adjustment.
    pub(crate) fn clear_settled_work_if_unchanged(&mut self) {
        if self.last_settled.as_ref().is_some_and(|settled| *settled == self.counted_work()) {
            self.last_settled = None;
        }
    }

    /// Adds to `delta` the difference between the current counted work and the work that
    /// [`WindowUsage::save_settled_work`] saved, and forgets the saved work. Returns `false` and adds nothing
    /// if no work was saved.
    pub(crate) fn settle(&mut self, delta: &mut UsageDelta) -> bool {
        let Some(settled) = self.last_settled.take() else { return false };
        let counted = self.counted_work();
        delta.add(&counted);
        delta.subtract(&settled);
        true
    }

    /// Whether the window has neither reported work nor a change that is still to be reported as an
    /// adjustment.
    pub(crate) fn is_empty(&self) -> bool {
        self.reported.is_empty() && self.last_settled.is_none()
    }
}

fn sum(work: &BTreeMap<Name, u64>) -> u64 {
    work.values().fold(0, |sum, &work| sum.saturating_add(work))
}

/// A change of a reporter's usage, in slot-milliseconds. The usage consists of the work up to the capacity of
/// the reporter's pool, by tenant, and the excess above that capacity. The whole usage of a window is
/// represented as the change from no usage; no value is negative in that case.
#[derive(Debug, Default)]
pub(crate) struct UsageDelta {
    pub(crate) work_by_tenant: BTreeMap<Name, i64>,
    pub(crate) excess: i64,
}

impl UsageDelta {
    pub(crate) fn add(&mut self, counted: &CountedWork) {
        self.add_signed(counted, 1);
    }

    fn subtract(&mut self, counted: &CountedWork) {
        self.add_signed(counted, -1);
    }

    fn add_signed(&mut self, counted: &CountedWork, sign: i64) {
        for (tenant, &work) in &counted.by_tenant {
            *self.work_by_tenant.entry(tenant.clone()).or_default() += sign * work as i64;
        }
        self.excess += sign * counted.excess as i64;
    }

    pub(crate) fn is_zero(&self) -> bool {
        self.work_by_tenant.is_empty() && self.excess == 0
    }

    /// The sum of the work of all tenants, in slot-milliseconds. The work of each tenant must not be
    /// negative.
    pub(crate) fn total_work(&self) -> u64 {
        self.work_by_tenant.values().map(|work| work.unsigned_abs()).sum()
    }
}
