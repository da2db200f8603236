//! What the ledger holds: order, repetition, sums, windows, refusals.
use std::collections::{BTreeMap, BTreeSet};

use copperspread_fair_share::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Where the tests begin, in milliseconds of Unix time.
const BEGIN: i64 = 1_000_000;
const SLOTS: u32 = 10;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Windows of 1 s, 2 s of lateness, 10 s of horizon.
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

/// Reporters `r0` to `r2` with 10 slots, `p` that speaks for federation `f1` alone; tenants `t0`, `t2` in `f0`, `t1`,
/// `t3` in `f1`.
fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(settings(), BEGIN).expect("good settings");
    let reporter = |federation: Option<&str>| Reporter { slots: SLOTS, federation: federation.map(name) };
    let mut reporters: BTreeMap<Name, Reporter> =
        ["r0", "r1", "r2"].into_iter().map(|one| (name(one), reporter(None))).collect();
    reporters.insert(name("p"), reporter(Some("f1")));
    let tenants = (0..4).map(|at| (name(&format!("t{at}")), name(&format!("f{}", at % 2))));
    ledger.enroll(Enrollment { reporters, tenants: tenants.collect() }).expect("a small roll");
    ledger
}

/// Of `t0`, from so many milliseconds after the beginning on.
fn report(reporter: &str, sequence: u64, start: i64, length: i64, work: u64) -> UsageReport {
    let start = BEGIN + start;
    let (reporter, tenant) = (name(reporter), name("t0"));
    UsageReport {
        reporter,
        incarnation: 1,
        sequence,
        tenant,
        start_ms: start,
        end_ms: start + length,
        work,
        corrects: None,
    }
}

/// Reports as a careless fleet sends them: gaps, restarts, sequences used twice, corrections of what came, of what
/// did not and of corrections, more than a pool can do, from the future and from before the horizon.
fn reports(generations: u64) -> impl Strategy<Value = Vec<UsageReport>> {
    let who = (0_u8..3, 1..=generations, 1_u64..24, 0_u8..4);
    let what = (-9_000_i64..6_500, 1_i64..3_000, 0_u64..31_000, prop::option::weighted(0.3, 1_u64..20));
    let one =
        (who, what).prop_map(|((r, generation, sequence, t), (start, length, work, corrects))| UsageReport {
            incarnation: generation,
            tenant: name(&format!("t{t}")),
            corrects,
            ..report(&format!("r{r}"), sequence, start, length, work)
        });
    prop::collection::vec(one, 1..60)
}

/// Hands in reports, refused ones among them.
fn give(ledger: &mut UsageLedger, now: i64, reports: Vec<UsageReport>) {
    for report in reports {
        let _ = ledger.record(now, report);
    }
}

fn bytes(ledger: &UsageLedger) -> Vec<u8> {
    postcard::to_allocvec(ledger).expect("it can be written")
}

/// What counts of all that was accepted, by the rules as they are written down: of each sequence the body that was
/// taken last, of each corrected one the last correction's, and none of what corrects a correction.
fn accepted(taken: &BTreeMap<(Name, u64, u64), UsageReport>) -> i64 {
    let corrected = |key: &(Name, u64, u64)| {
        let by = taken.values().filter(|one| one.corrects == Some(key.2) && one.reporter == key.0);
        by.filter(|one| one.incarnation == key.1).max_by_key(|one| one.sequence).map(|one| one.work)
    };
    let aims = taken.values().filter_map(|one| Some((one.reporter.clone(), one.incarnation, one.corrects?)));
    let keys: BTreeSet<_> = taken.keys().cloned().chain(aims).collect();
    let roots = keys.iter().filter(|key| taken.get(key).is_none_or(|one| one.corrects.is_none()));
    roots.filter_map(|key| corrected(key).or(taken.get(key).map(|one| one.work))).sum::<u64>() as i64
}

fn total(closed: &[ClosedWindow]) -> i64 {
    let work = closed.iter().flat_map(|one| one.work.values()).sum::<u64>() as i64;
    work + closed.iter().flat_map(|one| one.adjustments.values().chain(one.excess.values())).sum::<i64>()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(28), failure_persistence: None, cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn any_order_and_any_repetition_leave_the_same_bytes_and_close_the_same_windows(
        (batches, mixed) in prop::collection::vec(reports(6), 1..4).prop_flat_map(|batches| {
            let twice = |batch: &Vec<UsageReport>| Just([batch.clone(), batch.clone()].concat()).prop_shuffle();
            let mixed: Vec<_> = batches.iter().map(twice).collect();
            (Just(batches), mixed)
        }),
    ) {
        let (mut once, mut again) = (ledger(), ledger());
        let mut now = BEGIN + 4_000;
        for (batch, mixed) in batches.into_iter().zip(mixed) {
            give(&mut once, now, batch);
            give(&mut again, now, mixed);
            prop_assert_eq!(bytes(&once), bytes(&again));
            now += 1_700;
            prop_assert_eq!(once.advance(now, &BTreeSet::new()), again.advance(now, &BTreeSet::new()));
            prop_assert_eq!(bytes(&once), bytes(&again));
        }
    }

    #[test]
    fn windows_adjustments_and_what_was_cut_add_up_to_what_was_accepted_also_after_it_was_stored(
        batches in prop::collection::vec(reports(3), 1..6),
    ) {
        let (mut ledger, mut taken, mut closed) = (ledger(), BTreeMap::new(), Vec::new());
        let mut now = BEGIN + 4_000;
        for batch in batches {
            for report in batch {
                let key = (report.reporter.clone(), report.incarnation, report.sequence);
                if matches!(ledger.record(now, report.clone()), Ok(ReportOutcome::Counted | ReportOutcome::Late | ReportOutcome::Replaced)) {
                    taken.insert(key, report);
                }
            }
            now += 1_700;
            closed.extend(ledger.advance(now, &BTreeSet::new()));
            ledger = postcard::from_bytes(&bytes(&ledger)).expect("what was written can be read");
        }
        closed.extend(ledger.advance(now + 60_000, &BTreeSet::new()));
        prop_assert_eq!(total(&closed), accepted(&taken));
        let windows: Vec<i64> = closed.iter().map(|one| one.index).collect();
        prop_assert!(windows.is_sorted_by(|a, b| a < b), "{:?}", windows);
        // What was closed is folded away.
        ledger.advance(now + 90_000, &BTreeSet::new());
        prop_assert!(bytes(&ledger).len() < 400, "{} bytes", bytes(&ledger).len());
    }

    #[test]
    fn provisional_shares_are_off_by_no_more_than_twice_what_may_still_come(
        mut all in prop::collection::vec((0_u8..3, 0_u8..4, 0_u64..4_000), 0..40),
        late in prop::collection::vec(any::<bool>(), 40),
    ) {
        let (mut sequences, mut sums) = ([0; 3], [0; 3]);
        let (mut part, mut whole) = (ledger(), ledger());
        all.sort();
        let capacity = 4 * u64::from(SLOTS) * 1_000;
        for (&(r, t, work), late) in all.iter().zip(&late) {
            sequences[usize::from(r)] += 1;
            // What a reporter tells above its pool is cut: another test's.
            let work = work.min(10_000 - sums[usize::from(r)]);
            sums[usize::from(r)] += work;
            let sent = report(&format!("r{r}"), sequences[usize::from(r)], 0, 1_000, work);
            let sent = UsageReport { tenant: name(&format!("t{t}")), ..sent };
            whole.record(BEGIN + 1_000, sent.clone()).expect("good");
            if !late {
                part.record(BEGIN + 1_000, sent).expect("good");
            }
        }
        let known = part.provisional_usage(BEGIN);
        let owed = BTreeMap::new();
        let shares = |work| {
            allocate_shares(&agreement(), &TenantDemands::from_measured_usage(&agreement(), work, capacity, &owed), &ReservedShares::default())
        };
        let (before, after) = (shares(&known.work), shares(&whole.provisional_usage(BEGIN).work));
        let bound = (2 * known.max_outstanding * u64::from(FULL_SHARE_PPM)).div_ceil(capacity) as u32 + 8;
        for (tenant, share) in &before.tenants {
            prop_assert!(share.share.abs_diff(after.tenants[tenant].share) <= bound);
        }
    }
}

/// `f0` of `t0`, `t2`, `f1` of `t1`, `t3`; a tenth guaranteed to each.
fn agreement() -> FairSharePolicy {
    let federation = |tenants: [&str; 2]| {
        let terms = |guarantee| ShareConfig { weight: 1, guarantee, ceiling: FULL_SHARE_PPM };
        let tenants = tenants.into_iter().map(|tenant| (name(tenant), terms(100_000)));
        Federation { share_config: terms(200_000), tenants: tenants.collect() }
    };
    let both = [(name("f0"), federation(["t0", "t2"])), (name("f1"), federation(["t1", "t3"]))];
    FairSharePolicy::new(both.into()).expect("it can be kept")
}

#[test]
fn a_window_waits_for_whom_is_there_not_for_the_dead_and_for_nobody_past_the_lateness() {
    let told = |ledger: &mut UsageLedger, reporters: &[&str]| {
        for reporter in reporters {
            // The second begins where the window ends: now all of it was told.
            ledger.record(BEGIN + 1_100, report(reporter, 1, 0, 1_000, 500)).expect("good");
            ledger.record(BEGIN + 1_100, report(reporter, 2, 1_000, 100, 0)).expect("good");
        }
    };
    let dead = |names: &[&str]| names.iter().map(|one| name(one)).collect::<BTreeSet<Name>>();
    let cases: [(&[&str], &[&str], i64, usize); 6] = [
        (&["r0", "r1", "r2"], &[], 1_100, 0),
        (&["r0", "r1", "r2"], &["p"], 1_100, 1),
        (&["r0"], &["p", "r1", "r2"], 1_100, 1),
        (&["r0"], &[], 2_999, 0),
        (&["r0"], &[], 3_000, 1),
        (&["r0"], &["p", "r0", "r1", "r2"], 2_999, 0),
    ];
    for (tell, gone, now, windows) in cases {
        let mut ledger = ledger();
        told(&mut ledger, tell);
        let closed = ledger.advance(BEGIN + now, &dead(gone));
        assert_eq!(closed.len(), windows, "{tell:?} told, {gone:?} dead, at {now}");
        if let Some(first) = closed.first() {
            let without: BTreeSet<Name> =
                dead(&["p", "r0", "r1", "r2"]).difference(&dead(tell)).cloned().collect();
            assert_eq!(
                (&first.incomplete_reporters, first.work[&name("t0")]),
                (&without, 500 * tell.len() as u64)
            );
        }
    }
}

#[test]
fn a_gap_holds_the_watermark_until_it_is_filled_or_a_restart_leaves_it_behind() {
    let mut ledger = ledger();
    let now = BEGIN + 1_500;
    let look = |ledger: &mut UsageLedger| {
        ledger.advance(now, &BTreeSet::new());
        let missing: Vec<_> = ledger.sequence_gaps("r0").into_iter().map(|one| one.missing).collect();
        (ledger.watermark("r0").map(|mark| mark - BEGIN), missing)
    };
    for (sequence, start) in [(1, 0), (2, 200), (5, 800), (8, 1_400)] {
        ledger.record(now, report("r0", sequence, start, 100, 1)).expect("good");
    }
    assert_eq!(look(&mut ledger), (Some(200), vec![vec![3..=4, 6..=7]]));
    ledger.record(now, report("r0", 4, 600, 100, 1)).expect("good");
    ledger.record(now, report("r0", 3, 400, 100, 1)).expect("good");
    assert_eq!(look(&mut ledger), (Some(800), vec![vec![6..=7]]));
    ledger.record(now, UsageReport { incarnation: 2, ..report("r0", 1, 1_450, 50, 1) }).expect("good");
    assert_eq!(look(&mut ledger), (Some(1_450), vec![vec![6..=7], vec![]]));
    // What the earlier start had still on its way counts all the same.
    assert_eq!(ledger.record(now, report("r0", 6, 1_000, 100, 7)), Ok(ReportOutcome::Counted));
    assert_eq!(ledger.provisional_usage(BEGIN + 1_000).work[&name("t0")], 1 + 1 + 7);
}

#[test]
fn what_was_held_back_and_comes_at_once_backwards_and_five_times_is_settled_in_the_next_window() {
    let mut ledger = ledger();
    let nobody = BTreeSet::new();
    assert!(ledger.advance(BEGIN + 9_000, &nobody).is_empty(), "nobody told of anything");
    for sequence in (1..=6).rev() {
        let sent = report("r0", sequence, 1_000 * (sequence as i64 - 1), 1_000, 100 * sequence);
        assert_eq!(ledger.record(BEGIN + 9_000, sent.clone()), Ok(ReportOutcome::Late));
        for _ in 0..4 {
            assert_eq!(ledger.record(BEGIN + 9_000, sent.clone()), Ok(ReportOutcome::Duplicate));
        }
    }
    assert_eq!(ledger.discard_counts("r0").duplicates, 24);
    let closed = ledger.advance(BEGIN + 10_000, &nobody);
    let first = (BEGIN + 7_000) / 1_000;
    let adjustments = BTreeMap::from([(name("t0"), 2_100)]);
    let without = closed[0].incomplete_reporters.clone();
    assert_eq!(
        closed,
        [ClosedWindow {
            index: first,
            adjustments,
            incomplete_reporters: without,
            ..ClosedWindow::default()
        }]
    );
    // What is missing before the first that came is waited for as long as anything else.
    assert_eq!(ledger.record(BEGIN + 10_000, report("r1", 2, 8_500, 400, 9)), Ok(ReportOutcome::Counted));
    assert_eq!(ledger.advance(BEGIN + 11_000, &nobody)[0].work, BTreeMap::from([(name("t0"), 9)]));
    assert_eq!(ledger.record(BEGIN + 11_000, report("r1", 1, 8_000, 500, 1)), Ok(ReportOutcome::Late));
    // A correction after the fact takes back what it must; one that comes before what it corrects stands too.
    let mended = UsageReport { corrects: Some(6), ..report("r0", 7, 5_000, 1_000, 50) };
    assert_eq!(ledger.record(BEGIN + 11_000, mended), Ok(ReportOutcome::Late));
    let early = UsageReport { corrects: Some(8), ..report("r0", 9, 9_000, 500, 30) };
    assert_eq!(ledger.record(BEGIN + 11_000, early), Ok(ReportOutcome::Counted));
    assert_eq!(ledger.record(BEGIN + 11_000, report("r0", 8, 9_000, 500, 99)), Ok(ReportOutcome::Counted));
    let closed = ledger.advance(BEGIN + 12_000, &nobody);
    assert_eq!(closed[0].adjustments, BTreeMap::from([(name("t0"), 1 - 550)]));
    assert_eq!(closed[0].work, BTreeMap::from([(name("t0"), 30)]));
}

#[test]
fn a_report_that_lies_is_refused_with_its_field_and_changes_nothing() {
    let good = || report("r0", 4, 500, 1_000, 100);
    let at = |start: i64, end: i64| UsageReport { start_ms: start, end_ms: end, ..good() };
    let cases = [
        (UsageReport { reporter: name("x"), ..good() }, ReportRejection::UnknownReporter, "reporter"),
        (UsageReport { tenant: name("x"), ..good() }, ReportRejection::UnknownTenant, "tenant"),
        (UsageReport { reporter: name("p"), ..good() }, ReportRejection::ForeignTenant, "tenant"),
        (at(BEGIN, BEGIN), ReportRejection::EmptyInterval, "end"),
        (at(BEGIN, i64::MIN), ReportRejection::EmptyInterval, "end"),
        (at(BEGIN, BEGIN + 3_001), ReportRejection::IntervalTooLong, "end"),
        (at(i64::MIN, i64::MAX), ReportRejection::IntervalTooLong, "end"),
        (at(BEGIN + 4_000, BEGIN + 5_101), ReportRejection::InFuture, "end"),
        (at(i64::MAX - 1, i64::MAX), ReportRejection::InFuture, "end"),
        (at(BEGIN - 10_001, BEGIN - 9_000), ReportRejection::BeforeHorizon, "start"),
        (UsageReport { work: 0, ..at(i64::MIN, i64::MIN + 1) }, ReportRejection::BeforeHorizon, "start"),
        (UsageReport { work: 10_001, ..good() }, ReportRejection::ExceedsCapacity, "work"),
        (UsageReport { work: u64::MAX, ..good() }, ReportRejection::ExceedsCapacity, "work"),
        (UsageReport { sequence: 0, ..good() }, ReportRejection::SequenceTooOld, "sequence"),
        (UsageReport { sequence: 3 + 64 + 1, ..good() }, ReportRejection::SequenceTooFarAhead, "sequence"),
        (UsageReport { sequence: u64::MAX, ..good() }, ReportRejection::SequenceTooFarAhead, "sequence"),
        (
            UsageReport { incarnation: 2, sequence: 65, ..good() },
            ReportRejection::SequenceTooFarAhead,
            "sequence",
        ),
        (UsageReport { sequence: 3, work: 101, ..good() }, ReportRejection::ConflictingDuplicate, "sequence"),
        (UsageReport { corrects: Some(4), ..good() }, ReportRejection::InvalidCorrection, "corrects"),
        (UsageReport { corrects: Some(0), ..good() }, ReportRejection::InvalidCorrection, "corrects"),
    ];
    let mut ledger = ledger();
    ledger.record(BEGIN + 2_000, UsageReport { sequence: 3, ..good() }).expect("good");
    ledger.advance(BEGIN + 2_000, &BTreeSet::new());
    let before = bytes(&ledger);
    let mut counts: BTreeMap<ReportRejection, u64> = BTreeMap::new();
    for (bad, why, field) in cases {
        let (of_r0, what) = (bad.reporter.as_str() == "r0", format!("{bad:?}"));
        assert_eq!(ledger.record(BEGIN + 5_000, bad), Err(why), "{what}");
        assert_eq!((why.field(), bytes(&ledger) == before), (field, true), "{what}");
        *counts.entry(why).or_default() += u64::from(of_r0);
    }
    counts.retain(|_, count| *count > 0);
    assert_eq!((ledger.discard_counts("r0").rejected, ledger.unknown_reporter_count()), (counts, 1));
    assert_eq!(ledger.discard_counts("p").rejected, BTreeMap::from([(ReportRejection::ForeignTenant, 1)]));
}

#[test]
fn of_many_starts_between_two_advances_the_latest_stay_in_any_order_and_old_ones_are_refused_later() {
    let first =
        |generation| UsageReport { incarnation: generation, ..report("r0", 1, 100, 100, 1 << generation) };
    let orders: [&[u64]; 4] = [&[1, 2, 3, 4, 5], &[5, 4, 3, 2, 1], &[3, 5, 1, 4, 2], &[2, 1, 5, 3, 4, 2, 1]];
    let ledgers = orders.map(|order| {
        let mut ledger = ledger();
        give(&mut ledger, BEGIN + 1_000, order.iter().copied().map(first).collect());
        assert_eq!(ledger.provisional_usage(BEGIN).work, BTreeMap::from([(name("t0"), 8 + 16 + 32)]));
        ledger.advance(BEGIN + 1_000, &BTreeSet::new());
        ledger
    });
    assert!(ledgers.iter().all(|one| bytes(one) == bytes(&ledgers[0])));
    let mut ledger = ledgers.into_iter().next().expect("four");
    ledger.record(BEGIN + 1_000, first(6)).expect("a new start");
    ledger.advance(BEGIN + 1_000, &BTreeSet::new());
    assert_eq!(ledger.record(BEGIN + 1_000, first(3)), Err(ReportRejection::OldIncarnation));
    assert_eq!(ledger.provisional_usage(BEGIN).work[&name("t0")], 8 + 16 + 32 + 64, "what came of it stays");
}

#[test]
fn a_flood_is_bounded_in_bytes_and_moves_no_other_tenant_beyond_twice_the_liars_pool() {
    let capacity = 4 * u64::from(SLOTS) * 1_000;
    let play = |lies: bool| {
        let mut ledger = ledger();
        for (reporter, tenant, work) in [("r0", "t0", 9_000), ("r1", "t1", 8_000), ("r2", "t2", 3_000)] {
            let sent = UsageReport { tenant: name(tenant), ..report(reporter, 1, 0, 1_000, work) };
            ledger.record(BEGIN + 1_000, sent).expect("good");
        }
        let (mut most, mut taken) = (0, 0);
        for lie in (1..=2_000).filter(|_| lies) {
            // Each tells of all that the pool can do, of another start, tenant and interval.
            let sent = UsageReport {
                tenant: name(["t1", "t3"][lie as usize % 2]),
                incarnation: lie % 7,
                ..report("p", 1 + lie % 100, (lie as i64 * 37) % 900 - 500, 1_000, 10_000)
            };
            taken += u32::from(ledger.record(BEGIN + 1_000, sent).is_ok());
            most = most.max(bytes(&ledger).len());
        }
        let closed = ledger.advance(BEGIN + 4_000, &BTreeSet::new());
        (closed.into_iter().find(|one| one.index == BEGIN / 1_000).expect("closed"), most, taken)
    };
    let ((honest, _, _), (lied, most, taken)) = (play(false), play(true));
    assert!(taken > 100 && lied.excess[&name("p")] > 100_000, "{taken} taken, {:?} cut", lied.excess);
    // 6 starts of 64 sequences, and the windows.
    assert!(most < 6 * 64 * 40, "{most} bytes");
    let more: u64 = lied.work.values().sum::<u64>() - honest.work.values().sum::<u64>();
    assert_eq!(more, u64::from(SLOTS) * 1_000, "no more than its pool can do counts");
    let usage = |closed: &ClosedWindow| {
        TenantDemands::from_measured_usage(&agreement(), &closed.work, capacity, &BTreeMap::new())
    };
    let shares = |closed: &ClosedWindow| {
        allocate_shares(&agreement(), &usage(closed), &ReservedShares::default()).tenants
    };
    let (before, after) = (shares(&honest), shares(&lied));
    let bound = 2 * FULL_SHARE_PPM / 4 + 8;
    let moved: Vec<u32> = before.iter().map(|(tenant, is)| is.share.abs_diff(after[tenant].share)).collect();
    assert!(moved.iter().all(|&moved| moved <= bound), "{moved:?}");
    assert!(moved.iter().any(|&moved| moved > 0), "the lie was seen");
    // And nobody who wants its guarantee goes without.
    assert!(["t0", "t1", "t2"].iter().all(|&tenant| after[&name(tenant)].share >= 100_000));
}

/// A window in which `t0` did so much.
fn done(window: i64, work: u64) -> ClosedWindow {
    ClosedWindow { index: window, work: BTreeMap::from([(name("t0"), work)]), ..ClosedWindow::default() }
}

#[test]
fn a_debt_fades_by_half_in_each_half_life_and_adjustments_count_like_work() {
    let entitled = BTreeMap::from([(name("t0"), 1_000)]);
    let mut debts = Debts::new(10);
    debts.settle(&done(-5, 1_000 + 4_096), &entitled);
    let mut seen = vec![debts.balance("t0")];
    for window in -4..=25 {
        debts.settle(&done(window, 1_000), &entitled);
        seen.push(debts.balance("t0"));
    }
    assert_eq!([seen[0], seen[5], seen[10], seen[20], seen[30]], [4_096, 3_072, 2_048, 1_024, 512]);
    assert!(seen.is_sorted_by(|a, b| a > b));
    // Windows in which nobody worked are left out, and only let it fade.
    debts.settle(&done(125, 1_000), &entitled);
    assert_eq!(debts.balance("t0"), 0);
    let adjusted = ClosedWindow { adjustments: BTreeMap::from([(name("t0"), -700)]), ..done(126, 2_000) };
    debts.settle(&adjusted, &entitled);
    assert_eq!((debts.balance("t0"), debts.relative_debts(&entitled)[&name("t0")]), (300, 30_000));
    debts.settle(&adjusted, &entitled);
    assert_eq!(debts.balance("t0"), 300, "a window counts once");
    debts.settle(&done(127, 1_000_000), &entitled);
    assert_eq!(debts.relative_debts(&entitled)[&name("t0")], FULL_SHARE_PPM);
    debts.settle(&ClosedWindow { index: 128, ..ClosedWindow::default() }, &BTreeMap::new());
    assert_eq!(debts.balance("t0"), 0, "one that is gone is forgotten");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_debt_is_the_sum_of_its_contributions_each_faded_by_itself_to_the_last_whole_number(
        works in prop::collection::vec(0_u64..1_000_000, 1..80), half_life in 1_u32..12,
    ) {
        let entitled = BTreeMap::from([(name("t0"), 300_000)]);
        let mut debts = Debts::new(half_life);
        // Exact fractions: the whole is over 2 * half_life * 2^halvings, of at most 2^80.
        let (mut sum, long) = (0_i128, i128::from(half_life));
        for (window, &work) in works.iter().enumerate() {
            debts.settle(&done(window as i64, work), &entitled);
            let age = (works.len() - 1 - window) as i128;
            let (halved, rest) = (age / long, age % long);
            if halved <= 32 {
                sum += ((i128::from(work) - 300_000) << (32 - halved)) * (2 * long - rest);
            }
        }
        let exact = sum / (2 * long) / (1 << 32);
        // Beyond 32 half-lives less than a slot-millisecond each is left.
        let beyond = works.len() as i128 / (32 * long);
        prop_assert!((debts.balance("t0") - exact).abs() <= beyond, "{} {exact}", debts.balance("t0"));
    }
}
