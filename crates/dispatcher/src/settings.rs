//! The settings of a dispatcher and their validation.
use crate::requests::{RequestClass, Tenant};
use crate::time::{Micros, SECOND};

/// How endpoint updates reach a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Mode in which discovery sends endpoint updates to dispatchers that do not poll it.
    Pushed,
    /// Mode in which a dispatcher must poll discovery to get endpoint updates. Discovery answers each poll
    /// with one update and starts a subscription. While the subscription lasts, discovery sends further
    /// updates.
    Polled,
}

/// The settings of a dispatcher, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that share the workers, including this one.
    pub fleet_size: u32,
    /// Index of this dispatcher within the fleet of dispatchers, from 0; `None` if this dispatcher does not
    /// know its index.
    pub instance_index: Option<u32>,
    /// Zone of this dispatcher.
    pub zone: u32,
    /// Request classes, in the order of their indices; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants, in the order of their indices; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request above its tenant's quota, as a fraction (0 to 1) of its class's priority weight.
    pub over_quota_weight: f64,
    /// Whether the priority weight of a request class applies to each second of a request's running time on a
    /// standard core, the core to which cost hints refer. If not, the weight applies to the request as a
    /// whole. While the fleet is overloaded, the weight decides which requests are rejected.
    pub priority_weight_per_core_second: bool,
    /// How endpoint updates reach this dispatcher.
    pub discovery: DiscoveryMode,
    /// Longest time that a dispatcher without a subscription to the endpoint list may let pass before it
    /// polls discovery. After this time, the dispatcher counts as notified of the endpoints that are listed
    /// at that moment, even if it has not polled. The rules that apply after a notification then apply to it.
    /// For example, it must stop sending attempts to a worker that is listed as removed.
    pub max_poll_interval: Micros,
    /// Smallest capacity that a worker has at its start, as a fraction of its full capacity; above 0 and up
    /// to 1.
    pub slow_start_initial_capacity: f64,
    /// Longest time from a worker's start until the worker has its full capacity.
    pub slow_start_duration: Micros,
    /// Overload limit of a worker that is warming up, as a multiple of the worker's current capacity. The
    /// worker is overloaded if more work than this limit is sent to it within [`Settings::overload_window`].
    pub overload_multiple: f64,
    /// Length of the time window over which the work sent to a worker that is warming up is summed. The sum
    /// is compared with the limit that [`Settings::overload_multiple`] sets.
    pub overload_window: Micros,
    /// Time limit for establishing a connection to a worker. Because connecting may take this long, the
    /// request of an attempt may be written this much later than the attempt was dispatched.
    pub connect_timeout: Micros,
    /// Maximum number of attempts of one request; at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Whether the dispatcher may request the cancellation of an attempt in flight at a worker.
    pub cancellation_allowed: bool,
    /// Whether workers report when a request starts to run.
    pub workers_report_request_start: bool,
    /// Whether workers report their load only in answer to load queries. If so, the dispatcher sends load
    /// queries repeatedly.
    pub workers_report_load_only_on_query: bool,
    /// Cost of a load query, as a fraction of a request's priority weight: a cost of 0.01 means that 100 load
    /// queries cost as much as one lost request.
    pub load_query_cost: f64,
    /// Cost of sending an attempt to another zone, as a fraction of a request's priority weight: a cost of
    /// 0.01 means that 100 such attempts cost as much as one lost request.
    pub cross_zone_cost: f64,
    /// Whether the size that the endpoint list gives for a worker decreases with the worker's load. If so,
    /// the listed size is the size of the idle worker divided by (1 + n). Here n is the number of requests
    /// per core that the worker held shortly before the list was published.
    pub listed_sizes_reflect_load: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            fleet_size: 1,
            instance_index: None,
            zone: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            priority_weight_per_core_second: false,
            discovery: DiscoveryMode::Pushed,
            max_poll_interval: 10 * SECOND,
            slow_start_initial_capacity: 0.1,
            slow_start_duration: 10 * SECOND,
            overload_multiple: 1.0,
            overload_window: SECOND,
            connect_timeout: 0,
            max_attempts: 1,
            hedging_allowed: false,
            cancellation_allowed: false,
            workers_report_request_start: false,
            workers_report_load_only_on_query: false,
            load_query_cost: 0.0,
            cross_zone_cost: 0.0,
            listed_sizes_reflect_load: false,
        }
    }
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoRequestClass);
        }
        if self.fleet_size == 0 {
            return Err(SettingsError::FleetSizeZero);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::MaxAttemptsZero);
        }
        if !(self.slow_start_initial_capacity > 0.0 && self.slow_start_initial_capacity <= 1.0) {
            return Err(SettingsError::InitialCapacityOutOfRange);
        }
        if !(self.overload_multiple > 0.0 && self.overload_multiple.is_finite()) {
            return Err(SettingsError::OverloadMultipleNotPositive);
        }
        if !(0.0..=1.0).contains(&self.over_quota_weight) {
            return Err(SettingsError::OverQuotaWeightOutOfRange);
        }
        if !(self.load_query_cost >= 0.0 && self.load_query_cost.is_finite()) {
            return Err(SettingsError::LoadQueryCostNegative);
        }
        for class in &self.classes {
            if !(class.latency_stretch >= 0.0 && class.latency_stretch.is_finite()) {
                return Err(SettingsError::LatencyStretchNegative);
            }
            if !(class.priority_weight >= 0.0 && class.priority_weight.is_finite()) {
                return Err(SettingsError::PriorityWeightNegative);
            }
        }
        Ok(())
    }
}

/// The reason why settings are invalid. NaN counts as out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// [`Settings::classes`] is empty.
    NoRequestClass,
    /// [`Settings::fleet_size`] is 0.
    FleetSizeZero,
    /// [`Settings::max_attempts`] is 0.
    MaxAttemptsZero,
    /// [`Settings::slow_start_initial_capacity`] is outside its range, which is above 0 and at most 1.
    InitialCapacityOutOfRange,
    /// [`Settings::overload_multiple`] is not positive or not finite.
    OverloadMultipleNotPositive,
    /// [`Settings::over_quota_weight`] is not between 0 and 1.
    OverQuotaWeightOutOfRange,
    /// [`Settings::load_query_cost`] is negative or not finite.
    LoadQueryCostNegative,
    /// The [`RequestClass::latency_stretch`] of a class is negative or not finite.
    LatencyStretchNegative,
    /// The [`RequestClass::priority_weight`] of a class is negative or not finite.
    PriorityWeightNegative,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SettingsError::NoRequestClass => "settings: no request class",
            SettingsError::FleetSizeZero => "settings: a fleet of no dispatchers",
            SettingsError::MaxAttemptsZero => "settings: the maximum number of attempts is 0",
            SettingsError::InitialCapacityOutOfRange => {
                "settings: the initial capacity of slow start is not above 0 and at most 1"
            }
            SettingsError::OverloadMultipleNotPositive => {
                "settings: the overload multiple is not positive and finite"
            }
            SettingsError::OverQuotaWeightOutOfRange => {
                "settings: the weight of requests over quota is not between 0 and 1"
            }
            SettingsError::LoadQueryCostNegative => {
                "settings: the cost of a load query is negative or not finite"
            }
            SettingsError::LatencyStretchNegative => {
                "settings: the latency stretch of a class is negative or not finite"
            }
            SettingsError::PriorityWeightNegative => {
                "settings: the priority weight of a class is negative or not finite"
            }
        })
    }
}

impl std::error::Error for SettingsError {}
