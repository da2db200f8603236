//! Fair shares of federated tenants from usage reports that come late, twice, out of order and with gaps, with no
//! I/O and no clock: time is an argument.
//!
//! ```text
//!  report ──► Ledger::take ──► windows by event time ──► Ledger::advance ──► Closed ──► Debts
//!                                      │                                       │          │
//!                                      └──► Ledger::provisional ──► Usage::measured ◄─────┘
//!                                                                      │
//!                              Agreement, Reserved ──► table() ◄───────┘  ──► Table
//! ```
//!
//! 1. The ledger is a function of the *set* of reports that came between two calls of [`Ledger::advance`]: any order
//!    and any repetition leaves the same bytes. What bounds it (sequences, generations, event time) moves in
//!    `advance` alone.
//! 2. What it counted is the sum of what it accepted: windows, adjustments and what was cut add up.
//! 3. [`table()`] is weighted max-min over federations and then over their tenants, in whole parts in a million.
//!
//! Nothing here is a float.
#![forbid(unsafe_code)]

mod account;
mod agreement;
mod debt;
mod fill;
mod ledger;
mod report;
mod table;

pub use agreement::{FairSharePolicy, Federation, PolicyError, PolicyErrorKind, ShareConfig};
pub use copperspread_identifiers::{Name, NameError};
pub use debt::Debts;
pub use fill::{apportion, jain_fairness_index};
pub use ledger::{ClosedWindow, DiscardCounts, ProvisionalUsage, SequenceGaps, UsageLedger};
pub use report::{
    Enrollment, LedgerSettings, ReportOutcome, ReportRejection, Reporter, UsageReport, WrongBounds,
};
pub use table::{
    ReservedShares, ShareTable, TenantDemand, TenantDemands, TenantShare, allocate_shares, entitlements,
};

/// Shares are parts in so many.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
