//! The configuration of installations other than the platform: TOML in layers, checked as a whole.
//!
//! ```text
//!   built-in defaults < file (TOML) < environment (COPPERSPREAD_…) < flags (--set)
//!          └──────────────── layers.rs: merged; effective.rs keeps each value's origin
//!                                  │
//!                            check/: every value against the others, all problems at once
//!                                  │
//!                            startup.rs: onto the settings that all formats share
//! ```
//!
//! Nothing here opens a socket, and only [`read`] opens a file; the membership's key is read by the
//! function that [`CheckContext`] holds. `describe/` makes the schema, the commented default and
//! docs/configuration.md from the types.
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
