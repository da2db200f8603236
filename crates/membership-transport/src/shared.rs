//! The state that a member's threads share with the [`MembershipTransport`](crate::MembershipTransport),
//! which started these threads.
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use arc_swap::ArcSwap;
use copperspread_membership::Member;
use mio::Waker;

use crate::counters::Counters;
use crate::view::MembershipView;

/// Whether a member is running, leaving the cluster or stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum RunState {
    Running,
    /// The member leaves: it notifies the other members before it ends.
    Leaving,
    /// The member stops: it ends without notifying the other members, as if killed.
    Stopping,
}

/// The part of a member's view of the cluster that the driver publishes. The counters are kept apart, because
/// they change more often.
pub(crate) struct Snapshot {
    pub(crate) local_member: Member,
    pub(crate) members: Arc<[Member]>,
    pub(crate) local_health_multiplier: u32,
    pub(crate) detected_pauses: u64,
}

/// The state that a member's threads share. Only the driver thread publishes snapshots, only the
/// [`MembershipTransport`](crate::MembershipTransport) ends the member, and all threads update the counters.
pub(crate) struct Shared {
    snapshot: ArcSwap<Snapshot>,
    pub(crate) counters: Counters,
    run_state: AtomicU8,
    waker: Waker,
}

impl Shared {
    /// Creates the shared state of a member that knows no other member. `waker` wakes the driver thread.
    pub(crate) fn new(local_member: Member, waker: Waker) -> Shared {
        let snapshot = Snapshot {
            local_member,
            members: Arc::default(),
            local_health_multiplier: 0,
            detected_pauses: 0,
        };
        Shared {
            snapshot: ArcSwap::from_pointee(snapshot),
            counters: Counters::new(),
            run_state: AtomicU8::new(RunState::Running as u8),
            waker,
        }
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    pub(crate) fn view(&self) -> MembershipView {
        let (snapshot, packets) = (self.snapshot.load(), &self.counters.packets);
        MembershipView {
            local_member: snapshot.local_member.clone(),
            members: Arc::clone(&snapshot.members),
            local_health_multiplier: snapshot.local_health_multiplier,
            detected_pauses: snapshot.detected_pauses,
            rejected: self.counters.rejections(),
            packets_in: packets.received.load(Ordering::Relaxed),
            packets_out: packets.sent.load(Ordering::Relaxed),
            bytes_in: packets.bytes_received.load(Ordering::Relaxed),
            bytes_out: packets.bytes_sent.load(Ordering::Relaxed),
        }
    }

    /// Ends the member in the way `how`, which is [`RunState::Leaving`] or [`RunState::Stopping`]. Only the
    /// first call has an effect.
    pub(crate) fn end_member(&self, how: RunState) {
        let (running, how) = (RunState::Running as u8, how as u8);
        if self.run_state.compare_exchange(running, how, Ordering::Relaxed, Ordering::Relaxed).is_ok() {
            self.wake_driver();
        }
    }

    pub(crate) fn run_state(&self) -> RunState {
        match self.run_state.load(Ordering::Relaxed) {
            state if state == RunState::Running as u8 => RunState::Running,
            state if state == RunState::Leaving as u8 => RunState::Leaving,
            _ => RunState::Stopping,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.run_state() == RunState::Running
    }

    pub(crate) fn wake_driver(&self) {
        // Waking fails only if the driver has ended.
        let _ = self.waker.wake();
    }
}
