//! Types of a scenario's workers: their build, their queues and how they warm up.
use serde::{Deserialize, Serialize};

/// The order in which a worker starts the jobs in its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Order", rename_all = "lowercase")]
pub enum QueueOrder {
    /// By arrival; the first job waits until it fits.
    #[default]
    Fifo,
    /// The first job that fits.
    Backfill,
    /// The job of the highest priority weight, of equals the first; it waits until it fits.
    Priority,
}

/// Workers of one build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Group", deny_unknown_fields)]
pub struct WorkerGroup {
    /// The name of the worker kind.
    pub kind: String,
    /// Number of workers.
    pub count: u32,
    /// Cores of each worker.
    pub cores: f64,
    /// Slots of each worker.
    pub slots: f64,
    /// The lowest and highest speed of a core; each worker draws its own.
    pub speed: [f64; 2],
    /// The highest number of waiting jobs.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// The order in which waiting jobs start.
    #[serde(rename = "order", default)]
    pub queue_order: QueueOrder,
    /// Memory of each worker, in the unit of the classes' memory. Without it, memory never fills up.
    /// Schedulers assume one unit for each slot.
    #[serde(default)]
    pub memory: Option<f64>,
}

fn default_queue_capacity() -> usize {
    100
}

/// How workers warm up after a start, and when they are overloaded meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Cold", default, deny_unknown_fields)]
pub struct SlowStart {
    /// The share of its capacity that a worker has at its start.
    #[serde(rename = "from")]
    pub initial_capacity: f64,
    /// Seconds until a worker has its full capacity.
    #[serde(rename = "warm_after")]
    pub duration_s: f64,
    /// A worker is overloaded that is sent more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this many seconds; 0: never.
    #[serde(rename = "fall_seconds")]
    pub overload_window_s: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart { initial_capacity: 0.12, duration_s: 23.0, overload_multiple: 3.0, overload_window_s: 3.0 }
    }
}
