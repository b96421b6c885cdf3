//! The daemon's settings, which are validated completely before anything starts.
//!
//! Each module of the daemon defines its own section; this module combines the sections and reads
//! them from YAML. An environment variable such as `GERANIUMSHED_DAEMON_ZONE` replaces the
//! field `daemon.zone`.

pub mod daemon;
mod field_reader;
mod parts;
pub mod read;

pub use self::daemon::{
    ClusterSettings, DaemonIdentity, DaemonSettings, OperatorSecret, OperatorSettings, OperatorTls,
    PeerAddresses, PlatformSettings, TelemetrySettings, TextFormat,
};
pub use self::read::{ReadSettings, SettingsError, open_settings, read_settings};
