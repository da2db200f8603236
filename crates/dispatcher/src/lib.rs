//! The dispatch policy of a request scheduler, which forwards clients' requests to workers.
//!
//! For each request, the policy estimates how long the request would take at each worker, by a
//! processor-sharing formula. The policy ranks the workers mainly by this estimate and sends the request to
//! the worker with the lowest rank. A request is instead rejected on arrival if it would finish too late at
//! that worker, if no worker is eligible, or if the fleet is overloaded and the request's priority weight is
//! too low.
//!
//! [`Dispatcher`] does no I/O, reads no clock and starts no thread: the caller passes events with their time
//! and carries out the actions that are returned. The callers are the proxy of the scheduler process
//! (`crates/proxy`), the adapter for an external simulator (`crates/simulator-adapter`), and the testbed
//! (`crates/testbed`), which simulates a fleet of schedulers and workers.
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
//! // Discovery lists one worker.
//! let worker = Endpoint {
//!     worker: WorkerId(0), zone: 0, kind: 0, cell: 0,
//!     state: WorkerState::Ready, started_at: None, size: None, hash_key: 0,
//! };
//! let update = EndpointUpdate { kind: EndpointUpdateKind::Full, version: 1, endpoints: &[worker] };
//! dispatcher.handle(0, Event::Endpoints(update), &mut actions);
//!
//! // A request arrives and is sent to that worker.
//! let request = IncomingRequest {
//!     request: RequestId(1), cost_hint: Some(0.2), time_left: 2_000_000, ..IncomingRequest::default()
//! };
//! actions.clear();
//! dispatcher.handle(1_000, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { worker: WorkerId(0), .. }));
//!
//! // The attempt completes.
//! let outcome = AttemptOutcome {
//!     request: RequestId(1), attempt: 0, outcome: Outcome::Served, request_finished: true,
//!     elapsed: 200_000, report: None,
//! };
//! actions.clear();
//! dispatcher.handle(201_000, Event::AttemptCompleted(outcome), &mut actions);
//! # Ok::<(), copperspread_dispatcher::SettingsError>(())
//! ```
mod actions;
mod endpoints;
mod events;
mod outcomes;
mod policy;
mod requests;
mod settings;
mod time;

pub use actions::{Action, MAX_DISPATCH_DELAY, Rejection};
pub use endpoints::{Endpoint, EndpointUpdate, EndpointUpdateKind, WorkerId, WorkerState};
pub use events::{AttemptOutcome, Event, Progress, Timer};
pub use outcomes::{LoadReport, Outcome};
pub use policy::Dispatcher;
pub use requests::{Idempotency, IncomingRequest, KeyScope, RequestClass, RequestId, Tenant};
pub use settings::{DiscoveryMode, Settings, SettingsError};
pub use time::{Micros, SECOND};

/// A dispatch policy, which turns events into actions. [`Dispatcher`] is the policy of the scheduler. The
/// testbed implements further policies, with which it compares [`Dispatcher`].
pub trait DispatchPolicy: Send {
    /// Handles one event and appends the resulting actions to `actions`, in the order in which the caller
    /// must carry them out. `now` is the time of the event and must not decrease from call to call.
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>);
}

impl DispatchPolicy for Dispatcher {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, actions);
    }
}
