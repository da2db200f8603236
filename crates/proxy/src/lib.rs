//! The proxy around the dispatch policy: it accepts clients' requests, forwards them to workers and keeps the
//! timers. It decides neither which worker gets a request, nor what is retried or rejected: that is the policy's,
//! for every protocol.
//!
//! ```text
//!   downstream::http ─┐                                               ┌─ upstream::http
//!   (a Downstream)    ├─► request_task ─► policy ─► request_task ─► Upstream
//!   another one ──────┘   admission        ▲  decision                └─ another one
//!                         FinalResponse    │
//!                                          │ EndpointPublisher
//!                      discovery::platform, discovery::static_list (each an EndpointSource)
//! ```
//!
//! * A [`downstream::Downstream`] speaks a clients' protocol: it makes a [`messages::AdmissionRequest`], spawns
//!   the request's task with it and gives the [`messages::FinalResponse`] its form.
//! * An [`upstream::Upstream`] speaks a workers' protocol: it dispatches one attempt and turns what comes back
//!   into a [`messages::DispatchResult`] or [`messages::WorkerEvent`].
//! * A [`discovery::EndpointSource`] turns its own form of an endpoint list into updates of the endpoint table,
//!   through [`discovery::EndpointPublisher`].
//!
//! The modules use one another in one direction only; `tests/module_dependencies.rs` checks that.
pub mod assembly;
pub mod clock;
pub mod context;
pub mod discovery;
pub mod downstream;
pub mod endpoints;
pub mod event_recorder;
pub mod invariant;
pub mod load_queries;
pub mod messages;
pub mod policy_handle;
pub mod request_task;
pub mod shutdown;
pub mod shutdown_schedule;
pub mod upstream;
mod worker_starts;
