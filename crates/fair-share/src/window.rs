//! What a ledger says of an accounting window.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::window_usage::UsageDelta;

/// An accounting window that is closed. It never changes; usage that arrives later is an adjustment of a later window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClosedWindow {
    /// Its number: it starts this many window lengths after the Unix epoch.
    #[serde(rename = "window")]
    pub index: i64,
    /// Each tenant's work in it, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// Work of earlier windows that is settled with it, by tenant, in slot-milliseconds; negative where a correction
    /// took some back.
    pub adjustments: BTreeMap<Name, i64>,
    /// By reporter, the work reported above what its pool can do in a window, which does not count; negative where
    /// the excess of an earlier window became less.
    #[serde(rename = "cut")]
    pub excess: BTreeMap<Name, i64>,
    /// The reporters that had not reported all of it, dead ones among them.
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

    /// Adds what changed of a reporter's usage of earlier windows.
    pub(crate) fn add_adjustments(&mut self, reporter: &Name, delta: UsageDelta) {
        for (tenant, work) in delta.work_by_tenant {
            *self.adjustments.entry(tenant).or_default() += work;
        }
        *self.excess.entry(reporter.clone()).or_default() += delta.excess;
    }

    /// Drops adjustments and excesses that add up to nothing.
    pub(crate) fn remove_zeros(&mut self) {
        self.excess.retain(|_, excess| *excess != 0);
        self.adjustments.retain(|_, work| *work != 0);
    }
}

/// What is known of a window so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProvisionalUsage {
    /// Each tenant's work in it as reported so far, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// The most work that may still be reported without a correction, in slot-milliseconds: the capacity of the pools
    /// whose reporters are incomplete, less what these reported.
    #[serde(rename = "unknown")]
    pub max_outstanding: u64,
}
