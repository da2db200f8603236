//! Bounds of what the calendar accepts and retains. They are the same for every member of the fleet.
use crate::time::{DAY, SpanMillis, UnixMillis};

/// All of a share in parts per million.
pub const PARTS_PER_MILLION: u32 = 1_000_000;

/// How far ahead of the instant at which it is proposed a claim may reach.
pub const PLANNING_HORIZON: SpanMillis = DAY.times(400);
/// The length of a single interval.
pub const MAX_INTERVAL_LENGTH: SpanMillis = DAY.times(62);
/// The length of a hold.
pub const MAX_HOLD_LENGTH: SpanMillis = DAY.times(7);
/// The instant of a command: at most the first of the year 2200.
pub const MAX_INSTANT: UnixMillis = UnixMillis(7_258_118_400_000);
/// Claims in the calendar, including terminal ones that are still retained.
pub const MAX_CLAIMS: usize = 200_000;
/// Occurrences of all claims together.
pub const MAX_TOTAL_OCCURRENCES: usize = 1_000_000;
/// Pools.
pub const MAX_POOLS: usize = 1_024;
/// Slots of a pool.
pub(crate) const MAX_POOL_SLOTS: u32 = 10_000_000;
/// How long a claim is retained after its last transition.
pub const CLAIM_RETENTION: SpanMillis = DAY;
/// Occurrences of one recurrence.
pub const MAX_OCCURRENCES_PER_RECURRENCE: usize = 512;
/// The longest notice before displacement that the settings may ask for.
pub(crate) const MAX_DISPLACEMENT_NOTICE: SpanMillis = DAY.times(30);
/// How far ahead [`Allowances`](crate::Allowances) announce a blackout without any work. No work is expected
/// to run longer.
pub const BLACKOUT_LOOKAHEAD: SpanMillis = DAY;
