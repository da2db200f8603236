//! Tests of the usage ledger on fixed reports: windows, gaps, rejections and floods.
mod support;

use std::collections::{BTreeMap, BTreeSet};

use copperspread_fair_share::{
    ClosedWindow, FULL_SHARE_PPM, Name, ReportOutcome, ReportRejection, ReservedShares, TenantDemands,
    UsageLedger, UsageReport, allocate_shares,
};
use support::{BEGIN_MS, SLOTS, bytes, ledger, name, policy, record_all, report};

#[test]
fn a_window_waits_for_live_reporters_but_not_longer_than_the_close_delay() {
    let report_all = |ledger: &mut UsageLedger, reporters: &[&str]| {
        for reporter in reporters {
            // The second report starts at the end of the window, so that the whole window is reported.
            ledger
                .record(BEGIN_MS + 1_100, report(reporter, 1, 0, 1_000, 500))
                .expect("the report should be accepted");
            ledger
                .record(BEGIN_MS + 1_100, report(reporter, 2, 1_000, 100, 0))
                .expect("the report should be accepted");
        }
    };
    let name_set = |names: &[&str]| names.iter().map(|text| name(text)).collect::<BTreeSet<Name>>();
    let cases: [(&[&str], &[&str], i64, usize); 6] = [
        (&["r0", "r1", "r2"], &[], 1_100, 0),
        (&["r0", "r1", "r2"], &["p"], 1_100, 1),
        (&["r0"], &["p", "r1", "r2"], 1_100, 1),
        (&["r0"], &[], 2_999, 0),
        (&["r0"], &[], 3_000, 1),
        (&["r0"], &["p", "r0", "r1", "r2"], 2_999, 0),
    ];
    for (reporter_names, dead, after_begin_ms, window_count) in cases {
        let mut ledger = ledger();
        report_all(&mut ledger, reporter_names);
        let closed = ledger.advance(BEGIN_MS + after_begin_ms, &name_set(dead));
        assert_eq!(
            closed.len(),
            window_count,
            "{reporter_names:?} reported, {dead:?} dead, at {after_begin_ms}"
        );
        if let Some(first) = closed.first() {
            let incomplete: BTreeSet<Name> =
                name_set(&["p", "r0", "r1", "r2"]).difference(&name_set(reporter_names)).cloned().collect();
            assert_eq!(
                (&first.incomplete_reporters, first.work[&name("t0")]),
                (&incomplete, 500 * reporter_names.len() as u64)
            );
        }
    }
}

#[test]
fn a_gap_holds_the_watermark_until_it_is_filled_or_a_new_incarnation_reports() {
    let mut ledger = ledger();
    let now_ms = BEGIN_MS + 1_500;
    let advance = |ledger: &mut UsageLedger| {
        ledger.advance(now_ms, &BTreeSet::new());
        let missing: Vec<_> = ledger.sequence_gaps("r0").into_iter().map(|gaps| gaps.missing).collect();
        (ledger.watermark("r0").map(|watermark| watermark - BEGIN_MS), missing)
    };
    for (sequence, start_ms) in [(1, 0), (2, 200), (5, 800), (8, 1_400)] {
        ledger
            .record(now_ms, report("r0", sequence, start_ms, 100, 1))
            .expect("the report should be accepted");
    }
    assert_eq!(advance(&mut ledger), (Some(200), vec![vec![3..=4, 6..=7]]));
    ledger.record(now_ms, report("r0", 4, 600, 100, 1)).expect("the report should be accepted");
    ledger.record(now_ms, report("r0", 3, 400, 100, 1)).expect("the report should be accepted");
    assert_eq!(advance(&mut ledger), (Some(800), vec![vec![6..=7]]));
    ledger
        .record(now_ms, UsageReport { incarnation: 2, ..report("r0", 1, 1_450, 50, 1) })
        .expect("the report should be accepted");
    assert_eq!(advance(&mut ledger), (Some(1_450), vec![vec![6..=7], vec![]]));
    // A late report of the earlier incarnation still counts.
    assert_eq!(ledger.record(now_ms, report("r0", 6, 1_000, 100, 7)), Ok(ReportOutcome::Counted));
    assert_eq!(ledger.provisional_usage(BEGIN_MS + 1_000).work[&name("t0")], 1 + 1 + 7);
}

#[test]
fn delayed_reports_in_reverse_order_and_five_times_each_are_settled_in_the_next_window() {
    let mut ledger = ledger();
    let no_dead = BTreeSet::new();
    assert!(ledger.advance(BEGIN_MS + 9_000, &no_dead).is_empty(), "no window should have usage");
    for sequence in (1..=6).rev() {
        let sent = report("r0", sequence, 1_000 * (sequence as i64 - 1), 1_000, 100 * sequence);
        assert_eq!(ledger.record(BEGIN_MS + 9_000, sent.clone()), Ok(ReportOutcome::Late));
        for _ in 0..4 {
            assert_eq!(ledger.record(BEGIN_MS + 9_000, sent.clone()), Ok(ReportOutcome::Duplicate));
        }
    }
    assert_eq!(ledger.discard_counts("r0").duplicates, 24);
    let closed = ledger.advance(BEGIN_MS + 10_000, &no_dead);
    let first = (BEGIN_MS + 7_000) / 1_000;
    let adjustments = BTreeMap::from([(name("t0"), 2_100)]);
    let incomplete_reporters = closed[0].incomplete_reporters.clone();
    assert_eq!(
        closed,
        [ClosedWindow { index: first, adjustments, incomplete_reporters, ..ClosedWindow::default() }]
    );
    // A report that is missing before the first received one is accepted for as long as any other report.
    assert_eq!(ledger.record(BEGIN_MS + 10_000, report("r1", 2, 8_500, 400, 9)), Ok(ReportOutcome::Counted));
    assert_eq!(ledger.advance(BEGIN_MS + 11_000, &no_dead)[0].work, BTreeMap::from([(name("t0"), 9)]));
    assert_eq!(ledger.record(BEGIN_MS + 11_000, report("r1", 1, 8_000, 500, 1)), Ok(ReportOutcome::Late));
    // A late correction reduces the work; a correction that arrives before the report that it corrects
    // counts, too.
    let late_correction = UsageReport { corrects: Some(6), ..report("r0", 7, 5_000, 1_000, 50) };
    assert_eq!(ledger.record(BEGIN_MS + 11_000, late_correction), Ok(ReportOutcome::Late));
    let early_correction = UsageReport { corrects: Some(8), ..report("r0", 9, 9_000, 500, 30) };
    assert_eq!(ledger.record(BEGIN_MS + 11_000, early_correction), Ok(ReportOutcome::Counted));
    assert_eq!(ledger.record(BEGIN_MS + 11_000, report("r0", 8, 9_000, 500, 99)), Ok(ReportOutcome::Counted));
    let closed = ledger.advance(BEGIN_MS + 12_000, &no_dead);
    assert_eq!(closed[0].adjustments, BTreeMap::from([(name("t0"), 1 - 550)]));
    assert_eq!(closed[0].work, BTreeMap::from([(name("t0"), 30)]));
}

#[test]
fn an_invalid_report_is_rejected_with_its_field_and_changes_nothing() {
    let valid = || report("r0", 4, 500, 1_000, 100);
    let interval = |start_ms: i64, end_ms: i64| UsageReport { start_ms, end_ms, ..valid() };
    let cases = [
        (UsageReport { reporter: name("x"), ..valid() }, ReportRejection::UnknownReporter, "reporter"),
        (UsageReport { tenant: name("x"), ..valid() }, ReportRejection::UnknownTenant, "tenant"),
        (UsageReport { reporter: name("p"), ..valid() }, ReportRejection::ForeignTenant, "tenant"),
        (interval(BEGIN_MS, BEGIN_MS), ReportRejection::EmptyInterval, "end"),
        (interval(BEGIN_MS, i64::MIN), ReportRejection::EmptyInterval, "end"),
        (interval(BEGIN_MS, BEGIN_MS + 3_001), ReportRejection::IntervalTooLong, "end"),
        (interval(i64::MIN, i64::MAX), ReportRejection::IntervalTooLong, "end"),
        (interval(BEGIN_MS + 4_000, BEGIN_MS + 5_101), ReportRejection::InFuture, "end"),
        (interval(i64::MAX - 1, i64::MAX), ReportRejection::InFuture, "end"),
        (interval(BEGIN_MS - 10_001, BEGIN_MS - 9_000), ReportRejection::BeforeHorizon, "start"),
        (
            UsageReport { work: 0, ..interval(i64::MIN, i64::MIN + 1) },
            ReportRejection::BeforeHorizon,
            "start",
        ),
        (UsageReport { work: 10_001, ..valid() }, ReportRejection::ExceedsCapacity, "work"),
        (UsageReport { work: u64::MAX, ..valid() }, ReportRejection::ExceedsCapacity, "work"),
        (UsageReport { sequence: 0, ..valid() }, ReportRejection::SequenceTooOld, "sequence"),
        (UsageReport { sequence: 3 + 64 + 1, ..valid() }, ReportRejection::SequenceTooFarAhead, "sequence"),
        (UsageReport { sequence: u64::MAX, ..valid() }, ReportRejection::SequenceTooFarAhead, "sequence"),
        (
            UsageReport { incarnation: 2, sequence: 65, ..valid() },
            ReportRejection::SequenceTooFarAhead,
            "sequence",
        ),
        (
            UsageReport { sequence: 3, work: 101, ..valid() },
            ReportRejection::ConflictingDuplicate,
            "sequence",
        ),
        (UsageReport { corrects: Some(4), ..valid() }, ReportRejection::InvalidCorrection, "corrects"),
        (UsageReport { corrects: Some(0), ..valid() }, ReportRejection::InvalidCorrection, "corrects"),
    ];
    let mut ledger = ledger();
    ledger
        .record(BEGIN_MS + 2_000, UsageReport { sequence: 3, ..valid() })
        .expect("the report should be accepted");
    ledger.advance(BEGIN_MS + 2_000, &BTreeSet::new());
    let before = bytes(&ledger);
    let mut counts: BTreeMap<ReportRejection, u64> = BTreeMap::new();
    for (invalid, rejection, field) in cases {
        let (is_from_r0, description) = (invalid.reporter.as_str() == "r0", format!("{invalid:?}"));
        assert_eq!(ledger.record(BEGIN_MS + 5_000, invalid), Err(rejection), "{description}");
        assert_eq!((rejection.field(), bytes(&ledger) == before), (field, true), "{description}");
        *counts.entry(rejection).or_default() += u64::from(is_from_r0);
    }
    counts.retain(|_, count| *count > 0);
    assert_eq!((ledger.discard_counts("r0").rejected, ledger.unknown_reporter_count()), (counts, 1));
    assert_eq!(ledger.discard_counts("p").rejected, BTreeMap::from([(ReportRejection::ForeignTenant, 1)]));
}

#[test]
fn the_latest_new_incarnations_are_kept_in_any_order_of_arrival_and_older_ones_are_rejected() {
    let first_report =
        |incarnation| UsageReport { incarnation, ..report("r0", 1, 100, 100, 1 << incarnation) };
    let orders: [&[u64]; 4] = [&[1, 2, 3, 4, 5], &[5, 4, 3, 2, 1], &[3, 5, 1, 4, 2], &[2, 1, 5, 3, 4, 2, 1]];
    let ledgers = orders.map(|order| {
        let mut ledger = ledger();
        record_all(&mut ledger, BEGIN_MS + 1_000, order.iter().copied().map(first_report).collect());
        assert_eq!(ledger.provisional_usage(BEGIN_MS).work, BTreeMap::from([(name("t0"), 8 + 16 + 32)]));
        ledger.advance(BEGIN_MS + 1_000, &BTreeSet::new());
        ledger
    });
    assert!(ledgers.iter().all(|ledger| bytes(ledger) == bytes(&ledgers[0])));
    let mut ledger = ledgers.into_iter().next().expect("there should be four ledgers");
    ledger
        .record(BEGIN_MS + 1_000, first_report(6))
        .expect("the report of a new incarnation should be accepted");
    ledger.advance(BEGIN_MS + 1_000, &BTreeSet::new());
    assert_eq!(ledger.record(BEGIN_MS + 1_000, first_report(3)), Err(ReportRejection::OldIncarnation));
    assert_eq!(
        ledger.provisional_usage(BEGIN_MS).work[&name("t0")],
        8 + 16 + 32 + 64,
        "the work of a removed incarnation should stay"
    );
}

#[test]
fn a_flood_of_reports_takes_bounded_memory_and_moves_shares_by_at_most_twice_the_reporters_pool() {
    let capacity = 4 * u64::from(SLOTS) * 1_000;
    let simulate = |floods: bool| {
        let mut ledger = ledger();
        for (reporter, tenant, work) in [("r0", "t0", 9_000), ("r1", "t1", 8_000), ("r2", "t2", 3_000)] {
            let sent = UsageReport { tenant: name(tenant), ..report(reporter, 1, 0, 1_000, work) };
            ledger.record(BEGIN_MS + 1_000, sent).expect("the report should be accepted");
        }
        let (mut max_bytes, mut accepted) = (0, 0);
        for number in (1..=2_000).filter(|_| floods) {
            // Each report states the full capacity of the pool; incarnation, tenant and interval vary.
            let sent = UsageReport {
                tenant: name(["t1", "t3"][number as usize % 2]),
                incarnation: number % 7,
                ..report("p", 1 + number % 100, (number as i64 * 37) % 900 - 500, 1_000, 10_000)
            };
            accepted += u32::from(ledger.record(BEGIN_MS + 1_000, sent).is_ok());
            max_bytes = max_bytes.max(bytes(&ledger).len());
        }
        let closed = ledger.advance(BEGIN_MS + 4_000, &BTreeSet::new());
        (
            closed
                .into_iter()
                .find(|window| window.index == BEGIN_MS / 1_000)
                .expect("the first window should be closed"),
            max_bytes,
            accepted,
        )
    };
    let ((honest, _, _), (flooded, max_bytes, accepted)) = (simulate(false), simulate(true));
    assert!(
        accepted > 100 && flooded.excess[&name("p")] > 100_000,
        "{accepted} accepted, {:?} excess",
        flooded.excess
    );
    // At most 6 incarnations of 64 sequence numbers each, with 40 bytes for each number, the windows
    // included.
    assert!(max_bytes < 6 * 64 * 40, "{max_bytes} bytes");
    let added: u64 = flooded.work.values().sum::<u64>() - honest.work.values().sum::<u64>();
    assert_eq!(added, u64::from(SLOTS) * 1_000, "only work up to the capacity of the pool should count");
    let demands = |closed: &ClosedWindow| {
        TenantDemands::from_measured_usage(&policy(), &closed.work, capacity, &BTreeMap::new())
    };
    let shares = |closed: &ClosedWindow| {
        allocate_shares(&policy(), &demands(closed), &ReservedShares::default()).tenants
    };
    let (before, after) = (shares(&honest), shares(&flooded));
    // Twice the pool of the reporter, which is a quarter of the fleet, and 8 for the rounding of shares.
    let bound = 2 * FULL_SHARE_PPM / 4 + 8;
    let moved: Vec<u32> =
        before.iter().map(|(tenant, share)| share.share.abs_diff(after[tenant].share)).collect();
    assert!(moved.iter().all(|&moved| moved <= bound), "{moved:?}");
    assert!(moved.iter().any(|&moved| moved > 0), "the flood should move at least one share");
    // Each tenant that demands its guarantee gets it.
    assert!(["t0", "t1", "t2"].iter().all(|&tenant| after[&name(tenant)].share >= 100_000));
}
