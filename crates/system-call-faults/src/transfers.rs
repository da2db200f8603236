//! Interposed C library functions that read from or write to sockets and files.
use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};

use crate::call::{Call, Target};
use crate::descriptors;
use crate::errno::Errno;
use crate::files;
use crate::injector::{injector, injector_for};
use crate::original::original;
use crate::plan::Fault;
use crate::sockets::is_ready;

/// How to carry out a read or write on a socket.
enum TransferAction {
    /// Call the original function with unchanged arguments.
    PassThrough,
    /// Transfer at most this many bytes, and make epoll report the socket again.
    Short(usize),
    /// Return this result without any transfer. If the result is a failure, `errno` is already set.
    Return(ssize_t),
}

/// Decides how to carry out a read or write on a socket.
fn transfer_action(descriptor: c_int, call: Call) -> TransferAction {
    let Some(kind) = descriptors::kind(descriptor).filter(|_| injector().is_some()) else {
        return TransferAction::PassThrough;
    };
    if descriptors::has_ended(descriptor) {
        return match call {
            Call::Receive => TransferAction::Return(0),
            _ => TransferAction::Return(Errno(libc::EPIPE).set() as ssize_t),
        };
    }
    let events = if call == Call::Receive { libc::POLLIN } else { libc::POLLOUT };
    let injector = injector_for(call).filter(|_| is_ready(descriptor, events));
    match injector.and_then(|injector| injector.next_fault(call, Target::Socket(kind))) {
        Some(Fault::Fail(errno)) => {
            if errno.ends_connection() && is_stream(descriptor) {
                descriptors::end_connection(descriptor);
            }
            TransferAction::Return(errno.set() as ssize_t)
        }
        Some(Fault::Short(bytes)) => TransferAction::Short(bytes),
        Some(Fault::Kill) | None => TransferAction::PassThrough,
    }
}

fn is_stream(descriptor: c_int) -> bool {
    let mut socket_type: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let getsockopt = original!(getsockopt: fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int);
    let value = (&raw mut socket_type).cast();
    // SAFETY: `value` points to an integer, and `length` is the size of that integer.
    let result = unsafe { getsockopt(descriptor, libc::SOL_SOCKET, libc::SO_TYPE, value, &raw mut length) };
    result == 0 && socket_type == libc::SOCK_STREAM
}

/// Carries out a read or write with a single buffer. `original` calls the original function with the given
/// number of bytes.
fn transfer_bytes(
    descriptor: c_int,
    call: Call,
    length: size_t,
    original: impl Fn(size_t) -> ssize_t,
) -> ssize_t {
    match transfer_action(descriptor, call) {
        TransferAction::PassThrough => original(length),
        TransferAction::Return(result) => result,
        TransferAction::Short(bytes) => {
            let result = original(length.min(bytes));
            descriptors::rearm_epoll(descriptor);
            result
        }
    }
}

/// Returns the first buffer that is not empty. A short transfer uses only this buffer.
///
/// # Safety
/// `buffers` must point to `count` valid buffers.
unsafe fn first_nonempty_buffer(buffers: *const iovec, count: c_int) -> Option<iovec> {
    let count = usize::try_from(count).ok()?;
    // SAFETY: the caller's buffers are valid.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count) };
    buffers.iter().find(|buffer| buffer.iov_len > 0).copied()
}

/// Carries out a read or write with several buffers.
///
/// # Safety
/// `buffers` must point to `count` valid buffers, and `original` must be a C library function that takes
/// them.
unsafe fn transfer_buffers(
    descriptor: c_int,
    call: Call,
    buffers: *const iovec,
    count: c_int,
    original: unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t,
) -> ssize_t {
    match transfer_action(descriptor, call) {
        TransferAction::Return(result) => result,
        TransferAction::Short(bytes) => {
            // SAFETY: the caller's buffers are valid.
            let first = unsafe { first_nonempty_buffer(buffers, count) };
            let shortened =
                first.map(|first| iovec { iov_len: first.iov_len.min(bytes), iov_base: first.iov_base });
            // SAFETY: the slice contains one valid buffer or none, and the count is the length of the slice.
            let result = unsafe {
                original(descriptor, shortened.as_slice().as_ptr(), c_int::from(shortened.is_some()))
            };
            descriptors::rearm_epoll(descriptor);
            result
        }
        // SAFETY: the caller's arguments are passed on unchanged.
        TransferAction::PassThrough => unsafe { original(descriptor, buffers, count) },
    }
}

/// Interposes `recv` of the C library to inject faults into receiving from a socket.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn recv(descriptor: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, with the same or a smaller length.
    transfer_bytes(descriptor, Call::Receive, length, |length| unsafe {
        original(descriptor, buffer, length, flags)
    })
}

/// Interposes `recvfrom` of the C library to inject faults into receiving from a socket.
///
/// # Safety
/// The caller must meet the requirements of the original function.
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
    // SAFETY: the caller's arguments are passed on, with the same or a smaller length.
    transfer_bytes(descriptor, Call::Receive, length, |length| unsafe {
        original(descriptor, buffer, length, flags, from, from_length)
    })
}

/// Interposes `read` of the C library to inject faults into reading from a socket. No faults are injected
/// into reads from files.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let original = original!(read: fn(c_int, *mut c_void, size_t) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, with the same or a smaller length.
    transfer_bytes(descriptor, Call::Receive, length, |length| unsafe {
        original(descriptor, buffer, length)
    })
}

/// Interposes `readv` of the C library to inject faults into reading from a socket. No faults are injected
/// into reads from files.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn readv(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let original = original!(readv: fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's buffers are valid.
    unsafe { transfer_buffers(descriptor, Call::Receive, buffers, count, original) }
}

/// Interposes `send` of the C library to inject faults into sending to a socket.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn send(descriptor: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments are passed on, with the same or a smaller length.
    transfer_bytes(descriptor, Call::Send, length, |length| unsafe {
        original(descriptor, buffer, length, flags)
    })
}

/// Interposes `sendto` of the C library to inject faults into sending to a socket.
///
/// # Safety
/// The caller must meet the requirements of the original function.
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
    // SAFETY: the caller's arguments are passed on, with the same or a smaller length.
    transfer_bytes(descriptor, Call::Send, length, |length| unsafe {
        original(descriptor, buffer, length, flags, to, to_length)
    })
}

/// Interposes `write` of the C library to inject faults into writing to a socket or a file.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let original = original!(write: fn(c_int, *const c_void, size_t) -> ssize_t);
    let is_socket = descriptors::kind(descriptor).is_some();
    let length = match files::next_fault(descriptor, Call::Write).filter(|_| !is_socket) {
        Some(Fault::Fail(errno)) => return errno.set() as ssize_t,
        Some(Fault::Short(bytes)) => length.min(bytes),
        Some(Fault::Kill) | None => length,
    };
    // SAFETY: the caller's arguments are passed on, with the same or a smaller length.
    transfer_bytes(descriptor, Call::Send, length, |length| unsafe { original(descriptor, buffer, length) })
}

/// Interposes `writev` of the C library to inject faults into writing to a socket. No faults are injected
/// into writes to files.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let original = original!(writev: fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's buffers are valid.
    unsafe { transfer_buffers(descriptor, Call::Send, buffers, count, original) }
}
