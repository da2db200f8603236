//! The scheduler round the decision module: flows, timers and the three doors through which other
//! protocols come in. Nothing here decides which real server gets a job, what is tried again or what
//! is turned away: that is the module's, for every door.
//!
//! ```text
//!   downstream::http ─┐                                    ┌─ upstream::http
//!   (a Front)    ├─► flow ─► decisions ─► flow ─► Back ┤
//!   another one ─┘   admission  (policy)  result       └─ another one
//!                    Answer      ▲
//!                                │ Membership
//!                        discovery::platform, discovery::static_list (each a Source)
//! ```
//!
//! * A *front* speaks a clients' protocol: it makes an [`messages::AdmissionRequest`], begins a flow with it and
//!   gives the [`messages::FinalResponse`] its form.
//! * A *back* speaks a workers' protocol: it hands one scheduling over and turns what comes back into
//!   [`messages::DispatchResult`] or [`messages::WorkerEvent`].
//! * A *source* turns its own form of a worker list into service entries, through
//!   [`discovery::EndpointPublisher`].
//!
//! The modules use one another in one direction only; `tests/module_dependencies.rs` holds that.
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
pub mod upstream;
