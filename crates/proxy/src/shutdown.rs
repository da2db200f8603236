//! The node's own ending, which the flows and the fronts watch.
use tokio::sync::watch;
use tokio::time::Instant;

/// How far a node's life has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It takes whatever comes.
    #[default]
    Serving,
    /// It has been told to end: what was taken, and what still comes, is answered by this instant.
    Answering(Instant),
    /// All is answered, by this instant at the latest; edge connections close, and no more are taken.
    Closing(Instant),
}

/// The node's own ending.
#[derive(Clone, Default)]
pub struct Ending {
    stage: watch::Sender<Stage>,
}

/// A view of the ending.
pub type EndingWatch = watch::Receiver<Stage>;

impl Ending {
    /// Begins the ending: all is answered by this instant.
    pub fn begin(&self, by: Instant) {
        self.stage.send_replace(Stage::Answering(by));
    }

    /// Closes the edge connections, as the last thing before the end.
    pub fn close(&self) {
        self.stage.send_modify(|stage| {
            if let Stage::Answering(by) = *stage {
                *stage = Stage::Closing(by);
            }
        });
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Whether it has begun.
    pub fn begun(&self) -> bool {
        self.stage() != Stage::Serving
    }

    /// Tells when it goes on.
    pub fn watch(&self) -> EndingWatch {
        self.stage.subscribe()
    }
}

/// A deadline, or the end of the node if that comes first.
pub fn earlier(deadline: Instant, ending: &EndingWatch) -> Instant {
    match *ending.borrow() {
        Stage::Serving => deadline,
        Stage::Answering(by) | Stage::Closing(by) => by.min(deadline),
    }
}
