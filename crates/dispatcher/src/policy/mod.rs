//! The dispatch policy: every rule, threshold and tuned constant of a [`Dispatcher`].
//!
//! A request goes to the worker with the lowest service-time estimate, after "Empirical Study of Low-Latency
//! Network Model with Orchestrator in MEC", eq. (1), and is rejected on arrival when even that exceeds the
//! time it has left. Each module holds one concern and owns its state; `dispatcher` joins them, and hands
//! each what it needs of another.
mod admission;
mod affinity;
mod average;
mod dispatcher;
mod endpoint_subscription;
mod estimates;
mod figures;
mod hedging;
mod late_retries;
mod listed_load;
mod load_queries;
mod load_reports;
mod local_load;
mod offered_load;
mod outlier_detection;
mod remote_slots;
mod request;
mod retries;
mod selection;
mod service_time;
mod slow_start;
mod worker;

pub use dispatcher::Dispatcher;
