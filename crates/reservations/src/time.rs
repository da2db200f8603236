//! Instants and spans of time in milliseconds, as two distinct types. Both are serialized as plain integers.
use std::fmt::{self, Display, Formatter};
use std::ops::{Add, AddAssign, Div, Mul, Rem, Sub};

use serde::{Deserialize, Serialize};

/// An instant, in milliseconds of Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub i64);

/// A span of time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SpanMillis(pub i64);

/// One millisecond, the smallest positive span.
pub const MILLISECOND: SpanMillis = SpanMillis(1);
/// One minute, in milliseconds.
pub const MINUTE: SpanMillis = MILLISECOND.times(60_000);
/// One hour, in milliseconds.
pub const HOUR: SpanMillis = MINUTE.times(60);
/// One day of 24 hours, in milliseconds.
pub const DAY: SpanMillis = HOUR.times(24);

impl UnixMillis {
    /// The Unix epoch, 1 January 1970, 00:00 UTC.
    pub const EPOCH: UnixMillis = UnixMillis(0);
    /// The earliest instant that can be represented.
    pub const MIN: UnixMillis = UnixMillis(i64::MIN);
    /// The latest instant that can be represented.
    pub const MAX: UnixMillis = UnixMillis(i64::MAX);

    /// The instant that lies `span` after this instant, or the nearest instant that can be represented.
    pub const fn saturating_add(self, span: SpanMillis) -> UnixMillis {
        UnixMillis(self.0.saturating_add(span.0))
    }

    /// The instant that lies `span` after this instant; `None` if it cannot be represented.
    pub fn checked_add(self, span: SpanMillis) -> Option<UnixMillis> {
        self.0.checked_add(span.0).map(UnixMillis)
    }

    /// The instant that lies `span` before this instant, or the nearest instant that can be represented.
    pub const fn saturating_sub(self, span: SpanMillis) -> UnixMillis {
        UnixMillis(self.0.saturating_sub(span.0))
    }

    /// The span from `earlier` to this instant, or the nearest span that can be represented. The span is
    /// negative if `earlier` is later than this instant.
    pub const fn saturating_since(self, earlier: UnixMillis) -> SpanMillis {
        SpanMillis(self.0.saturating_sub(earlier.0))
    }
}

impl SpanMillis {
    /// A span of zero milliseconds.
    pub const ZERO: SpanMillis = SpanMillis(0);
    /// The longest span that can be represented.
    pub const MAX: SpanMillis = SpanMillis(i64::MAX);

    /// This span multiplied by a factor. The product must fit into an `i64`, as with the operator `*`.
    pub const fn times(self, factor: i64) -> SpanMillis {
        SpanMillis(self.0 * factor)
    }
}

impl Add<SpanMillis> for UnixMillis {
    type Output = UnixMillis;

    fn add(self, span: SpanMillis) -> UnixMillis {
        UnixMillis(self.0 + span.0)
    }
}

impl AddAssign<SpanMillis> for UnixMillis {
    fn add_assign(&mut self, span: SpanMillis) {
        *self = *self + span;
    }
}

impl Sub<SpanMillis> for UnixMillis {
    type Output = UnixMillis;

    fn sub(self, span: SpanMillis) -> UnixMillis {
        UnixMillis(self.0 - span.0)
    }
}

impl Sub for UnixMillis {
    type Output = SpanMillis;

    fn sub(self, earlier: UnixMillis) -> SpanMillis {
        SpanMillis(self.0 - earlier.0)
    }
}

impl Add for SpanMillis {
    type Output = SpanMillis;

    fn add(self, other: SpanMillis) -> SpanMillis {
        SpanMillis(self.0 + other.0)
    }
}

impl Sub for SpanMillis {
    type Output = SpanMillis;

    fn sub(self, other: SpanMillis) -> SpanMillis {
        SpanMillis(self.0 - other.0)
    }
}

impl Mul<SpanMillis> for i64 {
    type Output = SpanMillis;

    fn mul(self, span: SpanMillis) -> SpanMillis {
        span.times(self)
    }
}

impl Div<i64> for SpanMillis {
    type Output = SpanMillis;

    fn div(self, divisor: i64) -> SpanMillis {
        SpanMillis(self.0 / divisor)
    }
}

impl Div for SpanMillis {
    type Output = i64;

    fn div(self, divisor: SpanMillis) -> i64 {
        self.0 / divisor.0
    }
}

impl Rem for SpanMillis {
    type Output = SpanMillis;

    fn rem(self, divisor: SpanMillis) -> SpanMillis {
        SpanMillis(self.0 % divisor.0)
    }
}

impl Display for UnixMillis {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, formatter)
    }
}

impl Display for SpanMillis {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, formatter)
    }
}
