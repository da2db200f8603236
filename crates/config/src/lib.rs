//! The configuration of installations other than the platform.
//!
//! ```text
//!   built-in defaults < file (TOML) < environment (COPPERSPREAD_…) < flags (--set)
//!          └──────────────── layers.rs: merged, each value's origin kept
//!                                  │
//!                            check.rs: every value against the others, all problems at once
//!                                  │
//!                            start.rs: onto the settings that all formats share
//! ```
//!
//! Nothing here opens a socket, and only [`read`] opens a file (a cluster's key is read by what
//! [`Surroundings`] names). `describe.rs` makes the schema, the
//! commented default and docs/configuration.md from the types.
mod check;
mod describe;
mod layers;
mod start;
mod types;
mod units;

pub use check::{CheckKey, Surroundings};
pub use describe::{commented_default, page, schema};
pub use layers::{Effective, Problem, Problems, read, read_text};
pub use types::*;
pub use units::{Size, Span};
