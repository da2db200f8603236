//! Reads the configuration of the scheduler.
//!
//! A [`ConfigSource`] is read into a [`LoadedConfig`] at the start of the scheduler and again on SIGHUP. The
//! module `platform` reads the hosting platform's JSON file. The module `layers` reads the configuration of a
//! standalone installation from TOML, the environment and the command line. No module here starts a
//! component.
mod error;
#[cfg(feature = "standalone")]
pub(crate) mod layers;
mod loaded;
pub(crate) mod platform;
mod source;

pub(crate) use error::ConfigError;
pub(crate) use loaded::LoadedConfig;
pub(crate) use source::ConfigSource;
