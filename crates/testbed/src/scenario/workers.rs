//! The workers of a scenario: their resources, queues and slow start.
use serde::{Deserialize, Serialize};

/// The order in which a worker starts the jobs in its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Order", rename_all = "lowercase")]
pub enum QueueOrder {
    /// Jobs start in order of arrival. If the first job does not fit into the free slots and memory, all
    /// queued jobs wait.
    #[default]
    Fifo,
    /// Jobs start in order of arrival. Jobs that do not fit into the free slots and memory are skipped.
    Backfill,
    /// Jobs start by descending priority weight, and jobs of equal weight in order of arrival. If the first
    /// job does not fit into the free slots and memory, all queued jobs wait.
    Priority,
}

/// A group of workers of the same kind with the same resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Group", deny_unknown_fields)]
pub struct WorkerGroup {
    /// Name of the kind of the group's workers.
    pub kind: String,
    /// Number of workers in the group.
    pub count: u32,
    /// Number of cores of each worker.
    pub cores: f64,
    /// Number of slots of each worker.
    pub slots: f64,
    /// Lowest and highest speed of a core of the group's workers. Each worker gets a random speed in this
    /// range.
    pub speed: [f64; 2],
    /// Maximum number of jobs in the queue of each worker.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// Order in which a worker starts the jobs in its queue.
    #[serde(rename = "order", default)]
    pub queue_order: QueueOrder,
    /// Memory of each worker, in the unit of the memory of the classes' jobs. If absent, memory is unlimited.
    /// Schedulers never get this value. They always assume that a worker has one unit of memory per slot.
    #[serde(default)]
    pub memory: Option<f64>,
}

fn default_queue_capacity() -> usize {
    100
}

/// Slow start of workers. After a worker's start, its capacity is reduced for a time. During this time, the
/// worker fails if it gets too much load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Cold", default, deny_unknown_fields)]
pub struct SlowStart {
    /// Share of its full capacity that a worker has when it starts, from 0 to 1.
    #[serde(rename = "from")]
    pub initial_capacity: f64,
    /// Seconds from a worker's start until it has its full capacity.
    #[serde(rename = "warm_after")]
    pub duration_s: f64,
    /// Factor of a worker's overload limit. During slow start, the worker fails if its load within the
    /// overload window exceeds the limit. The limit is this factor times the work that the worker's current
    /// capacity can do within the window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the overload window in seconds, over which the load of a worker is summed for the overload
    /// limit. With 0, workers never fail from overload.
    #[serde(rename = "fall_seconds")]
    pub overload_window_s: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart { initial_capacity: 0.12, duration_s: 23.0, overload_multiple: 3.0, overload_window_s: 3.0 }
    }
}
