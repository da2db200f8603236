//! Generates the configuration of an emulated scheduler from a scenario. In production, the hosting platform
//! starts each scheduler and writes the scheduler's configuration as a JSON file. The emulation does the
//! same, in the same JSON format.
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::model::scheduler_id::SchedulerId;
use crate::scenario::{CONNECT_TIMEOUT, DeduplicationScope, JobClass, LoadQuery, RepeatPolicy, Scenario};

/// Number of cores that the generated configuration grants a scheduler.
const CORES: f64 = 1.0;
/// Memory that the generated configuration grants a scheduler, in megabytes.
const MEMORY_MB: u32 = 192;
/// Number of sockets that the generated configuration grants a scheduler.
const SOCKETS: u32 = 1024;
/// Time after which a scheduler closes an idle connection, in seconds.
const KEEPALIVE_S: f64 = 5.0;
/// Difference between the seeds of two successive schedulers of one run. The seeds differ, so that the
/// schedulers do not draw the same random numbers.
const SEED_STRIDE: u64 = 7919;
/// Shortest overload window in a scheduler's configuration, in seconds. A worker in slow start is overloaded
/// if too much load is sent to the worker within the overload window. If the window of a scenario is shorter
/// than this minimum, the configuration has the minimum instead. The reason is that the hosting platform,
/// which configures schedulers in production, accepts no shorter window. A scenario can have a window of 0,
/// which means that workers never fail from overload.
const MIN_OVERLOAD_WINDOW_S: f64 = 0.001;

/// Inputs from which the configuration of one scheduler is generated.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig<'a> {
    /// Scenario of the run.
    pub scenario: &'a Scenario,
    /// Index of the scheduler among the schedulers of the run, from 0.
    pub scheduler: SchedulerId,
    /// Seed of the run, from which the scheduler's seed is derived.
    pub seed: u64,
    /// Address at which the scheduler listens.
    pub listen: SocketAddr,
    /// Address of the discovery server that the scheduler polls.
    pub discovery: SocketAddr,
    /// The endpoint list that the scheduler has in its cache when it starts, in the format of discovery's
    /// responses; `None` if there is no cached list.
    pub cached_list: Option<&'a Value>,
}

impl SchedulerConfig<'_> {
    /// Generates the scheduler's configuration as JSON. The format is that of the file that the hosting
    /// platform writes for each scheduler in production.
    pub fn to_platform_json(&self) -> Value {
        let seed = self.seed.wrapping_add(u64::from(self.scheduler.0) * SEED_STRIDE);
        let mut config = json!({
            "name": format!("scheduler-{}", self.scheduler.0),
            "listen": self.listen.to_string(),
            "discovery": self.discovery.to_string(),
            "limits": {"cores": CORES, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "seed": format!("{seed:016x}"),
            "settings": self.settings(),
        });
        if let Some(list) = self.cached_list {
            config["known"] = list.clone();
        }
        config
    }

    fn settings(&self) -> Value {
        let Scenario { classes, workers, discovery, .. } = self.scenario;
        let zones: Vec<String> = (0..self.scenario.zones).map(zone_name).collect();
        let kinds: Vec<&str> = workers.iter().map(|group| &*group.kind).collect();
        let stretches: Vec<f64> = classes.iter().map(|class| class.latency_stretch).collect();
        let mut settings = json!({
            "fleet_size": self.scenario.schedulers,
            "me": self.scheduler.0,
            "zone": self.scheduler.zone(self.scenario.zones),
            "zones": zones,
            "kinds": kinds,
            "classes": classes.iter().map(class_settings).collect::<Vec<_>>(),
            "discovery": if discovery.polled { "on_request" } else { "pushed" },
            "worth_by": "work",
            "weights": if discovery.size_interval_s > 0.0 { "live" } else { "silent" },
            "family_info": {"class_stretch": stretches, "tells_start": true},
            "permissions": self.permissions(),
            "penalties": {"cross_zone": self.scenario.tuning.cross_zone_cost},
            "safety": self.slow_start_limits(),
        });
        if let Some(query) = self.scenario.load_reports.load_query {
            self.add_load_queries(&mut settings, &query);
        }
        settings
    }

    fn permissions(&self) -> Value {
        let tuning = &self.scenario.tuning;
        json!({
            "send_cap": tuning.max_attempts,
            "second_copies": tuning.hedging_allowed,
            "may_cancel": tuning.cancellation_allowed,
            "connect_timeout_s": CONNECT_TIMEOUT as f64 / 1e6,
            "keepalive_s": KEEPALIVE_S,
            "retry_after": true,
            "max_retry_after_s": self.scenario.clients.max_retry_after_s,
        })
    }

    fn slow_start_limits(&self) -> Value {
        let slow_start = &self.scenario.slow_start;
        json!({
            "cold_from": slow_start.initial_capacity,
            "cold_s": slow_start.duration_s,
            "fall_multiple": slow_start.overload_multiple,
            "fall_s": slow_start.overload_window_s.max(MIN_OVERLOAD_WINDOW_S),
        })
    }

    fn add_load_queries(&self, settings: &mut Value, query: &LoadQuery) {
        let reports = &self.scenario.load_reports;
        settings["permissions"]["probes"] = true.into();
        settings["penalties"]["probe"] = query.cost.into();
        settings["load_info"] = json!({
            "how": "pull",
            "fields": ["qps", "inflight", "x0"],
            "period_s": reports.refresh_interval_s,
            "delay_s": query.staleness_s,
            "noise": reports.noise_slots,
        });
    }
}

fn class_settings(class: &JobClass) -> Value {
    let semantics = match class.repeat {
        RepeatPolicy::Safe => "pure",
        RepeatPolicy::Keyed => "token",
        RepeatPolicy::Never => "side_effect",
    };
    let mut settings = json!({
        "name": class.name,
        "aim_s": class.latency_objective_s,
        "deadline_s": class.deadline_s,
        "importance": class.priority_weight,
        "semantics": semantics,
    });
    if class.repeat == RepeatPolicy::Keyed {
        let scope = match class.deduplication_scope {
            DeduplicationScope::All => "all",
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
        };
        settings["key_scope"] = scope.into();
        settings["window_s"] = class.deduplication_window_s.into();
    }
    settings
}

/// The name of a zone in scheduler configurations and endpoint lists: `zone-` and the zone's index.
pub fn zone_name(number: u32) -> String {
    format!("zone-{number}")
}
