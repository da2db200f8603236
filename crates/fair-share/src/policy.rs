//! The fair-share policy, which sets the weights, guarantees and ceilings of tenants and of federations. A
//! federation is a group of tenants.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{FULL_SHARE_PPM, Name};

/// The maximum number of tenants in a policy, and also the maximum number of federations.
const MAX_PARTIES: usize = 65_536;

/// The configured share of a tenant or a federation, which is a group of tenants. Guarantee and ceiling are
/// in parts per million of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareConfig {
    /// The weight of the tenant or federation; from 1 to 1 000 000. Federations share the fleet, and the
    /// tenants of a federation share its part, in proportion to weight when all demand more than they get.
    pub weight: u32,
    /// The share that the tenant or federation gets whenever it demands that much. The share is smaller only
    /// if reservations leave too little of the fleet for all guarantees (see
    /// [`crate::ShareTable::has_reduced_guarantees`]).
    pub guarantee: u32,
    /// The maximum share of the tenant or federation, in parts per million of the fleet; from `guarantee` to
    /// 1 000 000. A larger reservation of the tenant or federation takes precedence over the ceiling. In a
    /// federation, the guarantees of its tenants, as far as the tenants demand them, also take precedence
    /// over the federation's ceiling.
    pub ceiling: u32,
}

/// A federation, which is a group of tenants with a common share of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Federation {
    /// The configured share of all tenants of the federation together.
    #[serde(rename = "terms")]
    pub share_config: ShareConfig,
    /// The configured share of each tenant in the federation, by the tenant's name.
    pub tenants: BTreeMap<Name, ShareConfig>,
}

/// The fair-share policy: all federations by name. A federation is a group of tenants. The creation of a
/// policy fails if the shares that it guarantees to federations and tenants could not all be given at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "BTreeMap<Name, Federation>", into = "BTreeMap<Name, Federation>")]
pub struct FairSharePolicy(BTreeMap<Name, Federation>);

/// The rules that an invalid fair-share policy may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PolicyErrorKind {
    /// The weight of a tenant or federation is not from 1 to 1 000 000.
    #[error("weight: must be from 1 to 1000000")]
    InvalidWeight,
    /// The guarantee of a tenant or federation exceeds its ceiling, or the ceiling exceeds the whole fleet,
    /// which is 1 000 000 parts per million.
    #[error("ceiling: must be from the guarantee to 1000000")]
    InvalidCeiling,
    /// The guarantees of a federation's tenants add up to more than the guarantee of the federation. Or the
    /// guarantees of all federations add up to more than the whole fleet, which is 1 000 000 parts per
    /// million.
    #[error("guarantee: tenants' exceed their federation's, or all federations' exceed 1000000")]
    GuaranteesExceedParent,
    /// A tenant is listed in two federations.
    #[error("tenants: listed in two federations")]
    DuplicateTenant,
    /// The policy has more than 65 536 tenants or more than 65 536 federations.
    #[error("tenants: more than 65536 tenants or federations")]
    TooManyParties,
}

/// The error for an invalid fair-share policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{kind}", party.as_ref().map_or(String::new(), |party| format!("{party}: ")))]
pub struct PolicyError {
    /// The name of the tenant or federation that violates the rule. `None` if the policy as a whole violates
    /// it.
    pub party: Option<Name>,
    /// The rule that the policy violates.
    pub kind: PolicyErrorKind,
}

impl PolicyError {
    fn for_party(party: &Name, kind: PolicyErrorKind) -> PolicyError {
        PolicyError { party: Some(party.clone()), kind }
    }

    fn for_policy(kind: PolicyErrorKind) -> PolicyError {
        PolicyError { party: None, kind }
    }
}

impl FairSharePolicy {
    /// Creates a policy from its federations by name.
    ///
    /// # Errors
    /// The first [`PolicyError`] found. The checks are, in this order: the number of tenants and federations;
    /// the weights and ceilings of all federations and then of all tenants; the guarantees; tenants that are
    /// listed twice. Each check goes through the federations, and through the tenants of a federation, in the
    /// order of their names.
    pub fn new(federations: BTreeMap<Name, Federation>) -> Result<FairSharePolicy, PolicyError> {
        let policy = FairSharePolicy(federations);
        policy.validate_size()?;
        policy.validate_configs()?;
        policy.validate_guarantees()?;
        policy.validate_tenants_unique()?;
        Ok(policy)
    }

    /// The federations of the policy, by name. A federation is a group of tenants.
    pub fn federations(&self) -> &BTreeMap<Name, Federation> {
        &self.0
    }

    /// Returns all tenants of the policy as (federation, tenant, configuration), ordered by federation and
    /// then by tenant.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, &Name, &ShareConfig)> {
        self.0.iter().flat_map(|(name, federation)| {
            federation.tenants.iter().map(move |(tenant, config)| (name, tenant, config))
        })
    }

    fn validate_size(&self) -> Result<(), PolicyError> {
        if self.0.len() > MAX_PARTIES || self.tenants().count() > MAX_PARTIES {
            return Err(PolicyError::for_policy(PolicyErrorKind::TooManyParties));
        }
        Ok(())
    }

    fn validate_configs(&self) -> Result<(), PolicyError> {
        let federations = self.0.iter().map(|(name, federation)| (name, &federation.share_config));
        let tenants = self.tenants().map(|(_, tenant, config)| (tenant, config));
        for (party, config) in federations.chain(tenants) {
            if !(1..=FULL_SHARE_PPM).contains(&config.weight) {
                return Err(PolicyError::for_party(party, PolicyErrorKind::InvalidWeight));
            }
            if config.guarantee > config.ceiling || config.ceiling > FULL_SHARE_PPM {
                return Err(PolicyError::for_party(party, PolicyErrorKind::InvalidCeiling));
            }
        }
        Ok(())
    }

    fn validate_guarantees(&self) -> Result<(), PolicyError> {
        for (name, federation) in &self.0 {
            if guarantee_sum(federation.tenants.values()) > u64::from(federation.share_config.guarantee) {
                return Err(PolicyError::for_party(name, PolicyErrorKind::GuaranteesExceedParent));
            }
        }
        let configs = self.0.values().map(|federation| &federation.share_config);
        if guarantee_sum(configs) > u64::from(FULL_SHARE_PPM) {
            return Err(PolicyError::for_policy(PolicyErrorKind::GuaranteesExceedParent));
        }
        Ok(())
    }

    fn validate_tenants_unique(&self) -> Result<(), PolicyError> {
        let mut known_tenants = BTreeSet::new();
        for (_, tenant, _) in self.tenants() {
            if !known_tenants.insert(tenant) {
                return Err(PolicyError::for_party(tenant, PolicyErrorKind::DuplicateTenant));
            }
        }
        Ok(())
    }
}

fn guarantee_sum<'a>(configs: impl Iterator<Item = &'a ShareConfig>) -> u64 {
    configs.map(|config| u64::from(config.guarantee)).sum()
}

impl TryFrom<BTreeMap<Name, Federation>> for FairSharePolicy {
    type Error = PolicyError;

    fn try_from(federations: BTreeMap<Name, Federation>) -> Result<FairSharePolicy, PolicyError> {
        FairSharePolicy::new(federations)
    }
}

impl From<FairSharePolicy> for BTreeMap<Name, Federation> {
    fn from(policy: FairSharePolicy) -> BTreeMap<Name, Federation> {
        policy.0
    }
}

#[cfg(test)]
#[path = "../tests/unit/policy.rs"]
mod tests;
