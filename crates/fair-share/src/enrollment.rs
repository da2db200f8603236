//! Enrollment: the reporters that may report usage, and the tenants on whose usage they may report.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The maximum number of slots in a reporter's pool, which is the pool on whose usage the reporter reports.
/// With this limit and the limits of the settings, no sum of the ledger exceeds 64 bits.
const MAX_SLOTS: u32 = 1_000_000;
const MAX_REPORTERS: usize = 4_096;
const MAX_TENANTS: usize = 65_536;

/// A reporter of usage. It is a scheduler, or a partner that reports only on the tenants of one federation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reporter {
    /// The number of slots in the reporter's pool, from 0 to 1 000 000. It limits the work that the reporter
    /// may report.
    pub slots: u32,
    /// The only federation on whose tenants the reporter may report. `None` if it may report on the tenants
    /// of all federations.
    pub federation: Option<Name>,
}

/// The enrolled reporters and tenants. A usage report from another reporter or about another tenant is
/// rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Enrollment {
    /// The reporters that may report usage, by name; at most 4 096.
    pub reporters: BTreeMap<Name, Reporter>,
    /// The name of each tenant's federation, by the tenant's name; at most 65 536 tenants.
    pub tenants: BTreeMap<Name, Name>,
}

/// The error for an [`Enrollment`] with too many reporters, tenants or slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum EnrollmentError {
    /// The enrollment has more than 4 096 reporters.
    #[error("reporters: more than 4096")]
    TooManyReporters,
    /// The enrollment has more than 65 536 tenants.
    #[error("tenants: more than 65536")]
    TooManyTenants,
    /// The pool of an enrolled reporter has more than 1 000 000 slots.
    #[error("slots: more than 1000000")]
    TooManySlots,
}

impl Enrollment {
    pub(crate) fn validate(&self) -> Result<(), EnrollmentError> {
        if self.reporters.len() > MAX_REPORTERS {
            return Err(EnrollmentError::TooManyReporters);
        }
        if self.tenants.len() > MAX_TENANTS {
            return Err(EnrollmentError::TooManyTenants);
        }
        if self.reporters.values().any(|reporter| reporter.slots > MAX_SLOTS) {
            return Err(EnrollmentError::TooManySlots);
        }
        Ok(())
    }
}
