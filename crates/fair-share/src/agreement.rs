//! What federations and tenants were promised.
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{FULL_SHARE_PPM, Name};

/// Most tenants of one agreement, and most federations.
const MOST_TENANTS: usize = 65_536;

/// What one party was promised, in parts in a million of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Terms", deny_unknown_fields)]
pub struct ShareConfig {
    /// From 1 to 1 000 000; how it fares against its neighbours when all want more.
    pub weight: u32,
    /// What it gets whenever it wants it.
    pub guarantee: u32,
    /// What it gets at most; not under the guarantee.
    pub ceiling: u32,
}

/// A group of tenants with one agreement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Federation {
    /// What it was promised as a whole.
    #[serde(rename = "terms")]
    pub share_config: ShareConfig,
    /// What each of its tenants was promised out of it.
    pub tenants: BTreeMap<Name, ShareConfig>,
}

/// All federations; promises that cannot all be kept at once make none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "BTreeMap<Name, Federation>", into = "BTreeMap<Name, Federation>")]
pub struct FairSharePolicy(BTreeMap<Name, Federation>);

/// What is wrong with an agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyErrorKind {
    /// A weight is not from 1 to 1 000 000.
    InvalidWeight,
    /// A guarantee is above its ceiling, or a ceiling above the whole.
    InvalidCeiling,
    /// The tenants' guarantees add up to more than their federation's, or the federations' to more than the whole.
    GuaranteesExceedParent,
    /// A tenant is in two federations.
    DuplicateTenant,
    /// More than 65 536 tenants or federations.
    TooManyParties,
}

/// An agreement that cannot be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    /// Whose terms; nobody's where it is the whole.
    pub party: Option<Name>,
    /// What about them.
    pub kind: PolicyErrorKind,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            PolicyErrorKind::InvalidWeight => "weight: not from 1 to 1000000",
            PolicyErrorKind::InvalidCeiling => "ceiling: under the guarantee, or above 1000000",
            PolicyErrorKind::GuaranteesExceedParent => "guarantee: those within add up to more",
            PolicyErrorKind::DuplicateTenant => "tenants: in two federations",
            PolicyErrorKind::TooManyParties => "tenants: more than 65536",
        };
        match &self.party {
            Some(whose) => write!(f, "{whose}: {what}"),
            None => f.write_str(what),
        }
    }
}

impl std::error::Error for PolicyError {}

impl FairSharePolicy {
    /// An agreement.
    ///
    /// # Errors
    /// The first party, by name, whose terms cannot be kept.
    pub fn new(federations: BTreeMap<Name, Federation>) -> Result<FairSharePolicy, PolicyError> {
        let wrong = |whose: Option<&Name>, what| Err(PolicyError { party: whose.cloned(), kind: what });
        let tenants = || federations.values().flat_map(|federation| &federation.tenants);
        if federations.len() > MOST_TENANTS || tenants().count() > MOST_TENANTS {
            return wrong(None, PolicyErrorKind::TooManyParties);
        }
        let heads = federations.iter().map(|(name, federation)| (name, &federation.share_config));
        for (name, terms) in heads.chain(tenants()) {
            if !(1..=FULL_SHARE_PPM).contains(&terms.weight) {
                return wrong(Some(name), PolicyErrorKind::InvalidWeight);
            }
            if terms.guarantee > terms.ceiling || terms.ceiling > FULL_SHARE_PPM {
                return wrong(Some(name), PolicyErrorKind::InvalidCeiling);
            }
        }
        let sum = |terms: &mut dyn Iterator<Item = &ShareConfig>| -> u64 {
            terms.map(|terms| u64::from(terms.guarantee)).sum()
        };
        for (name, federation) in &federations {
            if sum(&mut federation.tenants.values()) > u64::from(federation.share_config.guarantee) {
                return wrong(Some(name), PolicyErrorKind::GuaranteesExceedParent);
            }
        }
        if sum(&mut federations.values().map(|federation| &federation.share_config))
            > u64::from(FULL_SHARE_PPM)
        {
            return wrong(None, PolicyErrorKind::GuaranteesExceedParent);
        }
        let mut seen = std::collections::BTreeSet::new();
        if let Some((name, _)) = tenants().find(|(name, _)| !seen.insert(*name)) {
            return wrong(Some(name), PolicyErrorKind::DuplicateTenant);
        }
        Ok(FairSharePolicy(federations))
    }

    /// The federations by name.
    pub fn federations(&self) -> &BTreeMap<Name, Federation> {
        &self.0
    }

    /// All tenants, with the federation of each, in the order of federations and then of tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, &Name, &ShareConfig)> {
        let of = |(name, federation)| within(name, federation);
        self.0.iter().flat_map(of)
    }
}

fn within<'a>(
    name: &'a Name,
    federation: &'a Federation,
) -> impl Iterator<Item = (&'a Name, &'a Name, &'a ShareConfig)> {
    federation.tenants.iter().map(move |(tenant, terms)| (name, tenant, terms))
}

impl TryFrom<BTreeMap<Name, Federation>> for FairSharePolicy {
    type Error = PolicyError;

    fn try_from(federations: BTreeMap<Name, Federation>) -> Result<FairSharePolicy, PolicyError> {
        FairSharePolicy::new(federations)
    }
}

impl From<FairSharePolicy> for BTreeMap<Name, Federation> {
    fn from(agreement: FairSharePolicy) -> BTreeMap<Name, Federation> {
        agreement.0
    }
}

#[cfg(test)]
#[path = "../tests/unit/agreement.rs"]
mod tests;
