//! Share table, the result of an allocation.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Allocated share of a tenant, in parts per million of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantShare {
    /// Total share that the tenant may use.
    pub share: u32,
    /// Part of the share that is the tenant's own reservation.
    pub reserved: u32,
    /// Share, excluding the tenant's own reservation, that the tenant would have if all tenants demanded
    /// everything and none had a debt. Reservations are subtracted from the fleet before this share is
    /// computed, whereas [`crate::entitlements`] assumes that there are no reservations.
    #[serde(rename = "entitled")]
    pub entitlement: u32,
    /// Part of the tenant's guarantee that the tenant does not demand and that is lent to other tenants until
    /// the tenant demands that part; 0 if the guarantees are reduced.
    pub lent: u32,
    /// Part of the share that exceeds the tenant's entitlement and reservation. The tenant has this part
    /// until others demand it.
    pub borrowed: u32,
}

/// Shares of all tenants and federations, in parts per million of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareTable {
    /// Shares of all tenants of the policy, by tenant.
    pub tenants: BTreeMap<Name, TenantShare>,
    /// Shares by federation. The share of a federation is the sum of its tenants' shares, plus the part of
    /// the federation's own reservation that none of its tenants demands.
    pub federations: BTreeMap<Name, u32>,
    /// Sum of the reservations of tenants and federations that the policy does not list.
    #[serde(rename = "elsewhere")]
    pub reserved_elsewhere: u32,
    /// Share of the fleet that is allocated to no one, because all demands are met up to the ceilings of
    /// tenants and federations. Together with `federations` and `reserved_elsewhere`, this share adds up to
    /// 1 000 000.
    #[serde(rename = "spare")]
    pub unallocated: u32,
    /// Whether the reservations leave too little of the fleet for the demanded parts of all guarantees. The
    /// guarantees are then reduced in proportion.
    #[serde(rename = "short")]
    pub has_reduced_guarantees: bool,
}
