//! One reporter's usage of one accounting window.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::apportionment::apportion;

/// The part of a window's reported work that counts, and the excess that does not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CountedWork {
    by_tenant: BTreeMap<Name, u64>,
    excess: u64,
}

/// One reporter's usage of one window, in slot-milliseconds. Its owner is the reporter's account.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WindowUsage {
    /// What the reporter's pool can do in a window: the most that counts.
    capacity: u64,
    /// Reported work by tenant; none of 0.
    reported: BTreeMap<Name, u64>,
    /// What counted when the window was last settled, if something was reported for it since.
    last_settled: Option<CountedWork>,
}

impl WindowUsage {
    pub(crate) fn new(capacity: u64) -> WindowUsage {
        WindowUsage { capacity, reported: BTreeMap::new(), last_settled: None }
    }

    /// What counts: the reported work, cut in proportion to the pool's capacity.
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

    /// Remembers what counted before the first change to a window that is closed.
    pub(crate) fn remember_settled(&mut self) {
        if self.last_settled.is_none() {
            self.last_settled = Some(self.counted_work());
        }
    }

    /// Changes a tenant's work by `update(work so far, work)`.
    pub(crate) fn update_work(&mut self, tenant: &Name, work: u64, update: fn(u64, u64) -> u64) {
        let total = self.reported.entry(tenant.clone()).or_default();
        *total = update(*total, work);
        if *total == 0 {
            self.reported.remove(tenant);
        }
    }

    /// Forgets what was last settled if nothing differs from it.
    pub(crate) fn forget_settled_if_unchanged(&mut self) {
        if self.last_settled.as_ref().is_some_and(|settled| *settled == self.counted_work()) {
            self.last_settled = None;
        }
    }

    /// Adds what changed since the window was last settled, and counts it as settled; whether anything was reported
    /// for it since.
    pub(crate) fn settle(&mut self, delta: &mut UsageDelta) -> bool {
        let Some(settled) = self.last_settled.take() else { return false };
        let counted = self.counted_work();
        delta.add(&counted);
        delta.subtract(&settled);
        true
    }

    /// Whether there is neither reported work nor anything to settle.
    pub(crate) fn is_empty(&self) -> bool {
        self.reported.is_empty() && self.last_settled.is_none()
    }
}

fn sum(work: &BTreeMap<Name, u64>) -> u64 {
    work.values().fold(0, |sum, &work| sum.saturating_add(work))
}

/// A change of what counts, in slot-milliseconds.
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

    /// The sum over all tenants of what counts.
    pub(crate) fn total_work(&self) -> u64 {
        self.work_by_tenant.values().map(|work| work.unsigned_abs()).sum()
    }
}
