//! Demands of tenants, estimated from the usage in an accounting window.
use std::collections::BTreeMap;

use crate::allocation::entitlements;
use crate::demand::{TenantDemand, TenantDemands};
use crate::policy::FairSharePolicy;
use crate::{FULL_SHARE_PPM, Name};

/// Factor from measured usage to demand. A tenant that lent its share starts from the minimum demand, a
/// quarter of its entitlement. Using all of its share doubles the tenant's demand in each window, so that the
/// tenant regains its entitlement within two windows.
const DEMAND_FACTOR: u128 = 2;
/// A tenant's demand is at least its entitlement divided by this number, so that a new tenant has a share to
/// start with.
const MIN_DEMAND_DIVISOR: u32 = 4;

impl TenantDemands {
    /// Estimates the demands from measured usage.
    ///
    /// `work` is the work of each tenant in a window and `capacity` the capacity of the whole fleet in that
    /// window, both in slot-milliseconds; `debts` are the result of [`crate::Debts::relative_debts`]. The
    /// demand of a tenant is twice its usage, and at least a quarter of its entitlement. If the capacity is
    /// 0, each tenant demands that quarter.
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
