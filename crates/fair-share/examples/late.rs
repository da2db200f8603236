//! Measures a usage ledger that gets a million reports, 30 % of them late: its memory, the time per report,
//! and the error of the provisional shares.
//!
//! Run it with `cargo run --release -p copperspread-fair-share --example late`.
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use copperspread_fair_share::{
    ClosedWindow, Enrollment, FairSharePolicy, Federation, LedgerSettings, Name, Reporter, ReservedShares,
    ShareConfig, ShareTable, TenantDemands, TenantShare, UsageLedger, UsageReport, allocate_shares,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REPORTER_COUNT: u32 = 300;
const SLOTS_PER_REPORTER: u32 = 64;
const TENANT_COUNT: u32 = 1_000;
const FEDERATION_COUNT: u32 = 30;
/// Number of reports that each reporter sends in a step.
const REPORTS_PER_REPORTER_AND_STEP: u32 = 10;
const STEP_COUNT: i64 = 334;
const STEP_MS: i64 = 3_000;
const WINDOW_MS: i64 = 10_000;
/// Capacity of the whole fleet in a window, in slot-milliseconds.
const CAPACITY: u64 = REPORTER_COUNT as u64 * SLOTS_PER_REPORTER as u64 * WINDOW_MS as u64;

fn name(kind: &str, number: u32) -> Name {
    Name::new(&format!("{kind}-{number:04}")).expect("the name should be valid")
}

fn policy() -> FairSharePolicy {
    let federations = (0..FEDERATION_COUNT).map(|number| {
        let tenants = (number..TENANT_COUNT).step_by(FEDERATION_COUNT as usize).map(|tenant| {
            let share_config = ShareConfig { weight: 1 + tenant % 5, guarantee: 300, ceiling: 200_000 };
            (name("tenant", tenant), share_config)
        });
        let share_config = ShareConfig { weight: 1 + number % 3, guarantee: 12_000, ceiling: 500_000 };
        (name("federation", number), Federation { share_config, tenants: tenants.collect() })
    });
    FairSharePolicy::new(federations.collect()).expect("the policy should be valid")
}

/// Returns each report with its arrival time, sorted by it: most arrive within a second after their end, 30 %
/// within a minute. Each report states from `min_percent` to 100 % of its part of the pool's capacity.
fn reports(min_percent: u64) -> Vec<(i64, UsageReport)> {
    let mut rng = Pcg64Mcg::seed_from_u64(28);
    let mut reports = Vec::new();
    for step in 0..STEP_COUNT {
        for reporter in 0..REPORTER_COUNT {
            for number in 0..REPORTS_PER_REPORTER_AND_STEP {
                reports.push(random_report(&mut rng, step, reporter, number, min_percent));
            }
        }
    }
    reports.sort_by_key(|(arrival_ms, _)| *arrival_ms);
    reports
}

fn random_report(
    rng: &mut Pcg64Mcg,
    step: i64,
    reporter: u32,
    number: u32,
    min_percent: u64,
) -> (i64, UsageReport) {
    // A few tenants do most of the work, and which ones they are changes over the minutes.
    let skewed = rng.random_range(0..TENANT_COUNT) * rng.random_range(0..TENANT_COUNT) / TENANT_COUNT;
    let tenant = (skewed + (step / 20) as u32) % TENANT_COUNT;
    let (start_ms, end_ms) = (step * STEP_MS, (step + 1) * STEP_MS);
    let is_late = rng.random_range(0..10) < 3;
    let arrival_ms = end_ms + rng.random_range(0..if is_late { 60_000 } else { 1_000 });
    let step_capacity = u64::from(SLOTS_PER_REPORTER) * STEP_MS as u64;
    let report = UsageReport {
        reporter: name("reporter", reporter),
        incarnation: 1,
        sequence: (step as u64) * u64::from(REPORTS_PER_REPORTER_AND_STEP) + u64::from(number) + 1,
        tenant: name("tenant", tenant),
        start_ms,
        end_ms,
        work: rng.random_range(min_percent..=100) * step_capacity
            / u64::from(REPORTS_PER_REPORTER_AND_STEP)
            / 100,
        corrects: None,
    };
    (arrival_ms, report)
}

fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("the settings should be valid");
    let reporter =
        |number| (name("reporter", number), Reporter { slots: SLOTS_PER_REPORTER, federation: None });
    let tenant = |number| (name("tenant", number), name("federation", number % FEDERATION_COUNT));
    let (reporters, tenants) =
        ((0..REPORTER_COUNT).map(reporter).collect(), (0..TENANT_COUNT).map(tenant).collect());
    ledger.enroll(Enrollment { reporters, tenants }).expect("the enrollment should be within its limits");
    ledger
}

fn resident_megabytes() -> f64 {
    let statm = procfs::process::Process::myself().and_then(|process| process.statm());
    statm.map_or(f64::NAN, |statm| (statm.resident * procfs::page_size()) as f64 / 1e6)
}

fn stored_bytes(ledger: &UsageLedger) -> f64 {
    postcard::to_allocvec(ledger).expect("the ledger should be serializable").len() as f64
}

fn share_table(policy: &FairSharePolicy, work: &BTreeMap<Name, u64>) -> ShareTable {
    let demands = TenantDemands::from_measured_usage(policy, work, CAPACITY, &BTreeMap::new());
    allocate_shares(policy, &demands, &ReservedShares::default())
}

/// Deviation of share tables from the expected ones, in parts per million of the fleet.
#[derive(Default)]
struct ShareDeviation {
    table_count: u64,
    /// Maximum error of the share of one tenant.
    max_tenant_error: u32,
    /// Maximum, over the tables, of the share that is allocated to other tenants than expected.
    max_misallocated: u64,
    /// Sum, over the tables, of the share that is allocated to other tenants than expected.
    misallocated_sum: u64,
    /// Maximum, over the tables, of the upper bound on the error of one tenant, which follows from the
    /// outstanding work.
    bound: u64,
}

impl ShareDeviation {
    fn add(&mut self, table: &ShareTable, expected: &ShareTable, max_outstanding: u64) {
        let difference =
            |(tenant, share): (&Name, &TenantShare)| share.share.abs_diff(expected.tenants[tenant].share);
        let misallocated = table.tenants.iter().map(|share| u64::from(difference(share))).sum::<u64>() / 2;
        let max_tenant_error = table.tenants.iter().map(difference).max().unwrap_or(0);
        // Twice the outstanding work in parts per million of the fleet, and 8 for the rounding of shares.
        let bound = (2 * u128::from(max_outstanding) * 1_000_000 / u128::from(CAPACITY)) as u64 + 8;
        self.table_count += 1;
        self.max_tenant_error = self.max_tenant_error.max(max_tenant_error);
        self.max_misallocated = self.max_misallocated.max(misallocated);
        self.misallocated_sum += misallocated;
        self.bound = self.bound.max(bound);
    }

    fn print(&self, title: &str) {
        let mean = self.misallocated_sum as f64 / self.table_count.max(1) as f64 / 1e4;
        let (most, tenant) = (self.max_misallocated as f64 / 1e4, f64::from(self.max_tenant_error) / 1e4);
        let bound = self.bound.min(1_000_000) as f64 / 1e4;
        println!(
            "{title}: {} tables; misallocated share of the fleet: {mean:.2} % on average, at most {most:.2} %; error \
             of one tenant: at most {tenant:.3} %, by the bound at most {bound:.1} %",
            self.table_count
        );
    }
}

fn main() {
    for (title, min_percent) in [("half of capacity used", 0), ("nearly full capacity used", 80)] {
        println!("== {title}");
        let reports = reports(min_percent);
        let expected = record_at_once(&reports);
        record_as_they_arrive(reports, &expected);
    }
}

/// Records all reports without an advance in between, ordered by start, reporter and sequence number, and
/// prints the time per report and the size of the ledger. Returns the share tables of the complete usage by
/// window.
fn record_at_once(reports: &[(i64, UsageReport)]) -> BTreeMap<i64, ShareTable> {
    let mut sorted: Vec<UsageReport> = reports.iter().map(|(_, report)| report.clone()).collect();
    sorted.sort_by(|a, b| (a.start_ms, &a.reporter, a.sequence).cmp(&(b.start_ms, &b.reporter, b.sequence)));
    let (mut ledger, policy, no_dead) = (ledger(), policy(), BTreeSet::new());
    let (resident_before, began) = (resident_megabytes(), Instant::now());
    for report in sorted.iter().cloned() {
        ledger.record(STEP_COUNT * STEP_MS, report).expect("the report should be accepted");
    }
    let nanoseconds = began.elapsed().as_secs_f64() * 1e9 / sorted.len() as f64;
    let resident = resident_megabytes() - resident_before;
    println!(
        "{} reports recorded at once: {nanoseconds:.0} ns per report, {resident:.1} MB resident",
        sorted.len()
    );
    println!("serialized ledger: {:.1} MB", stored_bytes(&ledger) / 1e6);
    let tables = (0..STEP_COUNT * STEP_MS / WINDOW_MS)
        .map(|window| (window, share_table(&policy, &ledger.provisional_usage(window * WINDOW_MS).work)))
        .collect();
    let closed = ledger.advance(STEP_COUNT * STEP_MS + 60_000, &no_dead);
    // Advances far past the horizon, so that all earlier windows and entries are discarded.
    let last = UsageReport { start_ms: 9_999_000, end_ms: 10_000_000, sequence: 3_341, ..sorted[0].clone() };
    ledger.record(10_000_000, last).ok();
    ledger.advance(10_100_000, &no_dead);
    println!(
        "serialized ledger after {} windows were closed and discarded: {:.1} kB",
        closed.len(),
        stored_bytes(&ledger) / 1e3
    );
    tables
}

/// Measurements of a ledger that records reports as they arrive.
#[derive(Default)]
struct ArrivalMeasurements {
    at_window_end: ShareDeviation,
    ten_seconds_later: ShareDeviation,
    closed: ShareDeviation,
    work: u64,
    adjustments: i64,
}

impl ArrivalMeasurements {
    /// Adds the errors of the provisional shares of the windows that ended now and 10 s ago.
    fn add_provisional(
        &mut self,
        ledger: &UsageLedger,
        now_ms: i64,
        policy: &FairSharePolicy,
        expected: &BTreeMap<i64, ShareTable>,
    ) {
        for (delay_ms, error) in [(0, &mut self.at_window_end), (10_000, &mut self.ten_seconds_later)] {
            let end_ms = now_ms - delay_ms;
            let ended = expected.get(&(end_ms / WINDOW_MS - 1)).filter(|_| end_ms % WINDOW_MS == 0);
            let Some(expected) = ended else { continue };
            let provisional = ledger.provisional_usage(end_ms - 1);
            error.add(&share_table(policy, &provisional.work), expected, provisional.max_outstanding);
        }
    }

    fn add_closed(
        &mut self,
        window: &ClosedWindow,
        policy: &FairSharePolicy,
        expected: &BTreeMap<i64, ShareTable>,
    ) {
        self.work += window.work.values().sum::<u64>();
        self.adjustments += window.adjustments.values().sum::<i64>();
        if let Some(expected) = expected.get(&window.index) {
            self.closed.add(&share_table(policy, &window.work), expected, 0);
        }
    }

    fn print(&self, reported_work: u64) {
        self.at_window_end.print("provisional shares at the end of a window");
        self.ten_seconds_later.print("provisional shares 10 s after the end of a window");
        self.closed.print(
            "shares of windows when they close, at most 30 s after their end, without later adjustments",
        );
        let percent = self.adjustments as f64 * 100.0 / reported_work as f64;
        println!(
            "settled as adjustments: {percent:.2} % of the work; lost work: {} slot-ms",
            reported_work as i64 - self.work as i64 - self.adjustments
        );
    }
}

/// Records each report when it arrives, advances the ledger each second, and prints the errors of the shares.
fn record_as_they_arrive(reports: Vec<(i64, UsageReport)>, expected: &BTreeMap<i64, ShareTable>) {
    let (mut ledger, policy, no_dead) = (ledger(), policy(), BTreeSet::new());
    let (count, reported_work) = (reports.len(), reports.iter().map(|(_, report)| report.work).sum());
    let (mut measurements, mut elapsed) = (ArrivalMeasurements::default(), Duration::ZERO);
    let mut arriving = reports.into_iter().peekable();
    for second in 1..=(STEP_COUNT * STEP_MS / 1_000 + 100) {
        let now_ms = second * 1_000;
        let began = Instant::now();
        while let Some((_, report)) = arriving.next_if(|(arrival_ms, _)| *arrival_ms <= now_ms) {
            ledger.record(now_ms, report).expect("the report should be accepted");
        }
        let closed = ledger.advance(now_ms, &no_dead);
        elapsed += began.elapsed();
        measurements.add_provisional(&ledger, now_ms, &policy, expected);
        closed.iter().for_each(|window| measurements.add_closed(window, &policy, expected));
    }
    let nanoseconds = elapsed.as_secs_f64() * 1e9 / count as f64;
    println!("reports recorded as they arrive, ledger advanced each second: {nanoseconds:.0} ns per report");
    measurements.print(reported_work);
}
