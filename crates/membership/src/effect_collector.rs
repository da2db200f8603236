//! The runtime that `foca` runs in: turns its notifications, packets and timers into effects and queued timers.
use std::net::SocketAddr;
use std::time::Duration;

use foca::{Message, Notification, Runtime, Timer};

use crate::interface::Effect;
use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::seal::{Key, PACKET_FORMAT};
use crate::time::Micros;
use crate::timer_queue::TimerQueue;

/// What a queued timer is for.
#[derive(Clone)]
pub(crate) enum TimerEvent {
    /// One of the protocol's own.
    Protocol(Timer<Member>),
    /// Announce to the seeds as long as nobody has answered.
    AnnounceToSeeds,
    /// Exchange whole states with a random member.
    ExchangeState,
}

/// Collects the protocol's effects, and stretches its time-outs by the local health multiplier. It borrows the
/// parts of [`Membership`](crate::Membership) for one call of the protocol.
pub(crate) struct EffectCollector<'a> {
    pub(crate) now: Micros,
    pub(crate) key: &'a Key,
    pub(crate) timers: &'a mut TimerQueue<TimerEvent>,
    pub(crate) local_health: &'a mut LocalHealth,
    pub(crate) effects: &'a mut Vec<Effect>,
    /// When the last authentic packet or state arrived.
    pub(crate) last_received: Micros,
    /// After how long without one this member counts as isolated.
    pub(crate) isolation_timeout: Micros,
    /// Who sent the packet that is being handled.
    pub(crate) sender: &'a mut Option<SocketAddr>,
    pub(crate) has_joined: &'a mut bool,
}

impl EffectCollector<'_> {
    fn is_isolated(&self) -> bool {
        self.now.saturating_sub(self.last_received) >= self.isolation_timeout
    }
}

impl Runtime<Member> for EffectCollector<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.effects.push(Effect::MemberUp(member.clone())),
            Notification::MemberDown(member) => self.effects.push(Effect::MemberDown(member.clone())),
            Notification::Rename(before, after) => {
                let (before, after) = (before.clone(), after.clone());
                self.effects.push(Effect::MemberReplaced { before, after });
            }
            Notification::Rejoin(identity) => {
                *self.has_joined = false;
                // The others declared it dead while it was alive: it is slow, or hard to reach.
                self.local_health.record_failure();
                self.effects.push(Effect::SelfRefuted(identity.clone()));
            }
            // This member's own fault only where nobody else was heard of either: a partition into two halves,
            // each of which hears itself, must not stretch the time until the other half is declared dead.
            Notification::ProbeFailed(..) if self.is_isolated() => self.local_health.record_failure(),
            Notification::ProbeFailed(..) => {}
            Notification::DataReceived(header) => {
                *self.sender = Some(header.src.address);
                if matches!(header.message, Message::Ack(_)) {
                    self.local_health.record_success();
                }
            }
            Notification::Active => *self.has_joined = true,
            Notification::Idle => *self.has_joined = false,
            Notification::Defunct | Notification::DataSent(_) => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.effects.push(Effect::SendPacket { to: to.address, packet: self.key.seal(PACKET_FORMAT, data) });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        let after = match event {
            Timer::ProbeRandomMember(_)
            | Timer::SendIndirectProbe { .. }
            | Timer::ChangeSuspectToDown { .. } => self.local_health.stretch(after),
            _ => after,
        };
        let due = self.now.saturating_add(after.as_micros() as Micros);
        self.timers.add(due, TimerEvent::Protocol(event));
    }
}
