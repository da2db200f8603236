use super::OfferedLoad;

#[test]
fn before_any_request_the_means_are_one() {
    let offered = OfferedLoad::default();
    assert_eq!((offered.mean_request_load(), offered.mean_request_slots()), (1.0, 1.0));
}

#[test]
fn the_first_requests_count_alike() {
    let mut offered = OfferedLoad::default();
    offered.record(3.0, 2.0);
    assert_eq!(offered.mean_request_load(), 6.0, "nothing of the initial figure is left");
    offered.record(1.0, 2.0);
    assert_eq!(offered.mean_request_load(), 4.0);
    assert!((offered.mean_request_slots() - 1.0975).abs() < 1e-12, "slots move by a twentieth");
}

#[test]
fn after_a_hundred_requests_each_counts_for_a_hundredth() {
    let mut offered = OfferedLoad::default();
    for _ in 0..1_000 {
        offered.record(1.0, 1.0);
    }
    offered.record(2.0, 1.0);
    assert!((offered.mean_request_load() - 1.01).abs() < 1e-12);
}
