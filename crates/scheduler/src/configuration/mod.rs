//! Reading of the configuration.
//!
//! A [`ConfigSource`] is read at the start and again on SIGHUP. `platform` reads the platform's JSON file and
//! `layers` the layers of a standalone installation, each into a [`LoadedConfig`]. This module only reads; it
//! starts nothing.
mod error;
#[cfg(feature = "standalone")]
pub(crate) mod layers;
mod loaded;
pub(crate) mod platform;
mod source;

pub(crate) use error::ConfigError;
pub(crate) use loaded::LoadedConfig;
pub(crate) use source::ConfigSource;
