//! The node's own ending, which the flows and the fronts watch.
use tokio::sync::watch;
use tokio::time::Instant;

/// The node's own ending: when it has begun, the instant by which all is answered.
#[derive(Clone)]
pub struct Ending {
    by: watch::Sender<Option<Instant>>,
}

/// A flow's view of the ending.
pub type EndingWatch = watch::Receiver<Option<Instant>>;

impl Default for Ending {
    fn default() -> Self {
        Ending { by: watch::Sender::new(None) }
    }
}

impl Ending {
    /// Begins the ending: all is answered by this instant.
    pub fn begin(&self, by: Instant) {
        self.by.send_replace(Some(by));
    }

    /// Whether it has begun.
    pub fn begun(&self) -> bool {
        self.by.borrow().is_some()
    }

    /// Tells when it begins.
    pub fn watch(&self) -> EndingWatch {
        self.by.subscribe()
    }
}

/// A deadline, or the end of the node if that comes first.
pub fn earlier(deadline: Instant, ending: &EndingWatch) -> Instant {
    (*ending.borrow()).map_or(deadline, |by| by.min(deadline))
}
