//! Unit tests of `bounded_end`.
use std::sync::mpsc::channel;

use super::*;

#[test]
fn work_that_hangs_is_waited_for_no_longer_than_said() {
    let (end, hanging) = channel::<()>();
    let start = Instant::now();
    assert!(!run_bounded(Duration::from_millis(50), move || hanging.recv().unwrap_or_default()));
    assert!(start.elapsed() >= Duration::from_millis(50) && start.elapsed() < MAX_EVENT_LOG_WAIT);
    drop(end);
    assert!(run_bounded(MAX_EVENT_LOG_WAIT, || ()), "work that ends is");
    assert!(start.elapsed() < MAX_EVENT_LOG_WAIT);
}

#[test]
fn each_part_leaves_time_for_those_after_it() {
    let end = EndDeadlines::before_exit(Instant::now() + Duration::from_millis(500));
    let waits = [end.event_log_wait(), end.log_wait()];
    assert!(waits[0] <= Duration::from_millis(450) && waits[0] < waits[1], "{waits:?}");
    #[cfg(feature = "standalone")]
    assert!(end.membership_wait() <= Duration::from_millis(350) && end.membership_wait() < waits[0]);
    let far = EndDeadlines::before_exit(Instant::now() + Duration::from_secs(9));
    assert_eq!(far.event_log_wait(), MAX_EVENT_LOG_WAIT);
    assert_eq!(EndDeadlines::before_exit(Instant::now()).event_log_wait(), Duration::ZERO);
}
