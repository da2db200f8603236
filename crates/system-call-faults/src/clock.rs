//! The wall clock, off by what the plan says.
use libc::{c_int, clockid_t, timespec};

use crate::injector::injector;
use crate::original::original;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let original = original!(clock_gettime: fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the arguments are passed on as they came.
    let result = unsafe { original(clock, time) };
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if let Some(injector) = injector().filter(|_| is_wall_clock && result == 0) {
        let offset = injector.plan.clock_offset(injector.started.elapsed());
        // SAFETY: the call succeeded, so that the time is valid and the caller's own.
        shift(unsafe { &mut *time }, offset);
    }
    result
}

fn shift(time: &mut timespec, nanoseconds: i64) {
    let sum = time.tv_nsec + nanoseconds % NANOSECONDS_PER_SECOND;
    time.tv_sec += nanoseconds / NANOSECONDS_PER_SECOND + sum.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = sum.rem_euclid(NANOSECONDS_PER_SECOND);
}
