//! A worker as discovery lists it, and this dispatcher's attempts there.
use crate::WorkerState;
use crate::local_load::LocalLoad;

/// What is known of a worker itself. What is learned of it belongs to the parts that learn it.
#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    pub(super) state: WorkerState,
    pub(super) zone: u32,
    pub(super) kind: u32,
    pub(super) cell: u32,
    pub(super) local_load: LocalLoad,
}
