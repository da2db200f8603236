//! Demands of tenants, estimated from their usage in an accounting window.
use std::collections::BTreeMap;

use crate::allocation::entitlements;
use crate::demand::{TenantDemand, TenantDemands};
use crate::policy::FairSharePolicy;
use crate::{FULL_SHARE_PPM, Name};

/// The factor from a tenant's measured usage to its demand. A tenant that has lent its share starts from the
/// minimum demand, a quarter of its entitlement. While it uses all of its share, its demand doubles in each
/// window. Therefore the tenant regains its entitlement within two windows.
const DEMAND_FACTOR: u128 = 2;
/// The divisor of the minimum demand: a tenant's demand is at least its entitlement divided by this number.
/// Without the minimum, a new tenant would get no share to start with.
const MIN_DEMAND_DIVISOR: u32 = 4;

impl TenantDemands {
    /// Estimates the demands of all tenants from their measured usage. The demand of a tenant is twice its
    /// usage, and at least a quarter of its entitlement. If the capacity is 0, each tenant demands that
    /// quarter.
    ///
    /// The usage of a tenant is its `work` as a share of `capacity`. `work` is the work of each tenant in an
    /// accounting window. `capacity` is the capacity of the whole fleet in that window. Both are in
    /// slot-milliseconds. `debts` is the result of [`crate::Debts::relative_debts`]; it is copied into the
    /// result and does not change the demands.
    pub fn from_measured_usage(
        policy: &FairSharePolicy,
        work: &BTreeMap<Name, u64>,
        capacity: u64,
        debts: &BTreeMap<Name, u32>,
    ) -> TenantDemands {
        let demands = entitlements(policy).into_iter().map(|(tenant, entitlement)| {
            let tenant_work = work.get(&tenant).copied().unwrap_or(0);
            let minimum = entitlement.div_ceil(MIN_DEMAND_DIVISOR);
            let demand = demand_ppm(tenant_work, capacity).max(minimum);
            let debt = debts.get(&tenant).copied().unwrap_or(0);
            (tenant, TenantDemand { demand, debt })
        });
        TenantDemands(demands.collect())
    }
}

fn demand_ppm(work: u64, capacity: u64) -> u32 {
    if capacity == 0 {
        return 0;
    }
    let ppm = u128::from(work) * DEMAND_FACTOR * u128::from(FULL_SHARE_PPM) / u128::from(capacity);
    ppm.min(FULL_SHARE_PPM.into()) as u32
}
