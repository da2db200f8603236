//! Enrollment: the reporters that may report usage, and the tenants that they may report on.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Maximum number of slots in a reporter's pool. With this limit and the limits of the settings, no sum
/// exceeds 64 bits.
const MAX_SLOTS: u32 = 1_000_000;
const MAX_REPORTERS: usize = 4_096;
const MAX_TENANTS: usize = 65_536;

/// Reporter of usage: a scheduler, or a partner that reports only on the tenants of one federation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reporter {
    /// Slots of the pool that the reporter reports on, from 0 to 1 000 000; they limit the work that the pool
    /// can do.
    pub slots: u32,
    /// The only federation on whose tenants the reporter may report; `None` allows all federations.
    pub federation: Option<Name>,
}

/// Enrolled reporters and tenants; reports from or about others are rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Enrollment {
    /// Reporters by name, at most 4 096.
    pub reporters: BTreeMap<Name, Reporter>,
    /// Federation of each tenant, at most 65 536 tenants.
    pub tenants: BTreeMap<Name, Name>,
}

/// Error for an enrollment that exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum EnrollmentError {
    /// There are more than 4 096 reporters.
    #[error("reporters: more than 4096")]
    TooManyReporters,
    /// There are more than 65 536 tenants.
    #[error("tenants: more than 65536")]
    TooManyTenants,
    /// A reporter has more than 1 000 000 slots.
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
