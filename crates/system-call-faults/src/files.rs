//! Files: opened, made durable, cut and renamed. What is written to them is in [`crate::transfers`].
use std::ffi::CStr;
use std::path::PathBuf;

use libc::{c_char, c_int, mode_t, off64_t};

use crate::call::{Call, Target};
use crate::injector::injector_for;
use crate::original::original;
use crate::plan::Fault;

/// The fault of a call on an open file. Only where a rule is for the call is the file's path looked up.
pub(crate) fn next_fault(descriptor: c_int, call: Call) -> Option<Fault> {
    let injector = injector_for(call)?;
    let path = open_path(descriptor)?;
    injector.next_fault(call, Target::File(path.to_str()?))
}

fn open_path(descriptor: c_int) -> Option<PathBuf> {
    std::fs::read_link(format!("/proc/self/fd/{descriptor}")).ok()
}

/// Whether the call on an open file failed; the error number is set.
fn fails(descriptor: c_int, call: Call) -> bool {
    let Some(Fault::Fail(errno)) = next_fault(descriptor, call) else { return false };
    errno.set();
    true
}

/// Whether the call on a path failed; the error number is set.
///
/// # Safety
/// The path is a C string.
unsafe fn fails_on_path(path: *const c_char, call: Call) -> bool {
    let Some(injector) = injector_for(call).filter(|_| !path.is_null()) else { return false };
    // SAFETY: the caller's path is a C string.
    let Ok(path) = unsafe { CStr::from_ptr(path) }.to_str() else { return false };
    let Some(Fault::Fail(errno)) = injector.next_fault(call, Target::File(path)) else { return false };
    errno.set();
    true
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller's path is a C string.
    if unsafe { fails_on_path(path, Call::Open) } {
        return -1;
    }
    let original = original!(open64: fn(*const c_char, c_int, mode_t) -> c_int);
    // SAFETY: the arguments are passed on as they came; the mode is looked at only where the flags call for it.
    unsafe { original(path, flags, mode) }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if fails(descriptor, Call::Fsync) {
        return -1;
    }
    let original = original!(fsync: fn(c_int) -> c_int);
    // SAFETY: the argument is passed on as it came.
    unsafe { original(descriptor) }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if fails(descriptor, Call::Fdatasync) {
        return -1;
    }
    let original = original!(fdatasync: fn(c_int) -> c_int);
    // SAFETY: the argument is passed on as it came.
    unsafe { original(descriptor) }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    if fails(descriptor, Call::Ftruncate) {
        return -1;
    }
    let original = original!(ftruncate64: fn(c_int, off64_t) -> c_int);
    // SAFETY: the arguments are passed on as they came.
    unsafe { original(descriptor, length) }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller's paths are C strings.
    if unsafe { fails_on_path(from, Call::Rename) || fails_on_path(to, Call::Rename) } {
        return -1;
    }
    let original = original!(rename: fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the arguments are passed on as they came.
    unsafe { original(from, to) }
}
