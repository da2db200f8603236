//! Incoming requests, request classes and tenants.
use crate::time::{Micros, SECOND};

/// Identifies a client's request. The caller never uses an id twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be run any number of times.
    Idempotent,
    /// The request carries an idempotency key. The workers within `scope` drop a duplicate that arrives
    /// within `window` after the first attempt was sent.
    IdempotentWithKey {
        /// The group of workers that drops duplicates of the request.
        scope: KeyScope,
        /// Time after the first attempt was sent during which the workers drop duplicates of the request.
        window: Micros,
    },
    /// The request must not be run twice.
    NonIdempotent,
}

/// Which workers share a store of idempotency keys. The workers that share a store drop duplicates of a
/// request that one of them has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers share one store of idempotency keys.
    All,
    /// The workers of each zone share one store of idempotency keys.
    Zone,
    /// The workers with the same cell number in the endpoint list share one store of idempotency keys.
    Cell,
}

/// A request class: the latency objective, deadline, priority weight and constraints of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency objective: the response time up to which a request counts with its full priority weight. The
    /// objective of each request is extended by `latency_stretch` times the request's own running time.
    pub latency_objective: Micros,
    /// Multiple of a request's own running time that is added to the request's latency objective.
    pub latency_stretch: f64,
    /// Time from a client's first try of a request until the client gives up. The client's own retries fall
    /// within this time.
    pub deadline: Micros,
    /// Priority weight of a request of this class, relative to requests of other classes. While the fleet is
    /// overloaded, the weight decides which requests are rejected. If
    /// [`Settings::priority_weight_per_core_second`](crate::Settings::priority_weight_per_core_second) is
    /// set, the weight applies to each second of the request's running time on a standard core, the core to
    /// which cost hints refer.
    pub priority_weight: f64,
    /// Whether a request of this class may be run more than once.
    pub idempotency: Idempotency,
    /// The worker kind that must run requests of this class; `None` allows any.
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

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Tenant {
    /// Quota of the tenant: the number of requests per second, over all dispatchers, that count with the full
    /// priority weight of their class. Requests above the quota have the reduced weight that
    /// [`Settings::over_quota_weight`](crate::Settings::over_quota_weight) gives. 0 means no quota.
    pub quota_per_second: f64,
}

/// A client's request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Id by which later events and actions refer to the request.
    pub request: RequestId,
    /// Index of the request's class among the classes of the settings.
    pub class: u32,
    /// Index of the request's tenant among the tenants of the settings.
    pub tenant: u32,
    /// Number of slots that the request occupies while it runs; 1 if absent. A value that is not finite, not
    /// above 0, or above 10,000 counts as absent.
    pub slots: Option<f64>,
    /// Cost hint: the expected running time, in seconds, of the request on a standard core. A standard core
    /// is a core with the service rate 1. A core with the rate 2 runs the request in half the time. A value
    /// that is not finite, not above 0, or above 10,000 counts as absent.
    pub cost_hint: Option<f64>,
    /// Time until the client stops waiting for the response.
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
