//! When records happened, on one time for all runs, though a wall clock may be set while a run goes on.
use std::collections::HashMap;

use crate::record::Record;

/// If the wall clock less the monotonic clock changes by more from record to record, the wall clock was set.
const MIN_CLOCK_STEP_US: i128 = 1_000_000;

/// The wall clock of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock {
    /// The wall clock less the monotonic clock, of the first record.
    first_offset_us: i128,
    /// The same of the last record.
    last_offset_us: i128,
    steps: u64,
}

impl RunClock {
    /// The clock of a run with this first record.
    pub(crate) fn new(first: &Record) -> RunClock {
        let offset_us = clock_offset_us(first);
        RunClock { first_offset_us: offset_us, last_offset_us: offset_us, steps: 0 }
    }

    /// Adds the next record of the run.
    pub(crate) fn add(&mut self, record: &Record) {
        let offset_us = clock_offset_us(record);
        if (self.last_offset_us - offset_us).abs() > MIN_CLOCK_STEP_US {
            self.steps += 1;
        }
        self.last_offset_us = offset_us;
    }

    /// How often the wall clock was set.
    pub(crate) fn steps(&self) -> u64 {
        self.steps
    }

    /// When a record happened, in microseconds of Unix time by the clock as it stood at the first record.
    fn time_us(&self, record: &Record) -> u64 {
        let time_us = (i128::from(record.mono_us) + self.first_offset_us).clamp(0, i128::from(u64::MAX));
        // It was clamped to the range.
        u64::try_from(time_us).unwrap_or(u64::MAX)
    }
}

fn clock_offset_us(record: &Record) -> i128 {
    i128::from(record.unix_us) - i128::from(record.mono_us)
}

/// Puts the records of many runs on one time: runs by the wall clock at their first record, and the records of one
/// run by its monotonic clock, which is never set.
#[derive(Debug, Default)]
pub struct RunTimeline {
    clocks: HashMap<String, RunClock>,
}

impl RunTimeline {
    /// When a record happened, in microseconds of Unix time. Records of one run must come in the order written.
    pub fn time_us(&mut self, record: &Record) -> u64 {
        let clock = self.clocks.entry(record.run_id.clone()).or_insert_with(|| RunClock::new(record));
        clock.add(record);
        clock.time_us(record)
    }

    /// How often the wall clock was set while a run went on.
    pub fn clock_steps(&self) -> u64 {
        self.clocks.values().map(RunClock::steps).sum()
    }
}
