//! What the process's sockets are, and whether an injected error has ended them.
use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};

use libc::{c_int, epoll_event};

use crate::call::SocketKind;
use crate::original::original;

/// Descriptors above this are not told apart; tests run with far fewer.
const MAX_DESCRIPTORS: usize = 1 << 14;
/// Set beside a kind once the connection has ended.
const ENDED: u8 = 0x80;
/// The kinds, by the number that is stored, which counts from 1.
const KINDS: [SocketKind; 4] =
    [SocketKind::Client, SocketKind::Worker, SocketKind::Discovery, SocketKind::Membership];

/// By descriptor: 0, or a kind's number. Atomic, as a signal handler may write to a descriptor at any moment.
static STATES: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// How a socket is registered with an `epoll`.
#[derive(Clone, Copy)]
struct Registration {
    epoll: c_int,
    event: epoll_event,
}

static REGISTRATIONS: Mutex<Option<HashMap<c_int, Registration>>> = Mutex::new(None);

fn state(descriptor: c_int) -> Option<&'static AtomicU8> {
    STATES.get(usize::try_from(descriptor).ok()?)
}

/// The kind of a socket, if it is known.
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

/// Whether an injected error has ended the connection.
pub(crate) fn has_ended(descriptor: c_int) -> bool {
    state(descriptor).is_some_and(|state| state.load(Ordering::Relaxed) & ENDED != 0)
}

/// Ends a connection, for its peer too.
pub(crate) fn end_connection(descriptor: c_int) {
    if let Some(state) = state(descriptor) {
        state.fetch_or(ENDED, Ordering::Relaxed);
    }
    // SAFETY: any descriptor may be passed; one that is not connected fails.
    unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
}

/// Forgets a descriptor that is about to be closed.
pub(crate) fn forget(descriptor: c_int) {
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

/// Remembers how a socket is registered.
pub(crate) fn register(descriptor: c_int, epoll: c_int, event: epoll_event) {
    with_registrations(|registrations| registrations.insert(descriptor, Registration { epoll, event }));
}

/// Has the `epoll` report the socket anew, as it would where the rest of a transfer became possible a little later: a
/// program may take a short transfer for the last until the next event.
pub(crate) fn report_again(descriptor: c_int) {
    let registration = with_registrations(|registrations| registrations.get(&descriptor).copied());
    let Some(Registration { epoll, mut event }) = registration else { return };
    let epoll_ctl = original!(epoll_ctl: fn(c_int, c_int, c_int, *mut epoll_event) -> c_int);
    // SAFETY: the event is valid for the call; descriptors that were closed meanwhile make it fail.
    unsafe { epoll_ctl(epoll, libc::EPOLL_CTL_MOD, descriptor, &raw mut event) };
}
