//! Shifts the wall clock that the program sees by the offsets in the fault plan.
use libc::{c_int, clockid_t, timespec};

use crate::injector::injector;
use crate::original::original;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Interposes `clock_gettime` of the C library to shift the wall clock.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let original = original!(clock_gettime: fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { original(clock, time) };
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if let Some(injector) = injector().filter(|_| is_wall_clock && result == 0) {
        let offset = injector.plan.clock_offset(injector.started.elapsed());
        // SAFETY: the call succeeded, so the pointer is valid; the caller owns the memory behind the pointer.
        shift(unsafe { &mut *time }, offset);
    }
    result
}

fn shift(time: &mut timespec, nanoseconds: i64) {
    let sum = time.tv_nsec + nanoseconds % NANOSECONDS_PER_SECOND;
    time.tv_sec += nanoseconds / NANOSECONDS_PER_SECOND + sum.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = sum.rem_euclid(NANOSECONDS_PER_SECOND);
}
