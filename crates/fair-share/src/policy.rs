//! The fair-share policy: weights, guarantees and ceilings of federations and tenants.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{FULL_SHARE_PPM, Name};

/// Most tenants of one policy, and most federations.
const MAX_PARTIES: usize = 65_536;

/// The share that a tenant or federation is configured to have, in parts per million of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareConfig {
    /// From 1 to 1 000 000; its part relative to its neighbours' when all demand more than they get.
    pub weight: u32,
    /// What it gets whenever it demands it.
    pub guarantee: u32,
    /// The most that it gets; not under the guarantee.
    pub ceiling: u32,
}

/// A group of tenants that have a share in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Federation {
    /// The share of all its tenants together.
    #[serde(rename = "terms")]
    pub share_config: ShareConfig,
    /// The share of each of its tenants.
    pub tenants: BTreeMap<Name, ShareConfig>,
}

/// All federations. Their guarantees can all be met at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "BTreeMap<Name, Federation>", into = "BTreeMap<Name, Federation>")]
pub struct FairSharePolicy(BTreeMap<Name, Federation>);

/// What is wrong with a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PolicyErrorKind {
    /// A weight is not from 1 to 1 000 000.
    #[error("weight: not from 1 to 1000000")]
    InvalidWeight,
    /// A guarantee is above its ceiling, or a ceiling above 1 000 000.
    #[error("ceiling: under the guarantee, or above 1000000")]
    InvalidCeiling,
    /// The tenants' guarantees add up to more than their federation's, or the federations' to more than 1 000 000.
    #[error("guarantee: those within add up to more")]
    GuaranteesExceedParent,
    /// A tenant is in two federations.
    #[error("tenants: in two federations")]
    DuplicateTenant,
    /// More than 65 536 tenants or federations.
    #[error("tenants: more than 65536")]
    TooManyParties,
}

/// A policy that cannot be met.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{kind}", party.as_ref().map_or(String::new(), |party| format!("{party}: ")))]
pub struct PolicyError {
    /// The tenant or federation that it is about; none if it is about the policy as a whole.
    pub party: Option<Name>,
    /// What is wrong.
    pub kind: PolicyErrorKind,
}

impl PolicyError {
    fn of(party: &Name, kind: PolicyErrorKind) -> PolicyError {
        PolicyError { party: Some(party.clone()), kind }
    }

    fn of_policy(kind: PolicyErrorKind) -> PolicyError {
        PolicyError { party: None, kind }
    }
}

impl FairSharePolicy {
    /// A policy of these federations.
    ///
    /// # Errors
    /// The first tenant or federation, by name, whose configuration cannot be met.
    pub fn new(federations: BTreeMap<Name, Federation>) -> Result<FairSharePolicy, PolicyError> {
        let policy = FairSharePolicy(federations);
        policy.validate_size()?;
        policy.validate_configs()?;
        policy.validate_guarantees()?;
        policy.validate_tenants_unique()?;
        Ok(policy)
    }

    /// The federations by name.
    pub fn federations(&self) -> &BTreeMap<Name, Federation> {
        &self.0
    }

    /// The federation, name and configuration of each tenant, in the order of federations and then of tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, &Name, &ShareConfig)> {
        self.0.iter().flat_map(|(name, federation)| {
            federation.tenants.iter().map(move |(tenant, config)| (name, tenant, config))
        })
    }

    fn validate_size(&self) -> Result<(), PolicyError> {
        if self.0.len() > MAX_PARTIES || self.tenants().count() > MAX_PARTIES {
            return Err(PolicyError::of_policy(PolicyErrorKind::TooManyParties));
        }
        Ok(())
    }

    fn validate_configs(&self) -> Result<(), PolicyError> {
        let federations = self.0.iter().map(|(name, federation)| (name, &federation.share_config));
        let tenants = self.tenants().map(|(_, tenant, config)| (tenant, config));
        for (party, config) in federations.chain(tenants) {
            if !(1..=FULL_SHARE_PPM).contains(&config.weight) {
                return Err(PolicyError::of(party, PolicyErrorKind::InvalidWeight));
            }
            if config.guarantee > config.ceiling || config.ceiling > FULL_SHARE_PPM {
                return Err(PolicyError::of(party, PolicyErrorKind::InvalidCeiling));
            }
        }
        Ok(())
    }

    fn validate_guarantees(&self) -> Result<(), PolicyError> {
        for (name, federation) in &self.0 {
            if guarantee_sum(federation.tenants.values()) > u64::from(federation.share_config.guarantee) {
                return Err(PolicyError::of(name, PolicyErrorKind::GuaranteesExceedParent));
            }
        }
        let configs = self.0.values().map(|federation| &federation.share_config);
        if guarantee_sum(configs) > u64::from(FULL_SHARE_PPM) {
            return Err(PolicyError::of_policy(PolicyErrorKind::GuaranteesExceedParent));
        }
        Ok(())
    }

    fn validate_tenants_unique(&self) -> Result<(), PolicyError> {
        let mut known_tenants = BTreeSet::new();
        for (_, tenant, _) in self.tenants() {
            if !known_tenants.insert(tenant) {
                return Err(PolicyError::of(tenant, PolicyErrorKind::DuplicateTenant));
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
