//! Timer cookies: texts that identify timers on the wire. The simulator returns a cookie when its timer
//! expires.
use std::fmt;

use copperspread_dispatcher::{RequestId, Timer};

const PERIODIC_REFRESH: &str = "sweep";
const LOAD_QUERY: &str = "probe";
const DISCOVERY_POLL: &str = "discovery";
const REQUEST_ID_DIGITS: usize = 16;

/// Formats a timer as its cookie.
pub(crate) struct Cookie(pub(crate) Timer);

impl fmt::Display for Cookie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Timer::PeriodicRefresh => f.write_str(PERIODIC_REFRESH),
            Timer::LoadQuery => f.write_str(LOAD_QUERY),
            Timer::DiscoveryPoll => f.write_str(DISCOVERY_POLL),
            Timer::HedgeCheck(request) => HexId(request).fmt(f),
        }
    }
}

/// Parses a cookie; returns `None` if the text is not a cookie of the adapter.
pub(crate) fn parse_timer(cookie: &str) -> Option<Timer> {
    match cookie {
        PERIODIC_REFRESH => Some(Timer::PeriodicRefresh),
        LOAD_QUERY => Some(Timer::LoadQuery),
        DISCOVERY_POLL => Some(Timer::DiscoveryPoll),
        _ => parse_request_id(cookie).map(Timer::HedgeCheck),
    }
}

/// Formats a request id as on the wire: 16 hex digits.
pub(crate) struct HexId(pub(crate) RequestId);

impl fmt::Display for HexId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0REQUEST_ID_DIGITS$x}", self.0.0)
    }
}

/// Parses a request id; returns `None` if the text is not 16 hex digits.
pub(crate) fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != REQUEST_ID_DIGITS {
        return None;
    }
    u64::from_str_radix(text, 16).ok().map(RequestId)
}
