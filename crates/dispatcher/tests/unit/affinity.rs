use super::{Affinity, AffinityRules};

#[test]
fn a_small_fleet_has_neutral_affinities_and_draws_no_random_number() {
    let mut rules = AffinityRules::new(15);
    let mut rng = fastrand::Rng::with_seed(1);
    let drawn = rules.draw(&mut rng);
    rules.set_ready_workers(2);
    assert_eq!(rules.rank_factor(drawn), 1.0);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn a_large_fleet_draws_one_random_number_for_each_worker() {
    let rules = AffinityRules::new(16);
    let mut rng = fastrand::Rng::with_seed(1);
    assert_ne!(rules.draw(&mut rng), Affinity::default());
    let mut drawn_once = fastrand::Rng::with_seed(1);
    drawn_once.f64();
    assert_eq!(rng, drawn_once);
}

#[test]
fn an_affinity_that_has_not_been_drawn_is_neutral_before_workers_are_ready() {
    assert_eq!(AffinityRules::new(16).rank_factor(Affinity::default()), 1.0);
}

#[test]
fn the_lowest_rank_factor_of_many_ready_workers_is_about_one() {
    for count in [10, 1_000] {
        let mut rules = AffinityRules::new(100);
        let mut rng = fastrand::Rng::with_seed(7);
        let drawn: Vec<_> = (0..count).map(|_| rules.draw(&mut rng)).collect();
        rules.set_ready_workers(count);
        let factors = drawn.into_iter().map(|affinity| rules.rank_factor(affinity));
        let lowest = factors.min_by(f64::total_cmp).expect("at least one worker has a rank factor");
        assert!((0.4..=1.6).contains(&lowest), "{count}: {lowest}");
    }
}

#[test]
fn the_rank_factor_is_finite_without_ready_workers() {
    let mut rules = AffinityRules::new(100);
    rules.set_ready_workers(0);
    assert_eq!(rules.rank_factor(Affinity::default()), 1.0);
}

#[test]
fn a_large_fleet_prefers_the_workers_with_the_lowest_affinities() {
    let mut rules = AffinityRules::new(16);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut drawn: Vec<_> = (0..100).map(|_| rules.draw(&mut rng)).collect();
    rules.set_preferred_workers(drawn.clone(), 32);
    drawn.sort_by(|left, right| left.0.total_cmp(&right.0));
    assert!(drawn[..32].iter().all(|&affinity| rules.is_preferred(affinity)));
    assert!(!drawn[32..].iter().any(|&affinity| rules.is_preferred(affinity)));
    rules.set_preferred_workers(drawn[68..].to_vec(), 32);
    assert!(drawn.iter().all(|&affinity| rules.is_preferred(affinity)), "no more than 32 are ready");
}

#[test]
fn a_small_fleet_prefers_no_worker() {
    let mut rules = AffinityRules::new(15);
    rules.set_preferred_workers(vec![Affinity(0.5); 100], 32);
    assert!(rules.is_preferred(Affinity(2.0)));
}
