//! Tests of link conditions, of blocked links, and of the chronological order of fault plans.
use std::time::Duration;

use copperspread_fault_injection::{Fault, FaultPlan, LinkConditions, NetworkLinks};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Duration = Duration::from_millis(1);
const SEED: u64 = 1;
const PACKETS: usize = 100_000;

#[test]
fn links_lose_duplicate_and_delay_packets_at_the_configured_rates() {
    let mut links = NetworkLinks::new(LinkConditions::IDEAL);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    assert_eq!(links.delivery_delays(0, 1, &mut rng), [Some(Duration::ZERO), None]);
    links.apply(&Fault::SetConditions(LinkConditions {
        loss_rate: 0.3,
        duplication_rate: 0.2,
        extra_delay_rate: 0.1,
        extra_delay: 50 * MS,
        min_delay: 5 * MS,
        max_delay: 20 * MS,
    }));
    let deliveries: Vec<_> = (0..PACKETS).map(|_| links.delivery_delays(0, 1, &mut rng)).collect();
    let share = |holds: &dyn Fn(&[Option<Duration>; 2]) -> bool| {
        deliveries.iter().filter(|&delays| holds(delays)).count() as f64 / deliveries.len() as f64
    };
    assert!((share(&|delays| delays[0].is_none()) - 0.3).abs() < 0.01);
    assert!((share(&|delays| delays[1].is_some()) - 0.7 * 0.2).abs() < 0.01);
    let has_extra_delay = |delays: &[Option<Duration>; 2]| delays[0].is_some_and(|delay| delay >= 55 * MS);
    assert!((share(&has_extra_delay) - 0.7 * 0.1).abs() < 0.01);
    let mut delays = deliveries.iter().flatten().flatten();
    assert!(delays.clone().all(|&delay| delay >= 5 * MS && delay < 70 * MS));
    assert!(delays.any(|&delay| delay > 19 * MS));
    links.apply(&Fault::Heal);
    assert_eq!(links, NetworkLinks::new(LinkConditions::IDEAL));
}

#[test]
fn a_one_way_block_affects_one_direction_and_a_partition_both() {
    let mut links = NetworkLinks::new(LinkConditions::IDEAL);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    links.apply(&Fault::BlockOneWay { from: vec![0], to: vec![1] });
    links.apply(&Fault::Partition { one: vec![2], other: vec![3, 4] });
    let is_blocked = |from, to| [(0, 1), (2, 3), (2, 4), (3, 2), (4, 2)].contains(&(from, to));
    for (from, to) in (0..5).flat_map(|from| (0..5).map(move |to| (from, to))) {
        let is_lost = links.delivery_delays(from, to, &mut rng)[0].is_none();
        assert_eq!(is_lost, is_blocked(from, to), "{from} to {to}");
    }
}

#[test]
#[should_panic(expected = "not in chronological order")]
fn appending_a_step_before_the_last_one_panics() {
    let _ = FaultPlan::default().at(MS, Fault::Heal).at(Duration::ZERO, Fault::Heal);
}
