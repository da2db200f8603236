//! Reserved shares, which are subtracted from the fleet before it is divided.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::apportionment::apportion;
use crate::{FULL_SHARE_PPM, Name};

/// The reserved shares of tenants and federations, in parts per million of the fleet. They are allocated
/// before all other shares. The unused part of a reserved share is not lent to others. If the reservations
/// add up to more than 1 000 000, all are reduced in proportion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReservedShares {
    /// The reserved share of each tenant. If the policy does not list the tenant, the reservation is
    /// subtracted from the fleet, but gives the tenant no share.
    pub tenants: BTreeMap<Name, u32>,
    /// The reserved share of each federation. It is divided among those tenants of the federation that demand
    /// a share.
    pub federations: BTreeMap<Name, u32>,
}

impl ReservedShares {
    /// Returns the reserved shares of tenants and federations. If they add up to more than the whole fleet,
    /// they are reduced in proportion, until they add up to the whole fleet.
    pub(crate) fn limit_to_full_share(&self) -> ReservedShares {
        if self.parts().map(u64::from).sum::<u64>() <= FULL_SHARE_PPM.into() {
            return self.clone();
        }
        let weights: Vec<u128> = self.parts().map(u128::from).collect();
        let mut parts = apportion(FULL_SHARE_PPM.into(), &weights).into_iter().map(|part| part as u32);
        let mut take_parts = |reservations: &BTreeMap<Name, u32>| -> BTreeMap<Name, u32> {
            reservations.keys().cloned().zip(parts.by_ref()).collect()
        };
        let tenants = take_parts(&self.tenants);
        let federations = take_parts(&self.federations);
        ReservedShares { tenants, federations }
    }

    /// The sum of all reserved shares, in parts per million of the fleet. It must not exceed the whole fleet
    /// (see [`ReservedShares::limit_to_full_share`]).
    pub(crate) fn total(&self) -> u32 {
        self.parts().sum()
    }

    pub(crate) fn of_tenant(&self, tenant: &Name) -> u32 {
        self.tenants.get(tenant).copied().unwrap_or(0)
    }

    pub(crate) fn of_federation(&self, federation: &Name) -> u32 {
        self.federations.get(federation).copied().unwrap_or(0)
    }

    fn parts(&self) -> impl Iterator<Item = u32> {
        self.tenants.values().chain(self.federations.values()).copied()
    }
}
