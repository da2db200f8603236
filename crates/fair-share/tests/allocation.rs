//! Tests of the allocation of shares: properties on random policies, and fixed cases.
use std::collections::BTreeMap;

use copperspread_fair_share::{
    FULL_SHARE_PPM, FairSharePolicy, Federation, Name, ReservedShares, ShareConfig, TenantDemand,
    TenantDemands, allocate_shares,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn name(text: &str) -> Name {
    Name::new(text).expect("the name should be valid")
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

/// Random policies of federations `f0`, `f1` and so on with tenants `t0_0`, `t0_1` and so on. The guarantee
/// of each federation exceeds the sum of its tenants' by a random slack.
fn policies() -> impl Strategy<Value = FairSharePolicy> {
    let tenant = (1_u32..10, 0_u32..50_000, 0_u32..400_000);
    let federation = (1_u32..10, 0_u32..20_000, 0_u32..600_000, prop::collection::vec(tenant, 1..5));
    prop::collection::vec(federation, 1..5).prop_map(|federations| {
        let federations =
            federations.into_iter().enumerate().map(|(index, (weight, slack, headroom, tenants))| {
                let guarantee = slack + tenants.iter().map(|tenant| tenant.1).sum::<u32>();
                let tenants =
                    tenants.into_iter().enumerate().map(|(tenant_index, (weight, guarantee, headroom))| {
                        (
                            name(&format!("t{index}_{tenant_index}")),
                            ShareConfig { weight, guarantee, ceiling: guarantee + headroom },
                        )
                    });
                let config =
                    ShareConfig { weight, guarantee, ceiling: (guarantee + headroom).min(FULL_SHARE_PPM) };
                (name(&format!("f{index}")), Federation { share_config: config, tenants: tenants.collect() })
            });
        FairSharePolicy::new(federations.collect()).expect("the policy should be valid")
    })
}

fn demand_sets() -> impl Strategy<Value = TenantDemands> {
    let demand = (0_u32..5, 0_u32..5, 0_u32..500_000, 0_u32..1_200_000);
    prop::collection::vec(demand, 0..20).prop_map(|demands| {
        let demands = demands.into_iter().map(|(federation, tenant, demand, debt)| {
            (name(&format!("t{federation}_{tenant}")), TenantDemand { demand, debt })
        });
        TenantDemands(demands.collect())
    })
}

fn reservations(max_part: u32) -> impl Strategy<Value = ReservedShares> {
    let parts = move || prop::collection::vec((0_u32..5, 0_u32..5, 0..=max_part), 0..3);
    (parts(), parts()).prop_map(|(tenants, federations)| {
        let tenants = tenants
            .into_iter()
            .map(|(federation, tenant, part)| (name(&format!("t{federation}_{tenant}")), part));
        let federations =
            federations.into_iter().map(|(federation, _, part)| (name(&format!("f{federation}")), part));
        ReservedShares { tenants: tenants.collect(), federations: federations.collect() }
    })
}

fn demand_of(demands: &TenantDemands, tenant: &Name) -> u32 {
    demands.0.get(tenant).map_or(0, |demand| demand.demand)
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn shares_always_add_up_to_the_full_share_whatever_is_reserved(
        policy in policies(), demands in demand_sets(), reserved in reservations(700_000),
    ) {
        let table = allocate_shares(&policy, &demands, &reserved);
        let federation_sum: u32 = table.federations.values().sum();
        prop_assert_eq!(federation_sum + table.reserved_elsewhere + table.unallocated, FULL_SHARE_PPM);
        for (name, federation) in policy.federations() {
            let tenant_sum: u32 = federation.tenants.keys().map(|tenant| table.tenants[tenant].share).sum();
            let own_reservation = reserved.federations.get(name).copied().unwrap_or(0);
            prop_assert!(tenant_sum <= table.federations[name] && table.federations[name] - tenant_sum <= own_reservation);
        }
    }

    #[test]
    fn demands_within_guarantees_are_met_and_no_share_exceeds_its_ceiling(
        policy in policies(), demands in demand_sets(), reserved in reservations(30_000),
    ) {
        let table = allocate_shares(&policy, &demands, &reserved);
        for (_, tenant, config) in policy.tenants() {
            let share = table.tenants[tenant];
            prop_assert!(table.has_reduced_guarantees || share.share >= config.guarantee.min(demand_of(&demands, tenant)));
            prop_assert!(share.share <= config.ceiling.max(share.reserved));
            prop_assert!(share.share <= demand_of(&demands, tenant).max(share.reserved));
        }
        for (name, federation) in policy.federations() {
            let tenants = || federation.tenants.iter();
            let reservations = reserved.federations.get(name).copied().unwrap_or(0)
                + tenants().map(|(tenant, _)| table.tenants[tenant].reserved).sum::<u32>();
            // Tenants' guarantees exceed the ceiling of the federation only if reservations use it up.
            let reservations_and_guarantees = reservations + tenants().map(|(_, config)| config.guarantee).sum::<u32>();
            prop_assert!(table.federations[name] <= federation.share_config.ceiling.max(reservations_and_guarantees));
            // The federation gets its guarantee as far as its tenants demand it.
            let demanded: u32 = tenants().map(|(tenant, config)| demand_of(&demands, tenant).min(config.ceiling)).sum();
            prop_assert!(table.has_reduced_guarantees || table.federations[name] >= federation.share_config.guarantee.min(demanded));
        }
    }

    #[test]
    fn everything_demanded_within_the_ceilings_is_allocated_up_to_the_full_share(
        policy in policies(), demands in demand_sets(),
    ) {
        let table = allocate_shares(&policy, &demands, &ReservedShares::default());
        let allocatable: u64 = policy.federations().values().map(|federation| {
            let tenants = federation.tenants.iter();
            let demanded: u32 = tenants.map(|(tenant, config)| demand_of(&demands, tenant).min(config.ceiling)).sum();
            u64::from(demanded.min(federation.share_config.ceiling))
        }).sum();
        let allocated: u64 = table.tenants.values().map(|share| u64::from(share.share)).sum();
        prop_assert_eq!(allocated, allocatable.min(FULL_SHARE_PPM.into()));
    }

    #[test]
    fn a_higher_demand_takes_from_no_guarantee_and_moves_shares_by_no_more_than_itself(
        policy in policies(), demands in demand_sets(), tenant_index in any::<prop::sample::Index>(), added in 0_u32..300_000,
    ) {
        let tenants: Vec<&Name> = policy.tenants().map(|(_, tenant, _)| tenant).collect();
        let growing = tenants[tenant_index.index(tenants.len())];
        let mut higher = demands.clone();
        higher.0.entry(growing.clone()).or_default().demand += added;
        let before = allocate_shares(&policy, &demands, &ReservedShares::default());
        let after = allocate_shares(&policy, &higher, &ReservedShares::default());
        let mut moved = 0;
        for (_, tenant, config) in policy.tenants() {
            let (share_before, share_after) = (before.tenants[tenant].share, after.tenants[tenant].share);
            if tenant != growing {
                prop_assert!(share_after >= config.guarantee.min(demand_of(&demands, tenant)));
                moved += share_before.saturating_sub(share_after);
            }
            // Each share is rounded twice before the change and twice after it, each time by less than 1.
            prop_assert!(share_before.abs_diff(share_after) <= added + 4, "{tenant}: {share_before} to {share_after} by {added}");
        }
        prop_assert!(moved <= added + 4 * tenants.len() as u32);
    }
}

fn federation(weight: u32, guarantee: u32, tenants: &[(&str, u32, u32)]) -> Federation {
    let tenants = tenants.iter().map(|&(tenant, weight, guarantee)| {
        (name(tenant), ShareConfig { weight, guarantee, ceiling: FULL_SHARE_PPM })
    });
    Federation {
        share_config: ShareConfig { weight, guarantee, ceiling: FULL_SHARE_PPM },
        tenants: tenants.collect(),
    }
}

/// Creates a policy of federation north (weight 3) with tenants a (guarantee 200 000) and b, and south
/// (weight 1) with c.
fn two_federations() -> FairSharePolicy {
    let north = federation(3, 300_000, &[("a", 1, 200_000), ("b", 1, 0)]);
    let south = federation(1, 100_000, &[("c", 1, 100_000)]);
    FairSharePolicy::new([(name("north"), north), (name("south"), south)].into())
        .expect("the policy should be valid")
}

#[test]
fn shares_follow_weights_guarantees_debts_and_reservations() {
    let all = FULL_SHARE_PPM;
    // (Demand, debt) of a, b and c; reservations of a and of south; expected shares of a, b and c; expected
    // unallocated share.
    type Case = ([(u32, u32); 3], (u32, u32), [u32; 3], u32);
    let cases: [Case; 9] = [
        ([(all, 0), (all, 0), (all, 0)], (0, 0), [375_000, 375_000, 250_000], 0),
        // What a does not demand goes first to b, because the weights of the federations do not change.
        ([(100_000, 0), (all, 0), (all, 0)], (0, 0), [100_000, 650_000, 250_000], 0),
        // What one federation does not demand goes to the other.
        ([(100_000, 0), (100_000, 0), (all, 0)], (0, 0), [100_000, 100_000, 800_000], 0),
        ([(100_000, 0), (100_000, 0), (50_000, 0)], (0, 0), [100_000, 100_000, 50_000], 750_000),
        // A debt of one entitlement over a half-life, or more, halves the weight.
        ([(all, 0), (all, all), (all, 0)], (0, 0), [500_000, 250_000, 250_000], 0),
        ([(all, 2 * all), (all, 0), (all, 0)], (0, 0), [250_000, 500_000, 250_000], 0),
        // Reservations are subtracted first, and count towards the owner's guarantee.
        ([(all, 0), (all, 0), (all, 0)], (400_000, 0), [400_000 + 225_000, 225_000, 150_000], 0),
        ([(100_000, 0), (all, 0), (all, 0)], (400_000, 0), [400_000, 450_000, 150_000], 0),
        // The part of a federation's reservation that none of its tenants demands stays with it.
        ([(all, 0), (all, 0), (50_000, 0)], (0, 200_000), [400_000, 400_000, 50_000], 0),
    ];
    for (tenant_demands, (reserved_for_a, reserved_for_south), shares, unallocated) in cases {
        let demands = ["a", "b", "c"].into_iter().zip(tenant_demands);
        let demands = demands.map(|(tenant, (demand, debt))| (name(tenant), TenantDemand { demand, debt }));
        let reserved = ReservedShares {
            tenants: BTreeMap::from([(name("a"), reserved_for_a)]),
            federations: BTreeMap::from([(name("south"), reserved_for_south)]),
        };
        let table = allocate_shares(&two_federations(), &TenantDemands(demands.collect()), &reserved);
        let allocated = ["a", "b", "c"].map(|tenant| table.tenants[tenant].share);
        assert_eq!(
            (allocated, table.unallocated),
            (shares, unallocated),
            "{tenant_demands:?} {reserved_for_a} {reserved_for_south}"
        );
    }
}

#[test]
fn reservations_above_the_full_share_and_guarantees_that_do_not_fit_are_reduced_in_proportion() {
    let all = [("a", FULL_SHARE_PPM), ("b", FULL_SHARE_PPM), ("c", FULL_SHARE_PPM)];
    let demands =
        TenantDemands(all.map(|(tenant, demand)| (name(tenant), TenantDemand { demand, debt: 0 })).into());
    let above_full = ReservedShares {
        tenants: BTreeMap::from([(name("x"), 700_000), (name("y"), u32::MAX)]),
        ..Default::default()
    };
    let nothing_left = allocate_shares(&two_federations(), &demands, &above_full);
    assert_eq!(
        (nothing_left.reserved_elsewhere, nothing_left.unallocated, nothing_left.has_reduced_guarantees),
        (FULL_SHARE_PPM, 0, true)
    );
    let most_of_fleet =
        ReservedShares { tenants: BTreeMap::from([(name("x"), 800_000)]), ..Default::default() };
    let halved = allocate_shares(&two_federations(), &demands, &most_of_fleet);
    let allocated = ["a", "b", "c"].map(|tenant| halved.tenants[tenant].share);
    // North gets half of its guarantee of 300 000, which all goes to the guarantee of a; south gets half of
    // its guarantee of 100 000.
    assert_eq!((allocated, halved.has_reduced_guarantees), ([150_000, 0, 50_000], true));
}
