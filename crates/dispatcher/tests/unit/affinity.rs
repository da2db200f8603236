use super::AffinityTable;

#[test]
fn a_small_fleet_prefers_no_worker_and_draws_nothing() {
    let mut table = AffinityTable::new(15);
    let mut rng = fastrand::Rng::with_seed(1);
    table.resize(2);
    table.draw(0, &mut rng);
    table.set_ready_workers(2);
    assert_eq!((table.rank_factor(0), table.rank_factor(1)), (1.0, 1.0));
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn a_large_fleet_draws_once_for_a_worker() {
    let mut table = AffinityTable::new(16);
    let mut rng = fastrand::Rng::with_seed(1);
    table.resize(2);
    table.draw(0, &mut rng);
    assert_ne!(table.rank_factor(0), 1.0);
    assert_eq!(table.rank_factor(1), 1.0);
    let mut drawn_once = fastrand::Rng::with_seed(1);
    drawn_once.f64();
    assert_eq!(rng, drawn_once);
}

#[test]
fn the_lowest_of_many_ready_workers_is_about_one() {
    for count in [10, 1_000] {
        let mut table = AffinityTable::new(100);
        let mut rng = fastrand::Rng::with_seed(7);
        table.resize(count);
        (0..count).for_each(|worker| table.draw(worker, &mut rng));
        table.set_ready_workers(count);
        let factors = (0..count).map(|worker| table.rank_factor(worker));
        let lowest = factors.min_by(f64::total_cmp).expect("there are workers");
        assert!((0.4..=1.6).contains(&lowest), "{count}: {lowest}");
    }
}

#[test]
fn with_no_worker_ready_the_factor_stays_finite() {
    let mut table = AffinityTable::new(100);
    table.resize(1);
    table.set_ready_workers(0);
    assert_eq!(table.rank_factor(0), 1.0);
}
