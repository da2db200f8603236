//! Bytes that are read and written, on sockets and on files.
use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};

use crate::call::{Call, Target};
use crate::descriptors;
use crate::errno::Errno;
use crate::files;
use crate::injector::{injector, injector_for};
use crate::original::original;
use crate::plan::Fault;
use crate::sockets::is_ready;

/// What becomes of a transfer.
enum Transfer {
    /// It passes through.
    Whole,
    /// It transfers at most so many bytes, and more follows.
    Short(usize),
    /// It returns this; the error number is set.
    Returned(ssize_t),
}

/// Decides about a transfer on a socket.
fn transfer(descriptor: c_int, call: Call) -> Transfer {
    let Some(kind) = descriptors::kind(descriptor).filter(|_| injector().is_some()) else {
        return Transfer::Whole;
    };
    if descriptors::has_ended(descriptor) {
        return match call {
            Call::Receive => Transfer::Returned(0),
            _ => Transfer::Returned(Errno(libc::EPIPE).set() as ssize_t),
        };
    }
    let events = if call == Call::Receive { libc::POLLIN } else { libc::POLLOUT };
    let injector = injector_for(call).filter(|_| is_ready(descriptor, events));
    match injector.and_then(|injector| injector.next_fault(call, Target::Socket(kind))) {
        Some(Fault::Fail(errno)) => {
            if errno.ends_connection() && is_stream(descriptor) {
                descriptors::end_connection(descriptor);
            }
            Transfer::Returned(errno.set() as ssize_t)
        }
        Some(Fault::Short(bytes)) => Transfer::Short(bytes),
        Some(Fault::Kill) | None => Transfer::Whole,
    }
}

fn is_stream(descriptor: c_int) -> bool {
    let mut kind: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let getsockopt = original!(getsockopt: fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int);
    let value = (&raw mut kind).cast();
    // SAFETY: the value is valid for its length.
    let result = unsafe { getsockopt(descriptor, libc::SOL_SOCKET, libc::SO_TYPE, value, &raw mut length) };
    result == 0 && kind == libc::SOCK_STREAM
}

/// Makes a transfer of so many bytes by a function of how many it may be.
fn transfer_bytes(
    descriptor: c_int,
    call: Call,
    length: size_t,
    original: impl Fn(size_t) -> ssize_t,
) -> ssize_t {
    match transfer(descriptor, call) {
        Transfer::Whole => original(length),
        Transfer::Returned(result) => result,
        Transfer::Short(bytes) => {
            let result = original(length.min(bytes));
            descriptors::report_again(descriptor);
            result
        }
    }
}

/// The first buffer that holds anything: what a short transfer of several goes to.
///
/// # Safety
/// They are `count` valid ones.
unsafe fn first_buffer(buffers: *const iovec, count: c_int) -> Option<iovec> {
    let count = usize::try_from(count).ok()?;
    // SAFETY: the caller's buffers are valid.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count) };
    buffers.iter().find(|buffer| buffer.iov_len > 0).copied()
}

/// Makes a transfer of several buffers.
///
/// # Safety
/// They are `count` valid ones, and `original` is a function of the C library that takes them.
unsafe fn transfer_buffers(
    descriptor: c_int,
    call: Call,
    buffers: *const iovec,
    count: c_int,
    original: unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t,
) -> ssize_t {
    match transfer(descriptor, call) {
        Transfer::Returned(result) => result,
        Transfer::Short(bytes) => {
            // SAFETY: the caller's buffers are valid.
            let first = unsafe { first_buffer(buffers, count) };
            let shortened =
                first.map(|first| iovec { iov_len: first.iov_len.min(bytes), iov_base: first.iov_base });
            // SAFETY: one valid buffer, or none.
            let result = unsafe {
                original(descriptor, shortened.as_slice().as_ptr(), c_int::from(shortened.is_some()))
            };
            descriptors::report_again(descriptor);
            result
        }
        // SAFETY: the arguments are passed on as they came.
        Transfer::Whole => unsafe { original(descriptor, buffers, count) },
    }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn recv(descriptor: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are passed on as they came, but for a smaller length.
    transfer_bytes(descriptor, Call::Receive, length, |length| unsafe {
        original(descriptor, buffer, length, flags)
    })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn recvfrom(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
    from: *mut sockaddr,
    from_length: *mut socklen_t,
) -> ssize_t {
    let original =
        original!(recvfrom: fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t);
    // SAFETY: the arguments are passed on as they came, but for a smaller length.
    transfer_bytes(descriptor, Call::Receive, length, |length| unsafe {
        original(descriptor, buffer, length, flags, from, from_length)
    })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let original = original!(read: fn(c_int, *mut c_void, size_t) -> ssize_t);
    // SAFETY: the arguments are passed on as they came, but for a smaller length.
    transfer_bytes(descriptor, Call::Receive, length, |length| unsafe {
        original(descriptor, buffer, length)
    })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn readv(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let original = original!(readv: fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's buffers are valid.
    unsafe { transfer_buffers(descriptor, Call::Receive, buffers, count, original) }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn send(descriptor: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are passed on as they came, but for a smaller length.
    transfer_bytes(descriptor, Call::Send, length, |length| unsafe {
        original(descriptor, buffer, length, flags)
    })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn sendto(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
    to: *const sockaddr,
    to_length: socklen_t,
) -> ssize_t {
    let original =
        original!(sendto: fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t);
    // SAFETY: the arguments are passed on as they came, but for a smaller length.
    transfer_bytes(descriptor, Call::Send, length, |length| unsafe {
        original(descriptor, buffer, length, flags, to, to_length)
    })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let original = original!(write: fn(c_int, *const c_void, size_t) -> ssize_t);
    let is_socket = descriptors::kind(descriptor).is_some();
    let length = match files::next_fault(descriptor, Call::Write).filter(|_| !is_socket) {
        Some(Fault::Fail(errno)) => return errno.set() as ssize_t,
        Some(Fault::Short(bytes)) => length.min(bytes),
        Some(Fault::Kill) | None => length,
    };
    // SAFETY: the arguments are passed on as they came, but for a smaller length.
    transfer_bytes(descriptor, Call::Send, length, |length| unsafe { original(descriptor, buffer, length) })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let original = original!(writev: fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's buffers are valid.
    unsafe { transfer_buffers(descriptor, Call::Send, buffers, count, original) }
}
