//! The scheduler's TOML configuration: merges the layers of the configuration, validates the result, and
//! converts it to the startup configuration, from which the scheduler process starts.
//!
//! A scheduler that runs on the hosting platform has no TOML configuration: it starts from a JSON file that
//! the platform writes and that the crate `copperspread-settings` reads.
//!
//! ```text
//!   built-in defaults < file (TOML) < environment (COPPERSPREAD_…) < flags (--set)
//!          └──────────────── layers.rs: merge; effective.rs: origin of each value
//!                                  │
//!                            check/: validation, which reports all problems at once
//!                                  │
//!                            startup.rs: conversion to the startup configuration
//! ```
//!
//! This crate opens no socket and only one file: [`read`] opens the configuration file. The membership key is
//! a secret that all schedulers of a cluster share. The file that contains the key is read by a function that
//! the caller passes in [`CheckContext`]. `describe/` generates the schema, the commented default file and
//! docs/configuration.md from the configuration types.
mod check;
mod describe;
mod effective;
mod layer_names;
mod layers;
mod location;
mod problem;
mod startup;
mod types;
mod units;

pub use check::{CheckContext, CheckKeyFile};
pub use describe::{DescribeError, commented_default, reference_page, schema};
pub use effective::EffectiveConfig;
pub use layers::{read, read_text};
pub use problem::{InvalidConfig, Problem};
pub use startup::StartupError;
pub use types::{
    AttemptConfig, Class, Config, DownstreamConfig, EndpointSourceConfig, EndpointSourceKind, EventLogConfig,
    HttpDownstreamConfig, HttpUpstreamConfig, KeyScope, LogConfig, LogFormat, MembershipConfig, RepeatPolicy,
    ResourceLimits, SlowStartConfig, UpstreamConfig, Worker, WorkerPhase, ZoneConfig,
};
pub use units::{HumanDuration, HumanSize, ParseUnitError};
