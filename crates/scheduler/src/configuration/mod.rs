//! Where a configuration comes from, and what all its forms are read into.
//!
//! [`ConfigSource`] names the place and reads it, again on SIGHUP; `platform` and `layers` each read one form
//! into a [`LoadedConfig`]. Nothing here starts anything.
mod error;
#[cfg(feature = "standalone")]
pub(crate) mod layers;
mod loaded;
pub(crate) mod platform;
mod source;

pub(crate) use error::ConfigError;
pub(crate) use loaded::LoadedConfig;
pub(crate) use source::ConfigSource;
