//! Builders that the tests of the ledger share.
use std::collections::BTreeMap;

use copperspread_fair_share::{
    Enrollment, FULL_SHARE_PPM, FairSharePolicy, Federation, LedgerSettings, Name, Reporter, ShareConfig,
    UsageLedger, UsageReport,
};

/// The start of the first window, in milliseconds of Unix time.
pub(crate) const BEGIN_MS: i64 = 1_000_000;
pub(crate) const SLOTS: u32 = 10;

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

/// Windows of 1 s, a close delay of 2 s at most, a horizon of 10 s.
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

/// Reporters `r0` to `r2` with 10 slots, `p` that may report on federation `f1` alone; tenants `t0`, `t2` in `f0`, `t1`,
/// `t3` in `f1`.
pub(crate) fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(settings(), BEGIN_MS).expect("valid settings");
    let reporter = |federation: Option<&str>| Reporter { slots: SLOTS, federation: federation.map(name) };
    let mut reporters: BTreeMap<Name, Reporter> =
        ["r0", "r1", "r2"].into_iter().map(|reporter_name| (name(reporter_name), reporter(None))).collect();
    reporters.insert(name("p"), reporter(Some("f1")));
    let tenants = (0..4).map(|tenant| (name(&format!("t{tenant}")), name(&format!("f{}", tenant % 2))));
    ledger.enroll(Enrollment { reporters, tenants: tenants.collect() }).expect("a small enrollment");
    ledger
}

/// A report on `t0` by incarnation 1, from `start_ms` milliseconds after [`BEGIN_MS`] on.
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

/// Records reports, rejected ones among them.
pub(crate) fn record_all(ledger: &mut UsageLedger, now_ms: i64, reports: Vec<UsageReport>) {
    for report in reports {
        let _ = ledger.record(now_ms, report);
    }
}

pub(crate) fn bytes(ledger: &UsageLedger) -> Vec<u8> {
    postcard::to_allocvec(ledger).expect("serializes")
}

/// `f0` of `t0`, `t2`, `f1` of `t1`, `t3`; a tenth guaranteed to each tenant.
pub(crate) fn policy() -> FairSharePolicy {
    let federation = |tenants: [&str; 2]| {
        let share_config = |guarantee| ShareConfig { weight: 1, guarantee, ceiling: FULL_SHARE_PPM };
        let tenants = tenants.into_iter().map(|tenant| (name(tenant), share_config(100_000)));
        Federation { share_config: share_config(200_000), tenants: tenants.collect() }
    };
    let federations = [(name("f0"), federation(["t0", "t2"])), (name("f1"), federation(["t1", "t3"]))];
    FairSharePolicy::new(federations.into()).expect("a valid policy")
}
