//! Interposed C library functions that create, connect, accept and close sockets or wait for events.
use std::net::{Ipv4Addr, SocketAddrV4};

use libc::{c_int, c_void, epoll_event, sockaddr, sockaddr_in, socklen_t};

use crate::call::{Call, SocketKind, Target};
use crate::descriptors;
use crate::injector::{injector, injector_for};
use crate::original::original;
use crate::plan::Fault;

/// Reads a socket address as the C library represents it. Returns `None` unless the address is an IPv4
/// address.
///
/// # Safety
/// The address must be null or point to `length` valid bytes.
unsafe fn ipv4_address(address: *const sockaddr, length: socklen_t) -> Option<SocketAddrV4> {
    if address.is_null() || (length as usize) < size_of::<sockaddr_in>() {
        return None;
    }
    // SAFETY: the bytes are valid and at least as many as the type has, and any bit pattern is valid for the
    // type.
    let address = unsafe { address.cast::<sockaddr_in>().read_unaligned() };
    let ip = Ipv4Addr::from(u32::from_be(address.sin_addr.s_addr));
    (c_int::from(address.sin_family) == libc::AF_INET)
        .then(|| SocketAddrV4::new(ip, u16::from_be(address.sin_port)))
}

/// Interposes `socket` of the C library to inject faults into creating IPv4 sockets.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    let injector = injector_for(Call::Socket).filter(|_| domain == libc::AF_INET);
    if let Some(Fault::Fail(errno)) =
        injector.and_then(|injector| injector.next_fault(Call::Socket, Target::Unspecific))
    {
        return errno.set();
    }
    let original = original!(socket: fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { original(domain, socket_type, protocol) }
}

/// Interposes `bind` of the C library to mark the socket with the kind that the fault plan assigns to the
/// bound address.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn bind(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(injector) = injector()
        // SAFETY: the caller's address is valid for its length.
        && let Some(address) = unsafe { ipv4_address(address, length) }
        && let Some(kind) = injector.plan.kind_at(address)
    {
        descriptors::set_kind(descriptor, kind);
    }
    let original = original!(bind: fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { original(descriptor, address, length) }
}

/// Interposes `connect` of the C library to inject faults, and to mark the socket with its kind. The kind is
/// the one that the fault plan assigns to the peer's IPv4 address, or [`SocketKind::Worker`] if the plan
/// assigns none.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller's address is valid for its length.
    let peer = unsafe { ipv4_address(address, length) };
    if let Some((injector, peer)) = injector().zip(peer) {
        let kind = injector.plan.kind_at(peer).unwrap_or(SocketKind::Worker);
        descriptors::set_kind(descriptor, kind);
        if let Some(Fault::Fail(errno)) = injector.next_fault(Call::Connect, Target::Socket(kind)) {
            return errno.set();
        }
    }
    let original = original!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { original(descriptor, address, length) }
}

/// Interposes `getsockopt` of the C library to inject faults into [`Call::ConnectCompletion`], the query
/// whether a connection was established without an error.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn getsockopt(
    descriptor: c_int,
    level: c_int,
    option: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    let original = original!(getsockopt: fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { original(descriptor, level, option, value, length) };
    if result != 0 || (level, option) != (libc::SOL_SOCKET, libc::SO_ERROR) {
        return result;
    }
    let error = value.cast::<c_int>();
    // SAFETY: the call succeeded, so the value is valid; the value of this option is an integer.
    let is_connected = unsafe { error.read_unaligned() } == 0;
    if let Some(injector) = injector_for(Call::ConnectCompletion).filter(|_| is_connected)
        && let Some(kind) = descriptors::kind(descriptor)
        && let Some(Fault::Fail(errno)) = injector.next_fault(Call::ConnectCompletion, Target::Socket(kind))
    {
        descriptors::end_connection(descriptor);
        // SAFETY: the call succeeded, so the value is valid; the value of this option is an integer.
        unsafe { error.write_unaligned(errno.0) };
    }
    result
}

/// Interposes `accept4` of the C library to inject faults, and to mark the accepted socket with its kind. The
/// kind is that of the listener, or [`SocketKind::Client`] if the listener's kind is not known.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let original = original!(accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    let kind = descriptors::kind(listener).unwrap_or(SocketKind::Client);
    if let Some(injector) = injector_for(Call::Accept).filter(|_| is_ready(listener, libc::POLLIN))
        && let Some(Fault::Fail(errno)) = injector.next_fault(Call::Accept, Target::Socket(kind))
    {
        return errno.set();
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    let accepted = unsafe { original(listener, address, length, flags) };
    if accepted >= 0 && injector().is_some() {
        descriptors::set_kind(accepted, kind);
    }
    accepted
}

/// Whether a call on the socket would find one of the `events` pending. This is so if an event is pending
/// now. It is also so if the socket is blocking, because the call then waits for an event.
pub(crate) fn is_ready(descriptor: c_int, events: libc::c_short) -> bool {
    // SAFETY: any descriptor may be passed.
    let flags = unsafe { libc::fcntl(descriptor, libc::F_GETFL) };
    let mut poll = libc::pollfd { fd: descriptor, events, revents: 0 };
    // SAFETY: the array of one element is valid for the call, which does not block.
    flags & libc::O_NONBLOCK == 0 || unsafe { libc::poll(&raw mut poll, 1, 0) } != 0
}

/// Interposes `close` of the C library to remove what is tracked for the descriptor.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    // The state is removed before the close. Another thread may get the same descriptor immediately after the
    // close, and its state would then be removed instead.
    descriptors::untrack(descriptor);
    let original = original!(close: fn(c_int) -> c_int);
    // SAFETY: the caller's argument is passed on unchanged.
    unsafe { original(descriptor) }
}

/// Interposes `epoll_ctl` of the C library to remember how sockets are registered with epoll. After a short
/// transfer, [`descriptors::rearm_epoll`] needs this.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    let original = original!(epoll_ctl: fn(c_int, c_int, c_int, *mut epoll_event) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { original(epoll, operation, descriptor, event) };
    let is_registered = result == 0 && operation != libc::EPOLL_CTL_DEL && !event.is_null();
    if is_registered && descriptors::kind(descriptor).is_some() {
        // SAFETY: the caller's event was valid for the call.
        descriptors::record_registration(descriptor, epoll, unsafe { event.read_unaligned() });
    }
    result
}

/// Interposes `epoll_wait` of the C library to inject faults into waiting for events.
///
/// # Safety
/// The caller must meet the requirements of the original function.
#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    capacity: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(Fault::Fail(errno)) = injector_for(Call::EpollWait)
        .and_then(|injector| injector.next_fault(Call::EpollWait, Target::Unspecific))
    {
        return errno.set();
    }
    let original = original!(epoll_wait: fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { original(epoll, events, capacity, timeout) }
}
