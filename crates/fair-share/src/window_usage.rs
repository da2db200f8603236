//! Usage that one reporter reported for one accounting window.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::apportionment::apportion;

/// Reported work of a window, divided into the work that counts and the excess, which does not; in
/// slot-milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CountedWork {
    by_tenant: BTreeMap<Name, u64>,
    excess: u64,
}

/// Usage that one reporter reported for one window, in slot-milliseconds; it belongs to the account of the
/// reporter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WindowUsage {
    /// Capacity of the reporter's pool in a window, the maximum work that counts.
    capacity: u64,
    /// Reported work by tenant, without entries of 0.
    reported: BTreeMap<Name, u64>,
    /// Work that counted when the window was last settled; `None` if the window is open or has not changed
    /// since.
    last_settled: Option<CountedWork>,
}

impl WindowUsage {
    pub(crate) fn new(capacity: u64) -> WindowUsage {
        WindowUsage { capacity, reported: BTreeMap::new(), last_settled: None }
    }

    /// Returns the work that counts: the reported work, reduced in proportion if it exceeds the capacity.
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

    /// Saves the work that counts now, before the first change to a closed window since it was last settled.
    pub(crate) fn save_settled_work(&mut self) {
        if self.last_settled.is_none() {
            self.last_settled = Some(self.counted_work());
        }
    }

    /// Sets the work of a tenant to `update(previous work, work)`.
    pub(crate) fn update_work(&mut self, tenant: &Name, work: u64, update: fn(u64, u64) -> u64) {
        let total = self.reported.entry(tenant.clone()).or_default();
        *total = update(*total, work);
        if *total == 0 {
            self.reported.remove(tenant);
        }
    }

    /// Clears the work that was last settled if the work that counts now is equal to it.
    pub(crate) fn clear_settled_work_if_unchanged(&mut self) {
        if self.last_settled.as_ref().is_some_and(|settled| *settled == self.counted_work()) {
            self.last_settled = None;
        }
    }

    /// Adds the change since the window was last settled to `delta`, and marks the window as settled. Returns
    /// whether the window had changed since then.
    pub(crate) fn settle(&mut self, delta: &mut UsageDelta) -> bool {
        let Some(settled) = self.last_settled.take() else { return false };
        let counted = self.counted_work();
        delta.add(&counted);
        delta.subtract(&settled);
        true
    }

    /// Whether there is neither reported work nor a change to settle.
    pub(crate) fn is_empty(&self) -> bool {
        self.reported.is_empty() && self.last_settled.is_none()
    }
}

fn sum(work: &BTreeMap<Name, u64>) -> u64 {
    work.values().fold(0, |sum, &work| sum.saturating_add(work))
}

/// Change of the work that counts and of the excess, in slot-milliseconds. It also represents the whole usage
/// of a window, as the change from no usage; then nothing is negative.
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

    /// Sum of the work of all tenants, in slot-milliseconds; no work may be negative.
    pub(crate) fn total_work(&self) -> u64 {
        self.work_by_tenant.values().map(|work| work.unsigned_abs()).sum()
    }
}
