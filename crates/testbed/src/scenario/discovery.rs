//! Types of what schedulers learn of workers in a scenario: endpoint lists and load reports, and how late.
use serde::{Deserialize, Serialize};

use super::is_false;

/// How endpoint lists reach the schedulers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Seconds until schedulers are notified of a change.
    #[serde(rename = "delay")]
    pub delay_s: f64,
    /// Seconds until the first list arrives; before it, schedulers have only the cached list.
    #[serde(rename = "first_after")]
    pub first_list_after_s: f64,
    /// The share of workers in the cached list that no longer exist.
    #[serde(rename = "stale")]
    pub stale_share: f64,
    /// The list states each worker's size, divided by 1 plus its jobs for each core, renewed at this
    /// interval in seconds; 0: never. In virtual time only.
    #[serde(rename = "sizes")]
    pub size_interval_s: f64,
    /// Schedulers must poll for the list. In real time the agents stay, one for each scheduler.
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

/// Load reports of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Reports", default, deny_unknown_fields)]
pub struct LoadReports {
    /// Seconds between refreshes.
    #[serde(rename = "refresh")]
    pub refresh_interval_s: f64,
    /// Sigma of the noise, in slots.
    #[serde(rename = "noise")]
    pub noise_slots: f64,
    /// Seconds between workers' reports of the progress of running jobs; 0: none.
    #[serde(rename = "progress")]
    pub progress_interval_s: f64,
    /// If given, responses carry no report: workers state their load only when queried.
    #[serde(rename = "probe", skip_serializing_if = "Option::is_none")]
    pub load_query: Option<LoadQuery>,
}

impl Default for LoadReports {
    fn default() -> LoadReports {
        LoadReports { refresh_interval_s: 1.0, noise_slots: 0.1, progress_interval_s: 0.0, load_query: None }
    }
}

/// What a load query costs, and how old its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Probe", deny_unknown_fields)]
pub struct LoadQuery {
    /// Work of the worker for one query, in seconds at speed 1.
    pub work: f64,
    /// A query waits in the queue like a job of one slot; otherwise it is answered at once.
    #[serde(rename = "deep", default)]
    pub queued: bool,
    /// Seconds for which a scheduler waits for the answer.
    #[serde(rename = "timeout")]
    pub timeout_s: f64,
    /// A report states what held this many seconds before.
    #[serde(rename = "late", default)]
    pub staleness_s: f64,
    /// The cost of one query for each job, as a share of the weight.
    #[serde(rename = "price", default)]
    pub cost: f64,
}
