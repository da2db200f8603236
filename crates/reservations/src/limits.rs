//! Limits of what the calendar accepts and retains. They must be the same for every member of the fleet.
use crate::time::{DAY, SpanMillis, UnixMillis};

/// The whole of a pool or of a reservation, in parts per million.
pub const PARTS_PER_MILLION: u32 = 1_000_000;

/// The maximum time from the proposal of a claim to the end of the claim's last interval.
pub const PLANNING_HORIZON: SpanMillis = DAY.times(400);
/// The maximum length of the interval of a claim that does not recur.
pub const MAX_INTERVAL_LENGTH: SpanMillis = DAY.times(62);
/// The maximum time that a claim may wait for its confirmation, counted from its proposal.
pub const MAX_HOLD_LENGTH: SpanMillis = DAY.times(7);
/// The latest instant that a log entry or the schedule of a claim may have: 1 January 2200, 00:00 UTC.
pub const MAX_INSTANT: UnixMillis = UnixMillis(7_258_118_400_000);
/// The maximum number of claims in the calendar. Claims that have ended count too, until they are removed.
pub const MAX_CLAIMS: usize = 200_000;
/// The maximum number of occurrences of all claims together. An occurrence is one interval of a claim.
pub const MAX_TOTAL_OCCURRENCES: usize = 1_000_000;
/// The maximum number of pools in the calendar.
pub const MAX_POOLS: usize = 1_024;
/// The maximum number of slots in a pool.
pub(crate) const MAX_POOL_SLOTS: u32 = 10_000_000;
/// The time for which a claim in a terminal state is kept after its last transition.
pub const CLAIM_RETENTION: SpanMillis = DAY;
/// The maximum number of intervals of one recurring claim.
pub const MAX_OCCURRENCES_PER_RECURRENCE: usize = 512;
/// The maximum value of the setting [`Settings::displacement_notice`](crate::Settings::displacement_notice).
pub(crate) const MAX_DISPLACEMENT_NOTICE: SpanMillis = DAY.times(30);
/// How long before its start a blackout in which no work may run ([`NoWork`](crate::BlackoutEffect::NoWork))
/// is reported as upcoming in the [`Allowances`](crate::Allowances). Work that would still run when such a
/// blackout starts must not be started. No work is expected to run longer than this time, so that the
/// blackout is reported early enough.
pub const BLACKOUT_LOOKAHEAD: SpanMillis = DAY;
