//! The faults that can be switched while the stand-ins run.

use std::fmt::{self, Display, Formatter};

use geraniumshed_wire::platform::{VmEntryWire, VmPhaseWire};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::endpoint::EndpointFault;
use crate::proxy::ProxyPlan;
use crate::worker::WorkerSwitch;

/// A change of one stand-in's faults; parts that a command does not name go back to normal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultCommand {
    /// Changes how the log treats calls.
    Log(LogFault),
    /// Drops all entries of the log but the last ones of each stream.
    ExpireLog {
        /// The entries of each stream that stay.
        keep: usize,
    },
    /// Loses all checkpoints.
    LoseCheckpoints,
    /// Changes how the VM list treats calls.
    VmList(VmListFault),
    /// Adds a VM to the list or changes it.
    SetVm(VmEntryWire),
    /// Changes the state of a VM in the list.
    VmPhase {
        /// The VM.
        vm: SmolStr,
        /// The state.
        phase: VmPhaseWire,
    },
    /// Switches a worker.
    Worker {
        /// The VM.
        vm: SmolStr,
        /// The switch.
        switch: WorkerSwitch,
    },
    /// Changes how endpoints fail.
    Endpoint {
        /// The task of the endpoint, or none for all endpoints.
        task: Option<SmolStr>,
        /// How they fail.
        fault: EndpointFault,
    },
    /// Changes a proxy, where the stand-ins are proxied.
    Proxy {
        /// Which proxy.
        target: ProxyTarget,
        /// What happens to it.
        action: ProxyAction,
    },
}

/// How the log treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFault {
    /// Whether the log takes no call.
    pub down: bool,
    /// The time that each call takes in addition, in milliseconds.
    pub delay_ms: u64,
    /// The number of appends to come whose answer is lost.
    pub lost_answers: u32,
    /// Whether the answer to every append is lost.
    pub lose_all_answers: bool,
}

/// How the VM list treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFault {
    /// How old what the list shows is, in milliseconds; none leaves it as it is.
    pub lag_ms: Option<u64>,
    /// Whether the list shows no VM at all.
    pub empty: bool,
    /// Whether the list takes no call.
    pub down: bool,
}

/// The proxies that are changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyTarget {
    /// The one in front of the log.
    Log,
    /// The one in front of the VM list.
    VmList,
    /// The one in front of a worker's control interface.
    Worker {
        /// The VM.
        vm: SmolStr,
    },
    /// Those in front of the endpoints of a task, or of all.
    Endpoints {
        /// The task.
        task: Option<SmolStr>,
    },
    /// All of them.
    All,
}

/// What happens to a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyAction {
    /// The proxy follows another plan.
    Plan(ProxyPlan),
    /// All present connections become silent for good.
    Freeze,
    /// All present connections are closed.
    Cut,
}

/// Why a fault could not be switched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultError {
    /// There is no such VM.
    UnknownVm(SmolStr),
    /// A name is not valid.
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
