//! Accounting windows as the usage ledger returns them.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::window_usage::UsageDelta;

/// Closed accounting window. A closed window never changes: usage that is reported for it later becomes an
/// adjustment of a later window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClosedWindow {
    /// Index of the window, which starts this many window lengths after the Unix epoch.
    #[serde(rename = "window")]
    pub index: i64,
    /// Work by tenant in this window, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// Adjustments by tenant, in slot-milliseconds: changes of the work in earlier windows, such as by late
    /// reports or corrections, since these windows were closed or last adjusted. Negative if the work was
    /// reduced.
    pub adjustments: BTreeMap<Name, i64>,
    /// Excess by reporter, in slot-milliseconds: the work reported for this window above the capacity of the
    /// reporter's pool, which is not counted as usage. Later changes of the excess of earlier windows are
    /// added, so that the value may be negative.
    #[serde(rename = "cut")]
    pub excess: BTreeMap<Name, i64>,
    /// Reporters, dead ones included, that had not reported all usage of this window when it closed.
    #[serde(rename = "without")]
    pub incomplete_reporters: BTreeSet<Name>,
}

impl ClosedWindow {
    /// Adds a reporter's usage of this window.
    pub(crate) fn add_usage(&mut self, reporter: &Name, usage: UsageDelta) {
        for (tenant, work) in usage.work_by_tenant {
            *self.work.entry(tenant).or_default() += work.unsigned_abs();
        }
        *self.excess.entry(reporter.clone()).or_default() += usage.excess;
    }

    /// Adds the change of a reporter's usage of earlier windows.
    pub(crate) fn add_adjustments(&mut self, reporter: &Name, delta: UsageDelta) {
        for (tenant, work) in delta.work_by_tenant {
            *self.adjustments.entry(tenant).or_default() += work;
        }
        *self.excess.entry(reporter.clone()).or_default() += delta.excess;
    }

    /// Removes the tenants whose adjustment is 0 and the reporters whose excess is 0.
    pub(crate) fn remove_zeros(&mut self) {
        self.excess.retain(|_, excess| *excess != 0);
        self.adjustments.retain(|_, work| *work != 0);
    }
}

/// Usage that has been reported so far for one accounting window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProvisionalUsage {
    /// Work by tenant that was reported so far, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// Maximum work that may still be reported without a correction, in slot-milliseconds: the capacity of
    /// the pools whose reporters have not reported all usage of the window, minus the work that these
    /// reporters have reported.
    #[serde(rename = "unknown")]
    pub max_outstanding: u64,
}
