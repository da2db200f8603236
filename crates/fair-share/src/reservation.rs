//! Shares that are reserved, and so not divided.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::apportionment::apportion;
use crate::{FULL_SHARE_PPM, Name};

/// What is reserved and not lent, in parts per million of the fleet. It is allocated before everything else.
/// Reservations that add up to more than 1 000 000 are cut in proportion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReservedShares {
    /// By tenant. The reservation of a tenant that the policy does not list is subtracted, but gives it no share.
    pub tenants: BTreeMap<Name, u32>,
    /// By federation, for those of its tenants that demand it.
    pub federations: BTreeMap<Name, u32>,
}

impl ReservedShares {
    /// The reservations, cut in proportion if they add up to more than the whole.
    pub(crate) fn cut_to_full_share(&self) -> ReservedShares {
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

    /// The sum of all reservations, which must have been cut to the whole.
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
