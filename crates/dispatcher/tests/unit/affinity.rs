use super::{Affinity, AffinityRules};

#[test]
fn a_small_fleet_prefers_no_worker_and_draws_nothing() {
    let mut rules = AffinityRules::new(15);
    let mut rng = fastrand::Rng::with_seed(1);
    let drawn = rules.draw(&mut rng);
    rules.set_ready_workers(2);
    assert_eq!(rules.rank_factor(drawn), 1.0);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn a_large_fleet_draws_once_for_a_worker() {
    let rules = AffinityRules::new(16);
    let mut rng = fastrand::Rng::with_seed(1);
    assert_ne!(rules.draw(&mut rng), Affinity::default());
    let mut drawn_once = fastrand::Rng::with_seed(1);
    drawn_once.f64();
    assert_eq!(rng, drawn_once);
}

#[test]
fn before_it_is_drawn_no_worker_is_preferred() {
    assert_eq!(AffinityRules::new(16).rank_factor(Affinity::default()), 1.0);
}

#[test]
fn the_lowest_of_many_ready_workers_is_about_one() {
    for count in [10, 1_000] {
        let mut rules = AffinityRules::new(100);
        let mut rng = fastrand::Rng::with_seed(7);
        let drawn: Vec<_> = (0..count).map(|_| rules.draw(&mut rng)).collect();
        rules.set_ready_workers(count);
        let factors = drawn.into_iter().map(|affinity| rules.rank_factor(affinity));
        let lowest = factors.min_by(f64::total_cmp).expect("there are workers");
        assert!((0.4..=1.6).contains(&lowest), "{count}: {lowest}");
    }
}

#[test]
fn with_no_worker_ready_the_factor_stays_finite() {
    let mut rules = AffinityRules::new(100);
    rules.set_ready_workers(0);
    assert_eq!(rules.rank_factor(Affinity::default()), 1.0);
}
