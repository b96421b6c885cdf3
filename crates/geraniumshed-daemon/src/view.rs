//! Read-only views of the state that the daemon's modules share.

use std::sync::Arc;

use geraniumshed_core::member::OwnerMap;
use geraniumshed_core::state::{ConfigState, EndpointDirectory, VmTable};
use tokio::sync::watch;

/// The records in force.
pub type ConfigView = watch::Receiver<Arc<ConfigState>>;

/// Whether a feed has applied all entries that the log held at its start or after its last pause.
pub type CatchUpView = watch::Receiver<bool>;

/// The endpoints of all services.
pub type EndpointView = watch::Receiver<Arc<EndpointDirectory>>;

/// The VMs that the platform lists.
pub type VmView = watch::Receiver<Arc<VmTable>>;

/// The owner of each shard.
pub type OwnershipView = watch::Receiver<Arc<OwnerMap>>;
