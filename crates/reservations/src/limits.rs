//! Limits of what the calendar accepts and retains. They must be the same for every member of the fleet.
use crate::time::{DAY, SpanMillis, UnixMillis};

/// The number of parts per million in a whole.
pub const PARTS_PER_MILLION: u32 = 1_000_000;

/// The maximum time from the proposal of a claim to the end of its last interval.
pub const PLANNING_HORIZON: SpanMillis = DAY.times(400);
/// The maximum length of an interval that does not recur.
pub const MAX_INTERVAL_LENGTH: SpanMillis = DAY.times(62);
/// The maximum time from the proposal of a claim to the end of its hold.
pub const MAX_HOLD_LENGTH: SpanMillis = DAY.times(7);
/// The latest valid instant of a log entry or in a schedule: 1 January 2200, 00:00 UTC.
pub const MAX_INSTANT: UnixMillis = UnixMillis(7_258_118_400_000);
/// The maximum number of claims in the calendar, including terminal ones that are still retained.
pub const MAX_CLAIMS: usize = 200_000;
/// The maximum number of occurrences of all claims together.
pub const MAX_TOTAL_OCCURRENCES: usize = 1_000_000;
/// The maximum number of pools in the calendar.
pub const MAX_POOLS: usize = 1_024;
/// The maximum number of slots in a pool.
pub(crate) const MAX_POOL_SLOTS: u32 = 10_000_000;
/// The time for which a terminal claim is retained after its last transition.
pub const CLAIM_RETENTION: SpanMillis = DAY;
/// The maximum number of occurrences of one recurrence.
pub const MAX_OCCURRENCES_PER_RECURRENCE: usize = 512;
/// The maximum of [`Settings::displacement_notice`](crate::Settings::displacement_notice).
pub(crate) const MAX_DISPLACEMENT_NOTICE: SpanMillis = DAY.times(30);
/// How long before the start of a [`NoWork`](crate::BlackoutEffect::NoWork) blackout
/// [`Allowances`](crate::Allowances) report the blackout as upcoming. No work is expected to run longer than
/// this time.
pub const BLACKOUT_LOOKAHEAD: SpanMillis = DAY;
