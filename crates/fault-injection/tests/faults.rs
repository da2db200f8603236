//! Links do what their weather and cuts say, and plans go forward.
use std::time::Duration;

use copperspread_fault_injection::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Duration = Duration::from_millis(1);

#[test]
fn weather_loses_doubles_and_holds_the_shares_that_it_says() {
    let (mut links, mut chance) = (NetworkLinks::new(LinkConditions::IDEAL), Pcg64Mcg::seed_from_u64(1));
    assert_eq!(links.delivery_delays(0, 1, &mut chance), [Some(Duration::ZERO), None]);
    let storm = LinkConditions {
        loss_rate: 0.3,
        duplication_rate: 0.2,
        extra_delay_rate: 0.1,
        extra_delay: 50 * MS,
        min_delay: 5 * MS,
        max_delay: 20 * MS,
    };
    links.apply(&Fault::SetConditions(storm));
    let ways: Vec<_> = (0..100_000).map(|_| links.delivery_delays(0, 1, &mut chance)).collect();
    let share = |of: &dyn Fn(&[Option<Duration>; 2]) -> bool| {
        ways.iter().filter(|&way| of(way)).count() as f64 / ways.len() as f64
    };
    assert!((share(&|way| way[0].is_none()) - 0.3).abs() < 0.01);
    assert!((share(&|way| way[1].is_some()) - 0.7 * 0.2).abs() < 0.01);
    assert!((share(&|way| way[0].is_some_and(|way| way >= 55 * MS)) - 0.7 * 0.1).abs() < 0.01);
    let all = || ways.iter().flatten().flatten();
    assert!(all().all(|&way| way >= 5 * MS && way < 70 * MS) && all().any(|&way| way > 19 * MS));
    links.apply(&Fault::Heal);
    assert_eq!(links, NetworkLinks::new(LinkConditions::IDEAL));
}

#[test]
fn a_cut_has_a_direction_and_a_partition_has_both() {
    let (mut links, mut chance) = (NetworkLinks::new(LinkConditions::IDEAL), Pcg64Mcg::seed_from_u64(1));
    links.apply(&Fault::BlockOneWay { from: vec![0], to: vec![1] });
    links.apply(&Fault::Partition { one: vec![2], other: vec![3, 4] });
    let cut = |a, b| [(0, 1), (2, 3), (2, 4), (3, 2), (4, 2)].contains(&(a, b));
    for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))) {
        assert_eq!(links.delivery_delays(a, b, &mut chance)[0].is_none(), cut(a, b), "{a} to {b}");
    }
}

#[test]
#[should_panic(expected = "goes forward")]
fn a_plan_that_goes_back_is_refused() {
    let _ = FaultPlan::default().at(MS, Fault::Heal).at(Duration::ZERO, Fault::Heal);
}
