//! The proxy between clients and workers. It accepts clients' requests, forwards them to workers, and runs
//! the timers that the dispatch policy starts. The dispatch policy decides which worker gets a request and
//! which requests are retried or rejected. The proxy only carries out these decisions. The policy does not
//! depend on the protocols of clients and workers.
//!
//! ```text
//!   client protocols                                                 worker protocols
//!                     AdmissionRequest                   attempts
//!   downstream::http ──────────────────►              ────────────► upstream::http
//!                    ◄──────────────────  request_task ◄────────────
//!                       FinalResponse      │      ▲      results
//!                                   events │      │ decisions
//!                                          ▼      │
//!                                        dispatch policy
//!                                               ▲
//!                                               │ endpoint updates (EndpointPublisher)
//!                            discovery::platform, discovery::static_list
//! ```
//!
//! * A [`downstream::Downstream`] implements a client protocol: it parses a request into a
//!   [`messages::AdmissionRequest`], spawns the request's task and serializes the [`messages::FinalResponse`].
//! * An [`upstream::Upstream`] implements a worker protocol: it dispatches attempts and converts what the
//!   worker returns into a [`messages::DispatchResult`] or [`messages::WorkerEvent`].
//! * A [`discovery::EndpointSource`] converts endpoint lists from the format of its source into updates
//!   of the endpoint table, through [`discovery::EndpointPublisher`].
//!
//! The modules have no circular dependencies, which the test `module_dependencies` checks.
pub mod assembly;
mod body_collector;
pub mod clock;
pub mod context;
pub mod descriptors;
pub mod discovery;
pub mod downstream;
pub mod endpoints;
pub mod event_recorder;
pub mod invariant;
pub mod load_queries;
pub mod memory;
pub mod messages;
pub mod policy_handle;
pub mod request_task;
pub mod shutdown;
pub mod shutdown_schedule;
pub mod upstream;
mod worker_starts;
