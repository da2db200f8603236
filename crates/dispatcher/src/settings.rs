//! The settings of a dispatcher and what is wrong with them.
use crate::requests::{RequestClass, Tenant};
use crate::time::{Micros, SECOND};

/// How endpoint updates reach a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// They come by themselves.
    Pushed,
    /// They come only after a subscription.
    Polled,
}

/// What a dispatcher is configured with at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many dispatchers share the workers, this one included.
    pub fleet_size: u32,
    /// This dispatcher's number among them, from 0, where it has one.
    pub instance_index: Option<u32>,
    /// This dispatcher's zone.
    pub zone: u32,
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request over its tenant's quota counts for, as a part of its class's weight.
    pub over_quota_weight: f64,
    /// The priority weight counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// How endpoint updates arrive.
    pub discovery: Discovery,
    /// A dispatcher that is not subscribed and has not polled for this long counts as notified of the
    /// endpoints of then.
    pub poll_within: Micros,
    /// A worker starts at this fraction of its capacity or more.
    pub slow_start_initial_capacity: f64,
    /// It has its full capacity after this long at most.
    pub slow_start_duration: Micros,
    /// Sent more than this many times its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a worker that is warming up is overloaded.
    pub overload_window: Micros,
    /// A connection that is not up within this has failed: an attempt may be written so much later.
    pub connect_timeout: Micros,
    /// The most attempts one request may have.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedging_allowed: bool,
    /// An attempt may be canceled.
    pub cancellation_allowed: bool,
    /// Workers report when a request starts to run.
    pub reports_job_start: bool,
    /// Workers report their load only when they are queried, and load queries are allowed.
    pub load_by_query: bool,
    /// Price of a load query, as weight lost for each request.
    pub load_query_cost: f64,
    /// Price of sending an attempt to another zone, as weight lost for each request.
    pub cross_zone_cost: f64,
    /// A listed size is the worker's own, divided by 1 and the requests it held a core some time before.
    pub sizes_reflect_load: bool,
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
            weight_by_work: false,
            discovery: Discovery::Pushed,
            poll_within: 10 * SECOND,
            slow_start_initial_capacity: 0.1,
            slow_start_duration: 10 * SECOND,
            overload_multiple: 1.0,
            overload_window: SECOND,
            connect_timeout: 0,
            max_attempts: 1,
            hedging_allowed: false,
            cancellation_allowed: false,
            reports_job_start: false,
            load_by_query: false,
            load_query_cost: 0.0,
            cross_zone_cost: 0.0,
            sizes_reflect_load: false,
        }
    }
}

impl Settings {
    /// Whether a dispatcher can work by them.
    ///
    /// # Errors
    /// The first figure that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        if self.fleet_size == 0 {
            return Err(SettingsError::NoDispatcher);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempt);
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

/// Why a dispatcher could not be made from its settings. A figure that is no number counts as out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    NoClass,
    /// The fleet has no dispatcher.
    NoDispatcher,
    /// A request may have no attempt.
    NoAttempt,
    /// [`Settings::slow_start_initial_capacity`] is not above 0 and up to 1.
    InitialCapacityOutOfRange,
    /// [`Settings::overload_multiple`] is not above 0.
    OverloadMultipleNotPositive,
    /// [`Settings::over_quota_weight`] is not between 0 and 1.
    OverQuotaWeightOutOfRange,
    /// [`Settings::load_query_cost`] is negative.
    LoadQueryCostNegative,
    /// A class's [`RequestClass::latency_stretch`] is negative.
    LatencyStretchNegative,
    /// A class's [`RequestClass::priority_weight`] is negative.
    PriorityWeightNegative,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SettingsError::NoClass => "settings: no class of jobs",
            SettingsError::NoDispatcher => "settings: a fleet of no dispatchers",
            SettingsError::NoAttempt => "settings: no attempt allowed",
            SettingsError::InitialCapacityOutOfRange => "settings: the cold share is not above 0 and up to 1",
            SettingsError::OverloadMultipleNotPositive => {
                "settings: the multiple of the cold budget is not above 0"
            }
            SettingsError::OverQuotaWeightOutOfRange => {
                "settings: the worth beyond a share is not between 0 and 1"
            }
            SettingsError::LoadQueryCostNegative => "settings: the price of a probe is negative or no number",
            SettingsError::LatencyStretchNegative => "settings: a class's stretch is negative or no number",
            SettingsError::PriorityWeightNegative => "settings: a class's worth is negative or no number",
        })
    }
}

impl std::error::Error for SettingsError {}
