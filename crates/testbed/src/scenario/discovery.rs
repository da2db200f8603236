//! Endpoint lists and load reports of a scenario: how, and with which delay, schedulers learn of the workers
//! and their load.
use serde::{Deserialize, Serialize};

use super::is_false;

/// How the schedulers get endpoint lists, and with which delay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Seconds from a change at a worker until the schedulers are notified of the change.
    #[serde(rename = "delay")]
    pub delay_s: f64,
    /// Seconds from the start of the run until the schedulers get the first full endpoint list. Until then,
    /// each scheduler has only the cached list with which it starts.
    #[serde(rename = "first_after")]
    pub first_list_after_s: f64,
    /// Share of the workers in the cached endpoint list that no longer exist, from 0 to 1.
    #[serde(rename = "stale")]
    pub stale_share: f64,
    /// Seconds between two refreshes of the workers' sizes in the endpoint list; 0 disables the sizes. The
    /// size of a worker is its number of cores times the mean speed of its group, divided by one plus its
    /// number of jobs per core. Only the simulation supports sizes.
    #[serde(rename = "sizes")]
    pub size_interval_s: f64,
    /// Whether the schedulers' policies must ask discovery for the full endpoint list, at the start and after
    /// a failure. Otherwise, they get the list and its changes without asking. In the emulation, the proxy of
    /// each scheduler polls discovery over HTTP in either case.
    #[serde(rename = "on_request", skip_serializing_if = "is_false")]
    pub polled: bool,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery {
            delay_s: 2.0,
            first_list_after_s: 0.0,
            stale_share: 0.0,
            size_interval_s: 0.0,
            polled: false,
        }
    }
}

/// How workers report their load to the schedulers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Reports", default, deny_unknown_fields)]
pub struct LoadReports {
    /// Seconds between two refreshes of each worker's load report.
    #[serde(rename = "refresh")]
    pub refresh_interval_s: f64,
    /// Standard deviation of the random error of the reported number of free slots, in slots. Responses to
    /// load queries also report the requests per second and the number of jobs in flight. The errors of these
    /// two values have the same number as standard deviation, each in the unit of the value.
    #[serde(rename = "noise")]
    pub noise_slots: f64,
    /// Seconds between two callbacks that report the progress of a running job; 0 disables these callbacks.
    #[serde(rename = "progress")]
    pub progress_interval_s: f64,
    /// Settings of load queries; `None` if the scenario has no load queries. With load queries, workers
    /// report their load only when they are queried. Their responses to attempts then carry no load report.
    #[serde(rename = "probe", skip_serializing_if = "Option::is_none")]
    pub load_query: Option<LoadQuery>,
}

impl Default for LoadReports {
    fn default() -> LoadReports {
        LoadReports { refresh_interval_s: 1.0, noise_slots: 0.1, progress_interval_s: 0.0, load_query: None }
    }
}

/// How workers handle load queries, and what each load query costs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Probe", deny_unknown_fields)]
pub struct LoadQuery {
    /// Work that one load query causes at the worker, in seconds at speed 1.
    pub work: f64,
    /// Whether a load query waits in the worker's queue like a job of one slot. Otherwise, it bypasses the
    /// queue.
    #[serde(rename = "deep", default)]
    pub queued: bool,
    /// Seconds for which a scheduler waits for the response to a load query.
    #[serde(rename = "timeout")]
    pub timeout_s: f64,
    /// Minimum age of the values in the response to a load query, in seconds.
    #[serde(rename = "late", default)]
    pub staleness_s: f64,
    /// Cost of one load query, as a share of the mean weight of a job. The weight of a job is its priority
    /// weight times its work.
    ///
    /// The score of a run is the share of all jobs' weight that was served in time, minus a deduction for
    /// load queries. The deduction is this cost times the number of load queries, divided by the number of
    /// jobs.
    #[serde(rename = "price", default)]
    pub cost: f64,
}
