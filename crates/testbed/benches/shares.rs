//! What shares cost: a report through the ledger, a repeated one, a table. Run it with
//! `cargo bench -p copperspread-testbed --bench shares`.
use std::collections::{BTreeMap, BTreeSet};

use copperspread_fair_share::*;
use divan::Bencher;

const TABLES: [(u32, u32); 3] = [(100, 10), (1_000, 30), (10_000, 100)];

fn main() {
    divan::main();
}

fn name(kind: &str, number: u32) -> Name {
    Name::new(&format!("{kind}-{number:05}")).expect("a short name")
}

fn agreement(tenants: u32, federations: u32) -> FairSharePolicy {
    let federation = |at: u32| {
        let terms =
            |tenant: u32| ShareConfig { weight: 1 + tenant % 5, guarantee: 30, ceiling: FULL_SHARE_PPM };
        let of = (at..tenants).step_by(federations as usize);
        let tenants = of.map(|tenant| (name("tenant", tenant), terms(tenant))).collect();
        let terms = ShareConfig {
            weight: 1 + at % 3,
            guarantee: FULL_SHARE_PPM / federations,
            ceiling: FULL_SHARE_PPM,
        };
        (name("federation", at), Federation { share_config: terms, tenants })
    };
    FairSharePolicy::new((0..federations).map(federation).collect()).expect("it can be kept")
}

#[divan::bench(args = TABLES)]
fn table_of(bencher: Bencher<'_, '_>, (tenants, federations): (u32, u32)) {
    let agreement = agreement(tenants, federations);
    // Every third wants little, every fifth owes something; together they want twice of all that there is.
    let used = (0..tenants).map(|at| {
        let demand = if at % 3 == 0 { 10 } else { 3 * FULL_SHARE_PPM / tenants };
        (name("tenant", at), TenantDemand { demand, debt: if at % 5 == 0 { FULL_SHARE_PPM / 4 } else { 0 } })
    });
    let usage = TenantDemands(used.collect());
    let reserved = ReservedShares {
        tenants: BTreeMap::from([(name("tenant", 7), 50_000)]),
        federations: BTreeMap::from([(name("federation", 3), 50_000)]),
    };
    bencher.bench_local(|| allocate_shares(&agreement, &usage, &reserved));
}

/// Reports of 300 reporters on 1,000 tenants: each of 1 s, in windows of 10 s, closed each second.
#[divan::bench(sample_count = 5, sample_size = 1)]
fn a_million_reports(bencher: Bencher<'_, '_>) {
    let (reporters, tenants): (Vec<Name>, Vec<Name>) = (
        (0..300).map(|at| name("reporter", at)).collect(),
        (0..1_000).map(|at| name("tenant", at)).collect(),
    );
    let roll = Enrollment {
        reporters: reporters
            .iter()
            .map(|one| (one.clone(), Reporter { slots: 64, federation: None }))
            .collect(),
        tenants: tenants.iter().map(|one| (one.clone(), name("federation", 0))).collect(),
    };
    bencher
        .with_inputs(|| {
            let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("good settings");
            ledger.enroll(roll.clone()).expect("a small roll");
            ledger
        })
        .bench_local_values(|mut ledger| {
            for second in 0..334 {
                for (at, reporter) in reporters.iter().enumerate() {
                    for one in 0..10 {
                        let (start, sequence) = (second as i64 * 1_000, second * 10 + one as u64 + 1);
                        let report = UsageReport {
                            reporter: reporter.clone(),
                            incarnation: 1,
                            sequence,
                            tenant: tenants[(at * 7 + one * 100 + second as usize) % 1_000].clone(),
                            start_ms: start,
                            end_ms: start + 1_000,
                            work: 5_000,
                            corrects: None,
                        };
                        ledger.record(start + 1_000, report).expect("a good report");
                    }
                }
                ledger.advance(second as i64 * 1_000 + 1_000, &BTreeSet::new());
            }
            ledger
        });
}

#[divan::bench]
fn a_repeated_report(bencher: Bencher<'_, '_>) {
    let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("good settings");
    let (reporter, tenant) = (name("reporter", 0), name("tenant", 0));
    let reporters = BTreeMap::from([(reporter.clone(), Reporter { slots: 64, federation: None })]);
    let tenants = BTreeMap::from([(tenant.clone(), name("federation", 0))]);
    ledger.enroll(Enrollment { reporters, tenants }).expect("a small roll");
    let (generation, corrects) = (1, None);
    let report = |sequence| UsageReport {
        reporter: reporter.clone(),
        incarnation: generation,
        sequence,
        tenant: tenant.clone(),
        start_ms: 0,
        end_ms: 1_000,
        work: 5,
        corrects,
    };
    for sequence in 1..=10_000 {
        ledger.record(1_000, report(sequence)).expect("a good report");
    }
    bencher.bench_local(|| ledger.record(1_000, report(5_000)));
}
