//! The share table, which is the result of an allocation of shares.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The allocated share of a tenant, in parts per million of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantShare {
    /// The total share that the tenant may use, including its own reservation.
    pub share: u32,
    /// The part of the tenant's share that is its own reservation.
    pub reserved: u32,
    /// The share, excluding the tenant's own reservation, that the tenant would have if all tenants demanded
    /// everything and none had a debt. All reservations are subtracted from the fleet before this share is
    /// computed. [`crate::entitlements`], in contrast, assumes that there are no reservations.
    #[serde(rename = "entitled")]
    pub entitlement: u32,
    /// The part of the tenant's guarantee that the tenant does not demand. It is lent to other tenants until
    /// the tenant demands it. The part is computed as the guarantee minus the share. If
    /// [`ShareTable::has_reduced_guarantees`] is set, the value is 0, because the share may then be below the
    /// guarantee even though the tenant demands more.
    pub lent: u32,
    /// The part by which the tenant's share, without the tenant's own reservation, exceeds its entitlement.
    /// The tenant has this part until others demand it.
    pub borrowed: u32,
}

/// The shares of all tenants and federations, in parts per million of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareTable {
    /// The shares of all tenants of the policy, by the tenant's name.
    pub tenants: BTreeMap<Name, TenantShare>,
    /// The share of each federation, by the federation's name. It is the sum of its tenants' shares, plus the
    /// part of the federation's own reservation that none of its tenants demands.
    pub federations: BTreeMap<Name, u32>,
    /// The sum of the reservations of those tenants and federations that the policy does not list.
    #[serde(rename = "elsewhere")]
    pub reserved_elsewhere: u32,
    /// The share of the fleet that nobody gets, because all demands are met up to the ceilings of tenants and
    /// federations. This share, `reserved_elsewhere` and the shares in `federations` add up to 1 000 000.
    #[serde(rename = "spare")]
    pub unallocated: u32,
    /// Whether the reservations leave too little of the fleet for the demanded parts of all guarantees. If
    /// so, the guarantees are reduced in proportion.
    #[serde(rename = "short")]
    pub has_reduced_guarantees: bool,
}
