//! All stand-ins of one cluster, with their settings, faults and control interface.

mod cluster;
mod control;
mod fault;
mod settings;

pub use self::cluster::{SetStatus, SetTraffic, StandinSet, WorkerStatus};
pub use self::control::ControlServer;
pub use self::fault::{FaultCommand, FaultError, LogFault, ProxyAction, ProxyTarget, VmListFault};
pub use self::settings::{
    EntrySettings, LogSettings, StandinSettings, WorkerSettings, ZoneSettings,
};
