//! The phases of a scheduler's graceful shutdown. The tasks of requests and client connections watch the
//! current phase.
use tokio::sync::watch;
use tokio::time::Instant;

/// The phase of a scheduler's graceful shutdown. The phases follow each other in the order listed here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown has begun: the scheduler accepts requests.
    #[default]
    Running,
    /// The shutdown has begun. Requests are still accepted, and every request gets its final response by the
    /// instant in this variant.
    Draining(Instant),
    /// The scheduler closes the client connections and accepts no new connections. The final responses that
    /// are still missing are written by the instant in this variant.
    Closing(Instant),
}

/// The current phase of one scheduler's graceful shutdown, shared by all clones. `begin` is called only once.
#[derive(Clone, Default)]
pub struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
}

/// A receiver through which a task watches the phase of the shutdown.
pub type ShutdownWatch = watch::Receiver<ShutdownPhase>;

impl Shutdown {
    /// Begins the shutdown. All requests get their final response by `deadline`.
    pub fn begin(&self, deadline: Instant) {
        self.phase.send_replace(ShutdownPhase::Draining(deadline));
    }

    /// Enters the phase [`ShutdownPhase::Closing`], in which client connections are closed. This has no
    /// effect unless the current phase is [`ShutdownPhase::Draining`].
    pub fn close(&self) {
        self.phase.send_modify(|phase| {
            if let ShutdownPhase::Draining(deadline) = *phase {
                *phase = ShutdownPhase::Closing(deadline);
            }
        });
    }

    /// Returns the current phase of the shutdown; [`ShutdownPhase::Running`] if no shutdown has begun.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Returns whether the shutdown has begun.
    pub fn is_started(&self) -> bool {
        self.phase() != ShutdownPhase::Running
    }

    /// Returns a receiver that is notified of every change of the shutdown phase.
    pub fn watch(&self) -> ShutdownWatch {
        self.phase.subscribe()
    }
}

/// Returns the earlier of two instants: a request's deadline, and the drain deadline if a shutdown has begun.
pub fn effective_deadline(deadline: Instant, shutdown: &ShutdownWatch) -> Instant {
    match *shutdown.borrow() {
        ShutdownPhase::Running => deadline,
        ShutdownPhase::Draining(drain_deadline) | ShutdownPhase::Closing(drain_deadline) => {
            drain_deadline.min(deadline)
        }
    }
}
