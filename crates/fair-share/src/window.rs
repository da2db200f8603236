//! Accounting windows, as the usage ledger returns them.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::window_usage::UsageDelta;

/// A closed accounting window. It never changes: usage that is reported for the window later becomes an
/// adjustment of a later window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClosedWindow {
    /// The index of the window. The window starts this many window lengths after the Unix epoch.
    #[serde(rename = "window")]
    pub index: i64,
    /// The work of each tenant in this window, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// The adjustments of each tenant's work in earlier windows, in slot-milliseconds. An adjustment is the
    /// change of that work, such as by late reports or corrections, since those windows were closed or last
    /// adjusted. It is negative if the work was reduced.
    pub adjustments: BTreeMap<Name, i64>,
    /// The excess of each reporter, in slot-milliseconds. It is the reported work above the capacity of the
    /// reporter's pool, which is not counted as usage.
    ///
    /// The value is the excess in this window, plus the changes of the excess in windows that closed earlier.
    /// Late reports and corrections cause such changes. They are added here because a closed window itself
    /// never changes. With such a change, the value may be negative.
    #[serde(rename = "cut")]
    pub excess: BTreeMap<Name, i64>,
    /// The enrolled reporters, dead ones included, that had not reported all their usage in this window when
    /// it closed.
    #[serde(rename = "without")]
    pub incomplete_reporters: BTreeSet<Name>,
}

impl ClosedWindow {
    /// Adds the usage that a reporter reported for this window.
    pub(crate) fn add_usage(&mut self, reporter: &Name, usage: UsageDelta) {
        for (tenant, work) in usage.work_by_tenant {
            *self.work.entry(tenant).or_default() += work.unsigned_abs();
        }
        *self.excess.entry(reporter.clone()).or_default() += usage.excess;
    }

    /// Adds the changes of a reporter's usage in windows that closed before this window. Changes of the
    /// tenants' work are added to this window's adjustments. Changes of the excess, the reported work above
    /// the capacity of the reporter's pool, are added to this window's excess.
    pub(crate) fn add_adjustments(&mut self, reporter: &Name, delta: UsageDelta) {
        for (tenant, work) in delta.work_by_tenant {
            *self.adjustments.entry(tenant).or_default() += work;
        }
        *self.excess.entry(reporter.clone()).or_default() += delta.excess;
    }

    /// Removes the adjustments that are 0 and the excesses that are 0. An adjustment is the change of a
    /// tenant's work in earlier windows. The excess of a reporter is the reported work above the capacity of
    /// its pool.
    pub(crate) fn remove_zeros(&mut self) {
        self.excess.retain(|_, excess| *excess != 0);
        self.adjustments.retain(|_, work| *work != 0);
    }
}

/// The usage that has been reported so far for one accounting window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProvisionalUsage {
    /// The work of each tenant that was reported so far, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// The maximum work that may still be reported for the window, in slot-milliseconds. It is the capacity
    /// of the pools whose reporters have not yet reported all their usage in the window, minus the work that
    /// these reporters have reported. Corrections, which are reports that replace earlier reports, are left
    /// out, although they may also change the work.
    #[serde(rename = "unknown")]
    pub max_outstanding: u64,
}
