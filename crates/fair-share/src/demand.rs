//! Demands and debts of tenants, from which their shares are allocated. A debt is a tenant's past usage above
//! its entitlement.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The demand and the debt of one tenant, from which the tenant's share is allocated. A debt is past usage
/// above the entitlement, the share that the tenant would get if all tenants demanded everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDemand {
    /// The share that the tenant would use if it could, in parts per million of the fleet. A value above 1
    /// 000 000 counts as 1 000 000.
    pub demand: u32,
    /// The tenant's usage above its entitlement, decayed with time. It is given in parts per million of the
    /// entitlement over one half-life. A value above 1 000 000 counts as 1 000 000.
    pub debt: u32,
}

/// The demand and the debt of each tenant. A tenant that is not listed demands nothing and has no debt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantDemands(pub BTreeMap<Name, TenantDemand>);

impl TenantDemands {
    /// The demand and the debt of a tenant. Both are 0 if the tenant is not listed.
    pub(crate) fn for_tenant(&self, tenant: &Name) -> TenantDemand {
        self.0.get(tenant).copied().unwrap_or_default()
    }
}
