//! Demands and debts of tenants, the input of an allocation.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Demand and debt of a tenant, from which its share is allocated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDemand {
    /// Share that the tenant would use, in parts per million of the fleet; a value above 1 000 000 counts as
    /// 1 000 000.
    pub demand: u32,
    /// Decayed usage above the tenant's entitlement, in parts per million of its entitlement over one
    /// half-life; a value above 1 000 000 counts as 1 000 000.
    pub debt: u32,
}

/// Demands and debts by tenant; a tenant that is not listed demands nothing and has no debt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantDemands(pub BTreeMap<Name, TenantDemand>);

impl TenantDemands {
    /// Demand and debt of a tenant; both are 0 if the tenant is not listed.
    pub(crate) fn for_tenant(&self, tenant: &Name) -> TenantDemand {
        self.0.get(tenant).copied().unwrap_or_default()
    }
}
