//! The faults that can be injected while the stand-ins run.

use std::fmt::{self, Display, Formatter};

use geraniumshed_wire::platform::{VmEntryWire, VmPhaseWire};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::endpoint::EndpointFault;
use crate::proxy::ProxyPlan;
use crate::worker::WorkerSwitch;

/// A command that sets the faults of one stand-in; omitted fields return to their defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultCommand {
    /// Sets the faults of calls to the log.
    Log(LogFault),
    /// Drops all but the last entries of each log stream.
    ExpireLog {
        /// The number of entries to keep per stream.
        keep: usize,
    },
    /// Deletes all checkpoints.
    LoseCheckpoints,
    /// Sets the faults of the VM list.
    VmList(VmListFault),
    /// Adds a VM to the list or replaces its entry.
    SetVm(VmEntryWire),
    /// Changes the phase of a VM in the list.
    VmPhase {
        /// The VM.
        vm: SmolStr,
        /// The new phase.
        phase: VmPhaseWire,
    },
    /// Injects or clears a fault of a worker.
    Worker {
        /// The VM.
        vm: SmolStr,
        /// The fault.
        switch: WorkerSwitch,
    },
    /// Sets the fault of endpoints.
    Endpoint {
        /// The task of the endpoint, or `None` for all endpoints.
        task: Option<SmolStr>,
        /// The fault.
        fault: EndpointFault,
    },
    /// Applies an action to proxies, if the settings enable them.
    Proxy {
        /// The proxies.
        target: ProxyTarget,
        /// The action.
        action: ProxyAction,
    },
}

/// The faults of calls to the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFault {
    /// Whether all calls fail as unavailable.
    pub down: bool,
    /// The delay added to each call, in milliseconds.
    pub delay_ms: u64,
    /// The number of next appends that take effect but whose response is lost.
    pub lost_answers: u32,
    /// Whether the responses to all appends are lost.
    pub lose_all_answers: bool,
}

/// The faults of the VM list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFault {
    /// The delay until changes are visible, in milliseconds; `None` keeps the current delay.
    pub lag_ms: Option<u64>,
    /// Whether the list is shown as empty.
    pub empty: bool,
    /// Whether all calls fail as unavailable.
    pub down: bool,
}

/// The proxies that an action applies to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyTarget {
    /// The proxy in front of the log.
    Log,
    /// The proxy in front of the VM list.
    VmList,
    /// The proxy in front of a worker's control interface.
    Worker {
        /// The VM.
        vm: SmolStr,
    },
    /// The proxies in front of endpoints.
    Endpoints {
        /// The task of the endpoint, or `None` for all endpoints.
        task: Option<SmolStr>,
    },
    /// All proxies.
    All,
}

/// An action on a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyAction {
    /// Replaces the injected faults.
    Plan(ProxyPlan),
    /// Silences all current connections forever.
    Freeze,
    /// Closes all current connections.
    Cut,
}

/// The reason why a fault could not be injected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultError {
    /// The cluster has no such VM.
    UnknownVm(SmolStr),
    /// A name or an entry in the command is invalid.
    Invalid(SmolStr),
    /// The stand-ins have no proxies.
    NotProxied,
}

impl Display for FaultError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownVm(vm) => write!(f, "there is no VM `{vm}`: see `GET /status`"),
            Self::Invalid(reason) => f.write_str(reason),
            Self::NotProxied => f.write_str("there are no proxies: set `proxied: true`"),
        }
    }
}

impl std::error::Error for FaultError {}
