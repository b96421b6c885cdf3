//! Workers as the platform's registrations name them.

use std::net::SocketAddr;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::SmolStr;

use crate::job::{ServiceName, WorkerId};

/// One life of a worker: when it started, in milliseconds of Unix time.
///
/// A worker that starts again under its old id has another life and knows nothing of before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerLife(pub u64);

/// What has changed of the registered workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker is registered, with this newest entry.
    Listed(WorkerListing),
    /// A worker isn't registered any more.
    Gone(WorkerId),
}

/// A worker as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerListing {
    /// The id.
    pub id: WorkerId,
    /// The service that the worker belongs to.
    pub service: ServiceName,
    /// Where the worker takes calls.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The worker's life, where the registration names it.
    pub life: Option<WorkerLife>,
    /// What the worker has.
    pub capacity: ResourceSize,
    /// The labels that a step may require.
    pub labels: Vec<SmolStr>,
    /// The rack, where it is known.
    pub rack: Option<SmolStr>,
    /// Whether the worker is about to leave.
    pub is_draining: bool,
}
