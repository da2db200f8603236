//! Maps the records of many runs to one time axis, even if a wall clock is set during a run.
use std::collections::HashMap;

use crate::record::Record;

/// The wall clock counts as set if, from one record to the next, the difference between wall clock and
/// monotonic clock changes by more than this number of microseconds.
const MIN_CLOCK_STEP_US: i128 = 1_000_000;

/// The offset of the wall clock from the monotonic clock in one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock {
    /// Wall clock minus monotonic clock at the first record, in microseconds.
    first_offset_us: i128,
    /// Wall clock minus monotonic clock at the last record, in microseconds.
    last_offset_us: i128,
    steps: u64,
}

impl RunClock {
    /// Creates the clock of a run whose first record in the stream is `first`.
    pub(crate) fn new(first: &Record) -> RunClock {
        let offset_us = clock_offset_us(first);
        RunClock { first_offset_us: offset_us, last_offset_us: offset_us, steps: 0 }
    }

    /// Updates the clock offset with the next record of the run. If the offset changes by more than
    /// [`MIN_CLOCK_STEP_US`], counts a setting of the wall clock.
    pub(crate) fn add(&mut self, record: &Record) {
        let offset_us = clock_offset_us(record);
        if (self.last_offset_us - offset_us).abs() > MIN_CLOCK_STEP_US {
            self.steps += 1;
        }
        self.last_offset_us = offset_us;
    }

    /// How often the wall clock was set during the run.
    pub(crate) fn steps(&self) -> u64 {
        self.steps
    }

    /// The time of a record in microseconds of Unix time: the record's monotonic time plus the clock offset
    /// at the first record of the run.
    fn time_us(&self, record: &Record) -> u64 {
        let time_us = (i128::from(record.mono_us) + self.first_offset_us).clamp(0, i128::from(u64::MAX));
        // The conversion cannot fail, because the time was clamped to the range of u64.
        u64::try_from(time_us).unwrap_or(u64::MAX)
    }
}

fn clock_offset_us(record: &Record) -> i128 {
    i128::from(record.unix_us) - i128::from(record.mono_us)
}

/// Maps the records of many runs to one time axis. Runs are placed by the wall clock at their first record,
/// and the records of one run by its monotonic clock, which is never set.
#[derive(Debug, Default)]
pub struct RunTimeline {
    clocks: HashMap<String, RunClock>,
}

impl RunTimeline {
    /// The time of a record in microseconds of Unix time. The records of one run must be passed in the order
    /// in which they were written.
    pub fn time_us(&mut self, record: &Record) -> u64 {
        let clock = self.clocks.entry(record.run_id.clone()).or_insert_with(|| RunClock::new(record));
        clock.add(record);
        clock.time_us(record)
    }

    /// How often a wall clock was set during a run, over all runs.
    pub fn clock_steps(&self) -> u64 {
        self.clocks.values().map(RunClock::steps).sum()
    }
}
