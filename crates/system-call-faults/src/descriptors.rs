//! Tracks the sockets of the process: their kinds, which connections an injected error has ended, and how the
//! sockets are registered with epoll.
use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};

use libc::{c_int, epoll_event};

use crate::call::SocketKind;
use crate::original::original;

/// The number of descriptors that are tracked. For a descriptor with this number or a higher one, the
/// [`SocketKind`] is not remembered. No `recv` or `send` fault is then injected into calls on the socket.
/// Tests use far fewer descriptors.
const MAX_DESCRIPTORS: usize = 1 << 14;
/// The flag in a descriptor's state that is set if an injected error has ended the connection.
const ENDED: u8 = 0x80;
/// All kinds of sockets. The state of a descriptor contains the number of its kind, which is its index in
/// this list plus 1.
const KINDS: [SocketKind; 4] =
    [SocketKind::Client, SocketKind::Worker, SocketKind::Discovery, SocketKind::Membership];

/// The state of each descriptor: 0 if no socket kind is known for the descriptor, otherwise the number of
/// that kind. The flag [`ENDED`] is added if an injected error has ended the connection.
///
/// The states are atomic and not behind a lock, because a signal handler may call an interposed function such
/// as `write` at any time. If the interrupted thread held the lock, the handler would wait for it forever.
static STATES: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// The epoll instance with which a socket is registered, and the event of the registration.
#[derive(Clone, Copy)]
struct Registration {
    epoll: c_int,
    event: epoll_event,
}

static REGISTRATIONS: Mutex<Option<HashMap<c_int, Registration>>> = Mutex::new(None);

fn state(descriptor: c_int) -> Option<&'static AtomicU8> {
    STATES.get(usize::try_from(descriptor).ok()?)
}

/// Returns the kind of the socket with this descriptor, or `None` if the kind is not known.
pub(crate) fn kind(descriptor: c_int) -> Option<SocketKind> {
    let stored = state(descriptor)?.load(Ordering::Relaxed) & !ENDED;
    KINDS.get(usize::from(stored).checked_sub(1)?).copied()
}

pub(crate) fn set_kind(descriptor: c_int, kind: SocketKind) {
    let number = KINDS.iter().zip(1..).find(|(known, _)| **known == kind).map_or(0, |(_, number)| number);
    if let Some(state) = state(descriptor) {
        state.store(number, Ordering::Relaxed);
    }
}

/// Whether an injected error has ended the connection of this descriptor.
pub(crate) fn has_ended(descriptor: c_int) -> bool {
    state(descriptor).is_some_and(|state| state.load(Ordering::Relaxed) & ENDED != 0)
}

/// Marks the connection of a descriptor as ended, and shuts the connection down. The peer therefore sees the
/// end too.
pub(crate) fn end_connection(descriptor: c_int) {
    if let Some(state) = state(descriptor) {
        state.fetch_or(ENDED, Ordering::Relaxed);
    }
    // SAFETY: any descriptor may be passed; the call only fails if the descriptor is not a connected socket.
    unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
}

/// Removes what is tracked for a descriptor: its state and its epoll registration. Called before the
/// descriptor is closed.
pub(crate) fn untrack(descriptor: c_int) {
    if let Some(state) = state(descriptor)
        && state.swap(0, Ordering::Relaxed) != 0
    {
        with_registrations(|registrations| registrations.remove(&descriptor));
    }
}

fn with_registrations<T>(action: impl FnOnce(&mut HashMap<c_int, Registration>) -> T) -> T {
    let mut registrations = REGISTRATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    action(registrations.get_or_insert_default())
}

/// Remembers how a socket is registered with an epoll instance.
pub(crate) fn record_registration(descriptor: c_int, epoll: c_int, event: epoll_event) {
    with_registrations(|registrations| registrations.insert(descriptor, Registration { epoll, event }));
}

/// Registers a socket with its epoll instance again after a short transfer, so that epoll reports the socket
/// again.
///
/// A program may wait for the next event of the socket after a short transfer. The readiness of the socket
/// has not changed, so without a new registration, an edge-triggered epoll would not report the socket again.
pub(crate) fn rearm_epoll(descriptor: c_int) {
    let registration = with_registrations(|registrations| registrations.get(&descriptor).copied());
    let Some(Registration { epoll, mut event }) = registration else { return };
    let epoll_ctl = original!(epoll_ctl: fn(c_int, c_int, c_int, *mut epoll_event) -> c_int);
    // SAFETY: the event is valid for the call; the call only fails if a descriptor has been closed in the
    // meantime.
    unsafe { epoll_ctl(epoll, libc::EPOLL_CTL_MOD, descriptor, &raw mut event) };
}
