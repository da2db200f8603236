//! Snapshot tests of the postcard encoding of reports, of a stored ledger and of its results.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use copperspread_fair_share::{
    ClosedWindow, Debts, Enrollment, FULL_SHARE_PPM, FairSharePolicy, Federation, LedgerSettings, Name,
    ReportRejection, Reporter, ReservedShares, ShareConfig, TenantDemands, UsageLedger, UsageReport,
    allocate_shares,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Start of the first window, in milliseconds of Unix time.
const BEGIN_MS: i64 = 1_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("the name should be valid")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("the value should be serializable")
}

/// Returns a line with the bytes of a value, after a check that they are read back as the same value.
fn line<T: Serialize + DeserializeOwned + PartialEq + Debug>(title: &str, value: &T) -> String {
    let bytes = bytes(value);
    assert_eq!(&postcard::from_bytes::<T>(&bytes).expect("the bytes should be readable"), value, "{title}");
    format!("{title}: {}\n", hex(&bytes))
}

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

fn enrollment() -> Enrollment {
    let reporters = [
        (name("r0"), Reporter { slots: 10, federation: None }),
        (name("partner"), Reporter { slots: 4, federation: Some(name("f1")) }),
    ];
    let tenants = [("t0", "f0"), ("t1", "f1")].map(|(tenant, federation)| (name(tenant), name(federation)));
    Enrollment { reporters: reporters.into(), tenants: tenants.into() }
}

fn report(reporter: &str, sequence: u64, tenant: &str, start_ms: i64, work: u64) -> UsageReport {
    let start_ms = BEGIN_MS + start_ms;
    let (reporter, tenant) = (name(reporter), name(tenant));
    UsageReport {
        reporter,
        incarnation: 7,
        sequence,
        tenant,
        start_ms,
        end_ms: start_ms + 1_000,
        work,
        corrects: None,
    }
}

fn correction() -> UsageReport {
    UsageReport { corrects: Some(1), ..report("r0", 3, "t0", 0, 5_000) }
}

fn policy() -> FairSharePolicy {
    let federation = |tenant: &str, weight| {
        let share_config = |guarantee| ShareConfig { weight, guarantee, ceiling: FULL_SHARE_PPM };
        Federation {
            share_config: share_config(200_000),
            tenants: [(name(tenant), share_config(100_000))].into(),
        }
    };
    let federations = [(name("f0"), federation("t0", 1)), (name("f1"), federation("t1", 3))];
    FairSharePolicy::new(federations.into()).expect("the policy should be valid")
}

/// Returns each rejection with its serialized name.
fn rejections() -> Vec<(&'static str, ReportRejection)> {
    vec![
        ("UnknownReporter", ReportRejection::UnknownReporter),
        ("UnknownTenant", ReportRejection::UnknownTenant),
        ("NotItsTenant", ReportRejection::ForeignTenant),
        ("Backwards", ReportRejection::EmptyInterval),
        ("TooLong", ReportRejection::IntervalTooLong),
        ("Future", ReportRejection::InFuture),
        ("TooOld", ReportRejection::BeforeHorizon),
        ("Absurd", ReportRejection::ExceedsCapacity),
        ("OldGeneration", ReportRejection::OldIncarnation),
        ("FarBack", ReportRejection::SequenceTooOld),
        ("FarAhead", ReportRejection::SequenceTooFarAhead),
        ("Contradicts", ReportRejection::ConflictingDuplicate),
        ("Corrects", ReportRejection::InvalidCorrection),
    ]
}

/// Creates a ledger with open and closed windows, a correction, a gap and work above a pool's capacity.
fn ledger() -> (UsageLedger, Vec<ClosedWindow>) {
    let mut ledger = UsageLedger::new(settings(), BEGIN_MS).expect("the settings should be valid");
    ledger.enroll(enrollment()).expect("the enrollment should be within its limits");
    let first = [
        report("r0", 1, "t0", 0, 9_000),
        report("r0", 2, "t1", 500, 9_500),
        report("partner", 1, "t1", 0, 3_000),
        report("partner", 4, "t1", 1_500, 2_000),
    ];
    for report in first {
        ledger.record(BEGIN_MS + 2_500, report).expect("the report should be accepted");
    }
    let mut closed = ledger.advance(BEGIN_MS + 3_500, &BTreeSet::new());
    ledger.record(BEGIN_MS + 3_500, correction()).expect("the report should be accepted");
    ledger
        .record(BEGIN_MS + 3_500, report("r0", 4, "t0", 2_000, 8_000))
        .expect("the report should be accepted");
    closed.extend(ledger.advance(BEGIN_MS + 4_200, &[name("partner")].into()));
    (ledger, closed)
}

#[test]
fn inputs_have_the_bytes_of_the_snapshot_and_are_read_back() {
    let mut text = line("report", &report("r0", 1, "t0", 0, 9_000));
    text += &line("correction", &correction());
    text += &line("settings", &settings());
    text += &line("roll", &enrollment());
    text += &line("agreement", &policy());
    let rejections = rejections();
    let lines = rejections.iter().map(|(name, rejection)| line(&format!("{name} ({rejection})"), rejection));
    text += &lines.collect::<String>();
    insta::assert_snapshot!("inputs", text);
}

#[test]
fn a_ledger_and_its_results_have_the_bytes_of_the_snapshot_and_a_restored_ledger_continues() {
    let (mut ledger, closed) = ledger();
    let stored = bytes(&ledger);
    let mut restored: UsageLedger =
        postcard::from_bytes(&stored).expect("the stored ledger should be readable");
    assert_eq!(bytes(&restored), stored);

    let mut debts = Debts::new(4);
    let entitlements: BTreeMap<Name, u64> = [(name("t0"), 3_000), (name("t1"), 3_000)].into();
    closed.iter().for_each(|window| debts.add_window(window, &entitlements));
    let provisional = ledger.provisional_usage(BEGIN_MS + 2_000);
    let demands = TenantDemands::from_measured_usage(
        &policy(),
        &provisional.work,
        14_000,
        &debts.relative_debts(&entitlements),
    );
    let reserved = ReservedShares { tenants: [(name("t1"), 50_000)].into(), federations: BTreeMap::new() };

    let mut text = format!("ledger: {}\n", hex(&stored));
    text += &closed.iter().map(|window| line("closed", window)).collect::<String>();
    text += &line("provisional", &provisional);
    text += &line("debts", &debts);
    text += &line("usage", &demands);
    text += &line("reserved", &reserved);
    text += &line("table", &allocate_shares(&policy(), &demands, &reserved));
    insta::assert_snapshot!("ledger", text);

    let now_ms = BEGIN_MS + 9_000;
    assert_eq!(restored.advance(now_ms, &BTreeSet::new()), ledger.advance(now_ms, &BTreeSet::new()));
    assert_eq!(bytes(&restored), bytes(&ledger));
}
