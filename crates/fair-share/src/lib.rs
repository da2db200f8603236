//! Weighted max-min fair shares of federated tenants, computed from usage reports that may arrive late,
//! twice, out of order or with gaps. The crate does no I/O and reads no clock: callers pass the current time.
//!
//! ```text
//!  UsageReport ─► UsageLedger::record ─► accounting windows, by event time
//!  accounting windows ─► UsageLedger::advance ─► ClosedWindow ─► Debts
//!  accounting windows ─► UsageLedger::provisional_usage ─► ProvisionalUsage
//!  ClosedWindow or ProvisionalUsage, Debts ─► TenantDemands::from_measured_usage ─► TenantDemands
//!  TenantDemands, FairSharePolicy, ReservedShares ─► allocate_shares ─► ShareTable
//! ```
//!
//! An incarnation of a reporter is one run of the reporter, from its start to its next start. The horizon is
//! how far before the first open window the interval of an accepted report may start. An adjustment is a
//! change of the work in a closed window, and is returned with a later window. The excess is the reported
//! work above the capacity of the reporter's pool, which is not counted as usage.
//!
//! 1. The serialized form of the ledger does not depend on the order or repetition of the reports between two
//!    calls of [`UsageLedger::advance`] or [`UsageLedger::enroll`]. For this reason the limits on sequence
//!    numbers and incarnations and the start of the horizon change only in `advance`. If they changed with
//!    each report, the order of the reports could decide which of them are accepted. Only the check that an
//!    interval is not in the future depends on the `now_ms` of each [`UsageLedger::record`].
//! 2. The work in windows, the adjustments and the excess add up to the work of the accepted reports, each
//!    counted once. Two kinds of accepted reports are left out of this sum. The first are reports in whose
//!    place a correction or another report with the same sequence number counts. The second are the reports
//!    of an incarnation that was discarded because its reporter has too many new incarnations.
//! 3. [`allocate_shares`] divides the fleet by weighted max-min, first among the federations and then among
//!    the tenants of each. Shares are in parts per million of the fleet.
//!
//! All arithmetic uses integers.
#![forbid(unsafe_code)]

mod allocation;
mod apportionment;
mod debt;
mod demand;
mod enrollment;
mod fairness_index;
mod incarnation_log;
mod ledger;
mod measured_demand;
mod policy;
mod reporter_account;
mod reservation;
mod settings;
mod share_table;
mod usage_entry;
mod usage_report;
mod validation;
mod water_filling;
mod window;
mod window_usage;

pub use allocation::{allocate_shares, entitlements};
pub use apportionment::apportion;
pub use copperspread_identifiers::{Name, NameError};
pub use debt::Debts;
pub use demand::{TenantDemand, TenantDemands};
pub use enrollment::{Enrollment, EnrollmentError, Reporter};
pub use fairness_index::jain_fairness_index;
pub use incarnation_log::SequenceGaps;
pub use ledger::{DiscardCounts, UsageLedger};
pub use policy::{FairSharePolicy, Federation, PolicyError, PolicyErrorKind, ShareConfig};
pub use reservation::ReservedShares;
pub use settings::{LedgerSettings, SettingsError};
pub use share_table::{ShareTable, TenantShare};
pub use usage_report::{ReportOutcome, ReportRejection, UsageReport};
pub use window::{ClosedWindow, ProvisionalUsage};

/// The share that is the whole fleet, in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
