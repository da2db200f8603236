//! The scheduler's clock: microseconds that only advance, counted so that Unix time fits in.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// The longest span that [`from_now`] takes as given.
const MAX_SPAN: Micros = 86_400 * SECOND;

/// The policy's time. Discovery gives workers' starts in Unix time, so that is what it counts from; it
/// advances with the monotonic clock, so that a step of the system's time does not reach deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix_start.as_micros() as Micros }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }
}

/// The instant that lies some microseconds from now, at most a day.
pub fn from_now(span: Micros) -> Instant {
    Instant::now() + Duration::from_micros(span.min(MAX_SPAN))
}
