//! The daemon's settings, checked whole before anything starts.
//!
//! Each part of the daemon defines its own section beside its driver; this folder joins them and
//! reads them from YAML. An environment variable such as `GERANIUMSHED_DAEMON_ZONE` replaces the
//! field `daemon.zone`.

pub mod daemon;
mod parts;
pub mod read;
mod section;

pub use self::daemon::{
    ClusterSettings, DaemonIdentity, DaemonSettings, OperatorSecret, OperatorSettings, OperatorTls,
    PeerListen, PlatformSettings, TelemetrySettings, TextFormat,
};
pub use self::read::{ReadSettings, SettingsError, open_settings, read_settings};
