//! The dispatch policy: the rules, thresholds and other constants of a [`Dispatcher`].
//!
//! A request goes to the eligible worker with the lowest rank. The rank follows mainly from a service-time
//! estimate under processor sharing: the time that the request takes alone, extended if all requests at the
//! worker together need more slots than the worker has. This is equation (1) of "Empirical Study of
//! Low-Latency Network Model with Orchestrator in MEC".
//!
//! A request is rejected on arrival if it would be late at that worker, if no worker is eligible, or if it is
//! shed because the fleet is overloaded.
//!
//! Each module implements one concern and owns its state. The module `dispatcher` combines the others and
//! passes each of them the values it needs.
mod admission;
mod affinity;
mod average;
mod constants;
mod dispatcher;
mod endpoint_subscription;
mod estimates;
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
