//! The node's clock: microseconds that only advance, counted so that Unix time fits in.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use copperspread_dispatcher::Micros;

/// Tells the module's time. Discovery tells starts in Unix time, so that is what it counts from;
/// it advances with the monotonic clock, so a step of the system's time does not reach deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

/// The instant that lies some microseconds from now; for absurd spans, a day from now.
pub fn from_now(span: Micros) -> Instant {
    const DAY: Micros = 86_400 * copperspread_dispatcher::SECOND;
    Instant::now() + Duration::from_micros(span.min(DAY))
}
