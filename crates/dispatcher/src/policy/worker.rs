//! What a dispatcher knows of workers and of their kinds.
use crate::WorkerState;
use crate::average::LogAverage;
use crate::local_load::LocalLoad;

/// What is known of the workers of one kind, or of all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupStatistics {
    pub(super) rate: LogAverage,
    pub(super) slots: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    pub(super) state: WorkerState,
    pub(super) zone: u32,
    pub(super) kind: u32,
    pub(super) cell: u32,
    pub(super) local_load: LocalLoad,
    pub(super) rate: LogAverage,
    /// Work a second on one slot, as used in estimates.
    pub(super) service_rate: f64,
}
