//! Places the records of many runs on one time axis, even if a wall clock is set during a run.
use std::collections::HashMap;

use crate::record::Record;

/// The minimum jump of the wall clock, in microseconds, that counts as a setting of the clock. The difference
/// between the wall clock and the monotonic clock must change by more than this from one record to the next.
const MIN_CLOCK_STEP_US: i128 = 1_000_000;

/// The difference between the wall clock and the monotonic clock during one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock {
    /// Wall clock minus monotonic clock at the first record of the run, in microseconds.
    first_offset_us: i128,
    /// Wall clock minus monotonic clock at the latest record of the run, in microseconds.
    last_offset_us: i128,
    steps: u64,
}

impl RunClock {
    /// Starts to track the clocks of a run. `first` is the first record of the run in the event log.
    pub(crate) fn new(first: &Record) -> RunClock {
        let offset_us = clock_offset_us(first);
        RunClock { first_offset_us: offset_us, last_offset_us: offset_us, steps: 0 }
    }

    /// Compares the wall clock with the monotonic clock at the next record of the run. The wall clock counts
    /// as set if the difference has changed by more than [`MIN_CLOCK_STEP_US`] since the previous record.
    pub(crate) fn add(&mut self, record: &Record) {
        let offset_us = clock_offset_us(record);
        if (self.last_offset_us - offset_us).abs() > MIN_CLOCK_STEP_US {
            self.steps += 1;
        }
        self.last_offset_us = offset_us;
    }

    /// Returns how often the wall clock was set during the run.
    pub(crate) fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the time of a record in microseconds of Unix time. The time is the record's monotonic-clock
    /// time plus a fixed offset. The offset is the wall clock minus the monotonic clock at the run's first
    /// record.
    fn time_us(&self, record: &Record) -> u64 {
        let time_us = (i128::from(record.mono_us) + self.first_offset_us).clamp(0, i128::from(u64::MAX));
        // The conversion cannot fail, because the time was clamped to the range of u64.
        u64::try_from(time_us).unwrap_or(u64::MAX)
    }
}

fn clock_offset_us(record: &Record) -> i128 {
    i128::from(record.unix_us) - i128::from(record.mono_us)
}

/// Places the records of many runs on one time axis. The position of a run follows from the wall clock at its
/// first record. Within the run, the monotonic clock is used, because it is never set.
#[derive(Debug, Default)]
pub struct RunTimeline {
    clocks: HashMap<String, RunClock>,
}

impl RunTimeline {
    /// Returns the time of a record on the time axis that all runs share, in microseconds of Unix time. The
    /// records of one run must be passed in the order in which they were written.
    pub fn time_us(&mut self, record: &Record) -> u64 {
        let clock = self.clocks.entry(record.run_id.clone()).or_insert_with(|| RunClock::new(record));
        clock.add(record);
        clock.time_us(record)
    }

    /// Returns how often the wall clock was set during a run, summed over all runs. A run is one process of
    /// the scheduler, from start to end.
    pub fn clock_steps(&self) -> u64 {
        self.clocks.values().map(RunClock::steps).sum()
    }
}
