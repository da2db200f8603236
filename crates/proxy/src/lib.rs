//! The scheduler round the decision module: flows, timers and the three doors through which other
//! protocols come in. Nothing here decides which real server gets a job, what is tried again or what
//! is turned away: that is the module's, for every door.
//!
//! ```text
//!   front::http ─┐                                    ┌─ back::http
//!   (a Front)    ├─► flow ─► decisions ─► flow ─► Back ┤
//!   another one ─┘   Demand   (module)    Handed       └─ another one
//!                    Answer      ▲
//!                                │ Membership
//!                        source::targets, source::fixed (each a Source)
//! ```
//!
//! * A *front* speaks a clients' protocol: it makes an [`order::Demand`], begins a flow with it and
//!   gives the [`order::Answer`] its form.
//! * A *back* speaks a workers' protocol: it hands one scheduling over and turns what comes back into
//!   [`order::Handed`] or [`order::News`].
//! * A *source* turns its own form of a worker list into service entries, through
//!   [`source::Membership`].
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
