//! The scheduler's TOML configuration: merges its layers, validates it, and converts it for the start.
//!
//! Installations on the platform have platform settings instead, which another crate reads.
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
//! This crate opens no socket, and no file but the configuration in [`read`]; the function in
//! [`CheckContext`] reads the membership key. `describe/` generates the schema, the commented default file
//! and docs/configuration.md from the types.
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
