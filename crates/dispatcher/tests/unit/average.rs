use super::{AverageRatio, EventRate, LogAverage, SlidingWindowSum, move_average, weighted_mean};
use crate::SECOND;

#[test]
fn a_moving_average_changes_by_the_weight_of_the_sample() {
    let mut average = 1.0;
    move_average(&mut average, 3.0, 0.25);
    assert_eq!(average, 1.5);
    assert_eq!(weighted_mean(1.0, 3.0, 5.0, 1.0), 2.0);
}

#[test]
fn the_first_samples_of_a_log_average_have_equal_weights() {
    let mut average = LogAverage::default();
    for (sample, mean) in [(4.0, 4.0), (2.0, 3.0), (0.0, 2.0), (6.0, 3.0)] {
        average.add(sample, 0.25, SECOND);
        assert!((average.log_mean - mean).abs() < 1e-12, "{mean}");
    }
    average.add(7.0, 0.25, 2 * SECOND);
    assert!((average.log_mean - 4.0).abs() < 1e-12, "from the fifth sample on, the weight is 1/4");
    assert_eq!((average.samples, average.updated_at), (4.0, 2 * SECOND));
}

#[test]
fn a_ratio_is_bounded_in_both_directions() {
    let mut ratio = AverageRatio::starting_at(0.5);
    assert_eq!(ratio.ratio(5.0), 1.0);
    ratio.add(0.0, 0.5, 1.0);
    assert_eq!(ratio.ratio(5.0), 0.2);
    ratio.add(0.5, 0.0, 1.0);
    assert_eq!(ratio.ratio(5.0), 5.0);
}

#[test]
fn an_event_rate_decays_with_its_window_as_time_constant() {
    let mut rate = EventRate::default();
    assert_eq!(rate.add_event(0, 2.0), 0.5);
    assert_eq!(rate.add_event(0, 2.0), 1.0);
    let later = rate.add_event(2 * SECOND, 2.0);
    assert!((later - (0.5 + (-1.0_f64).exp())).abs() < 1e-12, "{later}");
}

#[test]
fn an_amount_counts_until_one_window_after_the_end_of_its_step() {
    let mut sum = SlidingWindowSum::default();
    sum.add(SECOND, 8 * SECOND, 8, 2.0);
    sum.add(SECOND + 1, 8 * SECOND, 8, 3.0);
    assert_eq!(sum.sum_at(10 * SECOND - 1), 5.0);
    assert_eq!(sum.sum_at(10 * SECOND), 0.0);
    sum.add(10 * SECOND, 8 * SECOND, 8, 1.0);
    assert_eq!(sum.sum_at(0), 1.0, "expired amounts have been discarded");
}
