//! Allocation of shares of the fleet by weighted max-min, first to federations and then to the tenants of
//! each.
use std::collections::BTreeMap;

use crate::demand::{TenantDemand, TenantDemands};
use crate::policy::{FairSharePolicy, Federation, ShareConfig};
use crate::reservation::ReservedShares;
use crate::share_table::{ShareTable, TenantShare};
use crate::water_filling::{Claimant, water_fill};
use crate::{FULL_SHARE_PPM, Name};

/// The demand of a tenant that would use the whole fleet and has no debt, which is past usage above its
/// entitlement. The entitlement of a tenant is the share that it gets if all tenants have this demand.
const FULL_DEMAND: TenantDemand = TenantDemand { demand: FULL_SHARE_PPM, debt: 0 };

/// The result of one division of the fleet among federations and tenants. The share of a federation includes
/// the reservations of the federation and of its tenants. The share of a tenant excludes the tenant's own
/// reservation, which the caller adds.
struct Allocation<'a> {
    tenants: BTreeMap<&'a Name, u32>,
    federations: BTreeMap<&'a Name, u32>,
    has_reduced_guarantees: bool,
}

/// Allocates the shares of all tenants and federations. The result depends only on the arguments.
///
/// 1. Reservations are subtracted from the fleet. They are also subtracted from the demands, guarantees and
///    ceilings, which include them. From those of a tenant, the tenant's reservation is subtracted. From
///    those of a federation, the reservations of the federation and of its tenants are subtracted.
/// 2. The rest of the fleet is divided among the federations by weighted max-min. A federation gets at least
///    its guarantee and at most its ceiling, or less if its tenants demand less. There is one exception. The
///    tenants' guarantees, each at most the tenant's demand, may add up to more than the federation's
///    ceiling. The federation then gets their sum. If the rest of the fleet is too small for the guarantees,
///    they are reduced in proportion.
/// 3. The share of each federation, including the federation's own reservation, is divided among its tenants
///    in the same way. A tenant's debt is its past usage above its entitlement, as a fraction of the
///    entitlement over one half-life of debts. The fraction is at most 1 (see [`TenantDemand::debt`]). A
///    tenant with a debt takes part with the weight `weight / (1 + debt)`, so that at least half of its
///    configured weight remains.
///
/// Shares are whole parts per million, rounded down. The remaining parts per million go one each to the
/// shares with the largest remainders, and at equal remainders to the first in the order of names.
pub fn allocate_shares(
    policy: &FairSharePolicy,
    demands: &TenantDemands,
    reserved: &ReservedShares,
) -> ShareTable {
    let reserved = reserved.limit_to_full_share();
    let allocated = allocate(policy, &reserved, &|tenant| demands.for_tenant(tenant));
    let entitled = allocate(policy, &reserved, &|_| FULL_DEMAND);
    let has_reduced_guarantees = allocated.has_reduced_guarantees;
    let mut tenants = BTreeMap::new();
    for (_, tenant, config) in policy.tenants() {
        let (divided, entitlement) = (allocated.tenants[tenant], entitled.tenants[tenant]);
        let own_reservation = reserved.of_tenant(tenant);
        let share = divided + own_reservation;
        let lent = if has_reduced_guarantees { 0 } else { config.guarantee.saturating_sub(share) };
        let borrowed = divided.saturating_sub(entitlement);
        let tenant_share = TenantShare { share, reserved: own_reservation, entitlement, lent, borrowed };
        tenants.insert(tenant.clone(), tenant_share);
    }
    let federations: BTreeMap<Name, u32> =
        allocated.federations.into_iter().map(|(name, share)| (name.clone(), share)).collect();
    let reserved_elsewhere =
        sum_of_unlisted(&reserved.tenants, &tenants) + sum_of_unlisted(&reserved.federations, &federations);
    let unallocated = FULL_SHARE_PPM - reserved_elsewhere - federations.values().sum::<u32>();
    ShareTable { tenants, federations, reserved_elsewhere, unallocated, has_reduced_guarantees }
}

/// The entitlement of each tenant. It is the share, in parts per million of the fleet, that the tenant would
/// get if all tenants demanded everything, none had a debt and nothing was reserved.
pub fn entitlements(policy: &FairSharePolicy) -> BTreeMap<Name, u32> {
    let entitled = allocate(policy, &ReservedShares::default(), &|_| FULL_DEMAND);
    entitled.tenants.into_iter().map(|(name, share)| (name.clone(), share)).collect()
}

/// The sum of the reservations whose owners are not in the map `listed`, which is keyed by the name of the
/// owner.
fn sum_of_unlisted<T>(reservations: &BTreeMap<Name, u32>, listed: &BTreeMap<Name, T>) -> u32 {
    reservations.iter().filter(|(name, _)| !listed.contains_key(*name)).map(|(_, part)| part).sum()
}

fn allocate<'a>(
    policy: &'a FairSharePolicy,
    reserved: &ReservedShares,
    demand_of: &dyn Fn(&Name) -> TenantDemand,
) -> Allocation<'a> {
    let capacity = FULL_SHARE_PPM - reserved.total();
    let claims: Vec<FederationClaim<'a>> = policy
        .federations()
        .iter()
        .map(|(name, federation)| FederationClaim::new(name, federation, reserved, demand_of))
        .collect();
    let claimants: Vec<Claimant> = claims.iter().map(|claim| claim.claimant).collect();
    let minimum_sum: u64 = claimants.iter().map(|claimant| u64::from(claimant.minimum)).sum();
    let has_reduced_guarantees = minimum_sum > capacity.into();
    let mut allocation =
        Allocation { tenants: BTreeMap::new(), federations: BTreeMap::new(), has_reduced_guarantees };
    for (claim, divided) in claims.iter().zip(water_fill(capacity, &claimants)) {
        let available = divided + claim.own_reservation;
        // The federation's own reservation may exceed what its tenants demand. The unused part stays in the
        // federation's share, and is not given to other federations.
        let parts = water_fill(available, &claim.tenant_claimants);
        allocation.federations.insert(claim.name, available + claim.tenant_reservations);
        allocation.tenants.extend(claim.tenants.iter().copied().zip(parts));
    }
    allocation
}

/// A federation as it takes part in the division of the fleet, and its tenants as they take part in the
/// division of its share.
struct FederationClaim<'a> {
    name: &'a Name,
    tenants: Vec<&'a Name>,
    tenant_claimants: Vec<Claimant>,
    claimant: Claimant,
    /// The share that is reserved for the federation as a whole, a group of tenants, and not for one of its
    /// tenants. It is divided among the tenants. The unit is parts per million of the fleet.
    own_reservation: u32,
    /// The sum of the shares that are reserved for the federation's tenants, in parts per million of the
    /// fleet.
    tenant_reservations: u32,
}

impl<'a> FederationClaim<'a> {
    fn new(
        name: &'a Name,
        federation: &'a Federation,
        reserved: &ReservedShares,
        demand_of: &dyn Fn(&Name) -> TenantDemand,
    ) -> FederationClaim<'a> {
        let own_reservation = reserved.of_federation(name);
        let mut tenant_reservations = 0;
        let mut tenant_claimants = Vec::with_capacity(federation.tenants.len());
        for (tenant, config) in &federation.tenants {
            let reservation = reserved.of_tenant(tenant);
            tenant_reservations += reservation;
            tenant_claimants.push(tenant_claimant(config, demand_of(tenant), reservation));
        }
        let claimant = federation_claimant(
            &federation.share_config,
            &tenant_claimants,
            own_reservation,
            tenant_reservations,
        );
        let tenants = federation.tenants.keys().collect();
        FederationClaim { name, tenants, tenant_claimants, claimant, own_reservation, tenant_reservations }
    }
}

/// Returns the weight, the minimum and the maximum with which a federation takes part in the division of the
/// fleet. The minimum and the maximum exclude the reservations of the federation and of its tenants.
fn federation_claimant(
    config: &ShareConfig,
    tenants: &[Claimant],
    own_reservation: u32,
    tenant_reservations: u32,
) -> Claimant {
    let sum = |part: &dyn Fn(&Claimant) -> u32| -> u32 {
        let sum = tenants.iter().map(|tenant| u64::from(part(tenant))).sum::<u64>();
        sum.min(FULL_SHARE_PPM.into()) as u32
    };
    let reserved = own_reservation.saturating_add(tenant_reservations);
    // The ceiling of a federation includes the reservations of its tenants. If one tenant's reservation uses
    // up the ceiling, nothing below the ceiling is left for the guarantees of the other tenants. Therefore
    // the tenants' guarantees take precedence over the ceiling.
    let tenants_minimum = sum(&|tenant| tenant.minimum).saturating_sub(own_reservation);
    let tenants_maximum = sum(&|tenant| tenant.maximum).saturating_sub(own_reservation);
    let maximum = tenants_maximum.min(config.ceiling.saturating_sub(reserved)).max(tenants_minimum);
    let minimum = config.guarantee.saturating_sub(reserved).max(tenants_minimum).min(maximum);
    Claimant { weight: config.weight.into(), minimum, maximum }
}

/// Returns the weight, the minimum and the maximum with which a tenant takes part in the division of its
/// federation's share. The minimum and the maximum exclude the tenant's own reservation.
fn tenant_claimant(config: &ShareConfig, demand: TenantDemand, reservation: u32) -> Claimant {
    let less_reservation = |part: u32| part.saturating_sub(reservation);
    let demanded = less_reservation(demand.demand.min(FULL_SHARE_PPM));
    let maximum = demanded.min(less_reservation(config.ceiling));
    let minimum = less_reservation(config.guarantee).min(maximum);
    let full = u64::from(FULL_SHARE_PPM);
    let debt = u64::from(demand.debt.min(FULL_SHARE_PPM));
    let weight = u64::from(config.weight) * full * full / (full + debt);
    Claimant { weight, minimum, maximum }
}
