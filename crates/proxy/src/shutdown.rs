//! The node's own ending, which the flows and the fronts watch.
use tokio::sync::watch;
use tokio::time::Instant;

/// How far a node's life has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// It takes whatever comes.
    #[default]
    Running,
    /// It has been told to end: what was taken, and what still comes, is answered by this instant.
    Draining(Instant),
    /// All is answered, by this instant at the latest; edge connections close, and no more are taken.
    Closing(Instant),
}

/// The node's own ending.
#[derive(Clone, Default)]
pub struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
}

/// A view of the ending.
pub type ShutdownWatch = watch::Receiver<ShutdownPhase>;

impl Shutdown {
    /// Begins the ending: all is answered by this instant.
    pub fn begin(&self, by: Instant) {
        self.phase.send_replace(ShutdownPhase::Draining(by));
    }

    /// Closes the edge connections, as the last thing before the end.
    pub fn close(&self) {
        self.phase.send_modify(|stage| {
            if let ShutdownPhase::Draining(by) = *stage {
                *stage = ShutdownPhase::Closing(by);
            }
        });
    }

    /// How far it has come.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.phase() != ShutdownPhase::Running
    }

    /// Tells when it goes on.
    pub fn watch(&self) -> ShutdownWatch {
        self.phase.subscribe()
    }
}

/// A deadline, or the end of the node if that comes first.
pub fn effective_deadline(deadline: Instant, ending: &ShutdownWatch) -> Instant {
    match *ending.borrow() {
        ShutdownPhase::Running => deadline,
        ShutdownPhase::Draining(by) | ShutdownPhase::Closing(by) => by.min(deadline),
    }
}
