//! The proxy between clients and workers: it accepts clients' requests, forwards them to workers and runs the
//! dispatch policy's timers. The dispatch policy decides which worker gets a request and what is retried or
//! rejected, whatever the protocol; the proxy only carries out these decisions.
//!
//! ```text
//!   downstream::http ─┐                                               ┌─ upstream::http
//!   (a Downstream)    ├─► request_task ─► policy ─► request_task ─► Upstream
//!   other protocols ──┘   admission        ▲  decision                └─ other protocols
//!                         FinalResponse    │
//!                                          │ EndpointPublisher
//!                      discovery::platform, discovery::static_list (each an EndpointSource)
//! ```
//!
//! * A [`downstream::Downstream`] implements a client protocol: it parses a request into a
//!   [`messages::AdmissionRequest`], spawns the request's task and serializes the [`messages::FinalResponse`].
//! * An [`upstream::Upstream`] implements a worker protocol: it dispatches attempts and converts what the
//!   worker returns into a [`messages::DispatchResult`] or [`messages::WorkerEvent`].
//! * A [`discovery::EndpointSource`] converts endpoint lists from the format of its source into updates
//!   of the endpoint table, through [`discovery::EndpointPublisher`].
//!
//! The modules have no circular dependencies; `tests/module_dependencies.rs` checks this.
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
