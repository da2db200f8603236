use super::OfferedLoad;

#[test]
fn the_means_are_one_before_the_first_request() {
    let offered = OfferedLoad::default();
    assert_eq!((offered.mean_request_load(), offered.mean_request_slots()), (1.0, 1.0));
}

#[test]
fn the_first_requests_have_equal_weights() {
    let mut offered = OfferedLoad::default();
    offered.record(3.0, 2.0);
    assert_eq!(offered.mean_request_load(), 6.0, "the initial value no longer contributes");
    offered.record(1.0, 2.0);
    assert_eq!(offered.mean_request_load(), 4.0);
    assert!(
        (offered.mean_request_slots() - 1.0975).abs() < 1e-12,
        "a sample has a weight of 1/20 in the mean slots"
    );
}

#[test]
fn after_100_requests_each_further_one_has_a_weight_of_one_percent() {
    let mut offered = OfferedLoad::default();
    for _ in 0..1_000 {
        offered.record(1.0, 1.0);
    }
    offered.record(2.0, 1.0);
    assert!((offered.mean_request_load() - 1.01).abs() < 1e-12);
}
