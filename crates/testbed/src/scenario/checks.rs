//! Checks the values of a scenario, and reports the first invalid value.
use super::{ClientSkew, Fault, FaultKind, JobClass, RetryTiming, Scenario, WorkerGroup};

/// Errors in a scenario. Each message names the key whose value is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum ScenarioError {
    /// The text is not valid TOML or does not match the scenario format. The parser's message gives the line
    /// and the key.
    #[error("{}", .0.to_string().trim_end())]
    InvalidToml(toml::de::Error),
    /// A value that must be above 0 is zero, negative or not finite.
    #[error("{key}: {value} is not above 0")]
    NotPositive {
        /// TOML key of the invalid value.
        key: String,
        /// The invalid value, as given in the scenario.
        value: f64,
    },
    /// A value that must not be below 0 is negative or not finite.
    #[error("{key}: {value} is not 0 or more")]
    Negative {
        /// TOML key of the invalid value.
        key: String,
        /// The invalid value, as given in the scenario.
        value: f64,
    },
    /// The interval `discovery.sizes` is neither 0 nor between 0.05 and 3600 seconds. At this interval, the
    /// sizes of workers in the endpoint list are refreshed.
    #[error("discovery.sizes: {0} is neither 0 nor between 0.05 and 3600")]
    SizeIntervalOutOfRange(f64),
    /// The number of cells in each zone is 0. A cell is a group of workers of one zone.
    #[error("cells: each zone needs at least one cell")]
    NoCells,
    /// The scenario has no zone, no scheduler, no worker group or no class.
    #[error("zones, schedulers, workers and classes: at least one of each is required")]
    Empty,
    /// The value of `clients.crowded.schedulers` is 0, or not below the number of all schedulers. It is the
    /// number of schedulers that get more clients than the others.
    #[error("clients.crowded.schedulers: {0} is not between 1 and the number of schedulers minus 1")]
    SkewedSchedulers(u32),
    /// The lowest speed of a worker group is above the group's highest speed.
    #[error(
        "workers of kind {kind:?}: speed: {speed:?} is not a range: the lowest speed is above the highest"
    )]
    InvalidSpeedRange {
        /// Kind of the worker group with the invalid speeds.
        kind: String,
        /// Lowest and highest speed of the worker group, as given in the scenario.
        speed: [f64; 2],
    },
    /// A class has both `wide` and `slots`. Both keys set the number of slots of the class's jobs, so only
    /// one of them may be used.
    #[error("class {class:?}: wide and slots say the same thing; one of them")]
    SlotsGivenTwice {
        /// Name of the class that has both `wide` and `slots`.
        class: String,
    },
    /// The jobs of the recorded trace `clients.trace` are not sorted by arrival time.
    #[error("clients.trace: the jobs are not sorted by arrival time (`at`)")]
    UnorderedTrace,
    /// A job of the recorded trace `clients.trace` has an unknown class or an invalid value.
    #[error("clients.trace[{index}]: unknown class, or an invalid number")]
    InvalidTraceJob {
        /// Index of the invalid job in `clients.trace`.
        index: usize,
    },
    /// A link between two zones names an unknown zone, or has an invalid delay or loss.
    #[error("network.pairs[{index}]: unknown zone, or an invalid number")]
    InvalidZoneLink {
        /// Index of the invalid link in `network.pairs`.
        index: usize,
    },
    /// A fault names a class or a zone that the scenario does not have.
    #[error("faults[{index}]: unknown class or zone")]
    UnknownFaultTarget {
        /// Index of the fault in the scenario's list of faults.
        index: usize,
    },
    /// The share of targets that a fault affects, or of attempts that it affects, is not between 0 and 1.
    #[error("faults[{index}]: the share {share} is not between 0 and 1")]
    ShareOutOfRange {
        /// Index of the fault in the scenario's list of faults.
        index: usize,
        /// The invalid share, as given in the scenario.
        share: f64,
    },
}

/// Checks all tables of a scenario and returns the first error. The order of the checks decides which error
/// that is.
pub(super) fn check(scenario: &Scenario) -> Result<(), ScenarioError> {
    check_positive("seconds", scenario.duration_s)?;
    check_positive("clients.rate", scenario.clients.rate_per_s)?;
    check_positive("clients.grace", scenario.clients.deadline_grace_s)?;
    check_size_interval(scenario.discovery.size_interval_s)?;
    if scenario.cells == 0 {
        return Err(ScenarioError::NoCells);
    }
    check_retry_timing(scenario.clients.retry_timing)?;
    check_load_query(scenario)?;
    check_not_empty(scenario)?;
    check_client_skew(scenario)?;
    scenario.workers.iter().try_for_each(check_worker_group)?;
    scenario.classes.iter().try_for_each(check_class)?;
    check_trace(scenario)?;
    check_zone_links(scenario)?;
    check_not_negative("network.connect", scenario.network.connect_delay_s)?;
    check_not_negative("reports.progress", scenario.load_reports.progress_interval_s)?;
    scenario.faults.iter().enumerate().try_for_each(|(index, fault)| check_fault(scenario, index, fault))
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_positive(key: &str, value: f64) -> Result<(), ScenarioError> {
    if is_positive(value) { Ok(()) } else { Err(ScenarioError::NotPositive { key: key.to_owned(), value }) }
}

fn check_not_negative(key: &str, value: f64) -> Result<(), ScenarioError> {
    if is_not_negative(value) { Ok(()) } else { Err(ScenarioError::Negative { key: key.to_owned(), value }) }
}

fn check_size_interval(interval_s: f64) -> Result<(), ScenarioError> {
    if interval_s == 0.0 || (0.05..=3_600.0).contains(&interval_s) {
        Ok(())
    } else {
        Err(ScenarioError::SizeIntervalOutOfRange(interval_s))
    }
}

fn check_retry_timing(timing: RetryTiming) -> Result<(), ScenarioError> {
    match timing {
        RetryTiming::FixedDelay(delay_s) => check_not_negative("clients.again", delay_s),
        RetryTiming::HonorRetryAfter | RetryTiming::Immediately => Ok(()),
    }
}

fn check_load_query(scenario: &Scenario) -> Result<(), ScenarioError> {
    let Some(query) = scenario.load_reports.load_query else { return Ok(()) };
    check_positive("reports.refresh", scenario.load_reports.refresh_interval_s)?;
    check_positive("reports.probe.timeout", query.timeout_s)?;
    check_not_negative("reports.probe.work", query.work)?;
    check_not_negative("reports.probe.late", query.staleness_s)?;
    check_not_negative("reports.probe.price", query.cost)
}

fn check_not_empty(scenario: &Scenario) -> Result<(), ScenarioError> {
    let has_all_parts = scenario.zones > 0
        && scenario.schedulers > 0
        && !scenario.classes.is_empty()
        && !scenario.workers.is_empty();
    if has_all_parts { Ok(()) } else { Err(ScenarioError::Empty) }
}

fn check_client_skew(scenario: &Scenario) -> Result<(), ScenarioError> {
    let Some(ClientSkew { schedulers, factor }) = scenario.clients.skew else { return Ok(()) };
    check_positive("clients.crowded.times", factor)?;
    if schedulers == 0 || schedulers >= scenario.schedulers {
        return Err(ScenarioError::SkewedSchedulers(schedulers));
    }
    Ok(())
}

fn check_worker_group(group: &WorkerGroup) -> Result<(), ScenarioError> {
    let key = |name: &str| format!("workers of kind {:?}: {name}", group.kind);
    check_positive(&key("cores"), group.cores)?;
    check_positive(&key("slots"), group.slots)?;
    check_positive(&key("speed"), group.speed[0])?;
    if group.speed[0] > group.speed[1] {
        return Err(ScenarioError::InvalidSpeedRange { kind: group.kind.clone(), speed: group.speed });
    }
    Ok(())
}

fn check_class(class: &JobClass) -> Result<(), ScenarioError> {
    let key = |name: &str| format!("class {:?}: {name}", class.name);
    check_positive(&key("share"), class.share)?;
    check_positive(&key("work"), class.mean_work)?;
    check_positive(&key("deadline"), class.deadline_s)?;
    check_positive(&key("worth"), class.priority_weight)?;
    for value in class.slot_distribution.as_flattened() {
        check_positive(&key("slots"), *value)?;
    }
    if class.two_slot_share > 0.0 && !class.slot_distribution.is_empty() {
        return Err(ScenarioError::SlotsGivenTwice { class: class.name.clone() });
    }
    check_not_negative(&key("memory"), class.mean_memory)?;
    check_not_negative(&key("memory_spread"), class.memory_sigma)
}

fn check_trace(scenario: &Scenario) -> Result<(), ScenarioError> {
    let trace = &scenario.clients.trace;
    if trace.windows(2).any(|pair| pair[0].arrives_at_s > pair[1].arrives_at_s) {
        return Err(ScenarioError::UnorderedTrace);
    }
    for (index, job) in trace.iter().enumerate() {
        let class_exists = (job.class as usize) < scenario.classes.len();
        let has_valid_values =
            is_not_negative(job.arrives_at_s) && is_positive(job.work) && is_positive(job.slots);
        if !(class_exists && has_valid_values) {
            return Err(ScenarioError::InvalidTraceJob { index });
        }
    }
    Ok(())
}

fn check_zone_links(scenario: &Scenario) -> Result<(), ScenarioError> {
    for (index, link) in scenario.network.zone_links.iter().enumerate() {
        let zones_exist = link.zones.iter().all(|&zone| zone < scenario.zones);
        let has_valid_values = is_not_negative(link.delay_s) && (0.0..=1.0).contains(&link.loss);
        if !(zones_exist && has_valid_values) {
            return Err(ScenarioError::InvalidZoneLink { index });
        }
    }
    Ok(())
}

fn check_fault(scenario: &Scenario, index: usize, fault: &Fault) -> Result<(), ScenarioError> {
    let class = match fault.kind {
        FaultKind::Silent(class) | FaultKind::HeavyTail(class) => class,
        _ => 0,
    };
    let is_zone_unknown = fault.zone.is_some_and(|zone| zone >= scenario.zones);
    if class as usize >= scenario.classes.len() || is_zone_unknown {
        return Err(ScenarioError::UnknownFaultTarget { index });
    }
    if let FaultKind::Slow(factor) | FaultKind::Burst(factor) | FaultKind::Ramp(factor) = fault.kind {
        check_positive(&format!("faults[{index}].what"), factor)?;
    }
    check_not_negative(&format!("faults[{index}].at"), fault.starts_at_s)?;
    check_not_negative(&format!("faults[{index}].lasts"), fault.duration_s)?;
    check_not_negative(&format!("faults[{index}].spread_over"), fault.stagger_s)?;
    if let FaultKind::LateCallbacks(by_s) | FaultKind::ReportsLate(by_s) = fault.kind {
        check_not_negative(&format!("faults[{index}].what"), by_s)?;
    }
    let attempt_share = match fault.kind {
        FaultKind::Resetting(share) | FaultKind::Garbled(share) | FaultKind::Failing(share) => share,
        _ => 0.0,
    };
    for share in [fault.worker_share, attempt_share] {
        if !(0.0..=1.0).contains(&share) {
            return Err(ScenarioError::ShareOutOfRange { index, share });
        }
    }
    Ok(())
}
