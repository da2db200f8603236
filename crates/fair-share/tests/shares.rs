//! What the table of shares holds, on random agreements.
use std::collections::BTreeMap;

use copperspread_fair_share::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

/// Federations `f0..` of tenants `t0_0..`; the guarantees fit into each other, with some air.
fn agreements() -> impl Strategy<Value = FairSharePolicy> {
    let tenant = (1_u32..10, 0_u32..50_000, 0_u32..400_000);
    let federation = (1_u32..10, 0_u32..20_000, 0_u32..600_000, prop::collection::vec(tenant, 1..5));
    prop::collection::vec(federation, 1..5).prop_map(|federations| {
        let whole = federations.into_iter().enumerate().map(|(at, (weight, air, room, tenants))| {
            let guarantee = air + tenants.iter().map(|tenant| tenant.1).sum::<u32>();
            let tenants = tenants.into_iter().enumerate().map(|(of, (weight, guarantee, room))| {
                (name(&format!("t{at}_{of}")), ShareConfig { weight, guarantee, ceiling: guarantee + room })
            });
            let terms = ShareConfig { weight, guarantee, ceiling: (guarantee + room).min(FULL_SHARE_PPM) };
            (name(&format!("f{at}")), Federation { share_config: terms, tenants: tenants.collect() })
        });
        FairSharePolicy::new(whole.collect()).expect("it can be kept")
    })
}

fn usages() -> impl Strategy<Value = TenantDemands> {
    let one = (0_u32..5, 0_u32..5, 0_u32..500_000, 0_u32..1_200_000);
    prop::collection::vec(one, 0..20).prop_map(|uses| {
        let used = uses
            .into_iter()
            .map(|(f, t, demand, debt)| (name(&format!("t{f}_{t}")), TenantDemand { demand, debt }));
        TenantDemands(used.collect())
    })
}

fn reservations(most: u32) -> impl Strategy<Value = ReservedShares> {
    let some = move || prop::collection::vec((0_u32..5, 0_u32..5, 0..=most), 0..3);
    (some(), some()).prop_map(|(tenants, federations)| ReservedShares {
        tenants: tenants.into_iter().map(|(f, t, part)| (name(&format!("t{f}_{t}")), part)).collect(),
        federations: federations.into_iter().map(|(f, _, part)| (name(&format!("f{f}")), part)).collect(),
    })
}

fn wanted(usage: &TenantDemands, tenant: &Name) -> u32 {
    usage.0.get(tenant).map_or(0, |used| used.demand)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_parts_always_add_up_to_the_whole_whatever_is_reserved(
        agreement in agreements(), usage in usages(), reserved in reservations(700_000),
    ) {
        let table = allocate_shares(&agreement, &usage, &reserved);
        let heads: u32 = table.federations.values().sum();
        prop_assert_eq!(heads + table.reserved_elsewhere + table.unallocated, FULL_SHARE_PPM);
        for (name, federation) in agreement.federations() {
            let of: u32 = federation.tenants.keys().map(|tenant| table.tenants[tenant].share).sum();
            let own = reserved.federations.get(name).copied().unwrap_or(0);
            prop_assert!(of <= table.federations[name] && table.federations[name] - of <= own);
        }
    }

    #[test]
    fn nobody_wants_more_below_its_guarantee_and_nobody_is_above_its_ceiling(
        agreement in agreements(), usage in usages(), reserved in reservations(30_000),
    ) {
        let table = allocate_shares(&agreement, &usage, &reserved);
        for (_, tenant, terms) in agreement.tenants() {
            let share = table.tenants[tenant];
            prop_assert!(table.has_reduced_guarantees || share.share >= terms.guarantee.min(wanted(&usage, tenant)));
            prop_assert!(share.share <= terms.ceiling.max(share.reserved));
            prop_assert!(share.share <= wanted(&usage, tenant).max(share.reserved));
        }
        for (name, federation) in agreement.federations() {
            let tenants = || federation.tenants.iter();
            let own = reserved.federations.get(name).copied().unwrap_or(0)
                + tenants().map(|(tenant, _)| table.tenants[tenant].reserved).sum::<u32>();
            // Its own tenants' guarantees stand above its ceiling only where reservations eat it up.
            let least = own + tenants().map(|(_, terms)| terms.guarantee).sum::<u32>();
            prop_assert!(table.federations[name] <= federation.share_config.ceiling.max(least));
            // Its guarantee is its tenants', as far as they want it.
            let want: u32 = tenants().map(|(tenant, terms)| wanted(&usage, tenant).min(terms.ceiling)).sum();
            prop_assert!(table.has_reduced_guarantees || table.federations[name] >= federation.share_config.guarantee.min(want));
        }
    }

    #[test]
    fn all_is_given_out_when_enough_is_wanted_and_nothing_stands_against_it(
        agreement in agreements(), usage in usages(),
    ) {
        let table = allocate_shares(&agreement, &usage, &ReservedShares::default());
        let could: u64 = agreement.federations().values().map(|federation| {
            let tenants = federation.tenants.iter();
            let want: u32 = tenants.map(|(tenant, terms)| wanted(&usage, tenant).min(terms.ceiling)).sum();
            u64::from(want.min(federation.share_config.ceiling))
        }).sum();
        let got: u64 = table.tenants.values().map(|share| u64::from(share.share)).sum();
        prop_assert_eq!(got, could.min(FULL_SHARE_PPM.into()));
    }

    #[test]
    fn more_demand_of_one_never_takes_from_anothers_guarantee_and_moves_no_more_than_itself(
        agreement in agreements(), usage in usages(), at in any::<prop::sample::Index>(), more in 0_u32..300_000,
    ) {
        let tenants: Vec<&Name> = agreement.tenants().map(|(_, tenant, _)| tenant).collect();
        let whose = tenants[at.index(tenants.len())];
        let mut higher = usage.clone();
        higher.0.entry(whose.clone()).or_default().demand += more;
        let before = allocate_shares(&agreement, &usage, &ReservedShares::default());
        let after = allocate_shares(&agreement, &higher, &ReservedShares::default());
        let mut moved = 0;
        for (_, tenant, terms) in agreement.tenants() {
            let (was, is) = (before.tenants[tenant].share, after.tenants[tenant].share);
            if tenant != whose {
                prop_assert!(is >= terms.guarantee.min(wanted(&usage, tenant)));
                moved += was.saturating_sub(is);
            }
            // Two roundings before, two after, each by less than one.
            prop_assert!(was.abs_diff(is) <= more + 4, "{tenant}: {was} to {is} by {more}");
        }
        prop_assert!(moved <= more + 4 * tenants.len() as u32);
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

/// North, weight 3, of a (guaranteed 200 000) and b; south, weight 1, of c.
fn two() -> FairSharePolicy {
    let north = federation(3, 300_000, &[("a", 1, 200_000), ("b", 1, 0)]);
    let south = federation(1, 100_000, &[("c", 1, 100_000)]);
    FairSharePolicy::new([(name("north"), north), (name("south"), south)].into()).expect("it can be kept")
}

#[test]
fn a_table_gives_each_what_weights_guarantees_debts_and_reservations_say() {
    let all = FULL_SHARE_PPM;
    // Demand and debt of a, b and c; reserved for a, for south; the shares of a, b and c, and what is spare.
    type Case = ([(u32, u32); 3], (u32, u32), [u32; 3], u32);
    let cases: [Case; 9] = [
        ([(all, 0), (all, 0), (all, 0)], (0, 0), [375_000, 375_000, 250_000], 0),
        // What a leaves goes to its neighbour first, as the federations' weights stay.
        ([(100_000, 0), (all, 0), (all, 0)], (0, 0), [100_000, 650_000, 250_000], 0),
        // What a federation leaves goes to the other.
        ([(100_000, 0), (100_000, 0), (all, 0)], (0, 0), [100_000, 100_000, 800_000], 0),
        ([(100_000, 0), (100_000, 0), (50_000, 0)], (0, 0), [100_000, 100_000, 50_000], 750_000),
        // A debt of a whole entitlement halves the weight; a guarantee stands above it.
        ([(all, 0), (all, all), (all, 0)], (0, 0), [500_000, 250_000, 250_000], 0),
        ([(all, 2 * all), (all, 0), (all, 0)], (0, 0), [250_000, 500_000, 250_000], 0),
        // Reservations come off first, and count towards the owner's guarantee.
        ([(all, 0), (all, 0), (all, 0)], (400_000, 0), [400_000 + 225_000, 225_000, 150_000], 0),
        ([(100_000, 0), (all, 0), (all, 0)], (400_000, 0), [400_000, 450_000, 150_000], 0),
        // What of a federation's reservation nobody there wants stays with it.
        ([(all, 0), (all, 0), (50_000, 0)], (0, 200_000), [400_000, 400_000, 50_000], 0),
    ];
    for (uses, (of_a, of_south), shares, spare) in cases {
        let used = ["a", "b", "c"].into_iter().zip(uses);
        let used = used.map(|(tenant, (demand, debt))| (name(tenant), TenantDemand { demand, debt }));
        let reserved = ReservedShares {
            tenants: BTreeMap::from([(name("a"), of_a)]),
            federations: BTreeMap::from([(name("south"), of_south)]),
        };
        let table = allocate_shares(&two(), &TenantDemands(used.collect()), &reserved);
        let got = ["a", "b", "c"].map(|tenant| table.tenants[tenant].share);
        assert_eq!((got, table.unallocated), (shares, spare), "{uses:?} {of_a} {of_south}");
    }
}

#[test]
fn reservations_above_the_whole_are_cut_and_short_guarantees_are_cut_in_proportion() {
    let all = [("a", FULL_SHARE_PPM), ("b", FULL_SHARE_PPM), ("c", FULL_SHARE_PPM)];
    let usage =
        TenantDemands(all.map(|(tenant, demand)| (name(tenant), TenantDemand { demand, debt: 0 })).into());
    let gone = ReservedShares {
        tenants: BTreeMap::from([(name("x"), 700_000), (name("y"), u32::MAX)]),
        ..Default::default()
    };
    let nothing = allocate_shares(&two(), &usage, &gone);
    assert_eq!(
        (nothing.reserved_elsewhere, nothing.unallocated, nothing.has_reduced_guarantees),
        (FULL_SHARE_PPM, 0, true)
    );
    let most = ReservedShares { tenants: BTreeMap::from([(name("x"), 800_000)]), ..Default::default() };
    let half = allocate_shares(&two(), &usage, &most);
    let got = ["a", "b", "c"].map(|tenant| half.tenants[tenant].share);
    // Half of 300 000 for north, of which a's guarantee comes first, and half of 100 000 for south.
    assert_eq!((got, half.has_reduced_guarantees), ([150_000, 0, 50_000], true));
}
