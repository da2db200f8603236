//! Builders shared by the tests of the usage ledger.
use std::collections::BTreeMap;

use copperspread_fair_share::{
    Enrollment, FULL_SHARE_PPM, FairSharePolicy, Federation, LedgerSettings, Name, Reporter, ShareConfig,
    UsageLedger, UsageReport,
};

/// Start of the first window, in milliseconds of Unix time.
pub(crate) const BEGIN_MS: i64 = 1_000_000;
/// Slots of the pool of each reporter.
pub(crate) const SLOTS: u32 = 10;

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("the name should be valid")
}

/// Windows of 1 s, a close delay of at most 2 s, a horizon of 10 s.
fn settings() -> LedgerSettings {
    LedgerSettings {
        window_ms: 1_000,
        max_close_delay_ms: 2_000,
        horizon_ms: 10_000,
        max_clock_skew_ms: 100,
        max_interval_ms: 3_000,
        max_sequences_ahead: 64,
        max_tracked_sequences: 128,
        max_incarnations: 3,
    }
}

/// Creates a ledger with reporters `r0` to `r2`, which may report on all federations, and `p`, which may
/// report only on `f1`, each with 10 slots. Federation `f0` has tenants `t0` and `t2`, `f1` has `t1` and `t3`.
pub(crate) fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(settings(), BEGIN_MS).expect("the settings should be valid");
    let reporter = |federation: Option<&str>| Reporter { slots: SLOTS, federation: federation.map(name) };
    let mut reporters: BTreeMap<Name, Reporter> =
        ["r0", "r1", "r2"].into_iter().map(|reporter_name| (name(reporter_name), reporter(None))).collect();
    reporters.insert(name("p"), reporter(Some("f1")));
    let tenants = (0..4).map(|tenant| (name(&format!("t{tenant}")), name(&format!("f{}", tenant % 2))));
    ledger
        .enroll(Enrollment { reporters, tenants: tenants.collect() })
        .expect("the enrollment should be within its limits");
    ledger
}

/// Creates a report of incarnation 1 on `t0`, whose interval starts `start_ms` milliseconds after
/// [`BEGIN_MS`].
pub(crate) fn report(reporter: &str, sequence: u64, start_ms: i64, length_ms: i64, work: u64) -> UsageReport {
    let start_ms = BEGIN_MS + start_ms;
    let (reporter, tenant) = (name(reporter), name("t0"));
    UsageReport {
        reporter,
        incarnation: 1,
        sequence,
        tenant,
        start_ms,
        end_ms: start_ms + length_ms,
        work,
        corrects: None,
    }
}

/// Records all reports, ignoring rejections.
pub(crate) fn record_all(ledger: &mut UsageLedger, now_ms: i64, reports: Vec<UsageReport>) {
    for report in reports {
        let _ = ledger.record(now_ms, report);
    }
}

pub(crate) fn bytes(ledger: &UsageLedger) -> Vec<u8> {
    postcard::to_allocvec(ledger).expect("the ledger should be serializable")
}

/// Creates a policy in which `f0` has `t0` and `t2`, `f1` has `t1` and `t3`, and each tenant has a guarantee
/// of 10 %.
pub(crate) fn policy() -> FairSharePolicy {
    let federation = |tenants: [&str; 2]| {
        let share_config = |guarantee| ShareConfig { weight: 1, guarantee, ceiling: FULL_SHARE_PPM };
        let tenants = tenants.into_iter().map(|tenant| (name(tenant), share_config(100_000)));
        Federation { share_config: share_config(200_000), tenants: tenants.collect() }
    };
    let federations = [(name("f0"), federation(["t0", "t2"])), (name("f1"), federation(["t1", "t3"]))];
    FairSharePolicy::new(federations.into()).expect("the policy should be valid")
}
