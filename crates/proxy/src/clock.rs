//! The scheduler's clock: microseconds that only advance, counted so that Unix time fits in.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// The longest span that [`from_now`] takes as given.
const MAX_SPAN: Micros = 86_400 * SECOND;

/// The policy's time. Discovery gives workers' starts in Unix time, so that is what it counts from; it
/// advances with the monotonic clock, so that a step of the system's time does not reach deadlines. What such a
/// step means for workers' starts is settled where lists are applied.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

/// The clocks at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// When the scheduler's own clock was started, by itself.
    pub started_at: Micros,
    /// The time by the scheduler's own clock.
    pub now: Micros,
    /// The time by the wall clock, in microseconds of Unix time.
    pub unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { unix_start: unix_now(), start: Instant::now() }
    }

    /// This clock and the wall clock. If the program is held up in between, the wall clock is ahead: that passes
    /// for no step back.
    pub fn read(&self) -> ClockReading {
        let now = self.now();
        ClockReading { started_at: self.unix_start, now, unix: unix_now() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }
}

/// The wall clock, in microseconds of Unix time.
fn unix_now() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as Micros
}

/// The instant that lies some microseconds from now, at most a day.
pub fn from_now(span: Micros) -> Instant {
    Instant::now() + Duration::from_micros(span.min(MAX_SPAN))
}
