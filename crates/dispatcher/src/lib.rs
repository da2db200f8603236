//! The decisions of a dispatcher that pushes jobs to workers.
//!
//! For every job it estimates the finish time at each worker by the processor-sharing formula,
//! sends the job to the lowest estimate and refuses it on arrival when that estimate exceeds the
//! time the job has left. [`Dispatcher`] does no I/O, reads no clock and starts no thread: the node
//! that loads it hands in events with their time and carries out the actions it gets back. The
//! scheduler on sockets is such a node (`crates/proxy`); the adapter on the simulator's wire another.
//!
//! ```
//! use copperspread_dispatcher::{
//!     Action, AttemptOutcome, Dispatcher, Endpoint, EndpointUpdate, EndpointUpdateKind, Event,
//!     IncomingRequest, Outcome, RequestClass, RequestId, Settings, WorkerId, WorkerState,
//! };
//!
//! let settings = Settings { classes: vec![RequestClass::default()], ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! // Discovery names one worker.
//! let worker = Endpoint {
//!     worker: WorkerId(0), zone: 0, kind: 0, cell: 0,
//!     state: WorkerState::Ready, started_at: None, size: None, hash_key: 0,
//! };
//! let roster = EndpointUpdate { kind: EndpointUpdateKind::Full, version: 1, endpoints: &[worker] };
//! dispatcher.handle(0, Event::Endpoints(roster), &mut actions);
//!
//! // A job comes in and is sent there.
//! let job = IncomingRequest {
//!     request: RequestId(1), cost_hint: Some(0.2), time_left: 2_000_000, ..IncomingRequest::default()
//! };
//! actions.clear();
//! dispatcher.handle(1_000, Event::Request(job), &mut actions);
//! assert!(matches!(actions[0], Action::Send { worker: WorkerId(0), .. }));
//!
//! // Its outcome comes back.
//! let outcome = AttemptOutcome {
//!     request: RequestId(1), attempt: 0, outcome: Outcome::Served, request_finished: true,
//!     elapsed: 200_000, report: None,
//! };
//! actions.clear();
//! dispatcher.handle(201_000, Event::AttemptEnded(outcome), &mut actions);
//! # Ok::<(), copperspread_dispatcher::SettingsError>(())
//! ```
mod decide;
mod interface;

pub use decide::Dispatcher;
pub use interface::*;

/// What a node asks: the [`Dispatcher`], or what stands in its place to be compared with it.
pub trait DispatchPolicy: Send {
    /// Takes an event and says what is to be done. `now` never goes back.
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>);
}

impl DispatchPolicy for Dispatcher {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, actions);
    }
}
