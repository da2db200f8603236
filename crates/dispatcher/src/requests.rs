//! Requests, their classes and their tenants.
use crate::time::{Micros, SECOND};

/// A client's request, by a number that the caller never uses twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// Whether an attempt of a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    Idempotent,
    /// Carries a key: workers of one group drop a repeat within `window` of the first send.
    IdempotentWithKey {
        /// The group within which repeats are dropped.
        scope: KeyScope,
        /// For how long they are dropped.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Which workers share the memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time plus the stretch earns the full weight.
    pub latency_objective: Micros,
    /// The latency objective grows by this many times the request's own running time.
    pub latency_stretch: f64,
    /// The client gives up after this time, over all its own retries.
    pub deadline: Micros,
    /// What one request, or one unit of its work, counts for.
    pub priority_weight: f64,
    /// Whether attempts may be repeated.
    pub idempotency: Idempotency,
    /// The one kind of worker that runs it, if it is bound to one.
    pub worker_kind: Option<u32>,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: SECOND,
            latency_stretch: 0.0,
            deadline: 10 * SECOND,
            priority_weight: 1.0,
            idempotency: Idempotency::NonIdempotent,
            worker_kind: None,
        }
    }
}

/// A tenant's quota.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Tenant {
    /// Requests a second over all dispatchers that count in full.
    pub quota_per_second: f64,
}

/// A client's request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub request: RequestId,
    /// Its class, by index.
    pub class: u32,
    /// Its tenant, by index.
    pub tenant: u32,
    /// The slots it takes while it runs; absent is 1.
    pub slots: Option<f64>,
    /// The hint of its running time on a standard core, in seconds.
    pub cost_hint: Option<f64>,
    /// How long until the client stops waiting.
    pub time_left: Micros,
}

impl Default for IncomingRequest {
    fn default() -> Self {
        IncomingRequest {
            request: RequestId(0),
            class: 0,
            tenant: 0,
            slots: None,
            cost_hint: None,
            time_left: SECOND,
        }
    }
}
