//! The clock of one scheduler: a monotonic clock that counts microseconds since the Unix epoch.
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// The longest time span that [`from_now`] accepts, in microseconds. Longer spans are shortened to this
/// value.
const MAX_SPAN: Micros = 86_400 * SECOND;

/// The clock from which the dispatch policy gets the time, in microseconds since the Unix epoch.
///
/// The clock is set from the wall clock once, when it is started, because discovery reports workers' start
/// times in Unix time. From then on, the clock advances with the monotonic clock. A later change of the wall
/// clock therefore does not move any deadline.
///
/// Each time an endpoint list is applied, this clock is compared with the wall clock. A worker's start time
/// in the list is Unix time, and may differ from the time on this clock if the wall clock has been changed.
/// The module `worker_starts` therefore only estimates the start time on this clock.
///
/// A start time that is estimated too early sends a new worker too many requests. A listed start time is too
/// early if the wall clock is behind this clock. The largest such lag found so far is therefore added to the
/// listed time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

/// The times shown by the scheduler's clock and by the wall clock, read one right after the other.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The time at which the scheduler's clock was started, in microseconds since the Unix epoch.
    pub started_at: Micros,
    /// The time shown by the scheduler's clock, in microseconds since the Unix epoch.
    pub now: Micros,
    /// The time shown by the wall clock, in microseconds since the Unix epoch.
    pub unix: Micros,
}

impl Clock {
    /// Starts a scheduler's clock at the current time of the wall clock.
    pub fn start() -> Clock {
        Clock { unix_start: unix_now(), start: Instant::now() }
    }

    /// Reads the scheduler's clock first and the wall clock second.
    ///
    /// If the process pauses between the two readings, the wall clock appears to be ahead of the scheduler's
    /// clock. That does no harm, because the estimates of workers' start times use only the amount by which
    /// the wall clock is behind. In the opposite order, the wall clock would appear to be behind, as if it
    /// had been set back.
    pub fn read(&self) -> ClockReading {
        let now = self.now();
        ClockReading { started_at: self.unix_start, now, unix: unix_now() }
    }

    /// The current time of the scheduler's clock, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }
}

/// The current time of the wall clock, in microseconds since the Unix epoch.
fn unix_now() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as Micros
}

/// The instant that is `span` microseconds from now. Spans of more than one day count as one day.
pub fn from_now(span: Micros) -> Instant {
    Instant::now() + Duration::from_micros(span.min(MAX_SPAN))
}
