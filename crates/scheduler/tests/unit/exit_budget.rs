//! Unit tests of `src/serve/exit_budget.rs`, which includes this file as its `tests`.
use std::sync::mpsc::channel;

use super::*;

#[test]
fn run_with_timeout_returns_at_the_timeout_when_the_work_hangs() {
    let (release, blocked) = channel::<()>();
    let start = Instant::now();
    assert!(!run_with_timeout(Duration::from_millis(50), move || blocked.recv().unwrap_or_default()));
    assert!(start.elapsed() >= Duration::from_millis(50) && start.elapsed() < MAX_EVENT_LOG_TIMEOUT);
    drop(release);
    assert!(
        run_with_timeout(MAX_EVENT_LOG_TIMEOUT, || ()),
        "work that ends before the timeout is reported as ended"
    );
    assert!(start.elapsed() < MAX_EVENT_LOG_TIMEOUT);
}

#[test]
fn each_timeout_reserves_time_for_the_components_that_end_later() {
    let budget = ExitBudget::until(Instant::now() + Duration::from_millis(500));
    let timeouts = [budget.event_log_timeout(), budget.log_timeout()];
    assert!(timeouts[0] <= Duration::from_millis(450) && timeouts[0] < timeouts[1], "{timeouts:?}");
    #[cfg(feature = "standalone")]
    assert!(
        budget.membership_timeout() <= Duration::from_millis(350)
            && budget.membership_timeout() < timeouts[0]
    );
    let distant = ExitBudget::until(Instant::now() + Duration::from_secs(9));
    assert_eq!(distant.event_log_timeout(), MAX_EVENT_LOG_TIMEOUT);
    assert_eq!(ExitBudget::until(Instant::now()).event_log_timeout(), Duration::ZERO);
}
