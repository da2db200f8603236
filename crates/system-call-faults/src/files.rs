//! Interposed C library functions on files: open, sync, truncate and rename. Functions that write are in
//! [`crate::transfers`].
use std::ffi::CStr;
use std::path::PathBuf;

use libc::{c_char, c_int, mode_t, off64_t};

use crate::call::{Call, Target};
use crate::injector::injector_for;
use crate::original::original;
use crate::plan::Fault;

/// Returns the fault to inject into a call on an open file, if any. The file's path is looked up only if the
/// plan has a rule for this kind of call.
pub(crate) fn next_fault(descriptor: c_int, call: Call) -> Option<Fault> {
    let injector = injector_for(call)?;
    let path = open_path(descriptor)?;
    injector.next_fault(call, Target::File(path.to_str()?))
}

fn open_path(descriptor: c_int) -> Option<PathBuf> {
    std::fs::read_link(format!("/proc/self/fd/{descriptor}")).ok()
}

/// Makes a call on an open file fail if the fault plan says so: sets `errno` and returns `true`. Otherwise
/// returns `false`.
fn inject_failure(descriptor: c_int, call: Call) -> bool {
    let Some(Fault::Fail(errno)) = next_fault(descriptor, call) else { return false };
    errno.set();
    true
}

/// Makes a call on a path fail if the fault plan says so: sets `errno` and returns `true`. Otherwise returns
/// `false`.
///
/// # Safety
/// The path must be null or a valid C string.
unsafe fn inject_path_failure(path: *const c_char, call: Call) -> bool {
    let Some(injector) = injector_for(call).filter(|_| !path.is_null()) else { return false };
    // SAFETY: this function's callers must pass null or a valid C string, and the path is not null here.
    let Ok(path) = unsafe { CStr::from_ptr(path) }.to_str() else { return false };
    let Some(Fault::Fail(errno)) = injector.next_fault(call, Target::File(path)) else { return false };
    errno.set();
    true
}

/// Interposes `open64` of the C library to inject faults into opening a file.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller's path is a C string.
    if unsafe { inject_path_failure(path, Call::Open) } {
        return -1;
    }
    let original = original!(open64: fn(*const c_char, c_int, mode_t) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged; the C library reads the mode only if the flags
    // require one.
    unsafe { original(path, flags, mode) }
}

/// Interposes `fsync` of the C library to inject faults into syncing a file's data and metadata to disk.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if inject_failure(descriptor, Call::Fsync) {
        return -1;
    }
    let original = original!(fsync: fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on unchanged.
    unsafe { original(descriptor) }
}

/// Interposes `fdatasync` of the C library to inject faults into syncing a file's data to disk.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if inject_failure(descriptor, Call::Fdatasync) {
        return -1;
    }
    let original = original!(fdatasync: fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on unchanged.
    unsafe { original(descriptor) }
}

/// Interposes `ftruncate64` of the C library to inject faults into changing a file's length.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    if inject_failure(descriptor, Call::Ftruncate) {
        return -1;
    }
    let original = original!(ftruncate64: fn(c_int, off64_t) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { original(descriptor, length) }
}

/// Interposes `rename` of the C library to inject faults into renaming a file.
///
/// The rules of the fault plan count two calls: the first with the old path, the second with the new path. If
/// a rule fails the first call, the second is not counted.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller's paths are C strings.
    if unsafe { inject_path_failure(from, Call::Rename) || inject_path_failure(to, Call::Rename) } {
        return -1;
    }
    let original = original!(rename: fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { original(from, to) }
}
