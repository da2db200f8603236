//! Property tests of the usage ledger on random reports: order, repetition and conservation of work.
mod support;

use std::collections::{BTreeMap, BTreeSet};

use copperspread_fair_share::{
    ClosedWindow, FULL_SHARE_PPM, Name, ReportOutcome, ReservedShares, TenantDemands, UsageReport,
    allocate_shares,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{BEGIN_MS, SLOTS, bytes, ledger, name, policy, record_all, report};

/// Random faulty reports: with gaps, restarts, sequence numbers used twice, corrections of received reports,
/// of missing reports and of corrections, work above the pool's capacity, intervals in the future and before
/// the horizon.
fn faulty_reports(incarnations: u64) -> impl Strategy<Value = Vec<UsageReport>> {
    let source = (0_u8..3, 1..=incarnations, 1_u64..24, 0_u8..4);
    let content = (-9_000_i64..6_500, 1_i64..3_000, 0_u64..31_000, prop::option::weighted(0.3, 1_u64..20));
    let report_strategy = (source, content).prop_map(
        |((reporter, incarnation, sequence, tenant), (start_ms, length_ms, work, corrects))| UsageReport {
            incarnation,
            tenant: name(&format!("t{tenant}")),
            corrects,
            ..report(&format!("r{reporter}"), sequence, start_ms, length_ms, work)
        },
    );
    prop::collection::vec(report_strategy, 1..60)
}

/// Returns the sum of the work of the accepted reports that are in effect, excess included: for each sequence
/// number the report that was accepted last, for each corrected sequence number its last correction, and
/// nothing for corrections of corrections.
fn accepted_work(accepted: &BTreeMap<(Name, u64, u64), UsageReport>) -> i64 {
    let corrected = |key: &(Name, u64, u64)| {
        let corrections =
            accepted.values().filter(|report| report.corrects == Some(key.2) && report.reporter == key.0);
        corrections
            .filter(|report| report.incarnation == key.1)
            .max_by_key(|report| report.sequence)
            .map(|report| report.work)
    };
    let corrected_keys = accepted
        .values()
        .filter_map(|report| Some((report.reporter.clone(), report.incarnation, report.corrects?)));
    let keys: BTreeSet<_> = accepted.keys().cloned().chain(corrected_keys).collect();
    let originals =
        keys.iter().filter(|key| accepted.get(key).is_none_or(|report| report.corrects.is_none()));
    originals.filter_map(|key| corrected(key).or(accepted.get(key).map(|report| report.work))).sum::<u64>()
        as i64
}

/// Returns the sum of work, adjustments and excess in slot-milliseconds.
fn total_work(closed: &[ClosedWindow]) -> i64 {
    let work = closed.iter().flat_map(|window| window.work.values()).sum::<u64>() as i64;
    work + closed
        .iter()
        .flat_map(|window| window.adjustments.values().chain(window.excess.values()))
        .sum::<i64>()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(28), failure_persistence: None, cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn reports_in_any_order_and_repetition_leave_the_same_bytes_and_close_the_same_windows(
        (batches, shuffled_batches) in prop::collection::vec(faulty_reports(6), 1..4).prop_flat_map(|batches| {
            let shuffled_twice = |batch: &Vec<UsageReport>| Just([batch.clone(), batch.clone()].concat()).prop_shuffle();
            let shuffled_batches: Vec<_> = batches.iter().map(shuffled_twice).collect();
            (Just(batches), shuffled_batches)
        }),
    ) {
        let (mut in_order, mut shuffled_ledger) = (ledger(), ledger());
        let mut now_ms = BEGIN_MS + 4_000;
        for (batch, shuffled) in batches.into_iter().zip(shuffled_batches) {
            record_all(&mut in_order, now_ms, batch);
            record_all(&mut shuffled_ledger, now_ms, shuffled);
            prop_assert_eq!(bytes(&in_order), bytes(&shuffled_ledger));
            now_ms += 1_700;
            prop_assert_eq!(in_order.advance(now_ms, &BTreeSet::new()), shuffled_ledger.advance(now_ms, &BTreeSet::new()));
            prop_assert_eq!(bytes(&in_order), bytes(&shuffled_ledger));
        }
    }

    #[test]
    fn work_adjustments_and_excess_add_up_to_the_accepted_reports_also_when_restored(
        batches in prop::collection::vec(faulty_reports(3), 1..6),
    ) {
        let (mut ledger, mut accepted, mut closed) = (ledger(), BTreeMap::new(), Vec::new());
        let mut now_ms = BEGIN_MS + 4_000;
        for batch in batches {
            for report in batch {
                let key = (report.reporter.clone(), report.incarnation, report.sequence);
                if matches!(ledger.record(now_ms, report.clone()), Ok(ReportOutcome::Counted | ReportOutcome::Late | ReportOutcome::Replaced)) {
                    accepted.insert(key, report);
                }
            }
            now_ms += 1_700;
            closed.extend(ledger.advance(now_ms, &BTreeSet::new()));
            ledger = postcard::from_bytes(&bytes(&ledger)).expect("the serialized ledger should be readable");
        }
        closed.extend(ledger.advance(now_ms + 60_000, &BTreeSet::new()));
        prop_assert_eq!(total_work(&closed), accepted_work(&accepted));
        let windows: Vec<i64> = closed.iter().map(|window| window.index).collect();
        prop_assert!(windows.is_sorted_by(|a, b| a < b), "{:?}", windows);
        // Closed windows before the horizon are discarded.
        ledger.advance(now_ms + 90_000, &BTreeSet::new());
        prop_assert!(bytes(&ledger).len() < 400, "{} bytes", bytes(&ledger).len());
    }

    #[test]
    fn provisional_shares_differ_from_complete_ones_by_at_most_twice_the_outstanding_work(
        mut usages in prop::collection::vec((0_u8..3, 0_u8..4, 0_u64..4_000), 0..40),
        late in prop::collection::vec(any::<bool>(), 40),
    ) {
        let (mut sequences, mut reported) = ([0; 3], [0; 3]);
        let (mut partial, mut complete) = (ledger(), ledger());
        usages.sort();
        let capacity = 4 * u64::from(SLOTS) * 1_000;
        for (&(reporter, tenant, work), is_late) in usages.iter().zip(&late) {
            sequences[usize::from(reporter)] += 1;
            // Keeps the work within the capacity of the pool; the flood test covers excess.
            let work = work.min(10_000 - reported[usize::from(reporter)]);
            reported[usize::from(reporter)] += work;
            let sent = report(&format!("r{reporter}"), sequences[usize::from(reporter)], 0, 1_000, work);
            let sent = UsageReport { tenant: name(&format!("t{tenant}")), ..sent };
            complete.record(BEGIN_MS + 1_000, sent.clone()).expect("the report should be accepted");
            if !is_late {
                partial.record(BEGIN_MS + 1_000, sent).expect("the report should be accepted");
            }
        }
        let provisional = partial.provisional_usage(BEGIN_MS);
        let no_debts = BTreeMap::new();
        let shares = |work| {
            allocate_shares(&policy(), &TenantDemands::from_measured_usage(&policy(), work, capacity, &no_debts), &ReservedShares::default())
        };
        let (before, after) = (shares(&provisional.work), shares(&complete.provisional_usage(BEGIN_MS).work));
        // Twice the outstanding work in parts per million of the fleet, and 8 for the rounding of shares.
        let bound = (2 * provisional.max_outstanding * u64::from(FULL_SHARE_PPM)).div_ceil(capacity) as u32 + 8;
        for (tenant, share) in &before.tenants {
            prop_assert!(share.share.abs_diff(after.tenants[tenant].share) <= bound);
        }
    }
}
