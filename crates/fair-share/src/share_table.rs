//! The result of an allocation.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// What a tenant may use, in parts per million of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantShare {
    /// All that it may use.
    pub share: u32,
    /// The part of the share that is its own reservation.
    pub reserved: u32,
    /// Its share beside reservations if all demanded everything and none had a debt.
    #[serde(rename = "entitled")]
    pub entitlement: u32,
    /// The part of its guarantee that it does not demand, and that is lent to others until it does.
    pub lent: u32,
    /// What it has above its entitlement and its reservation, until others demand it.
    pub borrowed: u32,
}

/// The shares of all tenants and federations, in parts per million of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareTable {
    /// By tenant.
    pub tenants: BTreeMap<Name, TenantShare>,
    /// By federation: the shares of its tenants, and the part of its own reservation that none of them demands.
    pub federations: BTreeMap<Name, u32>,
    /// What is reserved for tenants and federations that the policy does not list.
    #[serde(rename = "elsewhere")]
    pub reserved_elsewhere: u32,
    /// What no tenant demands. With `federations` and `reserved_elsewhere` it adds up to 1 000 000.
    #[serde(rename = "spare")]
    pub unallocated: u32,
    /// Whether the reservations leave less than the guarantees need, so that those were cut in proportion.
    #[serde(rename = "short")]
    pub has_reduced_guarantees: bool,
}
