//! Unit tests of `shutdown_schedule`.
use super::{Micros, ShutdownSchedule};

/// Earliest time of the supervisor's SIGKILL after SIGTERM, for a longest deadline of `deadline_ms`.
///
/// Both times are in milliseconds, not in microseconds as `Micros` are elsewhere.
fn kill_ms(deadline_ms: Micros) -> Micros {
    deadline_ms.min(3_000) + 700
}

#[test]
fn every_schedule_ends_before_sigkill_and_covers_late_connections() {
    for deadline_ms in (50..5_000).step_by(50).chain([25_000, 86_400_000]) {
        let schedule = ShutdownSchedule::for_longest_deadline(deadline_ms * 1_000);
        let ms = |micros: Micros| micros / 1_000;
        let context = format!("{deadline_ms} ms: {schedule:?}");
        // 100 ms are for writing the last responses.
        assert!(ms(schedule.drain_time) + 100 <= kill_ms(deadline_ms) - 150, "{context}");
        // From a deadline of 300 ms on, the minimum drain time no longer applies, and responses are written
        // by 400 ms before the SIGKILL.
        assert!(
            deadline_ms < 300 || ms(schedule.drain_time) + 100 == kill_ms(deadline_ms) - 400,
            "{context}"
        );
        assert!(schedule.late_connection_window >= 500_000, "{context}");
        assert!(schedule.late_connection_window <= schedule.drain_time, "{context}");
        assert_eq!(ms(schedule.exit_time), kill_ms(deadline_ms) - 200, "{context}");
        // A request received before SIGTERM keeps its whole deadline, up to the 3 s that the supervisor
        // counts.
        assert!(ms(schedule.drain_time) >= deadline_ms.min(3_000), "{context}");
    }
}

#[test]
fn deadlines_over_three_seconds_do_not_lengthen_the_schedule() {
    let expected =
        ShutdownSchedule { drain_time: 3_200_000, late_connection_window: 1_000_000, exit_time: 3_500_000 };
    for seconds in [9, 25, 480] {
        assert_eq!(ShutdownSchedule::for_longest_deadline(seconds * 1_000_000), expected);
    }
}
