//! Workers as they register themselves with the platform.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::SmolStr;

use crate::job::{ServiceName, WorkerId};

/// Identifies a process of a worker by its start time, in milliseconds of Unix time.
///
/// A worker that restarts under the same id has a later start time and has lost all earlier state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerIncarnation(pub u64);

/// A change of the registered workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker was registered, or its registration changed.
    Listed(WorkerListing),
    /// A worker is no longer registered.
    Gone(WorkerId),
}

/// The registration of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerListing {
    /// The id of the worker.
    pub id: WorkerId,
    /// The service that the worker belongs to.
    pub service: ServiceName,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The worker process, if the registration contains its start time.
    pub incarnation: Option<WorkerIncarnation>,
    /// The resources of the worker.
    pub capacity: ResourceSize,
    /// The labels of the worker, which steps may require.
    pub labels: Vec<SmolStr>,
    /// The rack, if it is known.
    pub rack: Option<SmolStr>,
    /// Whether the worker is about to shut down and should get no new tasks.
    pub is_draining: bool,
    /// The time until the worker exits, if it is about to shut down and has told.
    pub leaves_in: Option<Duration>,
}
