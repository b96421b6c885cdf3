//! The path of submitted jobs from the accepting node to the store, and whether they are admitted.

mod admission;
mod append_monitor;
mod retry_delay;
mod store_health;

pub use admission::{AdmissionTable, AdmissionVerdict, JobOverload};
pub use append_monitor::{AppendMonitor, AppendRoute};
pub use retry_delay::RetryDelay;
pub use store_health::{
    CallTicket, JobRoute, StoreCall, StoreEvidence, StoreHealth, StoreReply, StoreVerdict,
    VerdictChange,
};
