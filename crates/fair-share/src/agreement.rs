//! What federations and tenants were promised.
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Name, WHOLE};

/// Most tenants of one agreement, and most federations.
const MOST_TENANTS: usize = 65_536;

/// What one party was promised, in parts in a million of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Terms {
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
    pub terms: Terms,
    /// What each of its tenants was promised out of it.
    pub tenants: BTreeMap<Name, Terms>,
}

/// All federations; promises that cannot all be kept at once make none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "BTreeMap<Name, Federation>", into = "BTreeMap<Name, Federation>")]
pub struct Agreement(BTreeMap<Name, Federation>);

/// What is wrong with an agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongWhat {
    /// A weight is not from 1 to 1 000 000.
    Weight,
    /// A guarantee is above its ceiling, or a ceiling above the whole.
    Ceiling,
    /// The tenants' guarantees add up to more than their federation's, or the federations' to more than the whole.
    Guarantees,
    /// A tenant is in two federations.
    Twice,
    /// More than 65 536 tenants or federations.
    TooMany,
}

/// An agreement that cannot be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrongAgreement {
    /// Whose terms; nobody's where it is the whole.
    pub whose: Option<Name>,
    /// What about them.
    pub what: WrongWhat,
}

impl fmt::Display for WrongAgreement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.what {
            WrongWhat::Weight => "weight: not from 1 to 1000000",
            WrongWhat::Ceiling => "ceiling: under the guarantee, or above 1000000",
            WrongWhat::Guarantees => "guarantee: those within add up to more",
            WrongWhat::Twice => "tenants: in two federations",
            WrongWhat::TooMany => "tenants: more than 65536",
        };
        match &self.whose {
            Some(whose) => write!(f, "{whose}: {what}"),
            None => f.write_str(what),
        }
    }
}

impl std::error::Error for WrongAgreement {}

impl Agreement {
    /// An agreement.
    ///
    /// # Errors
    /// The first party, by name, whose terms cannot be kept.
    pub fn new(federations: BTreeMap<Name, Federation>) -> Result<Agreement, WrongAgreement> {
        let wrong = |whose: Option<&Name>, what| Err(WrongAgreement { whose: whose.cloned(), what });
        let tenants = || federations.values().flat_map(|federation| &federation.tenants);
        if federations.len() > MOST_TENANTS || tenants().count() > MOST_TENANTS {
            return wrong(None, WrongWhat::TooMany);
        }
        let heads = federations.iter().map(|(name, federation)| (name, &federation.terms));
        for (name, terms) in heads.chain(tenants()) {
            if !(1..=WHOLE).contains(&terms.weight) {
                return wrong(Some(name), WrongWhat::Weight);
            }
            if terms.guarantee > terms.ceiling || terms.ceiling > WHOLE {
                return wrong(Some(name), WrongWhat::Ceiling);
            }
        }
        let sum = |terms: &mut dyn Iterator<Item = &Terms>| -> u64 {
            terms.map(|terms| u64::from(terms.guarantee)).sum()
        };
        for (name, federation) in &federations {
            if sum(&mut federation.tenants.values()) > u64::from(federation.terms.guarantee) {
                return wrong(Some(name), WrongWhat::Guarantees);
            }
        }
        if sum(&mut federations.values().map(|federation| &federation.terms)) > u64::from(WHOLE) {
            return wrong(None, WrongWhat::Guarantees);
        }
        let mut seen = std::collections::BTreeSet::new();
        if let Some((name, _)) = tenants().find(|(name, _)| !seen.insert(*name)) {
            return wrong(Some(name), WrongWhat::Twice);
        }
        Ok(Agreement(federations))
    }

    /// The federations by name.
    pub fn federations(&self) -> &BTreeMap<Name, Federation> {
        &self.0
    }

    /// All tenants, with the federation of each, in the order of federations and then of tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, &Name, &Terms)> {
        let of = |(name, federation)| within(name, federation);
        self.0.iter().flat_map(of)
    }
}

fn within<'a>(
    name: &'a Name,
    federation: &'a Federation,
) -> impl Iterator<Item = (&'a Name, &'a Name, &'a Terms)> {
    federation.tenants.iter().map(move |(tenant, terms)| (name, tenant, terms))
}

impl TryFrom<BTreeMap<Name, Federation>> for Agreement {
    type Error = WrongAgreement;

    fn try_from(federations: BTreeMap<Name, Federation>) -> Result<Agreement, WrongAgreement> {
        Agreement::new(federations)
    }
}

impl From<Agreement> for BTreeMap<Name, Federation> {
    fn from(agreement: Agreement) -> BTreeMap<Name, Federation> {
        agreement.0
    }
}

#[cfg(test)]
#[path = "../tests/unit/agreement.rs"]
mod tests;
