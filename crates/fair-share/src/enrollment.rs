//! Who may report, and on which tenants.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Most slots of one reporter's pool; with it, and the bounds of the settings, no sum exceeds 64 bits.
const MAX_SLOTS: u32 = 1_000_000;
const MAX_REPORTERS: usize = 4_096;
const MAX_TENANTS: usize = 65_536;

/// A scheduler, or a federation's partner, that may report usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reporter {
    /// Slots of the pool it reports on, from 0 to 1 000 000: the pool can do no more work than these allow.
    pub slots: u32,
    /// The only federation on whose tenants it may report; all if there is none.
    pub federation: Option<Name>,
}

/// The enrolled reporters and tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Enrollment {
    /// The reporters, at most 4 096.
    pub reporters: BTreeMap<Name, Reporter>,
    /// The tenants, each with its federation, at most 65 536.
    pub tenants: BTreeMap<Name, Name>,
}

/// An enrollment that is out of its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum EnrollmentError {
    /// More than 4 096 reporters.
    #[error("reporters: more than 4096")]
    TooManyReporters,
    /// More than 65 536 tenants.
    #[error("tenants: more than 65536")]
    TooManyTenants,
    /// A reporter with more than 1 000 000 slots.
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
