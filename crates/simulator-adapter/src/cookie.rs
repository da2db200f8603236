//! Converts timers to and from cookies. A cookie is a text that identifies a timer; the simulator returns the
//! cookie when the timer expires.
use std::fmt;

use copperspread_dispatcher::{RequestId, Timer};

const PERIODIC_REFRESH: &str = "sweep";
const LOAD_QUERY: &str = "probe";
const DISCOVERY_POLL: &str = "discovery";
const REQUEST_ID_DIGITS: usize = 16;

/// A timer that is displayed as its cookie, the text by which the simulator refers to the timer.
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

/// Parses a cookie into the timer that it identifies. Returns `None` if the adapter cannot have written this
/// text.
pub(crate) fn parse_timer(cookie: &str) -> Option<Timer> {
    match cookie {
        PERIODIC_REFRESH => Some(Timer::PeriodicRefresh),
        LOAD_QUERY => Some(Timer::LoadQuery),
        DISCOVERY_POLL => Some(Timer::DiscoveryPoll),
        _ => parse_request_id(cookie).map(Timer::HedgeCheck),
    }
}

/// A request id that is displayed as the simulator expects it: 16 hex digits.
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
