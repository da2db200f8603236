//! Plays a million reports to a ledger, 30 % of them late: the ledger's memory, and how far provisional shares are
//! off. Run it with `cargo run --release -p copperspread-fair-share --example late`.
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use copperspread_fair_share::{
    ClosedWindow, Enrollment, FairSharePolicy, Federation, LedgerSettings, Name, Reporter, ReservedShares,
    ShareConfig, ShareTable, TenantDemands, TenantShare, UsageLedger, UsageReport, allocate_shares,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REPORTERS: u32 = 300;
const SLOTS: u32 = 64;
const TENANTS: u32 = 1_000;
const FEDERATIONS: u32 = 30;
const REPORTS_PER_STEP: u32 = 10;
const STEPS: i64 = 334;
const STEP_MS: i64 = 3_000;
const WINDOW_MS: i64 = 10_000;
/// Work of the whole fleet in a window, in slot-milliseconds.
const CAPACITY: u64 = REPORTERS as u64 * SLOTS as u64 * WINDOW_MS as u64;

fn name(kind: &str, number: u32) -> Name {
    Name::new(&format!("{kind}-{number:04}")).expect("a short name")
}

fn policy() -> FairSharePolicy {
    let federations = (0..FEDERATIONS).map(|number| {
        let tenants = (number..TENANTS).step_by(FEDERATIONS as usize).map(|tenant| {
            let share_config = ShareConfig { weight: 1 + tenant % 5, guarantee: 300, ceiling: 200_000 };
            (name("tenant", tenant), share_config)
        });
        let share_config = ShareConfig { weight: 1 + number % 3, guarantee: 12_000, ceiling: 500_000 };
        (name("federation", number), Federation { share_config, tenants: tenants.collect() })
    });
    FairSharePolicy::new(federations.collect()).expect("a valid policy")
}

/// Every report with the instant at which it arrives: most within a second, 30 % within a minute. Each states from
/// `min_percent` to all of what the pool can do.
fn reports(min_percent: u64) -> Vec<(i64, UsageReport)> {
    let mut rng = Pcg64Mcg::seed_from_u64(28);
    let mut reports = Vec::new();
    for step in 0..STEPS {
        for reporter in 0..REPORTERS {
            for number in 0..REPORTS_PER_STEP {
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
    // Few tenants do most of the work, and which ones changes from minute to minute.
    let skewed = rng.random_range(0..TENANTS) * rng.random_range(0..TENANTS) / TENANTS;
    let tenant = (skewed + (step / 20) as u32) % TENANTS;
    let (start_ms, end_ms) = (step * STEP_MS, (step + 1) * STEP_MS);
    let is_late = rng.random_range(0..10) < 3;
    let arrival_ms = end_ms + rng.random_range(0..if is_late { 60_000 } else { 1_000 });
    let step_capacity = u64::from(SLOTS) * STEP_MS as u64;
    let report = UsageReport {
        reporter: name("reporter", reporter),
        incarnation: 1,
        sequence: (step as u64) * u64::from(REPORTS_PER_STEP) + u64::from(number) + 1,
        tenant: name("tenant", tenant),
        start_ms,
        end_ms,
        work: rng.random_range(min_percent..=100) * step_capacity / u64::from(REPORTS_PER_STEP) / 100,
        corrects: None,
    };
    (arrival_ms, report)
}

fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(LedgerSettings::default(), 0).expect("valid settings");
    let reporter = |number| (name("reporter", number), Reporter { slots: SLOTS, federation: None });
    let tenant = |number| (name("tenant", number), name("federation", number % FEDERATIONS));
    let (reporters, tenants) = ((0..REPORTERS).map(reporter).collect(), (0..TENANTS).map(tenant).collect());
    ledger.enroll(Enrollment { reporters, tenants }).expect("a small enrollment");
    ledger
}

fn resident_megabytes() -> f64 {
    let statm = procfs::process::Process::myself().and_then(|process| process.statm());
    statm.map_or(f64::NAN, |statm| (statm.resident * procfs::page_size()) as f64 / 1e6)
}

fn stored_bytes(ledger: &UsageLedger) -> f64 {
    postcard::to_allocvec(ledger).expect("serializes").len() as f64
}

fn share_table(policy: &FairSharePolicy, work: &BTreeMap<Name, u64>) -> ShareTable {
    let demands = TenantDemands::from_measured_usage(policy, work, CAPACITY, &BTreeMap::new());
    allocate_shares(policy, &demands, &ReservedShares::default())
}

/// How far share tables are off, in parts per million.
#[derive(Default)]
struct ShareError {
    tables: u64,
    max_of_tenant: u32,
    max_misplaced: u64,
    misplaced_sum: u64,
    bound: u64,
}

impl ShareError {
    fn add(&mut self, table: &ShareTable, expected: &ShareTable, max_outstanding: u64) {
        let difference =
            |(tenant, share): (&Name, &TenantShare)| share.share.abs_diff(expected.tenants[tenant].share);
        let misplaced = table.tenants.iter().map(|share| u64::from(difference(share))).sum::<u64>() / 2;
        let max_of_tenant = table.tenants.iter().map(difference).max().unwrap_or(0);
        let bound = (2 * u128::from(max_outstanding) * 1_000_000 / u128::from(CAPACITY)) as u64 + 8;
        self.tables += 1;
        self.max_of_tenant = self.max_of_tenant.max(max_of_tenant);
        self.max_misplaced = self.max_misplaced.max(misplaced);
        self.misplaced_sum += misplaced;
        self.bound = self.bound.max(bound);
    }

    fn print(&self, title: &str) {
        let mean = self.misplaced_sum as f64 / self.tables.max(1) as f64 / 1e4;
        let (most, tenant) = (self.max_misplaced as f64 / 1e4, f64::from(self.max_of_tenant) / 1e4);
        let bound = self.bound.min(1_000_000) as f64 / 1e4;
        println!(
            "{title}: {} tables, of the fleet {mean:.2} % is misplaced on average, at most {most:.2} %; one tenant is \
             off by at most {tenant:.3} %, the bound is {bound:.1} %",
            self.tables
        );
    }
}

fn main() {
    for (title, min_percent) in [("half busy", 0), ("nearly full", 80)] {
        println!("== {title}");
        let reports = reports(min_percent);
        let expected = record_at_once(&reports);
        record_as_they_arrive(reports, &expected);
    }
}

/// Records all reports at once, in the order of their sequence numbers: the ledger's memory, and the share tables of
/// complete usage by window.
fn record_at_once(reports: &[(i64, UsageReport)]) -> BTreeMap<i64, ShareTable> {
    let mut sorted: Vec<UsageReport> = reports.iter().map(|(_, report)| report.clone()).collect();
    sorted.sort_by(|a, b| (a.start_ms, &a.reporter, a.sequence).cmp(&(b.start_ms, &b.reporter, b.sequence)));
    let (mut ledger, policy, no_dead) = (ledger(), policy(), BTreeSet::new());
    let (resident_before, began) = (resident_megabytes(), Instant::now());
    for report in sorted.iter().cloned() {
        ledger.record(STEPS * STEP_MS, report).expect("a valid report");
    }
    let nanoseconds = began.elapsed().as_secs_f64() * 1e9 / sorted.len() as f64;
    let resident = resident_megabytes() - resident_before;
    println!("{} reports at once: {nanoseconds:.0} ns each, {resident:.1} MB resident", sorted.len());
    println!("stored: {:.1} MB", stored_bytes(&ledger) / 1e6);
    let tables = (0..STEPS * STEP_MS / WINDOW_MS)
        .map(|window| (window, share_table(&policy, &ledger.provisional_usage(window * WINDOW_MS).work)))
        .collect();
    let closed = ledger.advance(STEPS * STEP_MS + 60_000, &no_dead);
    let last = UsageReport { start_ms: 9_999_000, end_ms: 10_000_000, sequence: 3_341, ..sorted[0].clone() };
    ledger.record(10_000_000, last).ok();
    ledger.advance(10_100_000, &no_dead);
    println!(
        "after {} windows closed and the horizon passed: {:.1} kB stored",
        closed.len(),
        stored_bytes(&ledger) / 1e3
    );
    tables
}

/// What is measured of reports that are recorded as they arrive.
#[derive(Default)]
struct ArrivalErrors {
    at_window_end: ShareError,
    later: ShareError,
    closed: ShareError,
    work: u64,
    adjustments: i64,
}

impl ArrivalErrors {
    /// Compares the provisional shares of the windows that ended now and 10 s ago.
    fn add_provisional(
        &mut self,
        ledger: &UsageLedger,
        now_ms: i64,
        policy: &FairSharePolicy,
        expected: &BTreeMap<i64, ShareTable>,
    ) {
        for (delay_ms, error) in [(0, &mut self.at_window_end), (10_000, &mut self.later)] {
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
        self.at_window_end.print("provisional at a window's end");
        self.later.print("provisional 10 s after it");
        self.closed.print("closed, 30 s after it, what comes later aside");
        let percent = self.adjustments as f64 * 100.0 / reported_work as f64;
        println!(
            "settled as adjustments: {percent:.2} % of the work; lost: {}",
            reported_work as i64 - self.work as i64 - self.adjustments
        );
    }
}

/// Records each report when it arrives, and closes windows each second.
fn record_as_they_arrive(reports: Vec<(i64, UsageReport)>, expected: &BTreeMap<i64, ShareTable>) {
    let (mut ledger, policy, no_dead) = (ledger(), policy(), BTreeSet::new());
    let (count, reported_work) = (reports.len(), reports.iter().map(|(_, report)| report.work).sum());
    let (mut errors, mut elapsed) = (ArrivalErrors::default(), Duration::ZERO);
    let mut arriving = reports.into_iter().peekable();
    for second in 1..=(STEPS * STEP_MS / 1_000 + 100) {
        let now_ms = second * 1_000;
        let began = Instant::now();
        while let Some((_, report)) = arriving.next_if(|(arrival_ms, _)| *arrival_ms <= now_ms) {
            ledger.record(now_ms, report).expect("a valid report");
        }
        let closed = ledger.advance(now_ms, &no_dead);
        elapsed += began.elapsed();
        errors.add_provisional(&ledger, now_ms, &policy, expected);
        closed.iter().for_each(|window| errors.add_closed(window, &policy, expected));
    }
    let nanoseconds = elapsed.as_secs_f64() * 1e9 / count as f64;
    println!("as they arrive: {nanoseconds:.0} ns a report, windows closed each second");
    errors.print(reported_work);
}
