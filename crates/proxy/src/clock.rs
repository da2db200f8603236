//! The scheduler's clock: a monotonic clock in microseconds whose origin is the Unix epoch.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// The longest span that [`from_now`] accepts, in microseconds; longer ones are shortened to it.
const MAX_SPAN: Micros = 86_400 * SECOND;

/// The clock of the dispatch policy, in microseconds since the Unix epoch.
///
/// The clock is set from the wall clock once, because discovery reports workers' start times in Unix time.
/// From then on it advances with the monotonic clock, so that a step of the wall clock does not move
/// deadlines. When an endpoint list is applied, the two clocks are compared, and the estimates of workers'
/// start times allow for the largest amount by which the wall clock was set back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

/// Readings of the scheduler's clock and of the wall clock, taken one right after the other.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The reading of the scheduler's clock when it was started, in microseconds since the Unix epoch.
    pub started_at: Micros,
    /// The reading of the scheduler's clock, in microseconds since the Unix epoch.
    pub now: Micros,
    /// The reading of the wall clock, in microseconds since the Unix epoch.
    pub unix: Micros,
}

impl Clock {
    /// Starts a clock, set from the wall clock.
    pub fn start() -> Clock {
        Clock { unix_start: unix_now(), start: Instant::now() }
    }

    /// Reads the scheduler's clock, then the wall clock.
    ///
    /// With this order, a pause of the process between the two readings makes the wall clock appear ahead of
    /// the scheduler's clock. With the opposite order the wall clock would appear behind, which would be
    /// mistaken for a step back of the wall clock.
    pub fn read(&self) -> ClockReading {
        let now = self.now();
        ClockReading { started_at: self.unix_start, now, unix: unix_now() }
    }

    /// The current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }
}

/// The wall clock's time, in microseconds since the Unix epoch.
fn unix_now() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as Micros
}

/// The instant `span` microseconds from now, at most one day ahead.
pub fn from_now(span: Micros) -> Instant {
    Instant::now() + Duration::from_micros(span.min(MAX_SPAN))
}
