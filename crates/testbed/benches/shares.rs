//! Benchmarks of fair share: the allocation of a share table, and new and repeated usage reports in the
//! ledger.
//!
//! Run with `cargo bench -p copperspread-testbed --bench shares`.
use std::collections::{BTreeMap, BTreeSet};

use copperspread_fair_share::{
    Enrollment, FULL_SHARE_PPM, FairSharePolicy, Federation, LedgerSettings, Name, Reporter, ReservedShares,
    ShareConfig, TenantDemand, TenantDemands, UsageLedger, UsageReport, allocate_shares,
};
use divan::Bencher;

/// Numbers of tenants and federations with which the share table is allocated.
const TABLE_SIZES: [(u32, u32); 3] = [(100, 10), (1_000, 30), (10_000, 100)];

fn main() {
    divan::main();
}

fn name(kind: &str, number: u32) -> Name {
    Name::new(&format!("{kind}-{number:05}")).expect("the name is valid")
}

fn share_policy(tenants: u32, federations: u32) -> FairSharePolicy {
    let federation = |number: u32| {
        let share_config =
            |tenant: u32| ShareConfig { weight: 1 + tenant % 5, guarantee: 30, ceiling: FULL_SHARE_PPM };
        let members = (number..tenants).step_by(federations as usize);
        let tenants = members.map(|tenant| (name("tenant", tenant), share_config(tenant))).collect();
        let share_config = ShareConfig {
            weight: 1 + number % 3,
            guarantee: FULL_SHARE_PPM / federations,
            ceiling: FULL_SHARE_PPM,
        };
        (name("federation", number), Federation { share_config, tenants })
    };
    FairSharePolicy::new((0..federations).map(federation).collect()).expect("the policy is valid")
}

#[divan::bench(args = TABLE_SIZES)]
fn share_table(bencher: Bencher<'_, '_>, (tenants, federations): (u32, u32)) {
    let policy = share_policy(tenants, federations);
    // Every third tenant has a small demand and every fifth a debt. The sum of demands is twice the capacity.
    let demands = (0..tenants).map(|tenant| {
        let demand = if tenant % 3 == 0 { 10 } else { 3 * FULL_SHARE_PPM / tenants };
        (
            name("tenant", tenant),
            TenantDemand { demand, debt: if tenant % 5 == 0 { FULL_SHARE_PPM / 4 } else { 0 } },
        )
    });
    let demands = TenantDemands(demands.collect());
    let reserved = ReservedShares {
        tenants: BTreeMap::from([(name("tenant", 7), 50_000)]),
        federations: BTreeMap::from([(name("federation", 3), 50_000)]),
    };
    bencher.bench_local(|| allocate_shares(&policy, &demands, &reserved));
}

/// About a million usage reports: 300 reporters each send 10 reports per second for 334 s, in turn for 1,000
/// tenants. Each report covers 1 s of one tenant, accounting windows are 10 s long, and the ledger advances
/// once per second.
#[divan::bench(sample_count = 5, sample_size = 1)]
fn million_reports(bencher: Bencher<'_, '_>) {
    let (reporters, tenants): (Vec<Name>, Vec<Name>) = (
        (0..300).map(|number| name("reporter", number)).collect(),
        (0..1_000).map(|number| name("tenant", number)).collect(),
    );
    let enrollment = Enrollment {
        reporters: reporters
            .iter()
            .map(|reporter| (reporter.clone(), Reporter { slots: 64, federation: None }))
            .collect(),
        tenants: tenants.iter().map(|tenant| (tenant.clone(), name("federation", 0))).collect(),
    };
    bencher
        .with_inputs(|| {
            let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("the settings are valid");
            ledger.enroll(enrollment.clone()).expect("the enrollment is within its limits");
            ledger
        })
        .bench_local_values(|mut ledger| {
            for second in 0..334 {
                for (index, reporter) in reporters.iter().enumerate() {
                    for part in 0..10 {
                        let (start, sequence) = (second as i64 * 1_000, second * 10 + part as u64 + 1);
                        let report = UsageReport {
                            reporter: reporter.clone(),
                            incarnation: 1,
                            sequence,
                            tenant: tenants[(index * 7 + part * 100 + second as usize) % 1_000].clone(),
                            start_ms: start,
                            end_ms: start + 1_000,
                            work: 5_000,
                            corrects: None,
                        };
                        ledger.record(start + 1_000, report).expect("the report is valid");
                    }
                }
                ledger.advance(second as i64 * 1_000 + 1_000, &BTreeSet::new());
            }
            ledger
        });
}

#[divan::bench]
fn repeated_report(bencher: Bencher<'_, '_>) {
    let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("the settings are valid");
    let (reporter, tenant) = (name("reporter", 0), name("tenant", 0));
    let reporters = BTreeMap::from([(reporter.clone(), Reporter { slots: 64, federation: None })]);
    let tenants = BTreeMap::from([(tenant.clone(), name("federation", 0))]);
    ledger.enroll(Enrollment { reporters, tenants }).expect("the enrollment is within its limits");
    let (incarnation, corrects) = (1, None);
    let report = |sequence| UsageReport {
        reporter: reporter.clone(),
        incarnation,
        sequence,
        tenant: tenant.clone(),
        start_ms: 0,
        end_ms: 1_000,
        work: 5,
        corrects,
    };
    for sequence in 1..=10_000 {
        ledger.record(1_000, report(sequence)).expect("the report is valid");
    }
    bencher.bench_local(|| ledger.record(1_000, report(5_000)));
}
