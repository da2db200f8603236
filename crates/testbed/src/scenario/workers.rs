//! Workers of a scenario: their resources, queues and slow start.
use serde::{Deserialize, Serialize};

/// The order in which a worker starts the queued jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Order", rename_all = "lowercase")]
pub enum QueueOrder {
    /// In order of arrival; if the first job does not fit into the free slots and memory, all queued jobs
    /// wait.
    #[default]
    Fifo,
    /// In order of arrival, skipping jobs that do not fit into the free slots and memory.
    Backfill,
    /// By descending priority weight, and by arrival among jobs of equal weight; if the first job does not
    /// fit into the free slots and memory, all queued jobs wait.
    Priority,
}

/// A group of workers with the same kind and resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Group", deny_unknown_fields)]
pub struct WorkerGroup {
    /// Name of the kind that the group's workers have.
    pub kind: String,
    /// Number of workers in the group.
    pub count: u32,
    /// Number of cores of each worker.
    pub cores: f64,
    /// Number of slots of each worker.
    pub slots: f64,
    /// Lowest and highest speed of a core; each worker gets a random speed in this range.
    pub speed: [f64; 2],
    /// Maximum number of jobs in the queue of each worker.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// The order in which queued jobs start.
    #[serde(rename = "order", default)]
    pub queue_order: QueueOrder,
    /// Memory of each worker, in the unit of the classes' memory; if absent, memory is unlimited. Schedulers
    /// assume one unit per slot.
    #[serde(default)]
    pub memory: Option<f64>,
}

fn default_queue_capacity() -> usize {
    100
}

/// Slow start of workers: the reduced capacity after a worker's start, and the offered load above which the
/// worker fails from overload while its capacity is reduced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Cold", default, deny_unknown_fields)]
pub struct SlowStart {
    /// The share of its full capacity that a worker has when it starts, from 0 to 1.
    #[serde(rename = "from")]
    pub initial_capacity: f64,
    /// Seconds from a worker's start until it has its full capacity.
    #[serde(rename = "warm_after")]
    pub duration_s: f64,
    /// Multiple of a worker's current capacity above which the offered load overloads the worker during slow
    /// start.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the window, in seconds, over which the load offered to a worker is compared with
    /// `overload_multiple` times its capacity; 0 disables overload.
    #[serde(rename = "fall_seconds")]
    pub overload_window_s: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart { initial_capacity: 0.12, duration_s: 23.0, overload_multiple: 3.0, overload_window_s: 3.0 }
    }
}
