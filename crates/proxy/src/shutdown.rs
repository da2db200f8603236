//! The phases of a graceful shutdown, which request tasks and client connections watch.
use tokio::sync::watch;
use tokio::time::Instant;

/// The phase of a graceful shutdown. The phases follow each other in the order listed here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// The scheduler accepts requests; no shutdown has begun.
    #[default]
    Running,
    /// The shutdown has begun. Requests are still accepted, and every request gets its final response by the
    /// instant that this variant holds.
    Draining(Instant),
    /// Client connections are being closed and no new ones are accepted. The final responses that are still
    /// outstanding are written by the instant that this variant holds.
    Closing(Instant),
}

/// The state of one scheduler's graceful shutdown. The phases follow in the order of [`ShutdownPhase`];
/// `begin` is called once.
#[derive(Clone, Default)]
pub struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
}

/// A receiver that follows the phase of a shutdown.
pub type ShutdownWatch = watch::Receiver<ShutdownPhase>;

impl Shutdown {
    /// Begins the shutdown: all requests get their final response by the deadline.
    pub fn begin(&self, deadline: Instant) {
        self.phase.send_replace(ShutdownPhase::Draining(deadline));
    }

    /// Enters the phase [`ShutdownPhase::Closing`], in which client connections are closed. Has no effect
    /// unless the current phase is [`ShutdownPhase::Draining`].
    pub fn close(&self) {
        self.phase.send_modify(|phase| {
            if let ShutdownPhase::Draining(deadline) = *phase {
                *phase = ShutdownPhase::Closing(deadline);
            }
        });
    }

    /// The phase that the shutdown has reached; [`ShutdownPhase::Running`] if no shutdown has begun.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Whether the shutdown has begun.
    pub fn is_started(&self) -> bool {
        self.phase() != ShutdownPhase::Running
    }

    /// Returns a receiver that is notified of every change of the shutdown phase.
    pub fn watch(&self) -> ShutdownWatch {
        self.phase.subscribe()
    }
}

/// A request's deadline, or the drain deadline if a shutdown has begun and its drain deadline is earlier.
pub fn effective_deadline(deadline: Instant, shutdown: &ShutdownWatch) -> Instant {
    match *shutdown.borrow() {
        ShutdownPhase::Running => deadline,
        ShutdownPhase::Draining(drain_deadline) | ShutdownPhase::Closing(drain_deadline) => {
            drain_deadline.min(deadline)
        }
    }
}
