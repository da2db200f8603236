//! What tenants demand of the fleet, and how much of it counts against them as debt.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The demand and the debt of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDemand {
    /// What it would use, in parts per million of the fleet; above 1 000 000 counts as that.
    pub demand: u32,
    /// What it used beyond its entitlement, in parts per million of its entitlement over one half-life; above
    /// 1 000 000 counts as that.
    pub debt: u32,
}

/// The demands by tenant; a tenant that is not listed demands nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantDemands(pub BTreeMap<Name, TenantDemand>);

impl TenantDemands {
    /// The demand of a tenant.
    pub(crate) fn of(&self, tenant: &Name) -> TenantDemand {
        self.0.get(tenant).copied().unwrap_or_default()
    }
}
