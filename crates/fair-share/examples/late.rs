//! A million reports through the ledger, 30 % of them late: its memory, and how far provisional shares are off.
//! Run it with `cargo run --release -p copperspread-fair-share --example late`.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use copperspread_fair_share::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REPORTERS: u32 = 300;
const SLOTS: u32 = 64;
const TENANTS: u32 = 1_000;
const FEDERATIONS: u32 = 30;
/// Reports of a reporter in each step of 3 s.
const EACH: u32 = 10;
const STEPS: i64 = 334;
const STEP: i64 = 3_000;
const WINDOW: i64 = 10_000;
/// A window's slot-milliseconds of the whole fleet.
const CAPACITY: u64 = REPORTERS as u64 * SLOTS as u64 * WINDOW as u64;

fn name(kind: &str, number: u32) -> Name {
    Name::new(&format!("{kind}-{number:04}")).expect("a short name")
}

fn agreement() -> FairSharePolicy {
    let federations = (0..FEDERATIONS).map(|at| {
        let of = (at..TENANTS).step_by(FEDERATIONS as usize);
        let terms = |tenant: u32| ShareConfig { weight: 1 + tenant % 5, guarantee: 300, ceiling: 200_000 };
        let tenants = of.map(|tenant| (name("tenant", tenant), terms(tenant))).collect();
        let terms = ShareConfig { weight: 1 + at % 3, guarantee: 12_000, ceiling: 500_000 };
        (name("federation", at), Federation { share_config: terms, tenants })
    });
    FairSharePolicy::new(federations.collect()).expect("it can be kept")
}

/// Every report with the instant at which it arrives: most within a second, 30 % within a minute. Each tells of
/// from so many percent to all of what the pool can do.
fn reports(least: u64) -> Vec<(i64, UsageReport)> {
    let mut rng = Pcg64Mcg::seed_from_u64(28);
    let mut reports = Vec::new();
    for step in 0..STEPS {
        for reporter in 0..REPORTERS {
            for one in 0..EACH {
                // Few tenants do most of the work, and which ones changes from minute to minute.
                let tenant = (rng.random_range(0..TENANTS) * rng.random_range(0..TENANTS) / TENANTS
                    + (step / 20) as u32)
                    % TENANTS;
                let (start, end) = (step * STEP, (step + 1) * STEP);
                let late = rng.random_range(0..10) < 3;
                let arrives = end + rng.random_range(0..if late { 60_000 } else { 1_000 });
                let report = UsageReport {
                    reporter: name("reporter", reporter),
                    incarnation: 1,
                    sequence: (step as u64) * u64::from(EACH) + u64::from(one) + 1,
                    tenant: name("tenant", tenant),
                    start_ms: start,
                    end_ms: end,
                    work: rng.random_range(least..=100) * u64::from(SLOTS) * STEP as u64
                        / u64::from(EACH)
                        / 100,
                    corrects: None,
                };
                reports.push((arrives, report));
            }
        }
    }
    reports.sort_by_key(|(arrives, _)| *arrives);
    reports
}

fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("good settings");
    let reporter = |number| (name("reporter", number), Reporter { slots: SLOTS, federation: None });
    let tenant = |number| (name("tenant", number), name("federation", number % FEDERATIONS));
    let (reporters, tenants) = ((0..REPORTERS).map(reporter).collect(), (0..TENANTS).map(tenant).collect());
    ledger.enroll(Enrollment { reporters, tenants }).expect("a small roll");
    ledger
}

/// Resident memory in MB.
fn resident() -> f64 {
    let statm = procfs::process::Process::myself().and_then(|own| own.statm());
    statm.map_or(f64::NAN, |statm| (statm.resident * procfs::page_size()) as f64 / 1e6)
}

fn shares(agreement: &FairSharePolicy, work: &BTreeMap<Name, u64>) -> ShareTable {
    let usage = TenantDemands::from_measured_usage(agreement, work, CAPACITY, &BTreeMap::new());
    allocate_shares(agreement, &usage, &ReservedShares::default())
}

/// How far tables are off, in parts in a million.
#[derive(Default)]
struct Off {
    tables: u64,
    most: u32,
    most_moved: u64,
    moved: u64,
    bound: u64,
}

impl Off {
    fn add(&mut self, table: &ShareTable, truth: &ShareTable, unknown: u64) {
        let off = |(tenant, share): (&Name, &TenantShare)| share.share.abs_diff(truth.tenants[tenant].share);
        let moved: u64 = table.tenants.iter().map(|one| u64::from(off(one))).sum::<u64>() / 2;
        self.most = self.most.max(table.tenants.iter().map(off).max().unwrap_or(0));
        (self.tables, self.moved) = (self.tables + 1, self.moved + moved);
        self.most_moved = self.most_moved.max(moved);
        self.bound = self.bound.max((2 * u128::from(unknown) * 1_000_000 / u128::from(CAPACITY)) as u64 + 8);
    }

    fn tell(&self, what: &str) {
        let mean = self.moved as f64 / self.tables.max(1) as f64 / 1e4;
        let (most, tenant) = (self.most_moved as f64 / 1e4, f64::from(self.most) / 1e4);
        let bound = self.bound.min(1_000_000) as f64 / 1e4;
        println!(
            "{what}: {} tables, of the fleet {mean:.2} % is misplaced on average, at most {most:.2} %; one tenant is \
             off by at most {tenant:.3} %, the bound is {bound:.1} %",
            self.tables
        );
    }
}

fn main() {
    for (what, least) in [("half busy", 0), ("nearly full", 80)] {
        println!("== {what}");
        play(least);
    }
}

fn play(least: u64) {
    let (agreement, reports, nobody) = (agreement(), reports(least), BTreeSet::new());
    let mut whole = ledger();
    let count = reports.len();

    // Everything at once, in the order of its sequences: the truth, and the ledger's memory.
    let mut sorted: Vec<UsageReport> = reports.iter().map(|(_, report)| report.clone()).collect();
    sorted.sort_by(|a, b| (a.start_ms, &a.reporter, a.sequence).cmp(&(b.start_ms, &b.reporter, b.sequence)));
    let (before, began) = (resident(), Instant::now());
    for report in sorted.iter().cloned() {
        whole.record(STEPS * STEP, report).expect("a good report");
    }
    let spent = began.elapsed().as_secs_f64();
    let per = spent * 1e9 / count as f64;
    println!("{count} reports at once: {per:.0} ns each, {:.1} MB resident", resident() - before);
    let stored = postcard::to_allocvec(&whole).expect("it can be written").len();
    println!("stored: {:.1} MB", stored as f64 / 1e6);
    let truth: BTreeMap<i64, ShareTable> = (0..STEPS * STEP / WINDOW)
        .map(|window| (window, shares(&agreement, &whole.provisional_usage(window * WINDOW).work)))
        .collect();
    let closed = whole.advance(STEPS * STEP + 60_000, &nobody);
    whole
        .record(
            10_000_000,
            UsageReport { start_ms: 9_999_000, end_ms: 10_000_000, sequence: 3_341, ..sorted[0].clone() },
        )
        .ok();
    whole.advance(10_100_000, &nobody);
    let stored = postcard::to_allocvec(&whole).expect("it can be written").len();
    println!(
        "after {} windows closed and the horizon passed: {:.1} kB stored",
        closed.len(),
        stored as f64 / 1e3
    );

    // As they arrive.
    let mut live = ledger();
    let (mut at_end, mut later, mut last) = (Off::default(), Off::default(), Off::default());
    let (mut adjusted, mut worked, mut took) = (0, 0, 0.0);
    let mut arriving = reports.into_iter().peekable();
    for second in 1..=(STEPS * STEP / 1_000 + 100) {
        let now = second * 1_000;
        let began = Instant::now();
        while let Some((_, report)) = arriving.next_if(|(arrives, _)| *arrives <= now) {
            live.record(now, report).expect("a good report");
        }
        let closed = live.advance(now, &nobody);
        took += began.elapsed().as_secs_f64();
        for (after, off) in [(0, &mut at_end), (10_000, &mut later)] {
            let end = now - after;
            if let Some(truth) = truth.get(&(end / WINDOW - 1)).filter(|_| end % WINDOW == 0) {
                let known = live.provisional_usage(end - 1);
                off.add(&shares(&agreement, &known.work), truth, known.max_outstanding);
            }
        }
        for one in closed {
            worked += one.work.values().sum::<u64>();
            adjusted += one.adjustments.values().sum::<i64>();
            if let Some(truth) = truth.get(&one.index) {
                last.add(&shares(&agreement, &one.work), truth, 0);
            }
        }
    }
    println!("as they arrive: {:.0} ns a report, windows closed each second", took * 1e9 / count as f64);
    at_end.tell("provisional at a window's end");
    later.tell("provisional 10 s after it");
    last.tell("closed, 30 s after it, what comes later aside");
    let all: u64 = sorted.iter().map(|report| report.work).sum();
    let part = adjusted as f64 * 100.0 / all as f64;
    println!(
        "settled as adjustments: {part:.2} % of the work; lost: {}",
        all as i64 - worked as i64 - adjusted
    );
}
