//! The table of shares: weighted max-min over federations and then over their tenants.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::agreement::{FairSharePolicy, Federation, ShareConfig};
use crate::fill::{Party, apportion, fill};
use crate::{FULL_SHARE_PPM, Name};

/// What the calendar has promised and not lent back, in parts in a million of the fleet; it comes off first. What
/// adds up to more than the whole is cut in proportion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Reserved", default, deny_unknown_fields)]
pub struct ReservedShares {
    /// By tenant; a tenant without an agreement has no share, and its reservation comes off all the same.
    pub tenants: BTreeMap<Name, u32>,
    /// By federation, for those of its tenants that want it.
    pub federations: BTreeMap<Name, u32>,
}

/// What a tenant wants and owes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Use", deny_unknown_fields)]
pub struct TenantDemand {
    /// What it would use, in parts in a million of the fleet; above the whole counts as the whole.
    pub demand: u32,
    /// What it took beyond what it was entitled to, in parts in a million of its entitlement over one half-life;
    /// above 1 000 000 counts as that.
    pub debt: u32,
}

/// What the tenants want and owe; who is not in it wants nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Usage")]
pub struct TenantDemands(pub BTreeMap<Name, TenantDemand>);

impl TenantDemands {
    /// What the tenants want and owe by what they were seen to use.
    ///
    /// `work` is what each did in a window, in slot-milliseconds, and `capacity` what the whole fleet can do in it;
    /// `owed` is what [`crate::Debts::owed`] says. A tenant wants twice what it used, but no less than a quarter of its
    /// entitlement: so one that lent its part has it back within two windows, and a newcomer has something to begin
    /// with. A fleet that can do nothing has nothing to divide: then each wants that quarter.
    pub fn from_measured_usage(
        agreement: &FairSharePolicy,
        work: &BTreeMap<Name, u64>,
        capacity: u64,
        owed: &BTreeMap<Name, u32>,
    ) -> TenantDemands {
        let parts = |work: u64| {
            let parts = u128::from(work) * 2 * u128::from(FULL_SHARE_PPM) / u128::from(capacity.max(1));
            if capacity == 0 { 0 } else { parts.min(FULL_SHARE_PPM.into()) as u32 }
        };
        let used = entitlements(agreement).into_iter().map(|(tenant, entitled)| {
            let demand = parts(work.get(&tenant).copied().unwrap_or(0)).max(entitled.div_ceil(4));
            let debt = owed.get(&tenant).copied().unwrap_or(0);
            (tenant, TenantDemand { demand, debt })
        });
        TenantDemands(used.collect())
    }
}

/// What a tenant may take, in parts in a million of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Share", deny_unknown_fields)]
pub struct TenantShare {
    /// All that it may take: the parts of all tenants add up.
    pub share: u32,
    /// How much of it is its own reservation.
    pub reserved: u32,
    /// What it would have if all wanted everything and none owed anything, beside the reservations.
    #[serde(rename = "entitled")]
    pub entitlement: u32,
    /// What it leaves of its guarantee, which others have until it wants it.
    pub lent: u32,
    /// What it has above its entitlement and its reservation, until others want it.
    pub borrowed: u32,
}

/// All shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Table", deny_unknown_fields)]
pub struct ShareTable {
    /// By tenant.
    pub tenants: BTreeMap<Name, TenantShare>,
    /// What each federation has as a whole: its tenants' shares, and what of its reservation none of them wants.
    pub federations: BTreeMap<Name, u32>,
    /// What is reserved for those without an agreement.
    #[serde(rename = "elsewhere")]
    pub reserved_elsewhere: u32,
    /// What nobody wants. With the federations' and what is reserved elsewhere it adds up to 1 000 000.
    #[serde(rename = "spare")]
    pub unallocated: u32,
    /// The reservations leave less than what the guarantees ask for: those were cut in proportion.
    #[serde(rename = "short")]
    pub has_reduced_guarantees: bool,
}

/// One division over the two steps.
struct Division<'a> {
    tenants: BTreeMap<&'a Name, u32>,
    federations: BTreeMap<&'a Name, u32>,
    short: bool,
}

/// The table of shares, a pure function.
///
/// 1. Reservations come off. What is reserved counts first towards its owner's demand, guarantee and ceiling.
/// 2. The rest is divided over the federations by weighted max-min: each at least what it wants of its guarantee,
///    at most what its tenants want and its ceiling.
/// 3. What a federation has, with its reservation, is divided over its tenants in the same way. There a tenant with a
///    debt counts with a weight of `weight / (1 + debt)`, never under half of it.
///
/// Parts are whole; what is left by rounding goes to the largest remainders, among equal ones by name.
pub fn allocate_shares(
    agreement: &FairSharePolicy,
    usage: &TenantDemands,
    reserved: &ReservedShares,
) -> ShareTable {
    let reserved = cut(reserved);
    let wanted = |tenant: &Name| usage.0.get(tenant).copied().unwrap_or_default();
    let divided = divide(agreement, &reserved, &wanted);
    let full = divide(agreement, &reserved, &|_| TenantDemand { demand: FULL_SHARE_PPM, debt: 0 });
    let of = |tenant: &Name| reserved.tenants.get(tenant).copied().unwrap_or(0);
    let tenants = agreement.tenants().map(|(_, tenant, terms)| {
        let (got, own, entitled) = (divided.tenants[tenant], of(tenant), full.tenants[tenant]);
        let share = TenantShare {
            share: got + own,
            reserved: own,
            entitlement: entitled,
            lent: if divided.short { 0 } else { terms.guarantee.saturating_sub(got + own) },
            borrowed: got.saturating_sub(entitled),
        };
        (tenant.clone(), share)
    });
    let tenants: BTreeMap<Name, TenantShare> = tenants.collect();
    let federations: BTreeMap<Name, u32> =
        divided.federations.into_iter().map(|(name, part)| (name.clone(), part)).collect();
    let known = |name: &&Name| !federations.contains_key(*name);
    let elsewhere: u32 =
        reserved.tenants.iter().filter(|(name, _)| !tenants.contains_key(*name)).map(|of| of.1).sum();
    let elsewhere: u32 = elsewhere
        + reserved.federations.iter().filter(|(name, _)| known(name)).map(|(_, part)| part).sum::<u32>();
    let spare = FULL_SHARE_PPM - elsewhere - federations.values().sum::<u32>();
    ShareTable {
        tenants,
        federations,
        reserved_elsewhere: elsewhere,
        unallocated: spare,
        has_reduced_guarantees: divided.short,
    }
}

/// What each tenant has if all want everything, none owes anything and nothing is reserved, in parts in a million.
pub fn entitlements(agreement: &FairSharePolicy) -> BTreeMap<Name, u32> {
    let full =
        divide(agreement, &ReservedShares::default(), &|_| TenantDemand { demand: FULL_SHARE_PPM, debt: 0 });
    full.tenants.into_iter().map(|(name, part)| (name.clone(), part)).collect()
}

/// Reservations that fit into the whole.
fn cut(reserved: &ReservedShares) -> ReservedShares {
    let parts = || reserved.tenants.values().chain(reserved.federations.values());
    if parts().map(|&part| u64::from(part)).sum::<u64>() <= FULL_SHARE_PPM.into() {
        return reserved.clone();
    }
    let weights: Vec<u128> = parts().map(|&part| part.into()).collect();
    let mut fitting = apportion(FULL_SHARE_PPM.into(), &weights).into_iter().map(|part| part as u32);
    let mut refit = |of: &BTreeMap<Name, u32>| -> BTreeMap<Name, u32> {
        of.keys().cloned().zip(fitting.by_ref()).collect()
    };
    let tenants = refit(&reserved.tenants);
    ReservedShares { federations: refit(&reserved.federations), tenants }
}

fn divide<'a>(
    agreement: &'a FairSharePolicy,
    reserved: &ReservedShares,
    wanted: &dyn Fn(&Name) -> TenantDemand,
) -> Division<'a> {
    let all = reserved.tenants.values().chain(reserved.federations.values()).sum::<u32>();
    let left = FULL_SHARE_PPM - all;
    let steps: Vec<Inner<'a>> = agreement
        .federations()
        .iter()
        .map(|(name, federation)| Inner::new(name, federation, reserved, wanted))
        .collect();
    let heads: Vec<Party> = steps.iter().map(|inner| inner.head).collect();
    let short = heads.iter().map(|head| u64::from(head.least)).sum::<u64>() > left.into();
    let mut division = Division { tenants: BTreeMap::new(), federations: BTreeMap::new(), short };
    for (inner, got) in steps.iter().zip(fill(left, &heads)) {
        // Its reservation may be more than its tenants want: what is above stays with the federation.
        let parts = fill(got + inner.own, &inner.parties);
        division.federations.insert(inner.name, got + inner.own + inner.tenants_own);
        division.tenants.extend(inner.tenants.iter().copied().zip(parts));
    }
    division
}

/// One federation's tenants, and how it stands among the others.
struct Inner<'a> {
    name: &'a Name,
    tenants: Vec<&'a Name>,
    parties: Vec<Party>,
    head: Party,
    /// Its own reservation, and those of its tenants.
    own: u32,
    tenants_own: u32,
}

impl<'a> Inner<'a> {
    fn new(
        name: &'a Name,
        federation: &'a Federation,
        reserved: &ReservedShares,
        wanted: &dyn Fn(&Name) -> TenantDemand,
    ) -> Inner<'a> {
        let own = reserved.federations.get(name).copied().unwrap_or(0);
        let (mut tenants_own, mut parties) = (0, Vec::with_capacity(federation.tenants.len()));
        for (tenant, terms) in &federation.tenants {
            let of = reserved.tenants.get(tenant).copied().unwrap_or(0);
            tenants_own += of;
            parties.push(party(terms, wanted(tenant), of));
        }
        let sum = |part: &dyn Fn(&Party) -> u32| -> u32 {
            let sum = parties.iter().map(|party| u64::from(part(party))).sum::<u64>();
            sum.min(FULL_SHARE_PPM.into()) as u32
        };
        let (least, most) = (sum(&|party| party.least), sum(&|party| party.most));
        let (terms, off) = (federation.share_config, own.saturating_add(tenants_own));
        // Guards against a tenant's reservation that eats up the guarantee or the room of the others.
        let least_within = least.saturating_sub(own);
        let most = most.saturating_sub(own).min(terms.ceiling.saturating_sub(off)).max(least_within);
        let least = terms.guarantee.saturating_sub(off).max(least_within).min(most);
        let head = Party { weight: terms.weight.into(), least, most };
        Inner { name, tenants: federation.tenants.keys().collect(), parties, head, own, tenants_own }
    }
}

/// How a tenant stands among its neighbours, beside its own reservation.
fn party(terms: &ShareConfig, wanted: TenantDemand, own: u32) -> Party {
    let beside = |part: u32| part.saturating_sub(own);
    let most = beside(wanted.demand.min(FULL_SHARE_PPM)).min(beside(terms.ceiling));
    let whole = u64::from(FULL_SHARE_PPM);
    let weight =
        u64::from(terms.weight) * whole * whole / (whole + u64::from(wanted.debt.min(FULL_SHARE_PPM)));
    Party { weight, least: beside(terms.guarantee).min(most), most }
}
