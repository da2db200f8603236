//! Tests members whose clocks drift within and beyond the clock bound, and the validation of the settings.
mod simulation;

use copperspread_consensus::{Effect, SECOND, Settings, SettingsError};
use simulation::Simulation;

#[test]
fn a_clock_1_percent_fast_or_slow_is_within_the_bound_and_no_drift_is_reported() {
    // The slowest clock within the bound of 1 % has 1 / 1.01 of the true rate, which is about -9,901 ppm.
    for ppm in [10_000, -9_900] {
        for member in [0, 1, 4] {
            let configure = |simulation: &mut Simulation| simulation.set_initial_clock_ppm(member, ppm);
            let mut simulation = Simulation::configured(3, 5, 12, configure);
            for second in 0..40 {
                simulation.propose_next(second % 5);
                simulation.run_for(SECOND);
            }
            let drifts = simulation.reports_of(|effect| matches!(effect, Effect::ClockDriftDetected(_)));
            assert!(drifts.is_empty());
            assert_eq!(simulation.longest_conflict(), 0);
        }
    }
}

#[test]
fn a_clock_20_percent_off_is_detected_within_3_s_and_its_member_follows_the_restricted_rules() {
    for ppm in [200_000, -200_000] {
        let mut simulation = Simulation::with_stable_leader(3, 5, 13);
        simulation.set_clock_ppm(4, ppm);
        simulation
            .run_until(3 * SECOND, |simulation| simulation.reported_drift(4).is_some())
            .expect("the member reports its drift within 3 s");
        let drift = simulation.reported_drift(4).expect("the member has reported its drift");
        assert_eq!(drift.is_fast, ppm > 0);
        assert!((20_000..=250_000).contains(&drift.min_ppm), "{drift:?}");
        for second in 0..20 {
            simulation.propose_next(second % 4);
            simulation.run_for(SECOND);
            assert_eq!(simulation.followed_version(4), None);
        }
        assert!(
            (0..4).all(|member| simulation.reported_drift(member).is_none()),
            "no member except 4 may report a drift"
        );
        simulation.set_clock_ppm(4, 0);
        simulation
            .run_until(120 * SECOND, |simulation| simulation.followed_version(4).is_some())
            .expect("the member's drift is cleared within 120 s");
        assert_eq!(simulation.reports_of(|effect| *effect == Effect::ClockDriftCleared).len(), 1);
        assert!(simulation.longest_conflict() <= simulation.settings.staleness_bound());
    }
}

#[test]
fn a_leader_whose_clock_is_20_percent_off_reports_it_and_transfers_the_leadership() {
    for ppm in [200_000, -200_000] {
        let mut simulation = Simulation::with_stable_leader(5, 9, 14);
        let leader = simulation.leader().expect("a leader was elected");
        simulation.set_clock_ppm(leader, ppm);
        simulation
            .run_until(6 * SECOND, |simulation| simulation.leader().is_some_and(|other| other != leader))
            .expect("the leader transfers the leadership within 6 s");
        assert_eq!(
            simulation.reported_drift(leader).expect("the leader reported its drift").is_fast,
            ppm > 0
        );
        let others_have_leases = |simulation: &Simulation| {
            (0..9).all(|member| member == leader || simulation.followed_version(member).is_some())
        };
        simulation
            .run_until(20 * SECOND, others_have_leases)
            .expect("the other members have leases within 20 s");
        simulation.propose_next((leader + 1) % 5);
        simulation.run_for(5 * SECOND);
        assert!(others_have_leases(&simulation) && simulation.followed_version(leader).is_none());
        assert!(simulation.longest_conflict() <= simulation.settings.staleness_bound());
    }
}

#[test]
fn the_default_staleness_bound_is_under_2_s_and_validation_errors_name_the_invalid_field() {
    let valid = Simulation::new(3, 3, 0).settings;
    assert_eq!(
        (valid.staleness_bound(), valid.lease_expiry_wait(), valid.validate()),
        (1_998_000, 1_836_180, Ok(()))
    );
    type Invalidate = fn(&mut Settings);
    let cases: [(&str, SettingsError, Invalidate); 6] = [
        ("voters", SettingsError::VoterCount, |settings| settings.voters.truncate(2)),
        ("voters", SettingsError::DuplicateVoter, |settings| {
            settings.voters[0] = settings.voters[1].clone();
        }),
        ("lease_duration", SettingsError::LeaseTooShort, |settings| {
            settings.lease_duration = settings.max_round_trip;
        }),
        ("max_round_trip", SettingsError::RoundTripTooShort, |settings| {
            settings.max_round_trip = settings.tick_interval;
        }),
        ("max_drift_ppm", SettingsError::DriftTooLarge, |settings| settings.max_drift_ppm = 100_001),
        ("max_pending_versions", SettingsError::PendingVersionsLimit, |settings| {
            settings.max_pending_versions = 0;
        }),
    ];
    for (field, expected, invalidate) in cases {
        let mut settings = valid.clone();
        invalidate(&mut settings);
        let error = settings.validate().expect_err(field);
        assert_eq!(error, expected);
        assert!(error.to_string().starts_with(field), "{field}");
    }
}
