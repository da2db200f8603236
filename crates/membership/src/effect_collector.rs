//! Implements the runtime interface of `foca`, the library that runs the membership protocol. Turns the
//! notifications and packets of `foca` into effects, and queues the timers that `foca` requests.
use std::net::SocketAddr;
use std::time::Duration;

use foca::{Message, Notification, Runtime, Timer};

use crate::interface::Effect;
use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::seal::{Key, PACKET_FORMAT};
use crate::time::Micros;
use crate::timer_queue::TimerQueue;

/// The action that a queued timer triggers when the timer fires.
#[derive(Clone)]
pub(crate) enum TimerEvent {
    /// Pass a timer back to `foca`, which requested it, for example for the end of a suspicion.
    Protocol(Timer<Member>),
    /// Announce this member to the seeds and to some known members, unless this member counts as
    /// joined. A member counts as joined while another member has answered it and at least one other member
    /// is up.
    AnnounceToSeeds,
    /// Request a state exchange with a random member, if the encoded state of this member exceeds half a
    /// packet. A smaller state fits into the packets of the protocol.
    ExchangeState,
}

/// Collects the effects and timers of one call of `foca`. Lengthens the probe interval, the probe timeout and
/// the suspicion timeout according to the local health multiplier. Borrows the fields of
/// [`Membership`](crate::Membership) for the duration of the call.
pub(crate) struct EffectCollector<'a> {
    pub(crate) now: Micros,
    pub(crate) key: &'a Key,
    pub(crate) timers: &'a mut TimerQueue<TimerEvent>,
    pub(crate) local_health: &'a mut LocalHealth,
    pub(crate) effects: &'a mut Vec<Effect>,
    /// The instant at which this member last received an authentic message from another member: a packet, or
    /// a list of members over a stream ([`MembershipState`](crate::MembershipState)).
    pub(crate) last_received: Micros,
    /// How long this member may receive no authentic message from another member before it counts as
    /// isolated, in microseconds. Such a message is a packet, or a list of members over a stream.
    pub(crate) isolation_timeout: Micros,
    /// The address of the member that sent the packet that is being handled.
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
                // The other members declared this running member dead, so this member is slow or hard to
                // reach. That counts as a failure in the local health of this member.
                self.local_health.record_failure();
                self.effects.push(Effect::LocalMemberRejoined(identity.clone()));
            }
            // A failed probe raises this member's local health multiplier only if this member receives
            // nothing from any other member, so that the fault is probably its own. In a partitioned cluster,
            // the members of each half still receive packets from each other. When a member probes the other
            // half, the probe fails. If such failures raised the member's multiplier, the member's timeouts
            // would become longer. The member would then take longer to declare the other half dead.
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
            | Timer::ChangeSuspectToDown { .. } => self.local_health.scale_timeout(after),
            _ => after,
        };
        let due = self.now.saturating_add(after.as_micros() as Micros);
        self.timers.add(due, TimerEvent::Protocol(event));
    }
}
