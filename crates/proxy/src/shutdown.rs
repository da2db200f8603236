//! The phases of a graceful shutdown, which requests' tasks and client connections watch.
use tokio::sync::watch;
use tokio::time::Instant;

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// All requests are taken.
    #[default]
    Running,
    /// Shutdown has begun: what was taken, and what still comes, is answered by this instant.
    Draining(Instant),
    /// All is answered, by this instant at the latest; client connections close, and no more are accepted.
    Closing(Instant),
}

/// The shutdown of one scheduler. It only advances.
#[derive(Clone, Default)]
pub struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
}

/// Follows the phase.
pub type ShutdownWatch = watch::Receiver<ShutdownPhase>;

impl Shutdown {
    /// Begins it: all requests are answered by the deadline.
    pub fn begin(&self, deadline: Instant) {
        self.phase.send_replace(ShutdownPhase::Draining(deadline));
    }

    /// Closes the client connections, as its last phase.
    pub fn close(&self) {
        self.phase.send_modify(|phase| {
            if let ShutdownPhase::Draining(deadline) = *phase {
                *phase = ShutdownPhase::Closing(deadline);
            }
        });
    }

    /// How far it has come.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Whether it has begun.
    pub fn is_started(&self) -> bool {
        self.phase() != ShutdownPhase::Running
    }

    /// Follows the phase from here on.
    pub fn watch(&self) -> ShutdownWatch {
        self.phase.subscribe()
    }
}

/// A deadline, or that of the shutdown if it comes first.
pub fn effective_deadline(deadline: Instant, shutdown: &ShutdownWatch) -> Instant {
    match *shutdown.borrow() {
        ShutdownPhase::Running => deadline,
        ShutdownPhase::Draining(drain_deadline) | ShutdownPhase::Closing(drain_deadline) => {
            drain_deadline.min(deadline)
        }
    }
}
