use super::{EndpointSubscription, POLL_BACKOFF_MAX};
use crate::{DiscoveryMode, EndpointUpdateKind, SECOND, Settings};

fn polled(fleet_size: u32) -> Settings {
    Settings { discovery: DiscoveryMode::Polled, fleet_size, ..Settings::default() }
}

#[test]
fn discovery_is_not_polled_if_updates_are_pushed() {
    let mut subscription = EndpointSubscription::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let settings = Settings::default();
    assert_eq!(subscription.start(&settings, &mut rng), None);
    assert_eq!(subscription.record_failure(&settings, &mut rng), None);
    assert!(subscription.record_update(EndpointUpdateKind::Full, 1));
    assert!(subscription.needs_poll(), "a pushed update does not start a subscription");
}

#[test]
fn the_first_poll_delay_grows_with_the_fleet_up_to_half_the_poll_limit() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = |settings: &Settings, rng: &mut fastrand::Rng| {
            EndpointSubscription::default().start(settings, rng).expect("the first poll is scheduled")
        };
        assert!(first(&polled(1), &mut rng) <= 150_000);
        assert!(first(&polled(1_000), &mut rng) <= 3 * SECOND);
        let short = Settings { max_poll_interval: SECOND, ..polled(1_000) };
        assert!(first(&short, &mut rng) <= SECOND / 2);
    }
}

#[test]
fn the_backoff_doubles_up_to_its_maximum_and_restarts_after_a_successful_poll() {
    let mut subscription = EndpointSubscription::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fail = |subscription: &mut EndpointSubscription| {
        subscription.record_failure(&polled(1), &mut rng).expect("the next poll is scheduled")
    };
    let first = fail(&mut subscription);
    assert!((SECOND / 2..=SECOND).contains(&first), "{first}");
    for _ in 0..100 {
        let later = fail(&mut subscription);
        assert!((POLL_BACKOFF_MAX / 2..=POLL_BACKOFF_MAX).contains(&later), "{later}");
    }
    assert!(subscription.record_update(EndpointUpdateKind::Full, 1));
    assert!(!subscription.needs_poll());
    let after_answer = fail(&mut subscription);
    assert!((SECOND / 2..=SECOND).contains(&after_answer), "{after_answer}");
    assert!(subscription.needs_poll(), "a failure ends the subscription");
}

#[test]
fn a_cached_list_does_not_answer_a_poll() {
    let mut subscription = EndpointSubscription::default();
    subscription.start(&polled(1), &mut fastrand::Rng::with_seed(1));
    assert!(subscription.record_update(EndpointUpdateKind::Cached, 7));
    assert!(subscription.needs_poll());
    assert!(subscription.record_update(EndpointUpdateKind::Full, 7));
    assert!(!subscription.needs_poll());
}

#[test]
fn an_older_version_answers_the_poll_but_is_not_applied() {
    let mut subscription = EndpointSubscription::default();
    subscription.start(&polled(1), &mut fastrand::Rng::with_seed(1));
    assert!(subscription.record_update(EndpointUpdateKind::Cached, 7));
    assert!(!subscription.record_update(EndpointUpdateKind::Full, 6));
    assert!(!subscription.needs_poll());
    assert!(subscription.record_update(EndpointUpdateKind::Changes, 7), "the same version is applied");
}
